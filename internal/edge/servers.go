package edge

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
)

const (
	// outageGrace is how long servers whose entries disappeared in an outage of the store are still used. The entries
	// of live servers are back within two seconds of the store's recovery.
	outageGrace = 1600 * time.Millisecond
	// outageShare is the share of a service's entries whose disappearance in one update can only be caused by an
	// outage; at least minOutageEntries have to disappear.
	outageShare      = 0.4
	minOutageEntries = 2
	// departureMemory is how long the removal of an entry is remembered. A store is restored from a copy that is some seconds old.
	departureMemory = time.Minute
	// restoredEntryTTL is how long the entry of a process that is gone can stay in a restored store, which removes it after three intervals
	// without a sign of life.
	restoredEntryTTL = 5 * time.Second
)

// serverList derives the usable servers from images of the store.
type serverList struct {
	codec   Codec
	log     *slog.Logger
	servers map[string]dispatch.Server
	// graceEnds holds the times at which servers without an entry are dropped.
	graceEnds map[string]time.Time
	// unreadable holds the revision at which an invalid entry was last logged, so that each revision is logged once.
	unreadable map[string]uint64
	// colds holds when the servers are no longer cold, by their entries.
	colds map[string]coldEntry
	// image is the latest one. departed holds the processes whose entries were removed recently, and outdated the entries that a restored
	// store has brought back although their processes had left or were leaving.
	image    directory.Image
	departed map[string]departure
	outdated map[string]outdatedEntry
}

// departure is the removal of the entry of a process.
type departure struct {
	startedAt int64
	at        time.Time
}

// outdatedEntry is the revision of an entry that is older than what this daemon knows. The process is taken for leaving until the entry is
// written again, or until a time by which the store has removed the entry of a process that is gone; that is zero for a process that had said that
// it was leaving.
type outdatedEntry struct {
	revision uint64
	until    time.Time
}

// coldEntry is the end of a process's cold time by its entry: the latest by all revisions, each counted from when this daemon first saw it.
type coldEntry struct {
	revision  uint64
	startedAt int64
	ends      time.Time
}

// next returns the state after a revision of the entry of s. Other writers leave out the cold time, so that a revision without it, or
// with a shorter one, ends nothing.
func (e coldEntry) next(now time.Time, revision uint64, s dispatch.Server) coldEntry {
	out := coldEntry{revision: revision, startedAt: s.StartedAt, ends: now.Add(min(s.ColdFor, dispatch.MaxCold).Duration())}
	if e.startedAt == s.StartedAt && e.ends.After(out.ends) {
		out.ends = e.ends
	}
	return out
}

func newServerList(codec Codec, log *slog.Logger) *serverList {
	return &serverList{
		codec: codec, log: log, servers: map[string]dispatch.Server{}, graceEnds: map[string]time.Time{},
		unreadable: map[string]uint64{}, colds: map[string]coldEntry{}, departed: map[string]departure{}, outdated: map[string]outdatedEntry{},
	}
}

// update applies an image; outage says that it was read at the end of an outage of the store or shortly after, or is of a restored store.
func (l *serverList) update(now time.Time, image directory.Image, outage bool) {
	restored := image.Era > l.image.Era && l.image.Era != 0
	l.image = image
	present := l.decode(now, image)
	if restored {
		l.distrustRestored(now, present)
	}
	l.markOutdated(present)
	for id := range present {
		delete(l.graceEnds, id)
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
		startGrace := outage || len(ids) >= minOutageEntries && float64(len(ids)) >= outageShare*float64(total[service])
		for _, id := range ids {
			if l.keepMissing(now, id, startGrace) {
				present[id] = l.servers[id]
			}
		}
	}
	l.servers = present
	maps.DeleteFunc(l.colds, func(id string, _ coldEntry) bool { _, ok := present[id]; return !ok })
}

// keepMissing reports whether a server without an entry is still used. startGrace says that the entry may be missing
// because of an outage; servers that are leaving get no grace period.
func (l *serverList) keepMissing(now time.Time, id string, startGrace bool) bool {
	until, known := l.graceEnds[id]
	if known && now.Before(until) {
		return true
	}
	if !known && startGrace && !l.servers[id].Leaving {
		l.graceEnds[id] = now.Add(outageGrace)
		l.log.Info("entry of a server lapsed with the store", "server", id)
		return true
	}
	delete(l.graceEnds, id)
	l.depart(now, l.servers[id])
	return false
}

