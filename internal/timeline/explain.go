package timeline

import (
	"fmt"
	"strings"

	"github.com/carobstile/carobstile/internal/evlog"
)

// Explanation collects the events that explain how one request ended.
type Explanation struct {
	ended     *Event
	cutOff    *Event
	failed    []string
	placed    []string
	hasEvents bool
}

// Add adds an event of the request. Events must be added in timeline order.
func (x *Explanation) Add(e Event) {
	x.hasEvents = true
	switch e.Message {
	case evlog.MessageEnded:
		x.ended = &e
	case evlog.MessageCutOff:
		x.cutOff = &e
	case evlog.MessageFailed:
		x.failed = append(x.failed, fmt.Sprintf("%s (%s)", attr(&e, "server"), attr(&e, "fault")))
	case evlog.MessagePlaced:
		x.placed = append(x.placed, attr(&e, "server"))
	}
}

// attr returns the value of an attribute, or "?" if the event does not have it.
func attr(e *Event, key string) string {
	if value, ok := e.Attr(key); ok {
		return value
	}
	return "?"
}

// String returns a one-line explanation of how the request ended.
func (x *Explanation) String() string {
	switch {
	case !x.hasEvents:
		return "no log line has this request id: it reached no daemon whose log was read, or it succeeded and was not sampled"
	case x.ended == nil:
		return "the request has no end in these logs: its daemon was killed, cut off or is still at work"
	}
	parts := []string{outcome(x.ended)}
	if reason, ok := x.ended.Attr("reason"); ok && reason != "" {
		parts = append(parts, "because "+reason)
	}
	if x.cutOff != nil {
		parts = append(parts, fmt.Sprintf("cut off at stage %s, %s ms after the stop began, with %s ms left", attr(x.cutOff, "stage"), attr(x.cutOff, "stopping_ms"),
			attr(x.cutOff, "left_ms")))
	}
	if len(x.placed) > 0 {
		parts = append(parts, "placed on "+strings.Join(x.placed, ", "))
	}
	if len(x.failed) > 0 {
		parts = append(parts, "failed by "+strings.Join(x.failed, ", "))
	}
	return strings.Join(parts, "; ")
}

// outcome describes the end of a request from its event; carobgate logs a code, carobedge a status.
func outcome(e *Event) string {
	if code, ok := e.Attr("code"); ok {
		return fmt.Sprintf("code %s on %s, run: %s", code, e.Process, attr(e, "run"))
	}
	status := "status " + attr(e, "status")
	if status == "status 0" {
		status = "connection closed before the answer was complete"
	}
	return fmt.Sprintf("%s on %s after %s ms and %s sends", status, e.Process, attr(e, "ms"), attr(e, "sends"))
}
