package gate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
)

// withServers makes routes "status" (idempotent) and "sign-off" over servers at the given addresses: s0, s1, ...
func withServers(addresses ...string) func(*fixture) {
	return func(f *fixture) {
		status := config.Route{Name: "status", Idempotent: true}
		for i, address := range addresses {
			name := fmt.Sprintf("s%d", i)
			status.BackendServers = append(status.BackendServers, name)
			f.doc.BackendServers = append(f.doc.BackendServers, config.BackendServer{
				Name: name, Address: address, Kind: config.KindService,
			})
		}
		signOff := status
		signOff.Name, signOff.Idempotent = "sign-off", false
		f.doc.Routes = []config.Route{status, signOff}
	}
}

func (f *fixture) service(path, body string, headers ...string) (*http.Response, []byte) {
	return f.do(f.request(http.MethodPost, "/services/"+path, body, headers...))
}

// backend is a test server that counts its requests.
type backend struct {
	*httptest.Server
	hits atomic.Int64
}

func newBackend(t *testing.T, h http.HandlerFunc) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.hits.Add(1)
		h(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) address() string { return b.Listener.Addr().String() }

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Answer", "yes")
	w.Header().Set("Keep-Alive", "timeout=5")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.Copy(w, r.Body)
}

// deadAddress is an address where nothing listens.
func deadAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// acceptAndClose is a server that reads a request and closes the connection without an answer.
func acceptAndClose(t *testing.T) (address string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 1024)
			if n, _ := conn.Read(buf); n > 0 {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), requests
}

// Guards against lost parts of a call, and against a bearer key or connection headers that reach a backend server.
func TestCallIsForwarded(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	var uri, host string
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen, uri, host = r.Header.Clone(), r.RequestURI, r.Host
		mu.Unlock()
		echo(w, r)
	})
	for _, route := range []string{"status", "sign-off"} {
		f := newFixture(t, withServers(b.address()))
		large := strings.Repeat("x", 1<<20)
		resp, body := f.service(route+"/a%2Fb/c?q=1&r=%20", large, "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
		require.Equal(t, http.StatusCreated, resp.StatusCode)
		require.Equal(t, large, string(body))
		require.Equal(t, "yes", resp.Header.Get("X-Answer"))
		require.Empty(t, resp.Header.Get("Keep-Alive"))
		mu.Lock()
		require.Equal(t, "/a%2Fb/c?q=1&r=%20", uri)
		require.Equal(t, b.address(), host)
		require.Equal(t, "2", seen.Get("X-Kept"))
		require.NotEmpty(t, seen.Get("X-Request-Id"))
		require.Empty(t, seen.Get("Authorization"))
		require.Empty(t, seen.Get("X-Hop"))
		require.NotContains(t, seen.Get("Connection"), "X-Hop") // the gate's own connection may be closed
		mu.Unlock()
	}
}

// Guards against calls of routes that do not exist or that the caller may not use, and bodies over the bound.
func TestFaultyCallsAreRefused(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusCreated)
	})
	f := newFixture(t, func(f *fixture) {
		withServers(b.address())(f)
		f.doc.Limits.MaxBodyBytes = 128 << 10
		f.doc.Routes = append(f.doc.Routes, config.Route{Name: "other"})
	})
	for _, path := range []string{"other/x", "none/x"} {
		resp, body := f.service(path, "")
		requireError(t, resp, body, 404, "route_not_found", "not_run")
	}
	for _, route := range []string{"status", "sign-off"} {
		resp, body := f.service(route+"/x", strings.Repeat("x", 129<<10))
		requireError(t, resp, body, 413, "too_large", "not_run")
	}
	require.Zero(t, b.hits.Load())
	req := f.request(http.MethodPost, "/services/status/x", "")
	req.Body = io.NopCloser(bytes.NewReader(make([]byte, 1<<20))) // without a length the bound is met on the way
	req.ContentLength = -1
	resp, body := f.do(req)
	requireError(t, resp, body, 400, "invalid_request", "unknown")
}

