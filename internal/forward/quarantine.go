package forward

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/quarantine"
)

// requestTraits returns the trait of repetitions of the request, followed by those of the shared parts of its prompt.
func (q *request) requestTraits() []quarantine.Trait {
	out := make([]quarantine.Trait, 0, 1+len(q.SharedParts))
	out = append(out, quarantine.RequestTrait(q.service, q.r.Method, q.r.Host, q.r.URL.Path, q.Key, q.body.Chunks()...))
	for _, part := range q.SharedParts {
		out = append(out, quarantine.PartTrait(q.service, part))
	}
	return out
}

// recordBreak reports to the crash tracker that the connection to the leading server of a plan broke; begun says that the server
// had begun to answer.
func (q *request) recordBreak(plan dispatch.Plan, begun bool) {
	b := Break{Traits: q.traits, Server: plan.Lead.Process(), Begun: begun}
	for _, s := range plan.Helpers {
		b.Helpers = append(b.Helpers, s.ID)
	}
	q.crashes().RecordBreak(b)
}

// sinceSent returns the time since the current attempt was placed.
func (q *request) sinceSent() core.Micros { return q.h.Now() - q.placements[len(q.placements)-1].at }

func formatTrait(t quarantine.Trait) string { return strconv.FormatUint(uint64(t), 16) }

// blocked reports whether the request must not run, because requests like it crash servers, and sets the reason if so.
func (q *request) blocked() bool {
	v, _, blocked := q.h.CrashTracker.Blocked(q.traits)
	if blocked {
		q.reason = q.verdictReason(v)
	}
	return blocked
}

// verdictReason says why a verdict refuses the request.
func (q *request) verdictReason(v quarantine.Verdict) string {
	var parts []string
	for i, part := range q.SharedParts {
		if _, blamed := slices.BinarySearch(v.Traits, q.traits[i+1]); blamed {
			parts = append(parts, part)
		}
	}
	if len(parts) > 0 && !slices.Contains(v.Traits, q.traits[0]) {
		return "prompts with part " + joinParts(parts, maxNamedParts, " and ") + " crash the servers that run them"
	}
	return "request crashes the servers that run it"
}

const (
	// maxNamedParts bounds the parts of a prompt that a refusal names, maxLoggedParts those in a log line.
	maxNamedParts  = 4
	maxLoggedParts = 16
)

// joinParts joins up to limit parts of a prompt and the number of the others.
func joinParts(parts []string, limit int, separator string) string {
	if len(parts) <= limit {
		return strings.Join(parts, separator)
	}
	return strings.Join(parts[:limit], separator) + separator + strconv.Itoa(len(parts)-limit) + " more"
}

// failBlocked answers a request for which blocked is true.
func (q *request) failBlocked() {
	_, left, _ := q.h.CrashTracker.Blocked(q.traits)
	switch {
	case q.headerSent:
		q.abortAnswer()
	case q.mayHaveRun:
		q.reject(http.StatusBadGateway, q.reason)
	default:
		q.rejectNotRun(http.StatusServiceUnavailable, left, q.reason)
	}
}

// pendingAttempts holds the attempts that no server has begun to answer. The zero value is ready for use.
type pendingAttempts struct {
	mu  sync.Mutex
	set map[*stallDetector]bool
}

// add adds an attempt and returns the function that removes it.
func (p *pendingAttempts) add(d *stallDetector) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.set == nil {
		p.set = map[*stallDetector]bool{}
	}
	p.set[d] = true
	return func() { p.remove(d) }
}

func (p *pendingAttempts) remove(d *stallDetector) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, d)
}

func (p *pendingAttempts) list() []*stallDetector {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.set))
}

// CancelBlocked cancels the attempts of requests that must not run and that no server has begun to answer. It is called
// when a verdict has come into force.
func (h *Handler) CancelBlocked() {
	for _, d := range h.pending.list() {
		if _, _, blocked := h.CrashTracker.Blocked(d.q.traits); blocked {
			d.cancel(errBlocked)
		}
	}
}
