package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gate whose memory grows with every large body until it is killed with all its streams, and against
// one that refuses short requests, or goes on refusing, because large bodies were held.
func TestLargeBodiesAreBounded(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.doc.Models[0].MaxPromptTokens = 1_000_000
		f.doc.Limits.MaxBodyBytes = 120_000
		f.maxOpenBodyBytes = 250_000
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			if len(call.Body) < smallBodyBytes {
				return FakeAnswer(call, 2), nil
			}
			return append(FakeAnswer(call, 1)[:1], FakeStep{Hang: true}), nil
		}
	})
	large := `{"model":"m1","stream":true,"messages":[{"content":"` + strings.Repeat("x", 100_000) + `"}]}`
	first, second := f.dialBody(large), f.dialBody(large)
	f.eventuallyOpen(2, 5*time.Second)
	for _, body := range []io.Reader{strings.NewReader(large), io.MultiReader(strings.NewReader(large))} {
		req := f.request(http.MethodPost, "/v1/chat/completions", "")
		sized, err := http.NewRequest(req.Method, req.URL.String(), body) // the second reader has no known length
		require.NoError(t, err)
		sized.Header = req.Header
		resp, answer := f.do(sized)
		requireError(t, resp, answer, http.StatusTooManyRequests, "overloaded", "not_run")
	}
	resp, body := f.chat(wholeBody)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	resp, body = f.chat(strings.Replace(large, "m1", "m2", 1))
	require.NotEqual(t, http.StatusOK, resp.StatusCode, string(body))
	_, _ = first.Close(), second.Close()
	f.eventuallyOpen(0, 5*time.Second)
	require.Zero(t, f.gate.bodies.used.Load())
	resp, body = f.chat(strings.Replace(large, "m1", "m2", 1))
	requireError(t, resp, body, http.StatusNotFound, "model_not_found", "not_run")
	require.Zero(t, f.gate.bodies.used.Load(), "a refused body is still counted")
	next := f.dialBody(large)
	f.eventuallyOpen(1, 5*time.Second)
	_ = next.Close()
	f.eventuallyOpen(0, 5*time.Second)
}

// dialBody sends a chat request whose answer is not read.
func (f *fixture) dialBody(body string) net.Conn {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(f.t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(f.t, err)
	return conn
}
