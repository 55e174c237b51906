package engine

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Fake is a Client in memory for tests. Answers are scripted per address; every call is recorded.
type Fake struct {
	mu      sync.Mutex
	engines map[string]*FakeEngine
}

// FakeEngine is the scripted behaviour of one address. Fields may be changed through Fake.Update only.
type FakeEngine struct {
	// OnStart returns the frames of an answer and the error that ends it. io.EOF after a Done frame is added when the
	// error is nil. A nil OnStart refuses with CodeUnavailable.
	OnStart func(Request) ([]Frame, error)
	// Refuse, when set, is the error of every Start.
	Refuse error
	// ControlErr, when set, is the error of every other call.
	ControlErr   error
	Report       Load
	Events       CacheEvents
	Started      []Request
	Cancelled    []string
	Orders       []Order
	Reservations map[string]Reservation
}

var _ Client = (*Fake)(nil)

// NewFake returns a fake without engines.
func NewFake() *Fake { return &Fake{engines: map[string]*FakeEngine{}} }

// Update changes or reads the engine at address under the fake's lock, and creates it when it does not exist.
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
		return nil, &Error{Kind: KindUnreachable, Address: address, Err: errors.New("no such engine")}
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

func (f *Fake) control(address string, act func(*FakeEngine)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[address]
	if !ok {
		return &Error{Kind: KindUnreachable, Address: address, Err: errors.New("no such engine")}
	}
	if e.ControlErr != nil {
		return e.ControlErr
	}
	act(e)
	return nil
}

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
