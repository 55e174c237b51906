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
	// maxLineBytes bounds a line; a longer one is broken and passed over, so that a damaged file cannot exhaust memory.
	maxLineBytes = 1 << 20
	// reorderEvents is how many matching events of one file are held back to put them in order. Goroutines of one
	// process take their clock reading before they write, so that neighbouring lines may be swapped.
	reorderEvents = 256
	// maxProblems bounds the problems that are kept; all are counted.
	maxProblems = 20
)

// Source is one log file.
type Source struct {
	Name   string
	Reader io.Reader
}

// Query selects events. An event matches if any of the set fields matches; an empty query matches all events.
type Query struct {
	// Request is a request id.
	Request string
	// Object is "<kind>/<name>" of a platform object, or the name of a process, backend server, pool or member.
	Object string
}

// objectKeys are the attributes that Query.Object is compared with.
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

// Problem is a line that could not be read.
type Problem struct {
	Source  string `json:"source"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Stats tells what was read.
type Stats struct {
	Lines   int `json:"lines"`
	Matched int `json:"matched"`
	Broken  int `json:"broken"`
	// OutOfOrder counts events that were further out of order than the merge holds back.
	OutOfOrder int `json:"outOfOrder"`
	// Problems are the first broken lines.
	Problems []Problem `json:"problems,omitempty"`
}

func (s *Stats) problem(source string, line int, message string) {
	s.Broken++
	if len(s.Problems) < maxProblems {
		s.Problems = append(s.Problems, Problem{Source: source, Line: line, Message: message})
	}
}

// Merge calls emit with the matching events of all sources in the order of their hybrid logical clocks; ties are
// ordered by source and line. It holds at most reorderEvents events of each source in memory. Broken lines and sources
// that fail are counted and passed over; only an error of emit ends the merge.
func Merge(sources []Source, query Query, emit func(Event) error) (Stats, error) {
	stats := Stats{}
	var next fronts
	for i, s := range sources {
		r := &reader{index: i, name: s.Name, in: bufio.NewReader(s.Reader), query: query, stats: &stats}
		r.fill()
		if len(r.held) > 0 {
			next = append(next, r)
		}
	}
	heap.Init(&next)
	var last evlog.Timestamp
	for len(next) > 0 {
		r := next[0]
		e := heap.Pop(&r.held).(Event)
		r.fill()
		if len(r.held) == 0 {
			heap.Pop(&next)
		} else {
			heap.Fix(&next, 0)
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

// reader holds the next matching events of one source.
type reader struct {
	index int
	name  string
	in    *bufio.Reader
	query Query
	stats *Stats
	line  int
	ended bool
	held  events
}

// fill reads until enough matching events are held or the source ends.
func (r *reader) fill() {
	for !r.ended && len(r.held) < reorderEvents {
		text, tooLong, err := r.readLine()
		if text != "" || tooLong {
			r.take(text, tooLong)
		}
		if err == nil {
			continue
		}
		r.ended = true
		if err != io.EOF {
			r.stats.problem(r.name, r.line, "read: "+err.Error())
		}
	}
}

func (r *reader) take(text string, tooLong bool) {
	r.line++
	r.stats.Lines++
	if tooLong {
		r.stats.problem(r.name, r.line, "the line is too long")
		return
	}
	if strings.TrimSpace(text) == "" {
		return
	}
	e, err := parseLine(text)
	if err != nil {
		r.stats.problem(r.name, r.line, err.Error())
		return
	}
	e.Source, e.Line = r.name, r.line
	if r.query.matches(&e) {
		heap.Push(&r.held, e)
	}
}

// readLine returns the next line with its end. Of a line over the limit it returns nothing.
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

// events is a heap by clock and line.
type events []Event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(Event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (h events) Less(i, j int) bool {
	if h[i].HLC != h[j].HLC {
		return h[i].HLC.Less(h[j].HLC)
	}
	return h[i].Line < h[j].Line
}

// fronts is a heap of readers by their first event.
type fronts []*reader

func (h fronts) Len() int      { return len(h) }
func (h fronts) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fronts) Push(x any)   { *h = append(*h, x.(*reader)) }
func (h *fronts) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

func (h fronts) Less(i, j int) bool {
	a, b := h[i].held[0], h[j].held[0]
	if a.HLC != b.HLC {
		return a.HLC.Less(b.HLC)
	}
	return h[i].index < h[j].index
}
