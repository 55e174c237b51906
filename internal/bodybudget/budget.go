// Package bodybudget bounds the memory that a process holds for callers: request bodies that arrive or are kept until their
// request ends, and a constant for each connection. Bodies are read in chunks that are counted before they are read, so that
// memory follows what was received; an announced length reserves nothing.
//
// If the bound is reached, the arriving body that has made no progress for the longest time is dropped. Its request has
// reached no server. A body that has arrived is never dropped.
package bodybudget

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Errors of Budget.Read. Errors of the reader are returned unchanged otherwise.
var (
	ErrTooLarge = errors.New("body exceeds the limit")
	ErrTooSlow  = errors.New("body did not arrive in time")
	ErrNoRoom   = errors.New("no memory is left for the body")
)

const (
	// SmallBytes is the size up to which a body counts as small. The prompt of a short request (about 5,000 tokens) has 20 KB.
	SmallBytes = 64 << 10
	// ConnBytes is the memory that is counted for a connection: its two buffers of 4 KiB, the stacks of its goroutines, and the
	// state of a request with headers of up to freeHeaderBytes.
	ConnBytes = 24 << 10
	// stallTime is the time without progress after which an arriving body is dropped before bodies that make progress. A body
	// of 4 MiB makes progress every 7 ms on a link of 20 Mbit/s, and every 65 ms if it shares the link with nine others.
	stallTime = 500 * time.Millisecond
	// progressStep is the number of bytes that count as progress, so that a body of single bytes shows none.
	progressStep = 16 << 10
	// roomWait bounds how long a body waits for the memory of bodies that were dropped. Their readers wake up at once.
	roomWait = time.Second
)

// Options of a Budget.
type Options struct {
	// LargeBytes bounds the memory of bodies over SmallBytes. ReservedBytes is left for small bodies and connections, in
	// addition to what large bodies do not use.
	LargeBytes, ReservedBytes int64
	// Now defaults to time.Now.
	Now func() time.Time
	// Scope defaults to tally.NoopScope.
	Scope tally.Scope
}

// Budget counts the memory of one process. It is safe for concurrent use.
type Budget struct {
	opts    Options
	metrics metrics

	mu sync.Mutex
	// held is all memory that is counted, large the part of large bodies. dropping and droppingLarge are the parts of bodies
	// that were dropped and whose readers have not returned yet.
	held, large, dropping, droppingLarge int64
	connections                          int
	arriving                             map[*Body]struct{}
	// freed is closed and replaced whenever memory is freed or a body is dropped.
	freed chan struct{}
}

type metrics struct {
	scope             tally.Scope
	held, connections tally.Gauge
}

// New returns a budget that holds nothing.
func New(opts Options) *Budget {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Budget{
		opts: opts, arriving: map[*Body]struct{}{}, freed: make(chan struct{}),
		metrics: metrics{
			scope: opts.Scope, held: opts.Scope.Gauge("caller_bytes_held"), connections: opts.Scope.Gauge("caller_connections"),
		},
	}
}

// SetLimits replaces LargeBytes and ReservedBytes. Bounds of listeners stay.
func (b *Budget) SetLimits(largeBytes, reservedBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.LargeBytes, b.opts.ReservedBytes = largeBytes, reservedBytes
}

// CanHold reports whether a body of n bytes could be read while nothing else is held.
func (b *Budget) CanHold(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return n <= SmallBytes || n <= b.opts.LargeBytes
}

// Held returns the memory that is counted now.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// MaxConnections returns the number of connections that fit into the part of the reserved memory that is left for them.
func (b *Budget) MaxConnections() int {
	const connectionShare = 0.6 // the rest stays free for small bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(float64(b.opts.ReservedBytes) * connectionShare / ConnBytes)
}

func (b *Budget) addConnections(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections += n
	b.metrics.connections.Update(float64(b.connections))
	b.add(int64(n)*ConnBytes, 0)
}

func (b *Budget) addHeaders(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n, 0)
}

// add counts memory, of which a part belongs to large bodies. The caller holds mu.
func (b *Budget) add(n, large int64) {
	b.held += n
	b.large += large
	b.metrics.held.Update(float64(b.held))
	if n < 0 || large < 0 {
		b.wakeWaiting()
	}
}

// wakeWaiting lets the bodies that wait for memory check again. The caller holds mu.
func (b *Budget) wakeWaiting() {
	close(b.freed)
	b.freed = make(chan struct{})
}

// fits reports whether n further bytes fit, of which a part belongs to large bodies, once the bodies that were dropped are
// gone or already now. The caller holds mu.
func (b *Budget) fits(n, large int64, afterDrops bool) bool {
	held, heldLarge := b.held+n, b.large+large
	if afterDrops {
		held, heldLarge = held-b.dropping, heldLarge-b.droppingLarge
	}
	return held <= b.opts.LargeBytes+b.opts.ReservedBytes && (large == 0 || heldLarge <= b.opts.LargeBytes)
}

// grow counts n further bytes of an arriving body before they are read. It returns ErrNoRoom if the body is dropped.
func (b *Budget) grow(body *Body, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout <-chan time.Time
	for {
		large := int64(0)
		if body.held+n > body.smallLimit() {
			large = n
			if !body.large {
				large += body.held
			}
		}
		switch {
		case body.dropped:
			return ErrNoRoom
		case b.fits(n, large, false):
			b.add(n, large)
			body.held += n
			body.large = body.large || large > 0
			return nil
		case !b.fits(n, large, true):
			b.drop(b.victim(body, large > 0))
			continue
		}
		if timeout == nil {
			timeout = time.After(roomWait)
		}
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
			b.mu.Lock()
		case <-timeout:
			b.mu.Lock()
			b.drop(body)
		}
	}
}

// victim returns the body to drop so that the memory for another one is freed; that may be the other one itself. It is the one
// without progress for the longest time. If all make progress, it is the one of which the least would be lost. For the memory
// of large bodies only large ones count. The caller holds mu.
func (b *Budget) victim(body *Body, large bool) *Body {
	victim, stalled := body, false
	now := b.opts.Now()
	for other := range b.arriving {
		if other.dropped || large && !other.large && other != body {
			continue
		}
		switch otherStalled := now.Sub(other.progressAt) > stallTime; {
		case otherStalled && (!stalled || other.progressAt.Before(victim.progressAt)):
			victim, stalled = other, true
		case !stalled && large && other.size < victim.size:
			victim = other
		}
	}
	return victim
}

// drop ends the reading of a body. The caller holds mu.
func (b *Budget) drop(body *Body) {
	if body.dropped {
		return
	}
	body.dropped = true
	b.dropping += body.held
	if body.large {
		b.droppingLarge += body.held
	}
	b.countRefused("no_room")
	body.interrupt()
	b.wakeWaiting() // the body may itself wait for memory
}

// dropStalled drops the arriving body that has made no progress for the longest time, if there is one without progress for
// stallTime.
func (b *Budget) dropStalled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Now()
	var victim *Body
	for other := range b.arriving {
		if !other.dropped && now.Sub(other.progressAt) > stallTime && (victim == nil || other.progressAt.Before(victim.progressAt)) {
			victim = other
		}
	}
	if victim != nil {
		b.drop(victim)
	}
}

func (b *Budget) countRefused(reason string) {
	b.metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("bodies_refused").Inc(1)
}
