package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/quarantine"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

// A daemon that is cut off from the servers passes requests on to a neighbour, at the address that only daemons reach. These headers are
// read there and nowhere else, and are taken off before a server gets the request.
const (
	// headerRelay names the sending daemon.
	headerRelay = "Carobstile-Relay"
	// headerRelayConfig is the version of the configuration that the sender has in force.
	headerRelayConfig = "Carobstile-Relay-Config"
	// headerRelayCounted is set if the sender has counted the request for the retry budget.
	headerRelayCounted = "Carobstile-Relay-Counted"
	// headerRelaySends is how many servers may have run the request: before it was passed on, and in the answer including those of the
	// neighbour.
	headerRelaySends = "Carobstile-Relay-Sends"
	// headerRelayWeights is the version of the weights that a resumed stream requires.
	headerRelayWeights = "Carobstile-Relay-Weights"
	// headerRelayOutcome is set in answers of the neighbour itself: relayDeclined if another neighbour should be asked, relayNotRun if the
	// request is refused and has not been run.
	headerRelayOutcome = "Carobstile-Relay-Outcome"
	relayDeclined      = "declined"
	relayNotRun        = "not-run"
)

// maxRefusalBytes bounds what is read of a neighbour's refusal.
const maxRefusalBytes = 1 << 10

// Neighbour is a daemon that takes requests of this one.
type Neighbour struct{ Name, Address, Domain string }

// Relays chooses neighbours for the requests of a daemon that is cut off from the servers.
type Relays interface {
	// Pick returns a neighbour that reaches servers and has the given version of the configuration or a newer one. It returns false if the
	// daemon is not cut off, or there is none.
	Pick(version int64, exclude []string) (Neighbour, bool)
	// Done records that the neighbour has ended a request that it was picked for.
	Done(n Neighbour)
	// CutOff reports whether the daemon is cut off from the servers.
	CutOff() bool
}

// relayed is what the sending daemon said about a request.
type relayed struct {
	from, weights string
	config        int64
	sends         int
	counted       bool
}

// takeRelayHeaders returns what the sending daemon said, and takes it off the header.
func takeRelayHeaders(h http.Header) *relayed {
	config, _ := strconv.ParseInt(h.Get(headerRelayConfig), 10, 64) // 0 if it is malformed: any configuration will do
	sends, _ := strconv.Atoi(h.Get(headerRelaySends))               // 0 if it is malformed, as from a daemon that has sent nothing
	out := &relayed{sends: max(0, sends), from: h.Get(headerRelay), weights: h.Get(headerRelayWeights), config: config, counted: h.Get(headerRelayCounted) != ""}
	for name := range h {
		if strings.HasPrefix(name, headerRelay) {
			h.Del(name)
		}
	}
	return out
}

// ServeDaemons returns the handler of the address for daemons: it serves requests that other daemons pass on, and others with next.
func (h *Handler) ServeDaemons(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerRelay) == "" {
			next.ServeHTTP(w, r)
			return
		}
		h.serve(w, r, takeRelayHeaders(r.Header))
	})
}

// declineRelayed declines a request of another daemon if this one should not take it, and reports whether it did.
func (q *request) declineRelayed() bool {
	reason := ""
	switch {
	case q.relayed == nil:
		return false
	case q.h.draining.Load():
		reason = "daemon is stopping"
	case q.table == nil || q.table.Version < q.relayed.config:
		reason = "configuration is older than the sender's"
	case q.h.Relays.CutOff():
		reason = "daemon is cut off from the servers too"
	default:
		return false
	}
	q.decline(reason)
	return true
}

// decline tells the daemon that has passed the request on to ask another neighbour.
func (q *request) decline(reason string) {
	q.w.Header().Set(headerRelayOutcome, relayDeclined)
	q.reject(http.StatusServiceUnavailable, reason)
}

// attemptRelay passes the request on to a neighbour once.
func (q *request) attemptRelay(n Neighbour) (outcome, *bufferedAnswer) {
	defer q.h.Relays.Done(n)
	q.neighbour = &n
	defer func() { q.neighbour = nil }()
	plan := dispatch.Plan{Lead: dispatch.Server{ID: n.Name, Domain: n.Domain}}
	q.enterAttempt(n.Name)
	q.placements = append(q.placements, placement{at: q.h.Now(), plan: plan})
	q.h.Metrics.recordRelay()
	q.h.Log.Debug("request passed on", evlog.KeyRequest, q.ID, "neighbour", n.Name)
	detector := q.newStallDetector(plan)
	defer detector.stop()
	resp, err := q.h.Pool.Send(detector.ctx, upstream.Target{ID: n.Name, Address: n.Address}, q.relayRequest(plan))
	if err != nil {
		q.excludedNeighbours = append(q.excludedNeighbours, n.Name)
		return q.handleSendError(detector, plan, 0, err), nil
	}
	defer resp.Close()
	return q.handleRelayed(detector, plan, resp)
}

