// Package crashes keeps records of the requests that an engine was running when it crashed. Merging records is
// independent of their order, so daemons that received the same records hold the same set.
package crashes

import (
	"cmp"
	"slices"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// TTL is how long a record or verdict is valid after its creation.
	TTL = core.Hour
	// maxClockSkew is how far the time of a record may be ahead of the local clock. Hosts are synchronised to within a
	// second, and a record far in the future would outlive all others.
	maxClockSkew = core.Minute
	// maxPerFingerprint bounds the records of one fingerprint; crashLimit is at most 5.
	maxPerFingerprint = 8
	// maxRecords bounds the set. A crash makes a record for each of the roughly 100 requests on an engine, so the set
	// holds the records of 80 crashes an hour; at about 100 bytes a record it takes 0.8 MB.
	maxRecords = 8_192
)

// Fingerprint is the hash of the caller and the request body, as a string of 16 bytes.
type Fingerprint string

// Record states that an engine incarnation crashed while it ran a request.
type Record struct {
	Fingerprint Fingerprint
	Incarnation string
	CreatedAt   core.Micros
}

func (r *Record) key() recordKey { return recordKey{r.Fingerprint, r.Incarnation} }

type recordKey struct {
	fingerprint Fingerprint
	incarnation string
}

// compareNewestFirst orders records from the newest to the oldest. Records with different keys never compare equal.
func compareNewestFirst(a, b Record) int {
	return cmp.Or(cmp.Compare(b.CreatedAt, a.CreatedAt),
		strings.Compare(string(a.Fingerprint), string(b.Fingerprint)), strings.Compare(a.Incarnation, b.Incarnation))
}

// Merge returns the union of two sets of records, newest first. It is commutative, associative and idempotent: for each
// key the newest record is kept, then the newest records of each fingerprint, then the newest of all, up to the bounds.
func Merge(a, b []Record) []Record {
	return merge(a, b, maxPerFingerprint, maxRecords)
}

func merge(a, b []Record, perFingerprint, total int) []Record {
	newest := make(map[recordKey]Record, len(a)+len(b))
	for _, list := range [][]Record{a, b} {
		for _, r := range list {
			if old, ok := newest[r.key()]; !ok || r.CreatedAt > old.CreatedAt {
				newest[r.key()] = r
			}
		}
	}
	sorted := make([]Record, 0, len(newest))
	for _, r := range newest {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, compareNewestFirst)
	return truncate(sorted, perFingerprint, total)
}

// truncate drops the records that exceed the bounds; sorted is ordered from the newest to the oldest.
func truncate(sorted []Record, perFingerprint, total int) []Record {
	count := map[Fingerprint]int{}
	out := make([]Record, 0, min(len(sorted), total))
	for _, r := range sorted {
		if len(out) == total {
			break
		}
		if count[r.Fingerprint] < perFingerprint {
			count[r.Fingerprint]++
			out = append(out, r)
		}
	}
	return out
}
