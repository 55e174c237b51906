package timeline

import (
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/cockroachdb/errors"
)

// Attr is one key=value pair of a log line.
type Attr struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Event is one log line.
type Event struct {
	HLC     evlog.Timestamp `json:"-"`
	Process string          `json:"process"`
	Level   string          `json:"level"`
	Message string          `json:"message"`
	// Attrs are the other pairs, in the order of the line.
	Attrs []Attr `json:"attrs,omitempty"`
	// Source and Line say where the event was read.
	Source string `json:"source"`
	Line   int    `json:"line"`
}

// Attr returns the value of a key.
func (e *Event) Attr(key string) (string, bool) {
	for _, a := range e.Attrs {
		if a.Key == key {
			return a.Value, true
		}
	}
	return "", false
}

// Keys that log/slog writes by itself.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "msg"
)

// parseLine reads one line of an event log, with or without what a collector of logs puts before it. A line without a
// hybrid logical clock cannot be placed and is an error.
func parseLine(line string) (Event, error) {
	var e Event
	hasClock := false
	for rest := withoutPrefix(strings.TrimSpace(line)); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, tail, err := token(rest, "= ")
		if err != nil || !strings.HasPrefix(tail, "=") {
			return Event{}, errors.Newf("expected key=value at %q", excerpt(rest))
		}
		value, tail, err := token(tail[1:], " ")
		if err != nil {
			return Event{}, errors.Newf("unfinished value of %s", excerpt(key))
		}
		rest = tail
		switch key {
		case evlog.KeyHLC:
			if e.HLC, err = evlog.ParseTimestamp(value); err != nil {
				return Event{}, err
			}
			hasClock = true
		default:
			e.set(key, value)
		}
	}
	if !hasClock {
		return Event{}, errors.Newf("no %s", evlog.KeyHLC)
	}
	return e, nil
}

// withoutPrefix drops words that a collector put before the first pair, such as a time and the name of a host.
func withoutPrefix(line string) string {
	prefix, _, found := strings.Cut(line, " "+keyTime+"=")
	if !found || strings.ContainsAny(prefix, `="`) {
		return line
	}
	return line[len(prefix)+1:]
}

func (e *Event) set(key, value string) {
	switch key {
	case keyTime: // the hybrid logical clock holds the time
	case keyLevel:
		e.Level = value
	case keyMessage:
		e.Message = value
	case evlog.KeyProcess:
		e.Process = value
	default:
		e.Attrs = append(e.Attrs, Attr{Key: key, Value: value})
	}
}

// token reads a plain or quoted token that ends before one of the stop bytes.
func token(s, stop string) (value, rest string, err error) {
	if !strings.HasPrefix(s, `"`) {
		end := strings.IndexAny(s, stop)
		if end < 0 {
			end = len(s)
		}
		return s[:end], s[end:], nil
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", err
	}
	value, err = strconv.Unquote(quoted)
	return value, s[len(quoted):], err
}

const excerptBytes = 40

func excerpt(s string) string {
	if len(s) > excerptBytes {
		return s[:excerptBytes]
	}
	return s
}
