package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/gatecore"
)

const second = time.Second

// longAnswer returns a very long answer with large tokens, so that writes to a caller that does not read soon block.
func longAnswer(call EngineCall) ([]FakeStep, error) {
	steps := make([]FakeStep, 4096)
	for i := range steps {
		steps[i].Event = EngineEvent{Attempt: call.Attempt, Offset: i, Text: strings.Repeat("x", 4096)}
	}
	return steps, nil
}

// sendStreamedUnread sends a streamed request on a raw connection and does not read the answer.
func (f *fixture) sendStreamedUnread(headers string) net.Conn {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(f.t, err)
	require.NoError(f.t, conn.(*net.TCPConn).SetReadBuffer(4096))
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " + testKey + "\r\n" + headers
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(streamedBody), streamedBody)
	require.NoError(f.t, err)
	return conn
}

func (f *fixture) requireOpenRequests(n int, within time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.gate.OpenRequests() == n }, within, 2*time.Millisecond)
}

// Guards against a caller that does not read and so occupies its engine for longer than the write timeout.
func TestSlowCallerIsDisconnected(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = longAnswer
		f.sendBufferBytes = 4096 // each write that fits starts the timeout anew, and default buffers hold megabytes
	})
	f.gate.writeTimeout = 300 * time.Millisecond
	conn := f.sendStreamedUnread("")
	defer func() { _ = conn.Close() }()
	f.requireOpenRequests(1, second)
	f.requireOpenRequests(0, 3*second)
	require.Eventually(t, func() bool { _, cancels := f.engines.Calls(); return len(cancels) == 1 }, second, time.Millisecond)
}

// Guards against a deadline that is not enforced while a caller does not read.
func TestDeadlineAppliesToSlowCaller(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engines.Script = longAnswer })
	conn := f.sendStreamedUnread("X-Carobstile-Deadline-Ms: 400\r\n")
	defer func() { _ = conn.Close() }()
	f.requireOpenRequests(1, second)
	start := time.Now()
	f.requireOpenRequests(0, second)
	require.Less(t, time.Since(start), 700*time.Millisecond)
	_, held, _ := f.grants.Released()
	require.Zero(t, held)
}

// Guards against an output buffer that grows while the caller does not read.
func TestOutputBufferIsBounded(t *testing.T) {
	maxBuffered := 0
	f := newFixture(t, func(f *fixture) { f.engines.Script = longAnswer })
	// The buffer stays full until this timeout. With 300 ms the sampling below missed the full buffer on a busy machine.
	f.gate.writeTimeout = 2 * time.Second
	conn := f.sendStreamedUnread("")
	defer func() { _ = conn.Close() }()
	f.requireOpenRequests(1, second)
	for f.gate.OpenRequests() > 0 {
		f.gate.mu.Lock()
		for _, active := range f.gate.activeRequests {
			active.output.mu.Lock()
			maxBuffered = max(maxBuffered, len(active.output.tokens))
			active.output.mu.Unlock()
		}
		f.gate.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, maxBufferedTokens, maxBuffered)
}

// Guards against work that continues for a caller that has disconnected, here during its answer.
func TestCallerDisconnectReleasesResources(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			return append(FakeAnswer(call, 1)[:1], FakeStep{Hang: true}), nil
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := http.DefaultClient.Do(f.request(http.MethodPost, "/v1/chat/completions", streamedBody).WithContext(ctx))
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	f.requireOpenRequests(0, second)
	require.Eventually(t, func() bool { _, cancels := f.engines.Calls(); return len(cancels) == 1 }, second, time.Millisecond)
}

// Guards against dead connections of waiting callers that go undetected: a comment line must be sent before the first
// token.
func TestWaitingCallerGetsHeartbeats(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			return append([]FakeStep{{Delay: 300 * time.Millisecond, Event: EngineEvent{Heartbeat: true}}}, FakeAnswer(call, 1)...), nil
		}
	})
	f.gate.heartbeatInterval = 50 * time.Millisecond
	_, body := f.chat(streamedBody)
	require.True(t, strings.HasPrefix(string(body), sseHeartbeat), string(body))
	require.Contains(t, string(body), "[DONE]")
}

