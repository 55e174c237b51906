package engine

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Fake is an in-memory Client for tests. Responses are scripted by address; Start, Cancel, Order and Reserve calls are
// recorded.
type Fake struct {
	mu      sync.Mutex
	engines map[string]*FakeEngine
}

// FakeEngine is the scripted engine at one address. Its fields must be accessed through Fake.Update only.
type FakeEngine struct {
	// OnStart returns the frames of a response and the error that ends it. If the error is nil, the stream ends with a
	// Done frame and io.EOF. If OnStart is nil, Start fails with CodeUnavailable.
	OnStart func(Request) ([]Frame, error)
	// Refuse, if set, is returned by every call of Start.
	Refuse error
	// ControlErr, if set, is returned by every other call.
	ControlErr   error
	Report       Load
	Events       CacheEvents
	Started      []Request
	Cancelled    []string
	Orders       []Order
	Reservations map[string]Reservation
}

var _ Client = (*Fake)(nil)

// NewFake returns a Fake without engines.
func NewFake() *Fake { return &Fake{engines: map[string]*FakeEngine{}} }

// Update calls change with the engine at address while holding the lock. It creates the engine if it does not exist.
func (f *Fake) Update(address string, change func(*FakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		e = &FakeEngine{Reservations: map[string]Reservation{}}
		f.engines[address] = e
	}
	change(e)
}

// Start implements Client.
func (f *Fake) Start(ctx context.Context, address string, req Request) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return nil, &Error{Kind: KindUnreachable, Address: address, Err: errors.New("no fake engine at this address")}
	}
	e.Started = append(e.Started, req)
	if e.Refuse != nil {
		return nil, e.Refuse
	}
	if e.OnStart == nil {
		return nil, &Error{Kind: KindRefused, Address: address, Code: CodeUnavailable, Status: 503}
	}
	frames, err := e.OnStart(req)
	return &fakeStream{ctx: ctx, address: address, frames: frames, err: err}, nil
}

// Cancel implements Client.
func (f *Fake) Cancel(_ context.Context, address, id string, _ int) error {
	return f.control(address, func(e *FakeEngine) { e.Cancelled = append(e.Cancelled, id) })
}

// Load implements Client.
func (f *Fake) Load(_ context.Context, address string) (out Load, err error) {
	err = f.control(address, func(e *FakeEngine) { out = e.Report })
	return out, err
}

// CacheEvents implements Client.
func (f *Fake) CacheEvents(_ context.Context, address string, after uint64) (out CacheEvents, err error) {
	err = f.control(address, func(e *FakeEngine) {
		out = CacheEvents{Incarnation: e.Events.Incarnation, Next: e.Events.Next}
		for _, ev := range e.Events.Events {
			if ev.Sequence > after {
				out.Events = append(out.Events, ev)
			}
		}
	})
	return out, err
}

// Order implements Client.
func (f *Fake) Order(_ context.Context, address string, o Order) error {
	return f.control(address, func(e *FakeEngine) { e.Orders = append(e.Orders, o) })
}

// Reserve implements Client.
func (f *Fake) Reserve(_ context.Context, address string, r Reservation) error {
	return f.control(address, func(e *FakeEngine) { e.Reservations[r.ID] = r })
}

// Unreserve implements Client.
func (f *Fake) Unreserve(_ context.Context, address, id, owner string) error {
	return f.control(address, func(e *FakeEngine) {
		if e.Reservations[id].Owner == owner {
			delete(e.Reservations, id)
		}
	})
}

// control calls access with the engine at address, or returns the scripted error.
func (f *Fake) control(address string, access func(*FakeEngine)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return &Error{Kind: KindUnreachable, Address: address, Err: errors.New("no fake engine at this address")}
	}
	if e.ControlErr != nil {
		return e.ControlErr
	}
	access(e)
	return nil
}

// fakeStream is the Stream of a Fake.
type fakeStream struct {
	mu      sync.Mutex
	ctx     context.Context
	address string
	frames  []Frame
	err     error
	closed  bool
	done    bool
}

// Next implements Stream.
func (s *fakeStream) Next() (Frame, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return Frame{}, io.EOF
	}
	if s.closed || s.ctx.Err() != nil {
		return Frame{}, &Error{Kind: KindCancelled, Address: s.address, Err: context.Canceled}
	}
	if len(s.frames) > 0 {
		f := s.frames[0]
		s.frames = s.frames[1:]
		s.done = f.Done
		return f, nil
	}
	if s.err != nil {
		return Frame{}, s.err
	}
	s.done = true
	return Frame{Done: true}, nil
}

// Close implements Stream.
func (s *fakeStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}
