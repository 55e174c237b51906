package directory

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/platform"
)

// bucketCount is the number of buckets into which objects are hashed to compare images. The digests of all buckets fit
// in 512 bytes, and a change of one among 3,000 servers transfers only about 50 objects.
const bucketCount = 64

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % bucketCount) }

// Digest returns a hash of the names and versions of all objects. Daemons with the same objects have the same digest,
// whichever revisions their calls returned.
func (i Image) Digest() uint64 {
	sum := uint64(0)
	for name, o := range i.Objects {
		sum += objectDigest(name, o)
	}
	return sum
}

// Digests returns one digest per bucket.
func (i Image) Digests() []uint64 {
	sums := make([]uint64, bucketCount)
	for name, o := range i.Objects {
		sums[bucketOf(name)] += objectDigest(name, o)
	}
	return sums
}

func objectDigest(name string, o platform.Object) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(o.Version, 10))
}

// Diff is a full image, or those buckets of it that differ from another daemon's copy.
type Diff struct {
	Image
	Full    bool
	Buckets []uint32
}

// Diff returns the buckets that differ from a copy of an era with the given bucket digests, or the full image unless there is one digest
// for each bucket and the era is that of the image, or unknown as that of a daemon of an earlier version.
func (i Image) Diff(era uint64, digests []uint64) Diff {
	if len(digests) != bucketCount || era != 0 && era != i.Era {
		return Diff{Image: i, Full: true}
	}
	out := Diff{Image: Image{Kind: i.Kind, Era: i.Era, Revision: i.Revision, Objects: map[string]platform.Object{}}}
	differs := make([]bool, bucketCount)
	for b, sum := range i.Digests() {
		if sum != digests[b] {
			differs[b] = true
			out.Buckets = append(out.Buckets, uint32(b))
		}
	}
	for name, o := range i.Objects {
		if differs[bucketOf(name)] {
			out.Objects[name] = o
		}
	}
	return out
}

// merge returns the image with the buckets of a diff replaced. A full diff replaces the image.
func (i Image) merge(d Diff) Image {
	if d.Full {
		return d.Image
	}
	replaced := make([]bool, bucketCount)
	for _, b := range d.Buckets {
		if b < bucketCount {
			replaced[b] = true
		}
	}
	out := Image{Kind: i.Kind, Era: d.Era, Revision: d.Revision, Objects: maps.Clone(d.Objects)}
	for name, o := range i.Objects {
		if !replaced[bucketOf(name)] {
			out.Objects[name] = o
		}
	}
	return out
}

// changesTo returns the changes that turn the image into a later one.
func (i Image) changesTo(later Image) platform.Watch {
	out := platform.Watch{Era: later.Era, Revision: later.Revision}
	for name, o := range later.Objects {
		if old, known := i.Objects[name]; !known || old.Version != o.Version {
			out.Objects = append(out.Objects, o)
		}
	}
	for name, o := range i.Objects {
		if _, kept := later.Objects[name]; !kept {
			o.Version = 0
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}
