package soak

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// Bounds of the promises, from the platform's sheets.
const (
	contactFor    = 4 * time.Second // calm before a rule with a time bound holds again
	applyWithin   = 3 * time.Second // a configuration is in force
	drainWithin   = 3 * time.Second // a leaving server gets no more requests
	lateBy        = 500 * time.Millisecond
	recoverWithin = 15 * time.Second
	freeWithin    = 4 * time.Second // reservations end after the last request
	// servedShare is the share of requests that must succeed once the deployment has recovered; nothing is broken then.
	servedShare = 0.9
	// maxViolations bounds the violations that are kept; all are logged.
	maxViolations = 50
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request,omitempty"`
	What    string `json:"what"`
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
}

// scope is what a disturbance touches. daemon is its number where that matters.
type scope struct {
	part   part
	daemon int
}

type part int

const (
	partStore    part = iota + 1
	partServers       // any server or the link to it
	partDaemon        // a daemon or one of its links
	partStopping      // a daemon that stops by plan, which excuses no request that it has taken
)

var (
	scopeStore   = scope{part: partStore}
	scopeServers = scope{part: partServers}
)

func scopeDaemon(i int) scope   { return scope{part: partDaemon, daemon: i} }
func scopeStopping(i int) scope { return scope{part: partStopping, daemon: i} }

// span is a time in which something was disturbed; an open one has no end.
type span struct {
	scope    scope
	from, to time.Time
}

// varying is a route or key that comes and goes. Changes are the confirmations of the store.
type varying struct {
	allowed bool
	since   time.Time
}

// judge checks the promises by what callers and servers see. It is safe for concurrent use.
type judge struct {
	log   *slog.Logger
	began time.Time

	mu         sync.Mutex
	requests   map[string]*request
	spans      []*span
	varyings   map[string]varying
	names      []string
	leavings   map[string]time.Time
	sends      []arrival
	violations []Violation
	counts     map[string]int
}

// arrival is a first or further run of a request.
type arrival struct {
	at      time.Time
	service string
	repeat  bool
}

func newJudge(log *slog.Logger) *judge {
	return &judge{
		log: log, began: time.Now(), requests: map[string]*request{}, varyings: map[string]varying{},
		leavings: map[string]time.Time{}, counts: map[string]int{},
	}
}

func (j *judge) violate(promise, id, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.add(promise, id, format, args...)
}

func (j *judge) add(promise, id, format string, args ...any) {
	v := Violation{Promise: promise, Request: id, What: fmt.Sprintf(format, args...), At: time.Since(j.began)}
	j.log.Error("promise broken", "promise", promise, "request", id, "what", v.What, "at", v.At.Round(time.Millisecond))
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, v)
	}
}

// disturb notes the begin of a disturbance and returns the function that ends it.
func (j *judge) disturb(s scope) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := &span{scope: s, from: time.Now()}
	j.spans = append(j.spans, d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.to = time.Now()
	}
}

// calm reports whether none of the scopes was disturbed in a time, nor shortly before it.
func (j *judge) calm(from, to time.Time, scopes ...scope) bool {
	for _, s := range j.spans {
		over := !s.to.IsZero() && s.to.Before(from.Add(-contactFor))
		if over || s.from.After(to) {
			continue
		}
		if slices.Contains(scopes, s.scope) {
			return false
		}
	}
	return true
}

func (j *judge) allowed(name string, yes bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.varyings[name]; !known {
		j.names = append(j.names, name)
	}
	j.varyings[name] = varying{allowed: yes, since: time.Now()}
}

// someVarying returns a route or key that exists or existed, "" if there is none yet.
func (j *judge) someVarying(random *rand.Rand) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.names) == 0 {
		return ""
	}
	return j.names[random.IntN(len(j.names))]
}

func (j *judge) leaving(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leavings[server] = time.Now()
}

func (j *judge) begin(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.id] = r
}

// ran is told of every request that a server takes up.
func (j *judge) ran(run standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[run.ID]
	if r == nil {
		j.add("UNASKED", run.ID, "server %s ran a request that no caller sent", run.Server)
		return
	}
	r.runs++
	r.servers = append(r.servers, run.Server)
	j.sends = append(j.sends, arrival{at: run.At, service: r.kind.service, repeat: r.runs > 1})
	switch {
	case run.Target != r.path || run.Method != http.MethodPost || string(run.Body) != r.body:
		j.add("UNASKED", r.id, "server %s got another method, path or body", run.Server)
	case run.Workspace != workspace || run.Key != "":
		j.add("UNASKED", r.id, "server %s got workspace %q and key %q", run.Server, run.Workspace, run.Key)
	case r.kind.once() && r.runs > 1:
		j.add("TWICE", r.id, "ran on %v", r.servers)
	case r.runs > r.kind.attempts:
		j.add("BUDGET", r.id, "ran %d times, on %v", r.runs, r.servers)
	case refusal(r.status):
		j.add("REFUSED", r.id, "ran on %s after it was refused with %d", run.Server, r.status)
	}
	j.checkService(r, run)
	j.checkLeaving(r, run)
	j.checkWindow(run.At, r.kind.service)
}

