// Package evlog writes the event log of a process: one line of key=value pairs per event, stamped with a hybrid
// logical clock, so that carobctl timeline can merge the logs of all processes in causal order.
package evlog

import (
	"context"
	"io"
	"log/slog"
)

// Keys that are part of every line or that carobctl timeline evaluates.
const (
	KeyProcess = "process" // name of the process, on every line
	KeyHLC     = "hlc"     // hybrid logical clock timestamp, "<wall micros>.<counter>"
	KeyRequest = "request" // request id
	KeyObject  = "object"  // kind/name of a platform object
	KeyAttempt = "attempt" // attempt number of a request
)

// Messages from which carobctl timeline explains how a request ended.
const (
	MessagePlaced = "request placed"
	MessageFailed = "server failed a request"
	MessageEnded  = "request ended"
	MessageCutOff = "request cut off by the stop"
)

// New returns a logger that writes key=value lines to w. Attributes whose key names a secret are redacted.
func New(w io.Writer, process string, level slog.Level, clock *Clock) *slog.Logger {
	text := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatAttr})
	handler := &clockHandler{Handler: text, clock: clock}
	return slog.New(handler).With(KeyProcess, process)
}

// Discard returns a logger that discards all events.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// clockHandler adds the hybrid logical clock timestamp to every record.
type clockHandler struct {
	slog.Handler
	clock *Clock
}

// Handle adds the current timestamp under KeyHLC.
func (h *clockHandler) Handle(ctx context.Context, r slog.Record) error {
	r.AddAttrs(slog.String(KeyHLC, h.clock.Now().String()))
	return h.Handler.Handle(ctx, r)
}

// WithAttrs keeps the clock on derived loggers.
func (h *clockHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &clockHandler{Handler: h.Handler.WithAttrs(attrs), clock: h.clock}
}

// WithGroup keeps the clock on derived loggers.
func (h *clockHandler) WithGroup(name string) slog.Handler {
	return &clockHandler{Handler: h.Handler.WithGroup(name), clock: h.clock}
}

// secretKeys are the attribute keys whose values are redacted.
var secretKeys = map[string]bool{
	"authorization": true, "key": true, "secret": true, "password": true, "cookie": true, "cursor": true,
	"cluster_key": true, "cursor_key": true, "api_key": true, "token": true, "body": true, "prompt": true,
}

// formatAttr redacts secrets, and writes errors without their stack traces, which take kilobytes in one line.
func formatAttr(_ []string, a slog.Attr) slog.Attr {
	if secretKeys[a.Key] {
		return slog.String(a.Key, "[redacted]")
	}
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
