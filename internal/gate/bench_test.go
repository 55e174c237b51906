package gate

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newBenchFixture returns a fixture for benchmarks whose engines follow script.
func newBenchFixture(b *testing.B, script func(EngineCall) ([]FakeStep, error)) *fixture {
	return newFixture(b, func(f *fixture) { f.engines.Script = script })
}

// BenchmarkRequest measures a complete answer of one token over loopback, including the caller.
func BenchmarkRequest(b *testing.B) {
	f := newBenchFixture(b, func(call EngineCall) ([]FakeStep, error) { return FakeAnswer(call, 1), nil })
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		resp, err := http.DefaultClient.Do(f.request(http.MethodPost, "/v1/chat/completions", nonStreamedBody))
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkToken measures one token of a stream over loopback, including the caller.
func BenchmarkToken(b *testing.B) {
	f := newBenchFixture(b, func(call EngineCall) ([]FakeStep, error) { return FakeAnswer(call, 2000), nil })
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i += 2000 {
		resp, err := http.DefaultClient.Do(f.request(http.MethodPost, "/v1/chat/completions", streamedBody))
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkIdleStreams measures the memory of streams that wait for their next token: heap and stacks of the gate, the
// HTTP server and the callers' connections, but not of the engine client. The budget is 50 KB per stream.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 500
	for range b.N {
		f := newBenchFixture(b, func(call EngineCall) ([]FakeStep, error) {
			return append(FakeAnswer(call, 1)[:1], FakeStep{Hang: true}), nil
		})
		before := memoryInUse()
		conns := make([]net.Conn, streams)
		for i := range conns {
			conns[i] = f.sendStreamedUnread("")
		}
		f.requireOpenRequests(streams, 5*time.Second)
		time.Sleep(200 * time.Millisecond)
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		for _, c := range conns {
			_ = c.Close()
		}
		f.requireOpenRequests(0, 5*time.Second)
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
