package evlog

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timestamp is a reading of a hybrid logical clock. Timestamps are causally ordered: an event that another one could have
// caused has the higher timestamp, regardless of clock skew between hosts.
type Timestamp struct {
	// WallMicros is the highest wall clock time seen, in microseconds since 1970.
	WallMicros int64
	// Counter orders events within one microsecond.
	Counter uint32
}

// String formats the timestamp as "<wall micros>.<counter>".
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.WallMicros, t.Counter) }

// Less reports whether t orders before other.
func (t Timestamp) Less(other Timestamp) bool {
	if t.WallMicros != other.WallMicros {
		return t.WallMicros < other.WallMicros
	}
	return t.Counter < other.Counter
}

// ParseTimestamp parses the format of String.
func ParseTimestamp(s string) (Timestamp, error) {
	wall, counter, ok := strings.Cut(s, ".")
	if !ok {
		return Timestamp{}, fmt.Errorf("timestamp %q: expected <wall micros>.<counter>", s)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	return Timestamp{WallMicros: w, Counter: uint32(c)}, nil
}

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Timestamp
}

// maxAheadMicros bounds how far ahead of the local wall clock a received timestamp may be; Observe ignores later ones, so
// that a host with a wrong clock does not advance the clocks of the whole fleet.
const maxAheadMicros = 60_000_000

// NewClock returns a clock that reads physical time from wall.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a timestamp higher than every one returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(Timestamp{})
	return c.last
}

// Observe advances the clock past a timestamp received from another process.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.WallMicros > c.wall().UnixMicro()+maxAheadMicros {
		return
	}
	c.advance(t)
}

func (c *Clock) advance(observed Timestamp) {
	if c.last.Less(observed) {
		c.last = observed
	}
	if now := c.wall().UnixMicro(); now > c.last.WallMicros {
		c.last = Timestamp{WallMicros: now}
		return
	}
	c.last.Counter++
}
