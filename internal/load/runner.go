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

// prepareAhead is how long before its send time a request's body is made, so that long prompts are not sent late.
const prepareAhead = 300 * time.Millisecond

// Runner runs a mix.
type Runner struct {
	Mix Mix
	// Targets are the addresses, used in rotation.
	Targets []string
	// Only restricts the run to the named classes and routes.
	Only []string
	// Resume continues broken streams with Last-Event-ID, at most MaxResumes times a request.
	Resume     bool
	MaxResumes int
	// MaxOpen bounds the open requests; requests above it are counted as not sent.
	MaxOpen int
	// RequestTimeout ends a request that has no deadline of its own.
	RequestTimeout time.Duration
	// Revision of the source that made the result.
	Revision string

	keyPrefix string // makes the idempotency keys of each run its own
}

// Run sends all requests at their intended times and waits for the last answer.
func (r *Runner) Run(ctx context.Context) *Result {
	r.keyPrefix = uuid.NewString() + "-"
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: r.MaxOpen,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	s := &sender{run: r, client: &http.Client{Transport: transport}}
	collect := newCollector(r)
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
			collect.add(observation{arrival: a, outcome: OutcomeNotSent})
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			collect.add(s.send(ctx, a, intended, n))
		})
	}
	wg.Wait()
	return collect.result(start, time.Since(start))
}

func (s *sender) send(ctx context.Context, a Arrival, intended time.Time, target int) observation {
	ctx, cancel := context.WithTimeout(ctx, s.run.RequestTimeout)
	defer cancel()
	if a.Service >= 0 {
		sleep(ctx, time.Until(intended))
		return s.service(ctx, a, intended, target)
	}
	text := Prompt(s.run.Mix, a)
	body, err := json.Marshal(engine.ChatRequest{
		Model: s.run.Mix.Model, Stream: true, MaxTokens: a.OutputTokens, Seed: a.Seed,
		Messages: []engine.Message{{Role: "user", Content: engine.Content(text)}},
	})
	if err != nil {
		return observation{arrival: a, outcome: OutcomeNotSent}
	}
	v := newVerifier(text, s.run.Mix.Model, s.run.Mix.Version, a.Seed, a.OutputTokens)
	sleep(ctx, time.Until(intended))
	return s.prompt(ctx, a, body, v, intended, target)
}
