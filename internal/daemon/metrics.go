package daemon

import (
	"context"

	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/telemetry"
)

// Names of the control traffic metrics, counted since the start of the daemon. Bytes are the sum of both directions.
const (
	metricPeerBytes   = "peer_bytes"   // TCP between daemons, TLS included
	metricPacketBytes = "packet_bytes" // UDP membership packets
	metricRefused     = "packets_refused"
)

// reportTraffic publishes the control traffic metrics until ctx ends.
func (d *Daemon) reportTraffic(ctx context.Context) {
	scope := d.metrics.Scope.SubScope("control")
	peers, packets, refused := scope.Gauge(metricPeerBytes), scope.Gauge(metricPacketBytes), scope.Gauge(metricRefused)
	shell.Every(ctx, telemetry.ReportInterval, func(context.Context) {
		counters := d.udp.Counters()
		peers.Update(float64(d.traffic.Sent() + d.traffic.Received()))
		packets.Update(float64(counters.SentBytes + counters.ReceivedBytes))
		refused.Update(float64(counters.RefusedPackets))
	})
}
