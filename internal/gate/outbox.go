package gate

import (
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// Bounds of what waits for a caller.
const (
	outboxTokens = 256
	batchTokens  = 8
	// writeTimeout is how long a caller may not read before it is cut off.
	writeTimeout = 10 * time.Second
	// heartbeatInterval is how often a caller that waits gets a comment line, so that a dead one is noticed.
	heartbeatInterval = 2 * time.Second
	// endGrace is the time that a caller has to read what is left once its request has failed.
	endGrace = time.Second
)

// endKind says how a request ends for its caller.
type endKind int

const (
	endNone endKind = iota
	endFinish
	endFail
	endReplay
	endDrop
)

type ending struct {
	kind    endKind
	finish  gatecore.Finish
	failure gatecore.Failure
}

// outbox holds the tokens of one request between the reducer and the goroutine that writes to the caller. The engine's
// reader waits while it is full, so it never holds more than outboxTokens.
type outbox struct {
	mu     sync.Mutex
	tokens []gatecore.SendToken
	end    ending
	// deadline caps the write deadline once the request has failed; interrupt applies it to a write in progress.
	deadline  time.Time
	interrupt func(time.Time)
	wake      chan struct{}
	room      chan struct{}
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (o *outbox) push(t gatecore.SendToken) {
	o.mu.Lock()
	o.tokens = append(o.tokens, t)
	o.mu.Unlock()
	signal(o.wake)
}

// finish sets the end; the first one wins, but a failure or a drop overrides a finish that is not yet written.
func (o *outbox) finish(e ending, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer signal(o.wake)
	if o.end.kind == endDrop || o.end.kind == endFail {
		return
	}
	o.end = e
	if e.kind != endFail && e.kind != endDrop {
		return
	}
	o.deadline = now.Add(endGrace)
	if o.interrupt != nil {
		o.interrupt(o.deadline)
	}
}

func (o *outbox) full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tokens) >= outboxTokens
}

// peek copies the next tokens to buf and returns the end that follows the tokens that remain, if any.
func (o *outbox) peek(buf *[batchTokens]gatecore.SendToken) ([]gatecore.SendToken, ending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end.kind == endDrop {
		return nil, o.end
	}
	n := copy(buf[:], o.tokens)
	if n > 0 {
		return buf[:n], ending{}
	}
	return nil, o.end
}

// taken removes n tokens that were written.
func (o *outbox) taken(n int) {
	o.mu.Lock()
	rest := copy(o.tokens, o.tokens[n:])
	clear(o.tokens[rest:])
	o.tokens = o.tokens[:rest]
	o.mu.Unlock()
	signal(o.room)
}

// armWrite sets the deadline of the next write with set, under the lock that orders it against interrupts.
func (o *outbox) armWrite(now time.Time, timeout time.Duration, set func(time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := now.Add(timeout)
	if !o.deadline.IsZero() && o.deadline.Before(at) {
		at = o.deadline
	}
	o.interrupt = set
	set(at)
}

// disarm ends the use of the caller's connection; it must precede the return of the handler.
func (o *outbox) disarm() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interrupt = nil
}
