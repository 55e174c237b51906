package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
	"github.com/cockroachdb/errors"
)

// Parameters of the collection of unused chunks.
const (
	// unusedGracePeriod is how long a collector must have observed a chunk as unused before it deletes it. It protects
	// daemons that still read an earlier version; the safety of chunks in use does not depend on it.
	unusedGracePeriod = time.Hour
	// collectInterval is the time between two rounds. All 256 partitions take 4.3 h, in which 3,700 changes a day leave
	// about 660 unused chunks; 12 collectors together make 12 list calls a minute.
	collectInterval = time.Minute
	// hashPartitions is the number of partitions of the chunks, by the first byte of their hash. A round lists only
	// one, since a listing includes the values.
	hashPartitions = 256
	// maxDeletesPerRound limits the deletions in one round.
	maxDeletesPerRound = 32
	roundTimeout       = 20 * time.Second
)

// Collector deletes chunks that the current version does not use. Any number of collectors may run, each may be paused
// at any point, and applies may run concurrently.
//
// A round lists chunks with their versions and reads the root. Before it deletes chunks, it rewrites the root
// unchanged, on the condition that the root still has the version that was read. This changes the root's version, so an
// apply that began earlier fails its own condition and starts again. An apply that begins later writes every chunk that
// its base does not reference, which changes the chunk's version, so that a deletion conditional on the listed version
// fails. A chunk that a root references is therefore never deleted, regardless of clocks and pauses.
type Collector struct {
	objects   platform.Store
	log       *slog.Logger
	now       func() time.Time
	partition int
	// unused maps each chunk version to the time at which it was first observed as unused.
	unused map[chunkVersion]time.Time
}

type chunkVersion struct {
	hash    string
	version uint64
}

// NewCollector returns a Collector that starts at a random partition, so that collectors rarely work on the same one.
func NewCollector(objects platform.Store, log *slog.Logger) *Collector {
	return &Collector{
		objects: objects, log: log, now: time.Now, partition: rand.IntN(hashPartitions), unused: map[chunkVersion]time.Time{},
	}
}

// Run runs a round every collectInterval until ctx ends.
func (c *Collector) Run(ctx context.Context) { shell.Every(ctx, collectInterval, c.collect) }

func (c *Collector) collect(ctx context.Context) {
	deleted, err := c.Round(ctx)
	if err != nil {
		c.log.Debug("cannot collect unused configuration chunks", "err", err)
	}
	if deleted > 0 {
		c.log.Info("unused chunks deleted", "count", deleted)
	}
}

// Round processes the next partition and returns the number of chunks deleted.
func (c *Collector) Round(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	prefix := fmt.Sprintf("%02x", c.partition)
	c.partition = (c.partition + 1) % hashPartitions
	listed, err := c.objects.List(ctx, platform.KindConfigChunk, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list configuration chunks")
	}
	object, err := c.objects.Get(ctx, platform.KindConfig, config.RootName)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil // the chunks belong to a first apply in progress
	}
	if err != nil {
		return 0, errors.Wrap(err, "read the root of the configuration")
	}
	var root config.Root
	if err := json.Unmarshal(object.Value, &root); err != nil {
		return 0, errors.Wrap(err, "decode the root of the configuration")
	}
	due := c.collectable(prefix, listed, root.Hashes())
	if len(due) == 0 {
		return 0, nil
	}
	if _, err := c.objects.PutIf(ctx, platform.KindConfig, config.RootName, object.Value, object.Version); err != nil {
		return 0, errors.Wrap(err, "rewrite the root of the configuration to change its version")
	}
	return c.delete(ctx, due)
}

// collectable records which listed chunks are unused and returns up to maxDeletesPerRound of those that have been
// unused for unusedGracePeriod.
func (c *Collector) collectable(prefix string, listed []platform.Object, used []string) []chunkVersion {
	inUse := map[string]bool{}
	for _, hash := range used {
		inUse[hash] = true
	}
	seen := map[chunkVersion]bool{}
	var out []chunkVersion
	for _, object := range listed {
		chunk := chunkVersion{object.Name, object.Version}
		if inUse[object.Name] {
			continue
		}
		seen[chunk] = true
		since, known := c.unused[chunk]
		if !known {
			c.unused[chunk] = c.now()
		} else if c.now().Sub(since) >= unusedGracePeriod && len(out) < maxDeletesPerRound {
			out = append(out, chunk)
		}
	}
	for chunk := range c.unused {
		if chunk.hash[:len(prefix)] == prefix && !seen[chunk] {
			delete(c.unused, chunk)
		}
	}
	return out
}

// delete deletes the chunks at the listed versions. A conflict means that an apply wrote the chunk again or that
// another collector already deleted it; such a chunk is not counted.
func (c *Collector) delete(ctx context.Context, due []chunkVersion) (int, error) {
	deleted := 0
	for _, chunk := range due {
		done, err := platform.DeleteListed(ctx, c.objects, platform.KindConfigChunk, chunk.hash, chunk.version)
		if err != nil {
			return deleted, err
		}
		if done {
			deleted++
		}
	}
	return deleted, nil
}