func (q *request) relayRequest(plan dispatch.Plan) *upstream.Request {
	left := q.remaining()
	headers := ServerHeaders{Remaining: left, LastEventID: q.LastEventID}
	if q.stream.eventCount > 0 {
		headers.LastEventID, headers.Version = q.stream.lastEventID, q.stream.weightsVersion
	}
	out := q.h.HeaderCodec.Relayed(q.r.Header, headers)
	out.Set(headerRelay, q.h.Name)
	out.Set(headerRelayConfig, strconv.FormatInt(q.table.Version, 10))
	out.Set(headerRelaySends, strconv.Itoa(q.sendCount))
	if q.counted {
		out.Set(headerRelayCounted, "1")
	}
	if headers.Version != "" {
		out.Set(headerRelayWeights, headers.Version)
	}
	return &upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: out, Body: q.body.Chunks(),
		NewConn: q.route.RetryMode == routing.AtMostOnce, Deadline: time.Now().Add(left),
		Matches: func(h http.Header, sole bool) bool {
			return h.Get(headerRelayOutcome) == relayDeclined || q.h.HeaderCodec.Matches(h, q.ID, sole)
		},
		Allowed: func() bool { return q.spendPermit(plan) },
	}
}

// handleRelayed handles the response of a neighbour from its header on. The neighbour has tried what can be tried; only a stream that breaks
// off may go on elsewhere.
func (q *request) handleRelayed(detector *stallDetector, plan dispatch.Plan, resp *upstream.Response) (outcome, *bufferedAnswer) {
	switch resp.Header.Get(headerRelayOutcome) {
	case relayDeclined:
		q.reason = "neighbour declined the request: " + readRefusal(resp)
		q.excludedNeighbours = append(q.excludedNeighbours, plan.Lead.ID)
		return outcomeRetry, nil
	case relayNotRun:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // always set by rejectNotRun
		q.failUnplaced(&Refusal{RetryAfter: time.Duration(seconds * float64(time.Second)), Reason: readRefusal(resp)})
		return outcomeDone, nil
	}
	q.arrivals++
	sends, _ := strconv.Atoi(resp.Header.Get(headerRelaySends)) // always set by a neighbour
	q.sendCount = max(q.sendCount+1, sends)
	q.mayHaveRun, q.counted = true, true
	a := q.h.HeaderCodec.Answer(resp.Status, resp.Header)
	if q.route.Stream && a.Accepted && resp.Status < http.StatusMultipleChoices && q.continuesStream(resp) {
		return q.relayStream(detector, plan, 0, resp, a), nil
	}
	if q.headerSent {
		return q.failStream(plan, 0, dispatch.FaultErrored, "neighbour failed the continued stream"), nil
	}
	reserved := q.bufferedBytes
	body, err := q.readAnswer(resp)
	if err != nil || !resp.Complete() {
		q.releaseBuffer(q.bufferedBytes - reserved)
		q.failAnswer(detector, plan, err)
		return outcomeRetry, nil
	}
	if !a.Accepted {
		q.reason = "neighbour's answer"
	}
	q.forwardAnswer(&bufferedAnswer{status: resp.Status, header: resp.Header, body: body})
	return outcomeDone, nil
}

// sayRelaySends tells the daemon that has passed the request on how many servers may have run it.
func (q *request) sayRelaySends() {
	if q.relayed != nil {
		q.w.Header().Set(headerRelaySends, strconv.Itoa(q.sendCount))
	}
}

// readRefusal returns the text of a neighbour's own answer.
func readRefusal(resp *upstream.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp, maxRefusalBytes)) // what has been read is said
	return strings.TrimSpace(string(text))
}

// pickNeighbour returns a neighbour to pass the request on to, if this daemon is cut off from the servers.
func (q *request) pickNeighbour() (Neighbour, bool) {
	if q.h.Relays == nil || q.relayed != nil {
		return Neighbour{}, false
	}
	return q.h.Relays.Pick(q.table.Version, q.excludedNeighbours)
}

// recordNeighbourFault logs that a neighbour failed a request that was passed on. The servers are not to blame.
func (q *request) recordNeighbourFault(f dispatch.Fault) {
	q.excludedNeighbours = append(q.excludedNeighbours, q.neighbour.Name)
	q.h.Log.Info("neighbour failed a request", evlog.KeyRequest, q.ID, "neighbour", q.neighbour.Name, "fault", f, "reason", q.reason,
		"begun", q.stream.eventCount > 0)
}

// crashes returns the tracker of crashes. The neighbour that sends a request to a server records what becomes of it.
func (q *request) crashes() CrashTracker {
	if q.neighbour != nil {
		return relayedCrashes{q.h.CrashTracker}
	}
	return q.h.CrashTracker
}

// relayedCrashes is the CrashTracker of a request that a neighbour sends: it records nothing.
type relayedCrashes struct{ CrashTracker }

func (relayedCrashes) RecordBreak(Break)                                {}
func (relayedCrashes) RecordAnswer([]quarantine.Trait, core.Micros)     {}
func (relayedCrashes) RecordCompletion([]quarantine.Trait, core.Micros) {}

// countRequest counts the request for the retry budget, once, and not if the daemon did that passed it on.
func (q *request) countRequest() {
	if !q.counted {
		q.counted = true
		q.h.Budget.CountRequest(q.service)
	}
}
