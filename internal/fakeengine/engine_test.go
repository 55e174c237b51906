package fakeengine

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
)

// Guards against an answer that differs from the exported function, which all end-to-end checks rely on.
func TestAnswerIsDeterministic(t *testing.T) {
	e := New(Settings{TimeScale: 100, Models: []engine.LoadedModel{{Name: "m", Version: "v1"}}})
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()
	body, err := json.Marshal(engine.ChatRequest{
		Model: "m", MaxTokens: 20, Messages: []engine.Message{{Role: "user", Content: "a question"}},
	})
	require.NoError(t, err)
	c := engine.NewHTTP(0)
	defer c.Close()
	s, err := c.Start(t.Context(), server.Listener.Addr().String(), engine.Request{
		ID: "r1", Attempt: 1, Seed: 7, ResumeFrom: 5, Body: body,
	})
	require.NoError(t, err)
	defer s.Close()
	var text string
	next := 5
	for {
		f, err := s.Next()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		if f.Heartbeat || f.Done {
			continue
		}
		require.Equal(t, next, f.Offset)
		next++
		text += f.Content
	}
	require.Equal(t, NewAnswer("a question", "m", "v1", 7).Text(5, 20), text)
}
