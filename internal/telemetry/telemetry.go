// Package telemetry makes the metrics scope of a process, served as Prometheus text.
package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Interval is how often tally hands its values to the Prometheus reporter.
const Interval = time.Second

// Metrics is the tally scope of the process with the handler that Prometheus reads.
type Metrics struct {
	Scope   tally.Scope
	Closer  io.Closer
	Handler http.Handler
}

// New returns the metrics of this process; there is one in each.
func New() *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "carobstile", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, Interval)
	return &Metrics{Scope: scope, Closer: closer, Handler: reporter.HTTPHandler()}
}
