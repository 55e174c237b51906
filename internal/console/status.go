package console

import (
	"context"
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
	sums            map[string]float64
}

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
			out = append(out, &domainStatus{Name: name, sums: map[string]float64{}})
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
		d.Pools = append(d.Pools, poolStatus{p.GetPool(), one.Name, p.GetEnginesReady(), p.GetGrants(), p.GetQueued()})
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

// addMetrics sums the counters and gauges of the daemons that answered.
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
				for name, value := range values {
					domain.sums[name] += value
				}
				return nil
			})
		}
	}
	_ = group.Wait() // failures are logged one by one
	for _, domain := range list {
		for name, value := range domain.sums {
			domain.Metrics = append(domain.Metrics, metric{name, value})
		}
		slices.SortFunc(domain.Metrics, func(a, b metric) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}
