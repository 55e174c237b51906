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

// Figures of the collection of unused chunks.
const (
	// unusedGrace is how long a collector must have seen a chunk unused. It spares daemons that still read an earlier
	// version; safety does not rest on it.
	unusedGrace = time.Hour
	// collectInterval is the pause between two slices. All 256 take 4.3 h, in which 3,700 changes a day leave about 660
	// chunks; 12 collectors make 12 listings a minute together.
	collectInterval = time.Minute
	// hashSlices divide the chunks by the first byte of their hash, since a listing carries values.
	hashSlices = 256
	// deletesPerSlice bounds the writes of one round.
	deletesPerSlice = 32
	roundTimeout    = 20 * time.Second
)

// Collector deletes chunks that no version in force needs any more. Any number of collectors may run, each may be paused
// at any point, and applies may run meanwhile.
//
// A round lists chunks with their versions and reads the root. Before it deletes, it writes the root again, unchanged, on
// the condition that the root is still the one it read. This moves the root's version, so an apply that began earlier
// fails its own condition and starts over. An apply that begins later writes every chunk that its base lacks, which moves
// the version of that chunk, and the deletion on the version listed fails. A chunk that any root names is thus never
// deleted, whatever the clocks and pauses are.
type Collector struct {
	objects platform.Store
	log     *slog.Logger
	now     func() time.Time
	slice   int
	// unused holds since when each version of a chunk was seen unused.
	unused map[chunkVersion]time.Time
}

type chunkVersion struct {
	hash    string
	version uint64
}

// NewCollector returns a collector that begins at a random slice, so that collectors do not work on the same one.
func NewCollector(objects platform.Store, log *slog.Logger) *Collector {
	return &Collector{
		objects: objects, log: log, now: time.Now, slice: rand.IntN(hashSlices), unused: map[chunkVersion]time.Time{},
	}
}

// Run collects until ctx ends.
func (c *Collector) Run(ctx context.Context) { shell.Every(ctx, collectInterval, c.collect) }

func (c *Collector) collect(ctx context.Context) {
	deleted, err := c.Round(ctx)
	if err != nil {
		c.log.Debug("unused chunks not collected", "err", err)
	}
	if deleted > 0 {
		c.log.Info("unused chunks deleted", "count", deleted)
	}
}

// Round works on the next slice and returns the number of chunks deleted.
func (c *Collector) Round(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	prefix := fmt.Sprintf("%02x", c.slice)
	c.slice = (c.slice + 1) % hashSlices
	listed, err := c.objects.List(ctx, platform.KindConfigChunk, prefix)
	if err != nil {
		return 0, errors.Wrap(err, "list chunks")
	}
	object, err := c.objects.Get(ctx, platform.KindConfig, config.RootName)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil // the chunks belong to a first apply that is under way
	}
	if err != nil {
		return 0, errors.Wrap(err, "read the root")
	}
	var root config.Root
	if err := json.Unmarshal(object.Value, &root); err != nil {
		return 0, errors.Wrap(err, "decode the root")
	}
	due := c.due(prefix, listed, root.Hashes())
	if len(due) == 0 {
		return 0, nil
	}
	if _, err := c.objects.PutIf(ctx, platform.KindConfig, config.RootName, object.Value, object.Version); err != nil {
		return 0, errors.Wrap(err, "move the version of the root")
	}
	return c.delete(ctx, due)
}

// due notes which listed chunks are unused and returns those that have been for long enough.
func (c *Collector) due(prefix string, listed []platform.Object, used []string) []chunkVersion {
	keep := map[string]bool{}
	for _, hash := range used {
		keep[hash] = true
	}
	seen := map[chunkVersion]bool{}
	var out []chunkVersion
	for _, object := range listed {
		chunk := chunkVersion{object.Name, object.Version}
		if keep[object.Name] {
			continue
		}
		seen[chunk] = true
		since, known := c.unused[chunk]
		if !known {
			c.unused[chunk] = c.now()
		} else if c.now().Sub(since) >= unusedGrace && len(out) < deletesPerSlice {
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

// delete deletes the versions that were listed. A conflict means that an apply wrote the chunk again or that another
// collector was faster.
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
