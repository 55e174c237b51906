package edge

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/quarantine"
)

const (
	// explanationsPerSecond and explanationBurst bound the work for explanations, each of which copies the state of a service while
	// requests wait for it: 5 to 7 ms with 400 engines and 4,800 jobs on a machine with a load of 30.
	explanationsPerSecond = 2
	explanationBurst      = 10
	// Bounds of the fields of a question.
	maxExplainedTokens = 100_000_000
	maxExplainedBytes  = 1 << 30
	maxExplainedText   = 1024
	maxExplainedParts  = 4096 // headers hold about 1,100
	maxExplainedWaitMs = 3_600_000
)

// metricsHandler serves metrics and explanations to operators.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.metrics.Handler)
	mux.Handle("/explain", &explainer{d: d, limiter: rate.NewLimiter(explanationsPerSecond, explanationBurst)})
	return mux
}

// explainer answers where a request would go.
type explainer struct {
	d       *Daemon
	limiter *rate.Limiter
}

// ServeHTTP implements http.Handler.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !operatorAllowed(e.d.latestSettings.Load().OperatorKey, r):
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "operator key is missing or wrong", http.StatusUnauthorized)
		return
	case r.Method != http.MethodGet:
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	question, err := parseQuestion(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many explanations", http.StatusTooManyRequests)
		return
	}
	out, err := e.d.handler.Explain(question, e.d.scheduler.explain)
	var invalid *forward.QuestionError
	switch {
	case errors.As(err, &invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out.Daemon, out.FailureDomain, out.Verdicts = e.d.settings.Name, e.d.settings.FailureDomain, len(e.d.crashes.verdicts())
	body, err := json.Marshal(out)
	if err != nil { // a prediction is not finite
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // a write error only means that the client disconnected
}

// operatorAllowed compares the bearer key of a request in constant time. An empty key allows all requests. The name of the scheme has no
// case (RFC 9110).
func operatorAllowed(key string, r *http.Request) bool {
	if key == "" {
		return true
	}
	scheme, given, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// parseQuestion parses the query parameters. Errors begin with the name of the parameter.
func parseQuestion(query string) (q forward.Question, err error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return q, errors.Wrap(err, "query")
	}
	texts := map[string]*string{"service": &q.Service, "host": &q.Host, "path": &q.Path, "workspace": &q.Workspace}
	for name, list := range values {
		switch {
		case name == "part" && len(list) > maxExplainedParts:
			return q, errors.Newf("part: at most %d are allowed", maxExplainedParts)
		case name != "part" && len(list) > 1:
			return q, errors.Newf("%s: must be set once", name)
		case slices.ContainsFunc(list, func(v string) bool { return len(v) > maxExplainedText }):
			return q, errors.Newf("%s: longer than %d bytes", name, maxExplainedText)
		}
		switch name {
		case "service", "host", "path", "workspace":
			*texts[name] = list[0]
		case "prompt":
			q.Prompt, err = parseCount(name, list[0], maxExplainedTokens)
		case "answer":
			q.Answer, err = parseCount(name, list[0], maxExplainedTokens)
		case "deadline":
			var ms int
			ms, err = parseCount(name, list[0], maxExplainedWaitMs)
			q.Timeout = time.Duration(ms) * time.Millisecond
		case "bytes":
			q.Bytes, err = parseCount(name, list[0], maxExplainedBytes)
		case "fingerprint":
			var trait uint64
			trait, err = strconv.ParseUint(list[0], 16, 64)
			err = errors.Wrap(err, name)
			q.Fingerprint = quarantine.Trait(trait)
		case "part":
			q.Parts = list
		default:
			return q, errors.Newf("%s: unknown parameter", name)
		}
		if err != nil {
			return q, err
		}
	}
	if q.Host != "" && !strings.HasPrefix(q.Path, "/") {
		return q, errors.New("path: must begin with a slash")
	}
	if q.Host == "" && q.Path != "" {
		return q, errors.New("host: must be set with path")
	}
	return q, nil
}

func parseCount(name, value string, most int) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > most {
		return 0, errors.Newf("%s: must be a number from 0 to %d", name, most)
	}
	return n, nil
}

// explain returns where a request would be placed. Requests wait only while the state is copied.
func (s *scheduler) explain(now core.Micros, w dispatch.Work) dispatch.Explanation {
	s.mu.Lock()
	c := s.core.Copy(w.Service)
	s.mu.Unlock()
	return c.Explain(now, w)
}
