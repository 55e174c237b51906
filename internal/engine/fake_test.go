package engine

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a Fake whose streams end differently from those of the HTTP client.
func TestFakeStreamEndsMatchHTTP(t *testing.T) {
	f := NewFake()
	_, err := f.Start(t.Context(), "a", Request{})
	require.Equal(t, KindUnreachable, KindOf(err))
	f.Update("a", func(e *FakeEngine) {
		e.OnStart = func(Request) ([]Frame, error) {
			return []Frame{{Content: "x"}}, &Error{Kind: KindLost, Address: "a"}
		}
	})
	s, err := f.Start(t.Context(), "a", Request{ID: "r"})
	require.NoError(t, err)
	text, err := readAll(s)
	require.Equal(t, "x", text)
	require.Equal(t, KindLost, KindOf(err))
	f.Update("a", func(e *FakeEngine) { e.OnStart = func(Request) ([]Frame, error) { return nil, nil } })
	s, err = f.Start(t.Context(), "a", Request{ID: "r"})
	require.NoError(t, err)
	_, err = readAll(s)
	require.Equal(t, io.EOF, err)
	s, err = f.Start(t.Context(), "a", Request{ID: "r"})
	require.NoError(t, err)
	require.NoError(t, s.Close())
	_, err = readAll(s)
	require.Equal(t, KindCancelled, KindOf(err))
}
