// Package core holds the types shared by all reducers.
//
// A reducer has a method Step(ev Event) []Effect. It has no clock, goroutine, random source or I/O, and its results do
// not depend on map iteration order: time arrives in events as Micros and seeds arrive in the constructor, so that a
// recorded session replays byte for byte.
package core

import "time"

// Micros is a point in time, counted from the Unix epoch, or a span where the name says so, in microseconds.
type Micros int64

// Units of Micros.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// FromTime converts a wall-clock time to Micros since the Unix epoch.
func FromTime(t time.Time) Micros { return Micros(t.UnixMicro()) }

// FromDuration converts a duration to a span in microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Time converts a point in time to a UTC time.
func (m Micros) Time() time.Time { return time.UnixMicro(int64(m)).UTC() }

// Duration converts a span to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