func (j *judge) checkService(r *request, run standin.Run) {
	if !strings.HasPrefix(run.Server, r.kind.service+"-") {
		j.add("ROUTE", r.id, "ran on %s, which is not of service %s", run.Server, r.kind.service)
	}
	v, ok := j.varyings[r.varies]
	late := v.since.Add(applyWithin)
	if ok && !v.allowed && r.sent.After(late) && j.inTouch(r.daemon, v.since, run.At) {
		j.add("CONFIG", r.id, "ran with %s, which was dropped %v before it was sent", r.varies, r.sent.Sub(v.since))
	}
}

// inTouch reports whether a daemon and the store were calm in a time.
func (j *judge) inTouch(daemon int, from, to time.Time) bool {
	return j.calm(from, to, scopeStore, scopeDaemon(daemon), scopeStopping(daemon))
}

func (j *judge) checkLeaving(r *request, run standin.Run) {
	left, ok := j.leavings[run.Server]
	if ok && run.At.After(left.Add(drainWithin)) && j.inTouch(r.daemon, left, run.At) {
		j.add("DRAIN", r.id, "ran on %s, %v after it began to leave", run.Server, run.At.Sub(left))
	}
}

// checkWindow checks the shared budget of repeats in the window that ends now. The requests are those of that window, of the
// one before it or of the one half a window before, whichever has most.
func (j *judge) checkWindow(now time.Time, service string) {
	const half = retryWindow / 2
	var firsts [4]int // by half windows, the newest first
	repeats := 0
	for i := len(j.sends) - 1; i >= 0 && now.Sub(j.sends[i].at) < 2*retryWindow; i-- {
		s := j.sends[i]
		age := now.Sub(s.at)
		switch {
		case s.service != service:
		case !s.repeat:
			firsts[max(0, int(age/half))]++
		case age < retryWindow:
			repeats++
		}
	}
	requests := max(firsts[0]+firsts[1], firsts[1]+firsts[2], firsts[2]+firsts[3])
	if float64(repeats) > retryRatio*float64(requests)+retryAllowance {
		j.add("BUDGET", "", "%d repeats at %s within %v, for %d requests", repeats, service, retryWindow, requests)
	}
}

func refusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// end judges what the caller got.
func (j *judge) end(r *request, got reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.reply = got
	complete := r.err == nil
	j.counts[outcome(r)]++
	j.checkAnswer(r, complete)
	if refusal(r.status) && r.runs > 0 && r.kind.once() {
		j.add("REFUSED", r.id, "refused with %d, ran on %v", r.status, r.servers)
	}
	if took := r.ended.Sub(r.sent); took > r.kind.limit+lateBy && j.inTouch(r.daemon, r.sent, r.ended) {
		j.add("TIME", r.id, "%s ended after %v, its limit is %v", r.kind.name, took, r.kind.limit)
	}
	j.checkAllowed(r)
	j.checkStop(r, complete)
}

func outcome(r *request) string {
	if r.err != nil {
		return "broken"
	}
	return http.StatusText(r.status)
}

func (j *judge) checkAnswer(r *request, complete bool) {
	if r.status < 200 || r.status >= 300 {
		return
	}
	if !r.stamped {
		j.add("MIXED", r.id, "success without a server's stamp")
		return
	}
	if r.kind.stream() {
		if wrong := checkStream(r, complete); wrong != "" {
			j.add("ORDER", r.id, "%s", wrong)
		}
		return
	}
	if want := answerText(r.id, r.body, 0); complete && r.answer != want {
		j.add("MIXED", r.id, "answer of %d bytes is not the server's %d", len(r.answer), len(want))
	}
}

// checkAllowed checks that what the configuration allows is not denied.
func (j *judge) checkAllowed(r *request) {
	denied := r.status == http.StatusNotFound || r.status == http.StatusUnauthorized || r.status == http.StatusForbidden
	if !denied || r.stamped {
		return
	}
	v, ok := j.varyings[r.varies]
	switch {
	case !ok:
		j.add("DENIED", r.id, "status %d for what every configuration allows", r.status)
	case v.allowed && r.sent.After(v.since.Add(applyWithin)) && j.inTouch(r.daemon, v.since, r.ended):
		j.add("CONFIG", r.id, "status %d, %v after %s was added", r.status, r.sent.Sub(v.since), r.varies)
	}
}

// checkStop checks that a planned stop cuts off no request that the daemon has passed on.
func (j *judge) checkStop(r *request, complete bool) {
	if complete || r.runs == 0 || j.calm(r.sent, r.ended, scopeStopping(r.daemon)) {
		return
	}
	if j.calm(r.sent, r.ended, scopeStore, scopeServers, scopeDaemon(r.daemon)) {
		j.add("LOST", r.id, "cut off by a planned stop of daemon %d: %v", r.daemon, r.err)
	}
}

// served returns how many requests were sent in a time, and how many of them succeeded.
func (j *judge) served(from, to time.Time) (sent, succeeded int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.sent.Before(from) || r.ended.After(to) || r.ended.IsZero() || r.varies != "" {
			continue
		}
		sent++
		if r.err == nil && r.status >= 200 && r.status < 300 {
			succeeded++
		}
	}
	return sent, succeeded
}
