package soak

import (
	"context"
	"sync"
	"time"
)

const (
	stallInterval = 20 * time.Millisecond
	// minStall is the shortest delay of a timer that counts as a stall of the run's process.
	minStall = 50 * time.Millisecond
	// sendTime is how long a process without stalls takes at most to send a request.
	sendTime = 100 * time.Millisecond
)

// stall is a period in which the process of the run was not scheduled.
type stall struct{ from, to time.Time }

// stallMeter records when the process of the run, and with it its callers and servers, was not scheduled. What a caller observes
// late in such a period says nothing about the daemons.
type stallMeter struct {
	mu     sync.Mutex
	stalls []stall
}

// run measures until ctx ends.
func (m *stallMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(stallInterval)
		sleep(ctx, stallInterval)
		if now := time.Now(); now.Sub(due) >= minStall {
			m.mu.Lock()
			m.stalls = append(m.stalls, stall{from: due, to: now})
			m.mu.Unlock()
		}
	}
}

// delay returns by how much stalls delayed what was observed of the end of a request: those while it was sent, and those after its time
// limit. Stalls between do not keep a daemon from ending it in time.
func (m *stallMeter) delay(sent, limit, ended time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	total, sendEnd := time.Duration(0), sent.Add(sendTime)
	for _, s := range m.stalls {
		if s.from.Before(sendEnd) {
			part := overlap(s, sent, ended)
			total += part
			sendEnd = sendEnd.Add(part)
		} else {
			total += overlap(s, limit, ended)
		}
	}
	return total
}

// overlap returns how long a stall lasted within a period.
func overlap(s stall, from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.to.Before(to) {
		to = s.to
	}
	return max(0, to.Sub(from))
}