// depart records that a process is gone.
func (l *serverList) depart(now time.Time, s dispatch.Server) {
	l.log.Info("server is gone", "server", s.ID)
	maps.DeleteFunc(l.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departureMemory })
	l.departed[s.ID] = departure{startedAt: s.StartedAt, at: now}
}

// distrustRestored records which entries of a restored store are older than what this daemon knows of their processes.
func (l *serverList) distrustRestored(now time.Time, present map[string]dispatch.Server) {
	clear(l.outdated)
	for id, s := range present {
		old, listed := l.servers[id]
		gone, departed := l.departed[id]
		e := outdatedEntry{revision: l.image.Objects[id].Version}
		switch {
		case listed && old.Leaving && !s.Leaving && old.StartedAt == s.StartedAt:
		case !listed && departed && gone.startedAt == s.StartedAt:
			e.until = now.Add(restoredEntryTTL)
		default:
			continue
		}
		l.outdated[id] = e
		l.log.Info("restored store lists a server that has left or is leaving", "server", id, "started_at", s.StartedAt, "revision", e.revision,
			"leaving", listed)
	}
}

// markOutdated marks the servers with outdated entries as leaving, and forgets the entries that were written again or removed.
func (l *serverList) markOutdated(present map[string]dispatch.Server) {
	for id, e := range l.outdated {
		s, ok := present[id]
		if !ok || l.image.Objects[id].Version != e.revision {
			delete(l.outdated, id)
			continue
		}
		s.Leaving = true
		present[id] = s
	}
}

// trustListed forgets the outdated entries that the store has kept for long enough to show that their processes live. It reports whether there
// were any.
func (l *serverList) trustListed(now time.Time) bool {
	trusted := false
	for id, e := range l.outdated {
		if e.until.IsZero() || now.Before(e.until) {
			continue
		}
		delete(l.outdated, id)
		l.log.Info("server that was taken for gone is still listed", "server", id)
		trusted = true
	}
	if trusted {
		l.update(now, l.image, false)
	}
	return trusted
}

// expire drops servers whose grace period is over. It reports whether there were any.
func (l *serverList) expire(now time.Time) bool {
	dropped := l.trustListed(now)
	for id, until := range l.graceEnds {
		if now.Before(until) {
			continue
		}
		l.depart(now, l.servers[id])
		delete(l.graceEnds, id)
		delete(l.servers, id)
		delete(l.colds, id)
		dropped = true
	}
	return dropped
}

func (l *serverList) decode(now time.Time, image directory.Image) map[string]dispatch.Server {
	out := make(map[string]dispatch.Server, len(image.Objects))
	for name := range l.unreadable {
		if _, ok := image.Objects[name]; !ok {
			delete(l.unreadable, name)
		}
	}
	for name, o := range image.Objects {
		s, err := l.codec.Server(name, o.Value)
		if err != nil {
			if len(o.Value) > 0 && l.unreadable[name] != o.Version { // without a value, the daemon that read it has said why
				l.unreadable[name] = o.Version
				l.log.Warn("failed to decode entry of server", "server", name, "revision", o.Version, "err", err)
			}
			continue
		}
		if l.colds[name].revision != o.Version {
			l.colds[name] = l.colds[name].next(now, o.Version, s)
		}
		s.ColdFor = 0 // list sets what remains
		if old, known := l.servers[name]; known && old != s && l.outdated[name].revision != o.Version {
			l.log.Info("server changed", "server", name, "leaving", s.Leaving, "revision", o.Version)
		}
		out[name] = s
	}
	return out
}

// recordCold applies the end of a process's cold time as another daemon knows it by entries. It reports whether the process becomes cold
// or stays so for longer.
func (l *serverList) recordCold(now time.Time, p dispatch.Process, ends time.Time) bool {
	e, known := l.colds[p.ID]
	if known && e.startedAt != p.StartedAt || e.ends.After(now) && !ends.After(e.ends.Add(endTolerance)) {
		return false
	}
	e.startedAt, e.ends = p.StartedAt, ends // without a revision until the entry is read
	l.colds[p.ID] = e
	return true
}

// list returns the servers ordered by id, with the time for which they stay cold.
func (l *serverList) list(now time.Time) []dispatch.Server {
	out := make([]dispatch.Server, 0, len(l.servers))
	for id, s := range l.servers {
		s.ColdFor = core.FromDuration(max(0, l.colds[id].ends.Sub(now)))
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b dispatch.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
