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

// groupFixture runs gateEngines on fake engines: two leads and one helper.
type groupFixture struct {
	t       *testing.T
	fake    *engine.Fake
	engines *gateEngines
}

func newGroupFixture(t *testing.T) *groupFixture {
	f := &groupFixture{t: t, fake: engine.NewFake()}
	f.engines = newGateEngines(f.fake, evlog.Discard())
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", helperAddress} {
		f.setLeadResult(address, nil)
	}
	return f
}

// setLeadResult makes the streams of a lead fail with err after a heartbeat, or deliver the complete response if err is
// nil.
func (f *groupFixture) setLeadResult(address string, err error) {
	f.fake.Update(address, func(e *engine.FakeEngine) {
		e.OnStart = func(engine.Request) ([]engine.Frame, error) {
			if err != nil {
				return []engine.Frame{{Heartbeat: true}}, err
			}
			return []engine.Frame{{Finish: engine.FinishStop}, {Done: true}}, nil
		}
	})
}

// runAttempt opens an attempt and reads its stream to the end.
func (f *groupFixture) runAttempt(lead string, attempt, held int) gate.EngineStream {
	stream, err := f.engines.Open(context.Background(), gate.EngineCall{
		Address: lead, RequestID: "r", Attempt: attempt, HeldAttempt: held,
		Helpers: []gate.Helper{{Address: helperAddress, ReservedTokens: 100}},
	})
	require.NoError(f.t, err)
	for err == nil {
		_, err = stream.Recv()
	}
	return stream
}

func (f *groupFixture) reservedIDs() (ids []string) {
	f.fake.Update(helperAddress, func(e *engine.FakeEngine) {
		for id := range e.Reservations {
			ids = append(ids, id)
		}
	})
	return ids
}

// startedReservation returns the reservation id that the last attempt sent to its lead.
func (f *groupFixture) startedReservation(lead string) (id string) {
	f.fake.Update(lead, func(e *engine.FakeEngine) { id = e.Started[len(e.Started)-1].ReservationID })
	return id
}

var errLost = &engine.Error{Kind: engine.KindLost, Err: errors.New("broken")}

// Guards against a late end of a failed attempt that frees the memory reserved by the next attempt at the same lead. It
// happened when both attempts used the same reservation id, because lead and gate free by id.
func TestLateFreeOfPreviousAttemptKeepsNextReservation(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.setLeadResult(lead, &engine.Error{Kind: engine.KindFailed, Code: engine.CodeHelperLost})
	first := f.runAttempt(lead, 1, 0)
	f.setLeadResult(lead, errLost)
	f.runAttempt(lead, 2, 0)
	require.Equal(t, "r.2", f.startedReservation(lead))
	require.NoError(t, first.Close())
	require.NoError(t, f.fake.Unreserve(context.Background(), helperAddress, "r.1", "r")) // a late free by the lead
	require.Never(t, func() bool { return len(f.reservedIDs()) != 1 }, 50*time.Millisecond, 5*time.Millisecond)
	require.Equal(t, []string{"r.2"}, f.reservedIDs())
}

// Guards against freeing the reservations of a broken attempt whose stream the lead still holds, which ends the stream,
// and against making new ones under another id, which reserves its memory twice.
func TestResumedStreamKeepsItsReservation(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.setLeadResult(lead, errLost)
	first := f.runAttempt(lead, 1, 0)
	f.setLeadResult(lead, nil)
	second := f.runAttempt(lead, 2, 0) // a quick retry: the first stream is not closed yet
	require.NoError(t, first.Close())
	require.Equal(t, "r.1", f.startedReservation(lead))
	require.Equal(t, []string{"r.1"}, f.reservedIDs())
	require.NoError(t, second.Close())
	require.Eventually(t, func() bool { return len(f.reservedIDs()) == 0 }, time.Second, time.Millisecond)

	f.runAttempt(lead, 20, 4) // another gate resumes attempt 4
	require.Equal(t, "r.4", f.startedReservation(lead))
}

// Guards against memory that stays reserved for a failed attempt at another lead and is missing for the next attempt.
func TestReservationsOfOtherLeadAreFreedFirst(t *testing.T) {
	f := newGroupFixture(t)
	f.setLeadResult("127.0.0.1:1", errLost)
	require.NoError(t, f.runAttempt("127.0.0.1:1", 1, 0).Close())
	require.Equal(t, []string{"r.1"}, f.reservedIDs())
	f.setLeadResult("127.0.0.1:2", errLost)
	require.NoError(t, f.runAttempt("127.0.0.1:2", 2, 0).Close())
	require.Equal(t, []string{"r.2"}, f.reservedIDs())
}

// Guards against helper memory that stays reserved after the end of a request because the lead has died.
func TestCancelAtDeadLeadFreesReservations(t *testing.T) {
	f := newGroupFixture(t)
	const lead = "127.0.0.1:1"
	f.setLeadResult(lead, errLost)
	require.NoError(t, f.runAttempt(lead, 1, 0).Close())
	f.fake.Update(lead, func(e *engine.FakeEngine) { e.ControlErr = &engine.Error{Kind: engine.KindUnreachable} })
	require.Error(t, f.engines.Cancel(context.Background(), lead, "r", 1))
	require.Empty(t, f.reservedIDs())
}
