package directory

import "sync"

// Version identifies the state of the store that a copy shows. Copies are ordered by era, then by revision.
type Version struct {
	// Era counts how often the store has been restored from an older copy of its own; 0 if it is unknown, which is older than any
	// known era. Revisions of different eras can't be compared, as a restored store gives them out again.
	Era      uint64
	Revision uint64
	// Digest is a hash of the names and revisions of the objects. Within an era, copies with the same digest have the same objects.
	Digest uint64
}

// After reports whether v is a later state of the store than w.
func (v Version) After(w Version) bool {
	if v.Era != w.Era {
		return v.Era > w.Era
	}
	return v.Revision > w.Revision
}

// Newer reports whether v is a later state than old with other content.
func (v Version) Newer(old Version) bool {
	return v.After(old) && (v.Era != old.Era || v.Digest != old.Digest)
}

// Covers reports whether a copy of version v is current if one of version w is.
func (v Version) Covers(w Version) bool {
	return v.Era == w.Era && (v.Revision >= w.Revision || v.Digest == w.Digest)
}

// Eras holds the latest era of the store that a daemon has met, in an answer of the store or a message of a neighbour. All followers of a
// daemon share one. It is safe for concurrent use.
type Eras struct {
	mu      sync.Mutex
	latest  uint64
	changed chan struct{}
	onMeet  func(old, latest uint64, from string)
}

// NewEras returns the eras of a daemon that has met none. onMeet, if set, is called with each later era and where it was met; old is 0 for
// the first one.
func NewEras(onMeet func(old, latest uint64, from string)) *Eras {
	return &Eras{changed: make(chan struct{}), onMeet: onMeet}
}

// Meet records that an answer or message names an era, 0 if it names none. It returns false if that is older than the latest one.
func (e *Eras) Meet(era uint64, from string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.latest {
		return era == e.latest || era == 0
	}
	old := e.latest
	e.latest = era
	close(e.changed)
	e.changed = make(chan struct{})
	if e.onMeet != nil {
		e.onMeet(old, era, from)
	}
	return true
}

// Latest returns the latest era, 0 if none is known, and a channel that is closed when a later one is met.
func (e *Eras) Latest() (era uint64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.changed
}
