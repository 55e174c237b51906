// Package findings collects errors with their place, so that bad input is reported in one go.
package findings

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Finding is one thing wrong with an input.
type Finding struct {
	// Pointer is the JSON Pointer (RFC 6901) of the offending value; empty means the whole document.
	Pointer string `json:"pointer"`
	// Line and Column count from 1; 0 means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Message names the field and says what is expected.
	Message string `json:"message"`
}

// String formats the finding as "line:column pointer: message".
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d ", f.Line, f.Column)
	}
	pointer := f.Pointer
	if pointer == "" {
		pointer = "/"
	}
	fmt.Fprintf(&b, "%s: %s", pointer, f.Message)
	return b.String()
}

// List collects findings. The zero value is ready for use.
type List struct {
	items []Finding
}

// Add records a finding without a known line.
func (l *List) Add(pointer, format string, args ...any) {
	l.items = append(l.items, Finding{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// Append records findings made elsewhere.
func (l *List) Append(items ...Finding) { l.items = append(l.items, items...) }

// Items returns the findings sorted by line, column, pointer and message.
func (l *List) Items() []Finding {
	out := append([]Finding(nil), l.items...)
	sort.SliceStable(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// Err returns nil when nothing was found, else an *Error with all findings.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error reports all findings together, one per line.
type Error struct {
	Findings []Finding
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// escaper is built once; a document of 14,000 workspaces escapes 100,000 keys.
var escaper = strings.NewReplacer("~", "~0", "/", "~1")

// Escape escapes one reference token of a JSON Pointer.
func Escape(token string) string { return escaper.Replace(token) }

func less(a, b Finding) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	if a.Column != b.Column {
		return a.Column < b.Column
	}
	if a.Pointer != b.Pointer {
		return a.Pointer < b.Pointer
	}
	return a.Message < b.Message
}

// Index returns the JSON Pointer of an element of an array.
func Index(pointer string, i int) string { return pointer + "/" + strconv.Itoa(i) }
