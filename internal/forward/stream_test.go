package forward

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/upstream"
)

// repeatReader repeats a text without end.
type repeatReader struct{ text string }

func (r repeatReader) Read(p []byte) (int, error) {
	n := 0
	for n+len(r.text) <= len(p) {
		n += copy(p[n:], r.text)
	}
	return n, nil
}

// Guards against an event that never ends, as one line or as many short ones, and fills the memory.
func TestEventSizeIsBounded(t *testing.T) {
	for _, text := range []string{"x", "data: x\n"} {
		event, err := readEvent(bufio.NewReaderSize(repeatReader{text}, streamBufferBytes))
		require.True(t, errors.Is(err, upstream.ErrInvalidResponse), "%v", err)
		require.Empty(t, event)
	}
	large := "data: " + strings.Repeat("x", maxEventBytes/2) + "\n\n"
	event, err := readEvent(bufio.NewReaderSize(strings.NewReader(large), streamBufferBytes))
	require.NoError(t, err)
	require.Equal(t, large, string(event))
}

// FuzzReadEvent checks that events are whole, and that nothing of a stream is lost between them.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxEventBytes {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), streamBufferBytes)
		var got []byte
		for {
			event, err := readEvent(r)
			got = append(got, event...)
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			require.True(t, bytes.HasSuffix(event, []byte("\n")))
			require.NotContains(t, eventID(event), "\n")
		}
		require.Equal(t, string(data), string(got))
	})
}
