// Package telemetry provides the metrics scope of a process and exports it in the Prometheus text format.
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

// ReportInterval is how often tally reports its values to the Prometheus reporter.
const ReportInterval = time.Second

// Metrics is the root tally scope of a process with the HTTP handler that Prometheus scrapes. Closer stops the reporting.
type Metrics struct {
	Scope   tally.Scope
	Closer  io.Closer
	Handler http.Handler
}

// New creates the metrics of the process, including those of the Go runtime. Call it once per process.
func New() *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "carobstile", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{Scope: scope, Closer: closer, Handler: reporter.HTTPHandler()}
}
