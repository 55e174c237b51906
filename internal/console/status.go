package console

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/carobstile/carobstile/internal/fleet"
	"golang.org/x/sync/errgroup"
)

// parallelMetrics bounds the open questions for metrics.
const parallelMetrics = 32

type statusBody struct {
	Generation uint64
	Domains    []*domainStatus
}

// domainStatus sums up one failure domain.
type domainStatus struct {
	Name            string
	Daemons         []daemonStatus
	Ready, Behind   int
	OpenStreams     uint32
	Pools           []poolStatus
	Grants, Queued  uint32
	Engines         int
	EnginesReady    uint32
	KVUsed, KVTotal uint64
	Metrics         []metric
	Ended           []metric
	FirstToken      []firstToken
	sums            *fleet.Metrics
}

// firstToken is the time to first token of one length class, as upper bounds from the buckets of a histogram.
type firstToken struct {
	Class    string
	Requests float64
	P50, P95 string
}

// lengthClasses are the length classes of prompts as the gate names them, from short to long.
var lengthClasses = []string{"short", "medium", "long"}

// KVPercent is the share of the engines' KV memory in use.
func (d *domainStatus) KVPercent() uint64 {
	if d.KVTotal == 0 {
		return 0
	}
	return d.KVUsed * 100 / d.KVTotal
}

type daemonStatus struct {
	fleet.Daemon
	Behind bool
}

// State is the daemon's liveness, in words.
func (d daemonStatus) State() string {
	return strings.ToLower(strings.TrimPrefix(d.Member.GetState().String(), "MEMBER_STATE_"))
}

type poolStatus struct {
	Name, Allocator              string
	Engines                      int
	EnginesReady, Grants, Queued uint32
}

type metric struct {
	Name  string
	Value float64
}

func (c *Console) status(w http.ResponseWriter, r *http.Request, s *session) {
	current, err := c.inForce(r.Context())
	var generation uint64
	if err == nil { // the daemons' state is shown in an outage of the platform too
		generation = current.Root.Generation
	}
	daemons := c.deps.Fleet.Survey(r.Context())
	body := statusBody{Generation: generation, Domains: domains(daemons, generation)}
	c.addMetrics(r.Context(), body.Domains)
	c.render(w, s, http.StatusOK, "status", "Live status", body)
}

// domains groups the daemons, which are sorted by failure domain.
func domains(daemons []fleet.Daemon, generation uint64) []*domainStatus {
	var out []*domainStatus
	for _, d := range daemons {
		name := d.Member.GetFailureDomain()
		if len(out) == 0 || out[len(out)-1].Name != name {
			out = append(out, &domainStatus{Name: name, sums: fleet.NewMetrics()})
		}
		out[len(out)-1].add(d, generation)
	}
	return out
}

func (d *domainStatus) add(one fleet.Daemon, generation uint64) {
	behind := one.Expected() && one.Generation() < generation
	d.Daemons = append(d.Daemons, daemonStatus{Daemon: one, Behind: behind})
	if behind {
		d.Behind++
	}
	if one.Status.GetReady() {
		d.Ready++
	}
	d.OpenStreams += one.Status.GetOpenStreams()
	for _, p := range one.Status.GetPools() {
		d.Pools = append(d.Pools, poolStatus{p.GetPool(), one.Name, len(p.GetEngines()), p.GetEnginesReady(), p.GetGrants(), p.GetQueued()})
		d.Grants += p.GetGrants()
		d.Queued += p.GetQueued()
		d.EnginesReady += p.GetEnginesReady()
		d.Engines += len(p.GetEngines())
		for _, e := range p.GetEngines() {
			d.KVUsed += e.GetKvTokensUsed()
			d.KVTotal += e.GetKvTokensTotal()
		}
	}
}

// addMetrics sums the metrics of the daemons that answered.
func (c *Console) addMetrics(ctx context.Context, list []*domainStatus) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallelMetrics)
	for _, domain := range list {
		for _, d := range domain.Daemons {
			if d.Status == nil {
				continue
			}
			group.Go(func() error {
				values, err := c.deps.Fleet.Metrics(ctx, d.Admin)
				if err != nil {
					c.deps.Log.Warn("metrics not read", "address", d.Admin, "err", err)
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				domain.sums.Add(values)
				return nil
			})
		}
	}
	_ = group.Wait() // failures are logged one by one
	for _, domain := range list {
		domain.Metrics, domain.Ended = sorted(domain.sums.Sums), sorted(domain.sums.Ended)
		domain.FirstToken = firstTokens(domain.sums.FirstToken)
	}
}

func sorted(values map[string]float64) []metric {
	var out []metric
	for _, name := range slices.Sorted(maps.Keys(values)) {
		out = append(out, metric{name, values[name]})
	}
	return out
}

func firstTokens(byClass map[string]fleet.Buckets) []firstToken {
	var out []firstToken
	for _, class := range lengthClasses {
		if b := byClass[class]; b.Count() > 0 {
			out = append(out, firstToken{class, b.Count(), boundText(b.Quantile(0.5)), boundText(b.Quantile(0.95))})
		}
	}
	return out
}

func boundText(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "above the largest bucket"
	}
	return fmt.Sprintf("at most %g s", seconds)
}
