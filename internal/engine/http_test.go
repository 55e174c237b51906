package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testSilence = 300 * time.Millisecond

// start serves handler and starts a request against it.
func start(t *testing.T, handler http.HandlerFunc) (Stream, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after the body is read
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	c := NewHTTP(testSilence)
	t.Cleanup(c.Close)
	return c.Start(t.Context(), server.Listener.Addr().String(), Request{ID: "r", Attempt: 2, Body: []byte("{}")})
}

// answer returns a handler that writes the given parts of an SSE body and then returns.
func answer(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, p := range parts {
			fmt.Fprint(w, p)
			w.(http.Flusher).Flush()
		}
	}
}

func chunk(offset int, content, finish string) string {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	return fmt.Sprintf("id: 2:%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		offset, content, reason)
}

// last reads until the stream ends and returns the content before it and the error.
func last(s Stream) (text string, err error) {
	for {
		f, err := s.Next()
		if err != nil {
			return text, err
		}
		text += f.Content
	}
}

// Guards against a truncated or malformed answer being taken for a complete one, and against its cause being confused.
func TestStreamEndsAreTold(t *testing.T) {
	done := "data: [DONE]\n\n"
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		kind    Kind
		text    string
	}{
		"whole":           {answer(": hb\n\n", chunk(0, "a ", ""), chunk(1, "", FinishStop), done), "", "a "},
		"truncated":       {answer(chunk(0, "a ", "")), KindLost, "a "},
		"done too early":  {answer(chunk(0, "a ", ""), done), KindProtocol, "a "},
		"no id":           {answer("data: {}\n\n"), KindProtocol, ""},
		"not SSE":         {answer("garbage\n\n"), KindProtocol, ""},
		"error event":     {answer("event: error\ndata: {\"error\":{\"code\":\"x\"}}\n\n"), KindFailed, ""},
		"no chunk":        {answer("id: 1:0\ndata: {]\n\n"), KindProtocol, ""},
		"aborted":         {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, KindLost, ""},
		"other media":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "hi") }, KindProtocol, ""},
		"refused":         {refuseWith(`{"error":{"code":"queue_full","run":"not_run"}}`), KindRefused, ""},
		"refused, ran":    {refuseWith(`{"error":{"code":"queue_full","run":"unknown"}}`), KindFailed, ""},
		"refusal is HTML": {refuseWith(`<html>`), KindProtocol, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := start(t, tc.handler)
			var text string
			if err == nil {
				defer s.Close()
				text, err = last(s)
			}
			if tc.kind == "" {
				require.Equal(t, io.EOF, err)
			} else {
				require.Equal(t, tc.kind, KindOf(err), "%v", err)
			}
			require.Equal(t, tc.text, text)
		})
	}
}

func refuseWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, body)
	}
}

// Guards against waiting forever on a connection that went silent, before or after the first byte, and against taking
// a slow engine that sends heartbeats for a silent one.
func TestSilenceIsDetected(t *testing.T) {
	s, err := start(t, func(w http.ResponseWriter, r *http.Request) {
		for range 4 {
			answer(": hb\n\n")(w, r)
			time.Sleep(testSilence * 2 / 3)
		}
		<-r.Context().Done()
	})
	require.NoError(t, err)
	beats := 0
	for err == nil {
		_, err = s.Next()
		beats++
	}
	require.Equal(t, KindSilent, KindOf(err))
	require.Equal(t, 5, beats)

	_, err = start(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	require.Equal(t, KindSilent, KindOf(err))
}

// Guards against saying "may have run" of a request that never left, which would forbid a retry.
func TestUnreachableIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = NewHTTP(0).Start(context.Background(), address, Request{ID: "r", Body: []byte("{}")})
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.NotRun(), "%v", err)
}