// Guards against an idempotent call that fails although another server would answer, and against asking a server that
// refuses connections first again and again.
func TestIdempotentCallGoesToAnotherServer(t *testing.T) {
	b := newBackend(t, echo)
	broken, requests := acceptAndClose(t)
	f := newFixture(t, withServers(broken, b.address()))
	for range 2 {
		resp, _ := f.service("status/x", "body")
		require.Equal(t, http.StatusCreated, resp.StatusCode)
	}
	require.EqualValues(t, 1, requests.Load())

	f = newFixture(t, withServers(b.address(), deadAddress(t)))
	for range 8 {
		resp, _ := f.service("status/x", "body")
		require.Equal(t, http.StatusCreated, resp.StatusCode)
	}
	require.True(t, f.gate.route.isRefusing("s1", f.gate.now()))
}

// Guards against a second dispatch by net/http: its Transport sends a request with an Idempotency-Key again when a
// reused connection breaks, which the first part shows on a plain client; the gate sends it once.
func TestCallThatRunsOnceIsNotReplayed(t *testing.T) {
	var requests atomic.Int64
	flaky := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if n := requests.Add(1); n == 2 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		echo(w, r)
	})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, flaky.URL, strings.NewReader("x"))
		require.NoError(t, err)
		req.Header.Set(headerIdempotencyKey, "k")
		resp, err := client.Do(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	require.EqualValues(t, 3, requests.Load(), "net/http no longer replays; the one connection per call may be needless")

	broken, received := acceptAndClose(t)
	f := newFixture(t, withServers(broken))
	for range 3 {
		resp, body := f.service("sign-off/x", "body", headerIdempotencyKey, "k")
		requireError(t, resp, body, 504, "outcome_unknown", "unknown")
	}
	require.EqualValues(t, 1, received.Load())
	require.Zero(t, f.claims.Released())
}

// Guards against a call that net/http sends again when the connection of an earlier call breaks under it.
func TestCallThatRunsOnceUsesNoEarlierConnection(t *testing.T) {
	var requests atomic.Int64
	flaky := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) != 2 {
			echo(w, r)
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	})
	f := newFixture(t, withServers(flaky.address()))
	first, _ := f.service("sign-off/x", "one", headerIdempotencyKey, "k1")
	require.Equal(t, http.StatusCreated, first.StatusCode)
	resp, body := f.service("sign-off/x", "two", headerIdempotencyKey, "k2")
	requireError(t, resp, body, 504, "outcome_unknown", "unknown")
	require.EqualValues(t, 2, requests.Load())
}

// Guards against a repeat that runs again, answers otherwise, or hides that the key was used for another call.
func TestRepeatedKey(t *testing.T) {
	b := newBackend(t, echo)
	f := newFixture(t, withServers(b.address()))
	first, body := f.service("sign-off/x", "body", headerIdempotencyKey, "k")
	require.Equal(t, http.StatusCreated, first.StatusCode)
	require.Eventually(t, func() bool { return f.gate.OpenStreams() == 0 }, second, time.Millisecond)
	require.Eventually(t, func() bool {
		f.claims.mu.Lock()
		defer f.claims.mu.Unlock()
		return f.claims.claims["trust/k"].outcome != nil
	}, second, time.Millisecond)
	again, repeated := f.service("sign-off/x", "body", headerIdempotencyKey, "k")
	require.Equal(t, first.StatusCode, again.StatusCode)
	require.Equal(t, body, repeated)
	require.Equal(t, "yes", again.Header.Get("X-Answer"))
	resp, body := f.service("sign-off/y", "body", headerIdempotencyKey, "k")
	requireError(t, resp, body, 422, "key_reused", "not_run")
	require.EqualValues(t, 1, b.hits.Load())
	f.service("sign-off/x", "body")
	f.service("sign-off/x", "body")
	require.EqualValues(t, 3, b.hits.Load(), "calls without a key are calls of their own")
}

