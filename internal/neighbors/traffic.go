package neighbors

import "sync/atomic"

// Traffic holds the bytes sent to neighbours, by content and by whether they are in another failure domain.
type Traffic struct {
	SummariesInDomain, SummariesToOthers, UpdatesInDomain, UpdatesToOthers atomic.Int64
}

func (t *Traffic) count(summary, otherDomain bool, bytes int) {
	counter := &t.UpdatesInDomain
	switch {
	case summary && otherDomain:
		counter = &t.SummariesToOthers
	case summary:
		counter = &t.SummariesInDomain
	case otherDomain:
		counter = &t.UpdatesToOthers
	}
	counter.Add(int64(bytes))
}

// Traffic returns the counters of the bytes sent.
func (l *Link) Traffic() *Traffic { return &l.traffic }
