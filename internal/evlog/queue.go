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
	// queueLines bounds the lines that wait to be written; at 300 bytes a line they take 300 KB.
	queueLines = 1024
	// flushTime bounds how long the end of a process waits for a reader that has stopped reading.
	flushTime = 500 * time.Millisecond
)

// Queue writes lines behind a bounded queue, so that logging never blocks on a reader that does not read. Lines that
// find it full are left out and counted; the count is written once there is room.
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewQueue returns a queue in front of to.
func NewQueue(to io.Writer) *Queue {
	q := &Queue{to: to, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer; it never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if len(line) == 0 {
			return
		}
		_, err := q.to.Write(line)
		if n := q.dropped.Swap(0); n > 0 && err == nil {
			_, err = fmt.Fprintf(q.to, "level=WARN msg=\"lines left out\" count=%d\n", n)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "log not written:", err)
			return
		}
	}
}

// Close writes what waits, for a while.
func (q *Queue) Close() {
	q.close.Do(func() {
		select {
		case q.lines <- nil:
		default:
			return // the reader has stopped reading
		}
		select {
		case <-q.done:
		case <-time.After(flushTime):
		}
	})
}