// Guards against a dispatch without a valid claim, and against a claim that stays when nothing was sent.
func TestCallsWithoutDispatch(t *testing.T) {
	b := newBackend(t, echo)
	f := newFixture(t, withServers(b.address()))
	f.claims.Out = true
	resp, body := f.service("sign-off/x", "body")
	requireError(t, resp, body, 503, "platform_unavailable", "not_run")

	f = newFixture(t, withServers(b.address()))
	f.claims.Window = -time.Second
	resp, body = f.service("sign-off/x", "body", headerIdempotencyKey, "k")
	requireError(t, resp, body, 503, "platform_unavailable", "not_run")
	require.Eventually(t, func() bool { return f.claims.Released() == 1 }, second, time.Millisecond)

	f = newFixture(t, withServers(deadAddress(t)))
	resp, body = f.service("sign-off/x", "body", headerIdempotencyKey, "k")
	requireError(t, resp, body, 503, "no_backend_server", "not_run")
	require.Eventually(t, func() bool { return f.claims.Released() == 1 }, second, time.Millisecond)

	f = newFixture(t, func(f *fixture) {
		withServers(b.address())(f)
		f.doc.BackendServers[0].Drained = true
	})
	for _, route := range []string{"status", "sign-off"} {
		resp, body = f.service(route+"/x", "body")
		requireError(t, resp, body, 503, "no_backend_server", "not_run")
	}
	require.Zero(t, b.hits.Load())
}

// Guards against believing a refusal of a server whose refusals prove nothing, and against hiding one that does.
func TestRefusalsOfServers(t *testing.T) {
	const refusal = `{"error":{"code":"busy","run":"not_run"}}`
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(refusal))
	})
	f := newFixture(t, withServers(b.address()))
	resp, body := f.service("sign-off/x", "body")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, refusal, string(body), "an answer as any other")
	require.Zero(t, f.claims.Released())

	f = newFixture(t, func(f *fixture) {
		withServers(b.address())(f)
		f.doc.BackendServers[0].TrustworthyRefusals = true
	})
	resp, body = f.service("sign-off/x", "body")
	requireError(t, resp, body, 429, "overloaded", "not_run")
	require.Eventually(t, func() bool { return f.claims.Released() == 1 }, second, time.Millisecond)
}

// Guards against following a redirect, which would send the call a second time.
func TestRedirectIsAnAnswer(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})
	f := newFixture(t, withServers(b.address()))
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(f.request(http.MethodPost, "/services/sign-off/x", "body"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
	require.EqualValues(t, 1, b.hits.Load())
}

// Guards against an answer that breaks off and looks complete.
func TestBrokenAnswerIsCutOff(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newFixture(t, withServers(b.address()))
	resp, err := http.DefaultClient.Do(f.request(http.MethodPost, "/services/status/x", "body"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_ = resp.Body.Close()
}

// Guards against an outcome that is lost because the caller left while the call ran.
func TestOutcomeIsRecordedWhenTheCallerLeaves(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	f := newFixture(t, withServers(b.address()))
	ctx, cancel := context.WithCancel(context.Background())
	req := f.request(http.MethodPost, "/services/sign-off/x", "body", headerIdempotencyKey, "k").WithContext(ctx)
	go func() {
		for b.hits.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := http.DefaultClient.Do(req)
	require.Error(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	f.eventuallyOpen(0, second)
	require.Eventually(t, func() bool {
		resp, body := f.service("sign-off/x", "body", headerIdempotencyKey, "k")
		return resp.StatusCode == http.StatusCreated && string(body) == "body"
	}, second, 5*time.Millisecond)
	require.EqualValues(t, 1, b.hits.Load())
}

// Guards against a call that runs past its route's timeout.
func TestRouteTimeout(t *testing.T) {
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after the body
		<-r.Context().Done()
	})
	for route, run := range map[string]string{"status": "unknown", "sign-off": "unknown"} {
		f := newFixture(t, func(f *fixture) {
			withServers(b.address())(f)
			f.doc.Routes[0].TimeoutMs, f.doc.Routes[1].TimeoutMs = 100, 100
		})
		resp, body := f.service(route+"/x", "body")
		requireError(t, resp, body, 504, "deadline_exceeded", run)
	}
}

// Guards against a byte that is sent after the claim lapsed or after the gate has called the request not run.
func TestOnceConnSendsOnlyUnderAValidClaim(t *testing.T) {
	valid := false
	newConn := func() *onceConn {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return &onceConn{Conn: near, valid: func() bool { return valid }}
	}
	c := newConn()
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errNotSent)
	require.Equal(t, onceLapsed, c.shut())

	valid = true
	c = newConn()
	require.Equal(t, onceUnused, c.shut())
	_, err = c.Write([]byte("x"))
	require.ErrorIs(t, err, errNotSent)

	c = newConn()
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	valid = false // the window is that of the dispatch, not of the whole call
	_, err = c.Write([]byte("y"))
	require.NoError(t, err)
	require.Equal(t, onceBegun, c.shut())
}
