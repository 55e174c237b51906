package edge

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/rendezvous"
)

const (
	// memberRetryDelay is the pause after a failed write of the daemon's own entry or a failed read of the list of
	// daemons.
	memberRetryDelay = 2 * time.Second
	// memberListInterval is the mean interval of reading the store's list of daemons. Starting daemons greet the others
	// themselves; the list finds those that could not.
	memberListInterval = 12 * time.Second
	// staleListLag is how old a list of daemons can be. One that lacks the daemon's own entry says nothing for so long after the entry
	// was written.
	staleListLag = 20 * time.Second
	// deadDaemonTimeout is how long a daemon has to be silent before another daemon removes its entry.
	deadDaemonTimeout = 40 * time.Second
	// deleteMemberTimeout bounds the removal of the daemon's own entry.
	deleteMemberTimeout = 500 * time.Millisecond
)

// maintainMembership writes the daemon's own entry, adds the daemons that the store lists, and removes the entries of
// dead ones, until ctx ends.
func (d *Daemon) maintainMembership(ctx context.Context) {
	pause := memberRetryDelay
	var writtenAt time.Time
	var era uint64
	for ctx.Err() == nil {
		latest, _ := d.eras.Latest()
		if era != 0 && latest != era {
			writtenAt = time.Time{} // a restored store may lack the entry
		}
		era = latest
		err := d.refreshMembers(ctx, &writtenAt)
		pause = memberListInterval/2 + rand.N(memberListInterval)
		if err != nil {
			d.log.Warn("failed to refresh list of daemons", "err", err)
			pause = memberRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// refreshMembers writes the daemon's own entry unless the store is known to list it, and reads the list of daemons. writtenAt is when
// the entry was last written or listed; zero if it has to be written.
func (d *Daemon) refreshMembers(ctx context.Context, writtenAt *time.Time) error {
	if writtenAt.IsZero() {
		if err := d.writeOwnEntry(ctx); err != nil {
			return err
		}
		*writtenAt = time.Now()
	}
	image, err := d.adapter.Store.ListStale(ctx, KindDaemons)
	if err != nil {
		return err
	}
	if _, listed := image.Objects[d.settings.Name]; listed {
		*writtenAt = time.Now()
	} else if time.Since(*writtenAt) > staleListLag {
		*writtenAt = time.Time{} // another daemon has removed it
	}
	d.sharers.listed(time.Now(), slices.Collect(maps.Keys(image.Objects)))
	d.addMembers(ctx, image)
	return nil
}

// writeOwnEntry writes the daemon's own entry unless the daemon is stopping. A write that has started is completed even
// if ctx ends, so that removeOwnEntry can remove its result.
func (d *Daemon) writeOwnEntry(ctx context.Context) error {
	d.ownEntryMu.Lock()
	defer d.ownEntryMu.Unlock()
	if d.draining.Load() {
		return nil
	}
	value, err := json.Marshal(d.self())
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	return d.adapter.Store.Put(context.WithoutCancel(ctx), KindDaemons, d.settings.Name, value)
}

// removeOwnEntry removes the daemon's own entry, after a write of the entry that is in progress.
func (d *Daemon) removeOwnEntry() {
	d.ownEntryMu.Lock()
	defer d.ownEntryMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deleteMemberTimeout)
	defer cancel()
	if err := d.adapter.Store.Delete(ctx, KindDaemons, d.settings.Name); err != nil {
		d.log.Warn("failed to remove own entry", "err", err)
	}
}

// addMembers adds the listed daemons to the link and removes the entries of dead ones.
func (d *Daemon) addMembers(ctx context.Context, image directory.Image) {
	live := d.link.Live()
	for name, o := range image.Objects {
		m := &carobstilev1.EdgeMember{}
		if len(o.Value) == 0 {
			continue // the store client has logged it
		}
		if err := json.Unmarshal(o.Value, m); err != nil || m.GetName() != name {
			d.log.Warn("entry of daemon does not describe it", "daemon", name, "revision", o.Version, "err", err)
			continue
		}
		d.link.AddMember(m)
		if d.link.SilentFor(name) > deadDaemonTimeout && d.isResponsible(name, live) {
			d.log.Info("removing entry of dead daemon", "daemon", name)
			if err := d.adapter.Store.Delete(ctx, KindDaemons, name); err != nil {
				d.log.Warn("failed to remove entry of dead daemon", "daemon", name, "err", err)
			}
		}
	}
}

// isResponsible reports whether this daemon is the one in its cell that handles the daemon or server with the given
// name; live holds the daemons of the cell.
func (d *Daemon) isResponsible(name string, live []string) bool {
	return rendezvous.First(name, live) == d.settings.Name
}
