// Package timeline merges the event logs of all processes into one causally ordered timeline of a request or object.
package timeline

import (
	"bufio"
	"container/heap"
	"io"
	"strings"

	"github.com/carobstile/carobstile/internal/evlog"
)

const (
	// maxLineBytes bounds a line; a longer one is counted as broken and skipped, so that a damaged file cannot exhaust
	// memory.
	maxLineBytes = 1 << 20
	// reorderWindow is how many matching events of one source are buffered and sorted. Goroutines of a process read the
	// clock before they write, so that nearby lines may be out of order.
	reorderWindow = 256
	// maxProblems bounds the problems that Stats lists; all are counted.
	maxProblems = 20
)

// Source is one log file.
type Source struct {
	Name   string
	Reader io.Reader
}

// Query selects events. An event matches if any non-empty field matches; an empty query matches all events.
type Query struct {
	// Request is a request id.
	Request string
	// Object is "<kind>/<name>" of a platform object, the name of a process, or the value of another key of objectKeys, such
	// as a backend server, pool or member.
	Object string
}

// objectKeys are the keys of the attributes that Query.Object is compared with.
var objectKeys = []string{
	evlog.KeyObject, "engine", "server", "pool", "member", "gate", "model", "route", "workspace", "caller",
}

func (q Query) matches(e *Event) bool {
	if q == (Query{}) {
		return true
	}
	if request, ok := e.Attr(evlog.KeyRequest); ok && q.Request != "" && request == q.Request {
		return true
	}
	if q.Object == "" {
		return false
	}
	if e.Process == q.Object {
		return true
	}
	for _, key := range objectKeys {
		if value, ok := e.Attr(key); ok && value == q.Object {
			return true
		}
	}
	return false
}

// Problem is a line that could not be parsed, or a read error after it.
type Problem struct {
	Source  string `json:"source"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Stats counts the lines and events of a merge.
type Stats struct {
	Lines   int `json:"lines"`
	Matched int `json:"matched"`
	Broken  int `json:"broken"`
	// OutOfOrder counts events that were emitted after a later one, because they were displaced by more than reorderWindow
	// events in their source.
	OutOfOrder int `json:"outOfOrder"`
	// Problems are the first maxProblems problems.
	Problems []Problem `json:"problems,omitempty"`
}

func (s *Stats) addProblem(source string, line int, message string) {
	s.Broken++
	if len(s.Problems) < maxProblems {
		s.Problems = append(s.Problems, Problem{Source: source, Line: line, Message: message})
	}
}

// Merge calls emit with the matching events of all sources in the order of their timestamps; ties are ordered by source
// and line. It buffers at most reorderWindow events of each source. Malformed lines are counted and skipped, and a source
// is read up to its first read error, which is counted too; only an error of emit ends the merge.
func Merge(sources []Source, query Query, emit func(Event) error) (Stats, error) {
	stats := Stats{}
	var readers readerHeap
	for i, s := range sources {
		r := &reader{index: i, name: s.Name, in: bufio.NewReader(s.Reader), query: query, stats: &stats}
		r.fill()
		if len(r.pending) > 0 {
			readers = append(readers, r)
		}
	}
	heap.Init(&readers)
	var last evlog.Timestamp
	for len(readers) > 0 {
		r := readers[0]
		e := heap.Pop(&r.pending).(Event)
		r.fill()
		if len(r.pending) == 0 {
			heap.Pop(&readers)
		} else {
			heap.Fix(&readers, 0)
		}
		if e.HLC.Less(last) {
			stats.OutOfOrder++
		}
		last = e.HLC
		stats.Matched++
		if err := emit(e); err != nil {
			return stats, err
		}
	}
	return stats, nil
}

// reader reads one source and buffers its next matching events in pending.
type reader struct {
	index   int
	name    string
	in      *bufio.Reader
	query   Query
	stats   *Stats
	line    int
	ended   bool
	pending eventHeap
}

// fill reads until reorderWindow matching events are pending or the source ends.
func (r *reader) fill() {
	for !r.ended && len(r.pending) < reorderWindow {
		text, tooLong, err := r.readLine()
		if text != "" || tooLong {
			r.addLine(text, tooLong)
		}
		if err == nil {
			continue
		}
		r.ended = true
		if err != io.EOF {
			r.stats.addProblem(r.name, r.line, "read: "+err.Error())
		}
	}
}

func (r *reader) addLine(text string, tooLong bool) {
	r.line++
	r.stats.Lines++
	if tooLong {
		r.stats.addProblem(r.name, r.line, "line exceeds the maximum length")
		return
	}
	if strings.TrimSpace(text) == "" {
		return
	}
	e, err := parseLine(text)
	if err != nil {
		r.stats.addProblem(r.name, r.line, err.Error())
		return
	}
	e.Source, e.Line = r.name, r.line
	if r.query.matches(&e) {
		heap.Push(&r.pending, e)
	}
}

// readLine returns the next line with its line end. For a line longer than maxLineBytes it returns "" and sets tooLong.
func (r *reader) readLine() (text string, tooLong bool, err error) {
	var line []byte
	for {
		part, err := r.in.ReadSlice('\n')
		if !tooLong && len(line)+len(part) <= maxLineBytes {
			line = append(line, part...)
		} else {
			tooLong, line = true, nil
		}
		if err != bufio.ErrBufferFull {
			return string(line), tooLong, err
		}
	}
}

// eventHeap is a min-heap of the events of one source, ordered by timestamp and line.
type eventHeap []Event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(Event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (h eventHeap) Less(i, j int) bool {
	if h[i].HLC != h[j].HLC {
		return h[i].HLC.Less(h[j].HLC)
	}
	return h[i].Line < h[j].Line
}

// readerHeap is a min-heap of readers with pending events, ordered by the timestamp of the first one and by source.
type readerHeap []*reader

func (h readerHeap) Len() int      { return len(h) }
func (h readerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *readerHeap) Push(x any)   { *h = append(*h, x.(*reader)) }
func (h *readerHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

func (h readerHeap) Less(i, j int) bool {
	a, b := h[i].pending[0], h[j].pending[0]
	if a.HLC != b.HLC {
		return a.HLC.Less(b.HLC)
	}
	return h[i].index < h[j].index
}
