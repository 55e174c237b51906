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

// maxConcurrentMetricsCalls limits the concurrent requests for the metrics of daemons.
const maxConcurrentMetricsCalls = 32

// statusBody is the content of the status page.
type statusBody struct {
	Generation uint64
	Domains    []*domainStatus
}

// domainStatus aggregates the status of a failure domain.
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
	FirstToken      []firstTokenLatency
	metricSums      *fleet.Metrics
}

// firstTokenLatency is the time to first token for a length class of prompts. P50 and P95 are upper bounds, taken from
// histogram buckets.
type firstTokenLatency struct {
	Class    string
	Requests float64
	P50, P95 string
}

// lengthClasses are the values of the gate's length class label, from short to long prompts.
var lengthClasses = []string{"short", "medium", "long"}

// KVPercent returns the percentage of the engines' KV memory that is in use.
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

// State returns the member state of the daemon in lower case.
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
	current, err := c.currentSnapshot(r.Context())
	var generation uint64
	if err == nil { // the status page also works during a platform outage
		generation = current.Root.Generation
	}
	daemons := c.deps.Fleet.Survey(r.Context())
	body := statusBody{Generation: generation, Domains: groupByDomain(daemons, generation)}
	c.addMetrics(r.Context(), body.Domains)
	c.render(w, s, http.StatusOK, "status", "Live status", body)
}

// groupByDomain groups daemons by failure domain. They must be sorted by it.
func groupByDomain(daemons []fleet.Daemon, generation uint64) []*domainStatus {
	var out []*domainStatus
	for _, d := range daemons {
		name := d.Member.GetFailureDomain()
		if len(out) == 0 || out[len(out)-1].Name != name {
			out = append(out, &domainStatus{Name: name, metricSums: fleet.NewMetrics()})
		}
		out[len(out)-1].addDaemon(d, generation)
	}
	return out
}

func (d *domainStatus) addDaemon(daemon fleet.Daemon, generation uint64) {
	behind := daemon.Expected() && daemon.Generation() < generation
	d.Daemons = append(d.Daemons, daemonStatus{Daemon: daemon, Behind: behind})
	if behind {
		d.Behind++
	}
	if daemon.Status.GetReady() {
		d.Ready++
	}
	d.OpenStreams += daemon.Status.GetOpenStreams()
	for _, p := range daemon.Status.GetPools() {
		d.Pools = append(d.Pools, poolStatus{p.GetPool(), daemon.Name, len(p.GetEngines()), p.GetEnginesReady(), p.GetGrants(), p.GetQueued()})
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

// addMetrics adds the metrics of each failure domain, summed over the daemons that answered.
func (c *Console) addMetrics(ctx context.Context, domains []*domainStatus) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentMetricsCalls)
	for _, domain := range domains {
		for _, d := range domain.Daemons {
			if d.Status == nil {
				continue
			}
			group.Go(func() error {
				values, err := c.deps.Fleet.Metrics(ctx, d.AdminAddress)
				if err != nil {
					c.deps.Log.Warn("failed to read the metrics of a daemon", "address", d.AdminAddress, "err", err)
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				domain.metricSums.Add(values)
				return nil
			})
		}
	}
	_ = group.Wait() // always nil: errors are logged above
	for _, domain := range domains {
		domain.Metrics, domain.Ended = sortedMetrics(domain.metricSums.Sums), sortedMetrics(domain.metricSums.Ended)
		domain.FirstToken = firstTokenLatencies(domain.metricSums.FirstToken)
	}
}

func sortedMetrics(values map[string]float64) []metric {
	var out []metric
	for _, name := range slices.Sorted(maps.Keys(values)) {
		out = append(out, metric{name, values[name]})
	}
	return out
}

func firstTokenLatencies(byClass map[string]fleet.Buckets) []firstTokenLatency {
	var out []firstTokenLatency
	for _, class := range lengthClasses {
		if b := byClass[class]; b.Count() > 0 {
			out = append(out, firstTokenLatency{
				class, b.Count(), formatUpperBound(b.Quantile(0.5)), formatUpperBound(b.Quantile(0.95)),
			})
		}
	}
	return out
}

func formatUpperBound(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "above the largest bucket"
	}
	return fmt.Sprintf("at most %g s", seconds)
}
