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

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *stuckWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a process that stands still, or grows without bound, because nobody reads its log, and against lines
// that are left out without a word.
func TestLoggingNeverBlocks(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	q := NewQueue(w)
	log := New(q, "edge-1", slog.LevelInfo, NewClock(time.Now))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			log.Info("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	q.Close() // gives up while the reader is stuck
	close(w.release)
	require.Eventually(t, func() bool {
		return strings.Contains(w.String(), `msg="lines left out" count=`)
	}, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, strings.Count(w.String(), "msg=event"), queueLines+1)
}

// Guards against the last lines of a process that are lost at its end.
func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	log := New(q, "edge-1", slog.LevelInfo, NewClock(time.Now))
	for range 100 {
		log.Info("event")
	}
	q.Close()
	require.Equal(t, 100, strings.Count(out.String(), "msg=event"))
}
