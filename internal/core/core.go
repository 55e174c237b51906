// Package core holds the few types that all reducers share.
//
// A reducer has the form func (c *Core) Step(ev Event) []Effect. It has no clock, goroutine, random source, I/O or
// dependence on map order: time arrives in events as Micros and seeds arrive in the constructor, so that a recorded
// session replays byte for byte.
package core

import "time"

// Micros is a point in time, or a span where the name says so, in microseconds. Points count from 1970, UTC.
type Micros int64

// Units of Micros.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// At converts a wall clock time.
func At(t time.Time) Micros { return Micros(t.UnixMicro()) }

// Span converts a duration.
func Span(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Time converts a point in time to UTC.
func (m Micros) Time() time.Time { return time.UnixMicro(int64(m)).UTC() }

// Duration converts a span.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
