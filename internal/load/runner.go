package load

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/carobstile/carobstile/internal/engine"
)

// prepareAhead is how long before the send time a request body is built, so that building long prompts does not delay
// the send.
const prepareAhead = 300 * time.Millisecond

// Runner generates the load that a mix describes.
type Runner struct {
	Mix Mix
	// Targets are the server addresses. Requests go to them in rotation.
	Targets []string
	// Only restricts the run to the named classes and service routes; empty means all.
	Only []string
	// Resume enables resuming broken streams with Last-Event-ID, at most MaxResumes times for each request.
	Resume     bool
	MaxResumes int
	// MaxOpen limits the number of open requests. Requests above the limit are not sent and counted as OutcomeNotSent.
	MaxOpen int
	// RequestTimeout cancels a request that takes longer, resumed streams and repeats included.
	RequestTimeout time.Duration
	// Revision is the source revision of this program; it is recorded in the result.
	Revision string

	keyPrefix string // makes idempotency keys unique to this run
}

// Run sends all requests at their intended times and waits until all of them have ended. It stops sending when ctx is
// cancelled.
func (r *Runner) Run(ctx context.Context) *Result {
	r.keyPrefix = uuid.NewString() + "-"
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: r.MaxOpen,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	s := &sender{runner: r, client: &http.Client{Transport: transport}}
	results := newCollector(r)
	var wg sync.WaitGroup
	slots := make(chan struct{}, r.MaxOpen)
	start := time.Now().Add(prepareAhead)
	for n, a := range Schedule(r.Mix, r.Only) {
		intended := start.Add(a.At)
		sleep(ctx, time.Until(intended)-prepareAhead)
		if ctx.Err() != nil {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			results.add(observation{arrival: a, outcome: OutcomeNotSent})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			results.add(s.send(ctx, a, intended, n))
		})
	}
	wg.Wait()
	return results.result(start, time.Since(start))
}

func (s *sender) send(ctx context.Context, a Arrival, intended time.Time, target int) observation {
	ctx, cancel := context.WithTimeout(ctx, s.runner.RequestTimeout)
	defer cancel()
	if a.Service >= 0 {
		sleep(ctx, time.Until(intended))
		return s.callService(ctx, a, intended, target)
	}
	text := Prompt(s.runner.Mix, a)
	body, err := json.Marshal(engine.ChatRequest{
		Model: s.runner.Mix.Model, Stream: true, MaxTokens: a.OutputTokens, Seed: a.Seed,
		Messages: []engine.Message{{Role: "user", Content: engine.Content(text)}},
	})
	if err != nil {
		return observation{arrival: a, outcome: OutcomeNotSent}
	}
	v := newVerifier(text, s.runner.Mix.Model, s.runner.Mix.Version, a.Seed, a.OutputTokens)
	sleep(ctx, time.Until(intended))
	return s.sendPrompt(ctx, a, body, v, intended, target)
}
