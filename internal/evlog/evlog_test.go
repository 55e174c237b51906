package evlog

import (
	"bytes"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against logging a secret under one of the redacted keys.
func TestSecretsAreRedacted(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "gate-1", slog.LevelInfo, NewClock(func() time.Time { return time.UnixMicro(7) }))
	log.Info("request received", "api_key", "sk-123", "request", "r1")
	require.NotContains(t, out.String(), "sk-123")
	require.Contains(t, out.String(), "process=gate-1")
	require.Contains(t, out.String(), "request=r1 hlc=7.0")
}

// Guards against log lines of kilobytes with a stack trace in place of an error.
func TestErrorsAreLoggedInOneShortLine(t *testing.T) {
	var out bytes.Buffer
	New(&out, "p", 0, NewClock(time.Now)).Warn("failed", "err", errors.Wrap(errors.New("cause"), "call"))
	require.Contains(t, out.String(), `err="call: cause"`)
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
}

// Guards against a timeline in which an effect precedes its cause because of clock skew between hosts.
func TestClockOrdersReceiptAfterSending(t *testing.T) {
	ahead := NewClock(func() time.Time { return time.UnixMicro(5_000) })
	behind := NewClock(func() time.Time { return time.UnixMicro(10) })
	sent := ahead.Now()
	behind.Observe(sent)
	require.True(t, sent.Less(behind.Now()))
}

// Guards against one host with a wrong clock advancing the clocks of all others.
func TestClockIgnoresTimestampsFarAhead(t *testing.T) {
	clock := NewClock(func() time.Time { return time.UnixMicro(10) })
	clock.Observe(Timestamp{WallMicros: 10 + 2*maxAheadMicros})
	require.Equal(t, int64(10), clock.Now().WallMicros)
}

// Guards against a format change that would make old logs unreadable for carobctl timeline.
func TestTimestampRoundTrip(t *testing.T) {
	want := Timestamp{WallMicros: 12, Counter: 3}
	got, err := ParseTimestamp(want.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = ParseTimestamp("12")
	require.Error(t, err)
}

// Measures the processor time of one log line with the attributes of an ended request.
func BenchmarkLine(b *testing.B) {
	log := New(io.Discard, "daemon", slog.LevelInfo, NewClock(time.Now))
	for b.Loop() {
		log.Info(MessageEnded, KeyRequest, "r", "route", "a", "service", "s", "status", 200, "reason", "", "server", "e",
			"sends", 1, "first_ms", 10, "limit_ms", 100, "ms", 20, "config", 3)
	}
}
