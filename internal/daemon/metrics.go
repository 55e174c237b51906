package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/carobstile/carobstile/internal/shell"
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

// Names of the traffic metrics, in bytes since the start, both directions.
const (
	metricPeerBytes   = "peer_bytes"   // TCP between daemons, TLS included
	metricPacketBytes = "packet_bytes" // UDP membership packets
	metricRefused     = "packets_refused"
)

// reportTraffic publishes the bytes of control traffic until ctx ends.
func (d *Daemon) reportTraffic(ctx context.Context) {
	scope := d.metrics.scope.SubScope("control")
	peers, packets, refused := scope.Gauge(metricPeerBytes), scope.Gauge(metricPacketBytes), scope.Gauge(metricRefused)
	shell.Every(ctx, metricsInterval, func(context.Context) {
		counters := d.udp.Counters()
		peers.Update(float64(d.traffic.Sent() + d.traffic.Received()))
		packets.Update(float64(counters.SentBytes + counters.ReceivedBytes))
		refused.Update(float64(counters.RefusedPackets))
	})
}
