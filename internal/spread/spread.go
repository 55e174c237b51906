// Package spread decides how a copy of a large object reaches all daemons from the few that read it in the store: whom a daemon asks,
// when, and how much a daemon sends at a time.
//
// The load that it answers: a configuration of several hundred kilobytes that 60 daemons want at once from two, over links of
// 20 Mbit/s. Each daemon that has it serves it, and each one serves only what its link carries in a short time; the others are refused
// at once and ask again elsewhere. The number of daemons that have it then doubles with each transfer.
package spread

import (
	"math/rand/v2"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
)

const (
	// bytesPerSecond is the rate at which a daemon is assumed to send copies: a link of 20 Mbit/s, with JSON that compression reduces
	// to a quarter or less.
	bytesPerSecond = 10_000_000
	// maxBacklog is the time that earlier copies may still take to send when another one is admitted.
	maxBacklog = 100 * core.Millisecond
	// Delay of the first attempt: firstDelay, for a datagram with the change itself, and a random part of delayPerDaemon for each daemon,
	// so that those that have the copy are not asked by all others at the same moment.
	firstDelay     = 5 * time.Millisecond
	delayPerDaemon = 2 * time.Millisecond
	maxFirstDelay  = 200 * time.Millisecond
	// Delay of further attempts.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// A change is sent with its datagram up to maxDatagramBytes, as a datagram of many fragments is easily lost, and up to
	// maxBroadcastBytes for all receivers together, about 0.1 s of a link of 20 Mbit/s.
	maxDatagramBytes  = 16 << 10
	maxBroadcastBytes = 256 << 10
)

// Holder is a daemon that has announced its copy.
type Holder struct {
	Name, Address, Domain string
	Version               directory.Version
}

// Holders are the daemons with newer copies than this daemon's, by name.
type Holders struct{ byName map[string]Holder }

// Add records the announcement of a daemon.
func (h *Holders) Add(x Holder) {
	if h.byName == nil {
		h.byName = map[string]Holder{}
	}
	h.byName[x.Name] = x
}

// Drop forgets a daemon until its next announcement.
func (h *Holders) Drop(name string) { delete(h.byName, name) }

// Clear forgets all daemons until their next announcements.
func (h *Holders) Clear() { clear(h.byName) }

// Choose returns a random one of the daemons that have the newest copy, if possible in the given failure domain, and false if none has
// a newer one than own.
func (h *Holders) Choose(own directory.Version, domain string) (Holder, bool) {
	var newest directory.Version
	for name, x := range h.byName {
		if !x.Version.Newer(own) {
			delete(h.byName, name)
		} else if x.Version.After(newest) {
			newest = x.Version
		}
	}
	var near, far []Holder
	for _, x := range h.byName {
		switch {
		case x.Version.Era != newest.Era || x.Version.Digest != newest.Digest:
		case x.Domain == domain:
			near = append(near, x)
		default:
			far = append(far, x)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Holder{}, false
	}
	return near[rand.IntN(len(near))], true
}

// FirstDelay returns the time from hearing of a newer copy to the first attempt to get it, in a cell of a number of daemons.
func FirstDelay(daemons int) time.Duration {
	return firstDelay + rand.N(min(maxFirstDelay, delayPerDaemon*time.Duration(max(1, daemons))))
}

// RetryDelay returns the time until the next attempt.
func RetryDelay() time.Duration { return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay) }

// Pace bounds the copies that a daemon sends at a time. It is not safe for concurrent use.
type Pace struct{ busyUntil core.Micros }

// Admit reports whether a copy may be sent now, and counts it if so.
func (p *Pace) Admit(now core.Micros, bytes int) bool {
	if p.busyUntil > now+maxBacklog {
		return false
	}
	p.busyUntil = max(p.busyUntil, now) + core.Micros(bytes)*core.Second/bytesPerSecond
	return true
}

// FitsDatagram reports whether a change of a number of bytes is sent with the datagram that announces it.
func FitsDatagram(bytes, receivers int) bool {
	return bytes <= maxDatagramBytes && bytes*receivers <= maxBroadcastBytes
}
