package evlog

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter blocks writes until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a process that blocks, or uses unbounded memory, because the reader of its log stops reading, and
// against dropping lines without logging their count.
func TestLoggingNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	q := NewQueue(w)
	log := New(q, "edge-1", slog.LevelInfo, NewClock(time.Now))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			log.Info("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocked for 5 s on a blocked writer")
	}
	q.Close() // returns although the writer is blocked
	close(w.release)
	require.Eventually(t, func() bool {
		return strings.Contains(w.String(), `msg="lines left out" count=`)
	}, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, strings.Count(w.String(), "msg=event"), maxQueuedLines+1)
}

// Guards against losing the last lines of a process when it exits.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	log := New(q, "edge-1", slog.LevelInfo, NewClock(time.Now))
	for range 100 {
		log.Info("event")
	}
	q.Close()
	require.Equal(t, 100, strings.Count(out.String(), "msg=event"))
}
