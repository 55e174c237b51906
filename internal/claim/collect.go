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

// Figures of the collection of expired claims.
const (
	// deleteMargin is added to the retention, well above the difference of the hosts' clocks.
	deleteMargin = time.Hour
	// collectInterval is the pause between two slices. All 4,096 take 5.7 h; 12 collectors make 2.4 listings a second
	// together, against about two thousand reads that the platform answers.
	collectInterval = 5 * time.Second
	// hashSlices divide the claims by the first three hex digits of their name, since a listing carries outcomes.
	hashSlices = 4096
	// deletesPerSlice bounds the writes of one round: at most 6 a second by each collector.
	deletesPerSlice = 32
	roundTimeout    = 20 * time.Second
)

// Collector deletes claims that are past the retention. A deletion is conditional on the version that was listed, so
// that a claim whose key was claimed again meanwhile stays. Any number of collectors may run.
type Collector struct {
	objects platform.Store
	log     *slog.Logger
	now     func() time.Time
	slice   int
}

// NewCollector returns a collector that begins at a random slice, so that collectors do not work on the same one.
func NewCollector(objects platform.Store, log *slog.Logger) *Collector {
	return &Collector{objects: objects, log: log, now: time.Now, slice: rand.IntN(hashSlices)}
}

// Run collects until ctx ends.
func (c *Collector) Run(ctx context.Context) { shell.Every(ctx, collectInterval, c.collect) }

func (c *Collector) collect(ctx context.Context) {
	deleted, err := c.Round(ctx)
	if err != nil {
		c.log.Debug("expired claims not collected", "err", err)
	}
	if deleted > 0 {
		c.log.Info("expired claims deleted", "count", deleted)
	}
}

// Round works on the next slice and returns the number of claims deleted.
func (c *Collector) Round(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	prefix := fmt.Sprintf("%03x", c.slice)
	c.slice = (c.slice + 1) % hashSlices
	listed, err := c.objects.List(ctx, platform.KindClaim, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list claims")
	}
	deleted, tried := 0, 0
	for _, object := range listed {
		if !c.expired(object.Value) || tried == deletesPerSlice {
			continue
		}
		tried++
		done, err := platform.DeleteListed(ctx, c.objects, platform.KindClaim, object.Name, object.Version)
		if err != nil {
			return deleted, err
		}
		if done {
			deleted++
		}
	}
	return deleted, nil
}

// expired reports whether a claim is past the retention. A claim that cannot be read, or that does not say when it was
// created, may still block its key and stays.
func (c *Collector) expired(value []byte) bool {
	var record Record
	if json.Unmarshal(value, &record) != nil || record.CreatedAtMicros <= 0 {
		return false
	}
	return core.At(c.now()) > record.CreatedAtMicros+core.Span(Retention+deleteMargin)
}
