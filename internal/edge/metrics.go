package edge

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is how often tally hands its values to the Prometheus reporter.
const metricsInterval = time.Second

// metrics is the tally scope of the process with the handler that Prometheus reads.
type metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

func newMetrics() *metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "carobstile", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}
