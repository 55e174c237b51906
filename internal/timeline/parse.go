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
	// Attrs are the remaining key=value pairs in the order of the line.
	Attrs []Attr `json:"attrs,omitempty"`
	// Source is the name of the log file and Line the line number, from 1.
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

// Keys that log/slog adds to every line.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "msg"
)

// parseLine parses one line of an event log, with or without the prefix of a log collector. A line without a hybrid
// logical clock timestamp cannot be ordered and is an error.
func parseLine(line string) (Event, error) {
	var e Event
	hasClock := false
	for rest := trimCollectorPrefix(strings.TrimSpace(line)); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, tail, err := readToken(rest, "= ")
		if err != nil || !strings.HasPrefix(tail, "=") {
			return Event{}, errors.Newf("expected key=value at %q", excerpt(rest))
		}
		value, tail, err := readToken(tail[1:], " ")
		if err != nil {
			return Event{}, errors.Newf("invalid quoted value of key %s", excerpt(key))
		}
		rest = tail
		switch key {
		case evlog.KeyHLC:
			if e.HLC, err = evlog.ParseTimestamp(value); err != nil {
				return Event{}, err
			}
			hasClock = true
		default:
			e.setField(key, value)
		}
	}
	if !hasClock {
		return Event{}, errors.Newf("line has no key %s", evlog.KeyHLC)
	}
	return e, nil
}

// trimCollectorPrefix removes what a log collector put before the first key=value pair, such as a time and a host name.
func trimCollectorPrefix(line string) string {
	prefix, _, found := strings.Cut(line, " "+keyTime+"=")
	if !found || strings.ContainsAny(prefix, `="`) {
		return line
	}
	return line[len(prefix)+1:]
}

func (e *Event) setField(key, value string) {
	switch key {
	case keyTime: // the hybrid logical clock contains the time
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

// readToken reads an unquoted token up to one of the stop bytes, or a quoted token.
func readToken(s, stop string) (value, rest string, err error) {
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

// excerpt returns at most the first excerptBytes bytes of s, for error messages.
func excerpt(s string) string {
	if len(s) > excerptBytes {
		return s[:excerptBytes]
	}
	return s
}
