package timeline

import (
	"fmt"
	"strings"

	"github.com/carobstile/carobstile/internal/evlog"
)

// Explanation collects what decided the end of one request.
type Explanation struct {
	ended   *Event
	failed  []string
	placed  []string
	started bool
}

// Add takes in an event of the request, in order.
func (x *Explanation) Add(e Event) {
	x.started = true
	switch e.Message {
	case evlog.MessageEnded:
		x.ended = &e
	case evlog.MessageFailed:
		x.failed = append(x.failed, fmt.Sprintf("%s (%s)", attr(&e, "server"), attr(&e, "fault")))
	case evlog.MessagePlaced:
		x.placed = append(x.placed, attr(&e, "server"))
	}
}

// attr returns the value of a key, "?" if the event lacks it.
func attr(e *Event, key string) string {
	if value, ok := e.Attr(key); ok {
		return value
	}
	return "?"
}

// String returns the cause of the request's end in one sentence.
func (x *Explanation) String() string {
	switch {
	case !x.started:
		return "no log names this request: it reached no daemon whose log was read, or it went well and was not sampled"
	case x.ended == nil:
		return "the request has no end in these logs: its daemon was killed, cut off or is still at work"
	}
	parts := []string{outcome(x.ended)}
	if reason, ok := x.ended.Attr("reason"); ok && reason != "" {
		parts = append(parts, "because "+reason)
	}
	if len(x.placed) > 0 {
		parts = append(parts, "placed on "+strings.Join(x.placed, ", "))
	}
	if len(x.failed) > 0 {
		parts = append(parts, "failed by "+strings.Join(x.failed, ", "))
	}
	return strings.Join(parts, "; ")
}

// outcome says how a request ended; carobgate logs a code, carobedge a status.
func outcome(e *Event) string {
	if code, ok := e.Attr("code"); ok {
		return fmt.Sprintf("code %s on %s, run: %s", code, e.Process, attr(e, "run"))
	}
	status := "status " + attr(e, "status")
	if status == "status 0" {
		status = "connection ended without a whole answer"
	}
	return fmt.Sprintf("%s on %s after %s ms and %s sends", status, e.Process, attr(e, "ms"), attr(e, "sends"))
}
