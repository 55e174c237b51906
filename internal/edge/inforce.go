package edge

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/carobstile/carobstile/internal/platform"
)

// configInForce decides which configuration a daemon applies (docs/design/restored-store.md). Within an era of the store the operator's last
// write decides. A store that was restored from an older copy holds an older configuration until the operator has written the newer one
// again; until then that one is held: it stays in force, and neighbours get it that lack it. It is safe for concurrent use; the zero value
// has none.
type configInForce struct {
	mu      sync.Mutex
	known   bool
	object  platform.Object
	version int64
	// era is the latest one of a copy that was offered, and highest the highest version that was offered in it.
	era     uint64
	highest int64
	// held is set if the copy of the store holds an older configuration, or none.
	held bool
}

// offer applies what a copy of an era holds. It reports whether that is to be put in force, and whether another one is newly held instead.
func (c *configInForce) offer(era uint64, o platform.Object, version int64) (adopted, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sameEra := era == c.era && !c.held
	if era > c.era {
		c.era, c.highest = era, 0
	}
	unknownEra := era < c.era // a copy of a neighbour that names no era
	if !unknownEra {
		c.highest = max(c.highest, version)
	}
	switch {
	case !c.known, sameEra && o.Version > c.object.Version, !sameEra && version > c.version,
		!sameEra && version == c.version && !bytes.Equal(o.Value, c.object.Value):
		c.known, c.object, c.version, c.held = true, o, version, unknownEra
		return true, false
	case sameEra:
	case version == c.version:
		c.object, c.held = o, unknownEra
	default:
		held = !c.held
		c.held = true
	}
	return false, held
}

// miss records that a copy of an era holds no configuration.
func (c *configInForce) miss(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.highest = era, 0
	}
	c.held = c.known
}

// offerHeld applies a configuration that a neighbour holds, and reports whether that is to be put in force.
func (c *configInForce) offerHeld(o platform.Object, version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lacksLocked(version) {
		return false
	}
	c.known, c.object, c.version, c.held = true, o, version, true
	return true
}

// lacks reports whether a version that a neighbour holds is newer than the one in force, and than all that the store has held in its era.
func (c *configInForce) lacks(version int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lacksLocked(version)
}

func (c *configInForce) lacksLocked(version int64) bool {
	return !c.known || version > max(c.version, c.highest)
}

// isHeld reports whether the configuration in force is newer than the one in the store.
func (c *configInForce) isHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// current returns the version in force, 0 if there is none.
func (c *configInForce) current() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// heldObject returns the object of the configuration that is held, and false if none is.
func (c *configInForce) heldObject() (platform.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.object, c.held
}

// encodeHeldConfig returns the configuration that this daemon holds for a neighbour, nil if it holds none.
func (d *Daemon) encodeHeldConfig() []byte {
	o, held := d.inForce.heldObject()
	if !held {
		return nil
	}
	data, err := json.Marshal(o)
	if err != nil {
		d.log.Warn("failed to encode configuration for neighbours", "revision", o.Version, "err", err)
		return nil
	}
	return data
}

// adoptHeldConfig puts a configuration in force that a neighbour holds, if it is newer than all that this daemon knows.
func (d *Daemon) adoptHeldConfig(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	for _, o := range d.decodeObjects([][]byte{encoded}) {
		c, err := d.adapter.Codec.Config(o.Value)
		if err != nil {
			d.log.Error("failed to decode configuration of a neighbour", "revision", o.Version, "err", err)
			continue
		}
		d.configMu.Lock()
		adopted := d.inForce.offerHeld(o, c.Version)
		if adopted {
			d.applyConfig(c, "neighbour", 0, o.Version)
		}
		d.configMu.Unlock()
		if adopted {
			d.updateServers()
		}
	}
}
