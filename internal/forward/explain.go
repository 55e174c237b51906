package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/quarantine"
	"github.com/carobstile/carobstile/internal/routing"
)

// Question describes a request whose placement is to be explained.
type Question struct {
	// Service selects a service and its first route; Host and Path select a route instead, and Service one of its services.
	Service, Host, Path string
	// Workspace is the name of a workspace; "" for a request without one.
	Workspace string
	// Prompt and Answer are lengths in tokens, Bytes the size of the body.
	Prompt, Answer, Bytes int
	// Timeout is how long the caller says that it waits; 0 if it does not say.
	Timeout time.Duration
	// Fingerprint is the trait of the request as a whole, 0 if unknown. Parts are the shared parts of its prompt.
	Fingerprint quarantine.Trait
	Parts       []string
}

// Explanation is the answer of a daemon to a Question.
type Explanation struct {
	Daemon        string `json:"daemon"`
	FailureDomain string `json:"failureDomain"`
	Config        int64  `json:"config"`
	Route         string `json:"route"`
	Service       string `json:"service"`
	// Status is the status that a refused request gets; 0 for others.
	Status int `json:"status,omitempty"`
	// Verdicts is the number of verdicts in force on requests that crash servers. Verdict is the one that refuses this request.
	Verdicts int      `json:"verdicts"`
	Verdict  *Verdict `json:"verdict,omitempty"`
	dispatch.Explanation
}

// Verdict is a verdict on requests that crash servers.
type Verdict struct {
	Traits []string `json:"traits"`
	Stage  string   `json:"stage"`
	AgeMs  float64  `json:"ageMs"`
	LeftMs float64  `json:"leftMs"`
}

// QuestionError is an invalid field of a Question.
type QuestionError struct{ Field, Reason string }

func (e *QuestionError) Error() string { return e.Field + ": " + e.Reason }

// Explain answers a question without any effect. decide returns where dispatch would place the request. The checks before the placement
// come in the order of those for requests.
func (h *Handler) Explain(x Question, decide func(now core.Micros, w dispatch.Work) dispatch.Explanation) (*Explanation, error) {
	q := &request{h: h, arrived: h.Now(), table: h.Table(), service: x.Service}
	if q.table == nil {
		return nil, &Refusal{RetryAfter: retryAfterNoConfig, Reason: "no configuration is known yet"}
	}
	if err := q.applyQuestion(x); err != nil {
		return nil, err
	}
	q.setDeadline()
	w := q.newWork()
	w.Bytes += x.Bytes
	out := &Explanation{Config: q.table.Version, Route: q.route.Name, Service: q.service, Explanation: decide(q.arrived, w)}
	if out.Outcome == dispatch.OutcomeRefused {
		out.Status = http.StatusServiceUnavailable
	}
	refuse := func(status int, after time.Duration, reason string) {
		out.Outcome, out.Reason, out.Status = dispatch.OutcomeRefused, reason, status
		out.RetryAfterMs = after.Seconds() * float64(time.Second/time.Millisecond)
	}
	v, left, blocked := h.CrashTracker.Blocked(q.traits)
	switch {
	case h.draining.Load():
		refuse(http.StatusServiceUnavailable, retryAfterTransient, "daemon is stopping")
	case int64(x.Bytes) > MaxBodyBytes(q.table.Limits):
		refuse(http.StatusRequestEntityTooLarge, 0, "body exceeds the limit")
	case !h.Bodies.CanHold(int64(x.Bytes)):
		refuse(http.StatusServiceUnavailable, retryAfterNoRoom, "no memory is left for the body")
	case blocked:
		refuse(http.StatusServiceUnavailable, left, q.verdictReason(v))
		out.Verdict = &Verdict{Stage: v.Stage.String(), AgeMs: float64(millis(v.Age)), LeftMs: out.RetryAfterMs}
		for _, t := range v.Traits {
			out.Verdict.Traits = append(out.Verdict.Traits, formatTrait(t))
		}
	}
	return out, nil
}

// applyQuestion sets the route, the service and the workspace of a request, and what its headers would state.
func (q *request) applyQuestion(x Question) error {
	if err := q.selectRoute(x); err != nil {
		return err
	}
	if svc := q.table.Service(q.service); svc != nil && svc.Engine != nil && x.Prompt <= 0 {
		return &QuestionError{Field: "prompt", Reason: "a service of engines needs the number of prompt tokens"}
	}
	if err := q.setWorkspace(x.Workspace); err != nil {
		return err
	}
	q.Timeout, q.PromptTokens, q.MaxAnswerTokens, q.SharedParts = x.Timeout, x.Prompt, x.Answer, x.Parts
	q.traits = []quarantine.Trait{x.Fingerprint}
	for _, part := range x.Parts {
		q.traits = append(q.traits, quarantine.PartTrait(q.service, part))
	}
	return nil
}

// setWorkspace sets the workspace with the given name. Requests on public routes have none, whatever key they have.
func (q *request) setWorkspace(name string) error {
	needsKey := q.table.NeedsKey() && !q.route.Public
	i := slices.IndexFunc(q.table.Workspaces, func(ws routing.Workspace) bool { return ws.Name == name })
	switch {
	case name == "" && needsKey:
		return &QuestionError{Field: "workspace", Reason: "the route requires a key, so that each request has a workspace"}
	case name != "" && i < 0:
		return &QuestionError{Field: "workspace", Reason: "the configuration does not define it"}
	case needsKey:
		q.workspace = &q.table.Workspaces[i]
	}
	return nil
}

// selectRoute sets the route, and the service with the largest weight if the question names none.
func (q *request) selectRoute(x Question) error {
	leadsTo := func(r *routing.Route) bool {
		return slices.ContainsFunc(r.Services, func(s routing.Share) bool { return s.Service == x.Service })
	}
	if x.Host == "" {
		if x.Service == "" {
			return &QuestionError{Field: "service", Reason: "either service or host and path must be set"}
		}
		for i := range q.table.Routes {
			if leadsTo(&q.table.Routes[i]) {
				q.route = &q.table.Routes[i]
				return nil
			}
		}
		return &QuestionError{Field: "service", Reason: "no route leads to it"}
	}
	if q.route = q.table.Match(x.Host, x.Path); q.route == nil {
		return &QuestionError{Field: "path", Reason: "no route for host and path"}
	}
	if x.Service != "" && !leadsTo(q.route) {
		return &QuestionError{Field: "service", Reason: "the route does not lead to it"}
	}
	weight := -1
	for _, s := range q.route.Services {
		if own := max(0, s.Weight); x.Service == "" && own > weight { // as Pick counts weights
			q.service, weight = s.Service, own
		}
	}
	return nil
}
