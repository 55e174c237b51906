package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/rendezvous"
)

const (
	// announceRetry is the pause between tries to write the own entry.
	announceRetry = 2 * time.Second
	// membersEvery is how often the store's list of daemons is read. Daemons that start greet the others themselves;
	// this finds those that could not.
	membersEvery = 12 * time.Second
	// deadAfter is how long a daemon must be silent until its entry is removed by another one.
	deadAfter = 40 * time.Second
)

// keepMembers writes the own entry, greets the daemons that the store lists, and removes entries of dead ones.
func (d *Daemon) keepMembers(ctx context.Context) {
	pause := announceRetry
	written := false
	for ctx.Err() == nil {
		err := d.refreshMembers(ctx, &written)
		pause = membersEvery/2 + rand.N(membersEvery)
		if err != nil {
			d.log.Warn("daemons not listed", "err", err)
			pause = announceRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// refreshMembers reads the list of daemons, after writing the own entry where it is missing.
func (d *Daemon) refreshMembers(ctx context.Context, written *bool) error {
	if !*written {
		value, err := json.Marshal(d.self())
		if err != nil {
			return errors.Wrap(err, "own entry")
		}
		if err := d.adapter.Store.Announce(ctx, d.settings.Name, value); err != nil {
			return err
		}
	}
	image, err := d.adapter.Store.ListStale(ctx, KindDaemons)
	if err != nil {
		return err
	}
	_, *written = image.Objects[d.settings.Name]
	d.meet(ctx, image)
	return nil
}

func (d *Daemon) meet(ctx context.Context, image directory.Image) {
	live := d.link.Live()
	for name, o := range image.Objects {
		m := &carobstilev1.EdgeMember{}
		if err := json.Unmarshal(o.Value, m); err != nil {
			d.log.Warn("entry names no daemon", "daemon", name, "err", err)
			continue
		}
		d.link.AddMember(m)
		if d.link.SilentFor(name) > deadAfter && d.cares(name, live) {
			d.log.Info("entry of a dead daemon removed", "daemon", name)
			if err := d.adapter.Store.Withdraw(ctx, name); err != nil {
				d.log.Warn("entry of a dead daemon not removed", "daemon", name, "err", err)
			}
		}
	}
}

// cares reports whether this daemon is the one of its cell that acts on something with a name; live are the daemons of
// the cell.
func (d *Daemon) cares(name string, live []string) bool {
	return rendezvous.First(name, live) == d.settings.Name
}
