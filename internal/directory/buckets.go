package directory

import (
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/platform"
)

// buckets is how many parts of an image are compared: few enough for their digests to fit half a kilobyte, and so many
// that a change of one among 3,000 servers moves about 50.
const buckets = 64

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % buckets) }

// Digest is a hash of the names and versions of the objects. Two daemons that know the same objects have the same
// digest, whatever revisions their calls returned.
func (i Image) Digest() uint64 {
	sum := uint64(0)
	for name, o := range i.Objects {
		sum += objectDigest(name, o)
	}
	return sum
}

// Digests returns the digest of each bucket.
func (i Image) Digests() []uint64 {
	sums := make([]uint64, buckets)
	for name, o := range i.Objects {
		sums[bucketOf(name)] += objectDigest(name, o)
	}
	return sums
}

func objectDigest(name string, o platform.Object) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(o.Version, 10))
}

// Part is an image, or those of its buckets that differ from what another daemon has.
type Part struct {
	Image
	Whole   bool
	Buckets []uint32
}

// Part returns what differs from a copy with the given digests of buckets, or the whole image if there are none.
func (i Image) Part(digests []uint64) Part {
	if len(digests) != buckets {
		return Part{Image: i, Whole: true}
	}
	out := Part{Image: Image{Kind: i.Kind, Revision: i.Revision, Objects: map[string]platform.Object{}}}
	differs := make([]bool, buckets)
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

// with returns the image in which the buckets of a part are replaced.
func (i Image) with(p Part) Image {
	if p.Whole {
		return p.Image
	}
	replaced := make([]bool, buckets)
	for _, b := range p.Buckets {
		if b < buckets {
			replaced[b] = true
		}
	}
	out := Image{Kind: i.Kind, Revision: p.Revision, Objects: maps.Clone(p.Objects)}
	for name, o := range i.Objects {
		if !replaced[bucketOf(name)] {
			out.Objects[name] = o
		}
	}
	return out
}
