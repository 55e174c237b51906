package edge

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
)

const (
	// lapseGrace is how long servers whose entries went away during an outage of the store are still used. Entries of
	// live servers are back within two seconds of the store's return.
	lapseGrace = 1600 * time.Millisecond
	// lapseShare is the share of a service's entries that can only go away together by an outage.
	lapseShare = 0.4
	minLapsed  = 2
)

// serverList turns images of the store into the servers to use.
type serverList struct {
	codec   Codec
	log     *slog.Logger
	servers map[string]dispatch.Server
	// lapsed holds when servers without an entry are dropped.
	lapsed map[string]time.Time
	// unreadable entries are logged once a revision.
	unreadable map[string]uint64
}

func newServerList(codec Codec, log *slog.Logger) *serverList {
	return &serverList{
		codec: codec, log: log, servers: map[string]dispatch.Server{}, lapsed: map[string]time.Time{},
		unreadable: map[string]uint64{},
	}
}

// update takes in an image; outage says that the store was away shortly before.
func (l *serverList) update(now time.Time, image directory.Image, outage bool) {
	present := l.decode(image)
	for id := range present {
		delete(l.lapsed, id)
	}
	missing := map[string][]string{}
	total := map[string]int{}
	for id, s := range l.servers {
		total[s.Service]++
		if _, ok := present[id]; !ok {
			missing[s.Service] = append(missing[s.Service], id)
		}
	}
	for service, ids := range missing {
		lapse := outage || len(ids) >= minLapsed && float64(len(ids)) >= lapseShare*float64(total[service])
		for _, id := range ids {
			if l.lapses(now, id, lapse) {
				present[id] = l.servers[id]
			}
		}
	}
	l.servers = present
}

// lapses reports whether a server without an entry is still used.
func (l *serverList) lapses(now time.Time, id string, lapse bool) bool {
	until, known := l.lapsed[id]
	if known && now.Before(until) {
		return true
	}
	if !known && lapse && !l.servers[id].Leaving {
		l.lapsed[id] = now.Add(lapseGrace)
		l.log.Info("entry of a server lapsed with the store", "server", id)
		return true
	}
	delete(l.lapsed, id)
	l.log.Info("server is gone", "server", id)
	return false
}

// expire drops servers whose entries did not come back. It reports whether there were any.
func (l *serverList) expire(now time.Time) bool {
	dropped := false
	for id, until := range l.lapsed {
		if now.Before(until) {
			continue
		}
		delete(l.lapsed, id)
		delete(l.servers, id)
		dropped = true
		l.log.Info("server is gone", "server", id)
	}
	return dropped
}

func (l *serverList) decode(image directory.Image) map[string]dispatch.Server {
	out := make(map[string]dispatch.Server, len(image.Objects))
	for name, o := range image.Objects {
		s, err := l.codec.Server(name, o.Value)
		if err != nil {
			if l.unreadable[name] != o.Version {
				l.unreadable[name] = o.Version
				l.log.Warn("entry names no server", "server", name, "revision", o.Version, "err", err)
			}
			continue
		}
		if old, known := l.servers[name]; known && old != s {
			l.log.Info("server changed", "server", name, "leaving", s.Leaving, "revision", o.Version)
		}
		out[name] = s
	}
	return out
}

// list returns the servers in order of their ids.
func (l *serverList) list() []dispatch.Server {
	out := make([]dispatch.Server, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b dispatch.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
