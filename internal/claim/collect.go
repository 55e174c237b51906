package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
)

// Limits of the collection of expired claims.
const (
	// clockSkewMargin is added to Retention. It is well above the clock skew between hosts.
	clockSkewMargin = time.Hour
	// collectInterval is the pause between two partitions. A full pass over all 4,096 takes 5.7 h. 12 collectors
	// together list 2.4 times per second, while the platform serves about 2,000 reads per second.
	collectInterval = 5 * time.Second
	// namePartitions is the number of partitions of the claims, by the first three hex digits of their name. Claims are
	// listed in partitions because a listing includes their outcomes.
	namePartitions = 4096
	// maxDeletesPerRound bounds the deletions of one round, so that a collector makes at most about 6 per second.
	maxDeletesPerRound = 32
	roundTimeout       = 20 * time.Second
)

// Collector deletes claims that are older than Retention plus clockSkewMargin. Each deletion is conditional on the listed
// version, so that a claim whose key was claimed again in the meantime is kept. Any number of collectors may run.
type Collector struct {
	objects   platform.Store
	log       *slog.Logger
	now       func() time.Time
	partition int
}

// NewCollector returns a collector that starts at a random partition, so that collectors rarely work on the same one.
func NewCollector(objects platform.Store, log *slog.Logger) *Collector {
	return &Collector{objects: objects, log: log, now: time.Now, partition: rand.IntN(namePartitions)}
}

// Run deletes expired claims periodically until ctx ends.
func (c *Collector) Run(ctx context.Context) { shell.Every(ctx, collectInterval, c.collect) }

func (c *Collector) collect(ctx context.Context) {
	deleted, err := c.CollectNext(ctx)
	if err != nil {
		c.log.Debug("expired claims not collected", "err", err)
	}
	if deleted > 0 {
		c.log.Info("expired claims deleted", "count", deleted)
	}
}

// CollectNext deletes the expired claims of the next partition, up to maxDeletesPerRound, and returns the number deleted.
func (c *Collector) CollectNext(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	prefix := fmt.Sprintf("%03x", c.partition)
	c.partition = (c.partition + 1) % namePartitions
	listed, err := c.objects.List(ctx, platform.KindClaim, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list claims")
	}
	deleted, attempted := 0, 0
	for _, object := range listed {
		if !c.expired(object.Value) || attempted == maxDeletesPerRound {
			continue
		}
		attempted++
		ok, err := platform.DeleteListed(ctx, c.objects, platform.KindClaim, object.Name, object.Version)
		if err != nil {
			return deleted, err
		}
		if ok {
			deleted++
		}
	}
	return deleted, nil
}

// expired reports whether a claim is older than Retention plus clockSkewMargin. A claim that cannot be decoded or has no
// creation time may still block its key and is kept.
func (c *Collector) expired(value []byte) bool {
	var record Record
	if json.Unmarshal(value, &record) != nil || record.CreatedAtMicros <= 0 {
		return false
	}
	return core.FromTime(c.now()) > record.CreatedAtMicros+core.FromDuration(Retention+clockSkewMargin)
}
