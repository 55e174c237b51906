package gate

import (
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// Limits of the output to a caller.
const (
	maxBufferedTokens = 256
	maxBatchTokens    = 8
	// writeTimeout is how long a write may block before the caller is disconnected.
	writeTimeout = 10 * time.Second
	// heartbeatInterval is how often a waiting caller is sent a comment line, so that a dead connection is detected.
	heartbeatInterval = 2 * time.Second
	// endGrace is the time that a caller has to read the remaining output after its request has failed.
	endGrace = time.Second
)

// endKind is the way in which a request ends for its caller.
type endKind int

const (
	endNone endKind = iota
	endFinish
	endFail
	endReplay
	endDisconnect
)

type endState struct {
	kind    endKind
	finish  gatecore.Finish
	failure gatecore.Failure
}

// outputBuffer holds the tokens of one request between the reducer and the goroutine that writes to the caller. The
// reader of the engine stream pauses while it is full, so that it never holds more than maxBufferedTokens.
type outputBuffer struct {
	mu     sync.Mutex
	tokens []gatecore.SendToken
	end    endState
	// deadline limits the write deadline once the request has failed; interrupt applies it to a write in progress.
	deadline  time.Time
	interrupt func(time.Time)
	// wake signals new output to the writer, spaceFreed signals discarded tokens to the reader of the engine stream.
	wake       chan struct{}
	spaceFreed chan struct{}
}

func newOutputBuffer() *outputBuffer {
	return &outputBuffer{wake: make(chan struct{}, 1), spaceFreed: make(chan struct{}, 1)}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *outputBuffer) push(t gatecore.SendToken) {
	o.mu.Lock()
	o.tokens = append(o.tokens, t)
	o.mu.Unlock()
	notify(o.wake)
}

// setEnd sets the end of the answer. A failure or disconnect is final and replaces a finish that is not yet written.
func (o *outputBuffer) setEnd(e endState, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer notify(o.wake)
	if o.end.kind == endDisconnect || o.end.kind == endFail {
		return
	}
	o.end = e
	if e.kind != endFail && e.kind != endDisconnect {
		return
	}
	o.deadline = now.Add(endGrace)
	if o.interrupt != nil {
		o.interrupt(o.deadline)
	}
}

func (o *outputBuffer) full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tokens) >= maxBufferedTokens
}

// peek copies the next tokens to buf, or returns the end, if any, when no tokens remain. A disconnect is returned at
// once.
func (o *outputBuffer) peek(buf *[maxBatchTokens]gatecore.SendToken) ([]gatecore.SendToken, endState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end.kind == endDisconnect {
		return nil, o.end
	}
	n := copy(buf[:], o.tokens)
	if n > 0 {
		return buf[:n], endState{}
	}
	return nil, o.end
}

// discard removes the first n tokens after they were written.
func (o *outputBuffer) discard(n int) {
	o.mu.Lock()
	rest := copy(o.tokens, o.tokens[n:])
	clear(o.tokens[rest:])
	o.tokens = o.tokens[:rest]
	o.mu.Unlock()
	notify(o.spaceFreed)
}

// setWriteDeadline sets the deadline of the next write with set. The lock orders it against interrupts by setEnd.
func (o *outputBuffer) setWriteDeadline(now time.Time, timeout time.Duration, set func(time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := now.Add(timeout)
	if !o.deadline.IsZero() && o.deadline.Before(at) {
		at = o.deadline
	}
	o.interrupt = set
	set(at)
}

// clearInterrupt ends the use of the caller's connection. It must be called before the handler returns.
func (o *outputBuffer) clearInterrupt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interrupt = nil
}