// Guards against a shutdown that aborts an open stream or accepts a new request.
func TestShutdownFinishesOpenStreams(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			steps := FakeAnswer(call, 5)
			steps[3].Delay = 300 * time.Millisecond
			return steps, nil
		}
	})
	require.True(t, f.gate.Ready())
	answer := make(chan string)
	go func() {
		_, body := f.chat(streamedBody)
		answer <- string(body)
	}()
	f.requireOpenRequests(1, second)
	stopped := make(chan error)
	go func() { stopped <- f.gate.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return !f.gate.Ready() }, second, time.Millisecond)
	resp, body := f.chat(nonStreamedBody)
	requireError(t, resp, body, 503, "shutting_down", "not_run")
	require.Contains(t, <-answer, "[DONE]")
	require.NoError(t, <-stopped)
}

// Guards against a shutdown that hangs, or leaves grants held, when a request does not end in time.
func TestShutdownAbortsOpenRequests(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(EngineCall) ([]FakeStep, error) { return []FakeStep{{Hang: true}}, nil }
	})
	conn := f.sendStreamedUnread("")
	defer func() { _ = conn.Close() }()
	f.requireOpenRequests(1, second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, f.gate.Shutdown(ctx), context.DeadlineExceeded)
	require.Zero(t, f.gate.OpenRequests())
	_, cancels := f.engines.Calls()
	require.Equal(t, []int{1}, cancels)
}

// Guards against open requests that a gate ends at its shutdown with a closed connection and no word on whether they have run.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(EngineCall) ([]FakeStep, error) { return []FakeStep{{Hang: true}}, nil }
	})
	answers := make(chan string, 2)
	for _, body := range []string{nonStreamedBody, streamedBody} {
		go func() {
			_, text := f.chat(body)
			answers <- string(text)
		}()
	}
	f.requireOpenRequests(2, second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, f.gate.Shutdown(ctx), context.DeadlineExceeded)
	for range 2 {
		select {
		case got := <-answers:
			require.Contains(t, got, `"code":"shutting_down"`)
			require.Contains(t, got, `"run":"`)
		case <-time.After(5 * time.Second):
			require.Fail(t, "a caller has no answer")
		}
	}
}

// Guards against a caller that occupies a handler beyond its deadline by sending its body slowly.
func TestSlowBodyIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\n"+
		"X-Carobstile-Deadline-Ms: 150\r\nContent-Length: 100\r\n\r\n{", testKey)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	requireError(t, resp, body, 408, "deadline_passed", "not_run")
}

// Guards against a workspace that has more open requests at a gate than its limit.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.doc.Workspaces[0].MaxConcurrent = 1
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			steps := FakeAnswer(call, 1)
			steps[0].Delay = 200 * time.Millisecond
			return steps, nil
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.chat(nonStreamedBody)
	}()
	f.requireOpenRequests(1, second)
	resp, body := f.chat(nonStreamedBody)
	requireError(t, resp, body, 429, "overloaded", "not_run")
	<-done
}

// Guards against a deadline that is not passed to the engine or not enforced during the stream, and against a wrong
// error when no engine accepts a connection.
func TestDeadlines(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) { return []FakeStep{{Hang: true}}, nil }
	})
	resp, body := f.chat(nonStreamedBody, headerDeadline, "150")
	requireError(t, resp, body, 504, "deadline_exceeded", "run")
	calls, _ := f.engines.Calls()
	require.LessOrEqual(t, calls[0].Deadline, 150*time.Millisecond)
	f.engines.Script = func(EngineCall) ([]FakeStep, error) { return nil, &EngineError{Cause: gatecore.CauseConnectFailed} }
	resp, body = f.chat(nonStreamedBody)
	requireError(t, resp, body, 503, "no_backend_server", "not_run")
}

// Guards against a gate that reports ready before it has a configuration.
func TestGateWithoutConfigurationIsNotReady(t *testing.T) {
	g := New(Options{Config: func() *config.Index { return nil }})
	require.False(t, g.Ready())
	require.NoError(t, g.Shutdown(context.Background()))
}

// Guards against listing models that the caller may not use.
func TestModelsListsOnlyPermittedModels(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.doc.Models = append(f.doc.Models, config.Model{Name: "m2", Version: "1"})
	})
	_, body := f.do(f.request(http.MethodGet, "/v1/models", ""))
	require.JSONEq(t, `{"object":"list","data":[{"id":"m1","object":"model","owned_by":"carobstile"}]}`, string(body))
}
