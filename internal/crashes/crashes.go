// Package crashes holds the records of requests that ran on an engine when it died. Records merge in any order, so
// every daemon that has seen the same records has the same set.
package crashes

import (
	"cmp"
	"slices"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// Life is how long a record or verdict counts after it was made.
	Life = core.Hour
	// maxAhead is how far a record may be ahead of the own clock; hosts are synchronised to within a second, and a
	// record far ahead would outlive all others.
	maxAhead = core.Minute
	// maxPerFingerprint bounds the records of one fingerprint; crashLimit is at most 5.
	maxPerFingerprint = 8
	// maxRecords bounds the set. A crash makes a record for each of the roughly hundred requests of an engine, so this
	// holds 80 crashes an hour; at about 100 bytes a record it takes 0.8 MB.
	maxRecords = 8_192
)

// Fingerprint is the hash of caller and body, as a string of 16 bytes.
type Fingerprint string

// Record says that an engine incarnation died while it ran a request.
type Record struct {
	Fingerprint Fingerprint
	Incarnation string
	Made        core.Micros
}

func (r *Record) key() recordKey { return recordKey{r.Fingerprint, r.Incarnation} }

type recordKey struct {
	fingerprint Fingerprint
	incarnation string
}

// newer orders records from the newest to the oldest, without ties between different keys.
func newer(a, b Record) int {
	return cmp.Or(cmp.Compare(b.Made, a.Made),
		strings.Compare(string(a.Fingerprint), string(b.Fingerprint)), strings.Compare(a.Incarnation, b.Incarnation))
}

// Merge returns the union of two sets of records, newest first. It is commutative, associative and idempotent: of two
// records of one key the newer counts, each fingerprint keeps its newest records, and the set its newest of those.
func Merge(a, b []Record) []Record {
	return merge(a, b, maxPerFingerprint, maxRecords)
}

func merge(a, b []Record, perFingerprint, total int) []Record {
	newest := make(map[recordKey]Record, len(a)+len(b))
	for _, list := range [][]Record{a, b} {
		for _, r := range list {
			if old, ok := newest[r.key()]; !ok || r.Made > old.Made {
				newest[r.key()] = r
			}
		}
	}
	sorted := make([]Record, 0, len(newest))
	for _, r := range newest {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, newer)
	return capped(sorted, perFingerprint, total)
}

// capped drops what exceeds the bounds from records sorted from the newest to the oldest.
func capped(sorted []Record, perFingerprint, total int) []Record {
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
