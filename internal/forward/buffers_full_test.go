package forward

import (
	"bufio"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

// failureRecorder counts the failures of servers.
type failureRecorder struct {
	Scheduler
	failures int
}

func (r *failureRecorder) RecordCancellation(uint64) {}

func (r *failureRecorder) RecordFailure(string, dispatch.Fault) { r.failures++ }

// Guards against callers that do not read their answers and fill the memory for large events, by which healthy servers count as
// broken and are left out for all callers.
func TestFullBuffersAreNoFaultOfTheServer(t *testing.T) {
	scheduler := &failureRecorder{}
	h := &Handler{Scheduler: scheduler, MaxBufferedBytes: 1 << 10}
	q := &request{h: h, ctx: context.Background(), route: &routing.Route{}}
	event := "data: " + strings.Repeat("x", 2*streamBufferBytes) + "\n\n"
	_, err := readEvent(bufio.NewReaderSize(strings.NewReader(event), streamBufferBytes), q.reserveBuffer)
	require.ErrorIs(t, err, errBuffersFull)
	require.Equal(t, outcomeRetry, q.handleStreamEnd(&stallDetector{ctx: q.ctx}, dispatch.Plan{}, 1, &upstream.Response{}, streamRun{}, nil, err))

	reserved := q.bufferedBytes
	_, err = q.readAnswer(strings.NewReader(event))
	require.ErrorIs(t, err, errBuffersFull)
	require.Equal(t, reserved, q.bufferedBytes, "an answer that was given up is still counted")
	q.failAnswer(&stallDetector{ctx: t.Context()}, dispatch.Plan{}, err)
	require.Zero(t, scheduler.failures)
	require.Equal(t, errBuffersFull.Error(), q.reason)
}
