package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gate"
)

const helperAddress = "127.0.0.1:3"

// groupFixture is a gate's engines over a fake with one helper.
type groupFixture struct {
	t       *testing.T
	fake    *engine.Fake
	engines *gateEngines
}

func newGroupFixture(t *testing.T) *groupFixture {
	f := &groupFixture{t: t, fake: engine.NewFake()}
	f.engines = newGateEngines(f.fake, evlog.Discard())
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", helperAddress} {
		f.leadEndsWith(address, nil)
	}
	return f
}

// leadEndsWith makes the streams of a lead end with err, after the whole answer when err is nil.
func (f *groupFixture) leadEndsWith(address string, err error) {
	f.fake.Update(address, func(e *engine.FakeEngine) {
		e.OnStart = func(engine.Request) ([]engine.Frame, error) {
			if err != nil {
				return []engine.Frame{{Heartbeat: true}}, err
			}
			return []engine.Frame{{Finish: engine.FinishStop}, {Done: true}}, nil
		}
	})
}

// run opens an attempt and reads it to its end.
func (f *groupFixture) run(lead string, attempt, held int) gate.EngineStream {
	stream, err := f.engines.Open(context.Background(), gate.EngineCall{
		Address: lead, RequestID: "r", Attempt: attempt, HeldAttempt: held,
		Helpers: []gate.Helper{{Address: helperAddress, Reserve: 100}},
	})
	require.NoError(f.t, err)
	for err == nil {
		_, err = stream.Recv()
	}
	return stream
}

func (f *groupFixture) reserved() (ids []string) {
	f.fake.Update(helperAddress, func(e *engine.FakeEngine) {
		for id := range e.Reservations {
			ids = append(ids, id)
		}
	})
	return ids
}

// started returns the reservation that the last attempt named to its lead.
func (f *groupFixture) started(lead string) (id string) {
	f.fake.Update(lead, func(e *engine.FakeEngine) { id = e.Started[len(e.Started)-1].ReservationID })
	return id
}

var errLost = &engine.Error{Kind: engine.KindLost, Err: errors.New("broken")}

// Guards against a late end of a failed attempt that frees the memory which the next attempt at the same lead has
// reserved: the attempts had the same reservation id, and the lead and the gate free by id.
func TestLateFreeOfFormerAttemptKeepsNextReservation(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.leadEndsWith(lead, &engine.Error{Kind: engine.KindFailed, Code: engine.CodeHelperLost})
	first := f.run(lead, 1, 0)
	f.leadEndsWith(lead, errLost)
	f.run(lead, 2, 0)
	require.Equal(t, "r.2", f.started(lead))
	require.NoError(t, first.Close())
	require.NoError(t, f.fake.Unreserve(context.Background(), helperAddress, "r.1", "r")) // as the lead does, late
	require.Never(t, func() bool { return len(f.reserved()) != 1 }, 50*time.Millisecond, 5*time.Millisecond)
	require.Equal(t, []string{"r.2"}, f.reserved())
}

// Guards against an attempt that loses the stream which its lead still holds: freeing the reservations of the broken
// attempt, or making new ones under another id, ends the kept stream or needs its memory twice.
func TestResumedStreamKeepsItsReservation(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.leadEndsWith(lead, errLost)
	first := f.run(lead, 1, 0)
	f.leadEndsWith(lead, nil)
	second := f.run(lead, 2, 0) // before the first one is closed, as a quick retry does
	require.NoError(t, first.Close())
	require.Equal(t, "r.1", f.started(lead))
	require.Equal(t, []string{"r.1"}, f.reserved())
	require.NoError(t, second.Close())
	require.Eventually(t, func() bool { return len(f.reserved()) == 0 }, time.Second, time.Millisecond)

	f.run(lead, 20, 4) // another gate continues attempt 4
	require.Equal(t, "r.4", f.started(lead))
}

// Guards against the memory of an attempt whose lead is gone being missing for the next attempt.
func TestReservationsOfOtherLeadAreFreedFirst(t *testing.T) {
	f := newGroupFixture(t)
	f.leadEndsWith("127.0.0.1:1", errLost)
	require.NoError(t, f.run("127.0.0.1:1", 1, 0).Close())
	require.Equal(t, []string{"r.1"}, f.reserved())
	f.leadEndsWith("127.0.0.1:2", errLost)
	require.NoError(t, f.run("127.0.0.1:2", 2, 0).Close())
	require.Equal(t, []string{"r.2"}, f.reserved())
}

// Guards against an end of the request that leaves helpers' memory reserved when the lead has died.
func TestCancelAtDeadLeadFreesReservations(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.leadEndsWith(lead, errLost)
	require.NoError(t, f.run(lead, 1, 0).Close())
	f.fake.Update(lead, func(e *engine.FakeEngine) { e.ControlErr = &engine.Error{Kind: engine.KindUnreachable} })
	require.Error(t, f.engines.Cancel(context.Background(), lead, "r", 1))
	require.Empty(t, f.reserved())
}
