package evlog

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written; at 300 bytes a line they take 300 KB of memory.
	maxQueuedLines = 1024
	// flushTimeout bounds how long Close waits for the queued lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// Queue is an asynchronous writer with a bounded queue, so that logging never blocks when the reader of the log stops
// reading. Lines are dropped and counted while the queue is full; the count is logged after the next successful write.
type Queue struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of the line, or drops the line if the queue is full. It never blocks and returns no error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until it receives an empty one, which Close sends, or a write fails.
func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if len(line) == 0 {
			return
		}
		_, err := q.out.Write(line)
		if n := q.dropped.Swap(0); n > 0 && err == nil {
			_, err = fmt.Fprintf(q.out, "level=WARN msg=\"lines left out\" count=%d\n", n)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "event log stopped, write failed:", err)
			return
		}
	}
}

// Close waits until the queued lines are written, for up to flushTimeout. It returns at once if the queue is full.
func (q *Queue) Close() {
	q.closeOnce.Do(func() {
		select {
		case q.lines <- nil:
		default:
			return // full queue: the reader has stopped reading
		}
		select {
		case <-q.done:
		case <-time.After(flushTimeout):
		}
	})
}
