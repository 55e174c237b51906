package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/gen/carobstile/v1/carobstilev1connect"
	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/bodybudget"
)

const (
	// callerHeaderTimeout and callerIdleTimeout bound the time for a caller's headers and the idle time of its
	// connections. The timeouts of the configuration are not applied.
	callerHeaderTimeout = 3 * time.Second
	callerIdleTimeout   = 15 * time.Second
	// idleMargin keeps connections open beyond the idle time, so that a request sent at its very end still finds its
	// connection open.
	idleMargin = 2 * time.Second
	// peerAnswerTime is how long a stopping daemon waits, after the requests of neighbours have ended, until their answers are written.
	peerAnswerTime = 100 * time.Millisecond
)

// serve opens the daemon's TCP addresses and adds their servers to the environment.
func (d *Daemon) serve(env *app.Env) error {
	listener, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on caller address")
	}
	limited := d.handler.Bodies.Listen(listener, bodybudget.MaxConnectionsOfFiles(d.settings.MaxFiles), d.log)
	d.log.Info("limits of callers", "connections", limited.Maximum(), "large_body_bytes", d.settings.largeBodyBytes(),
		"reserved_bytes", d.settings.reservedBytes())
	callers := &http.Server{
		Handler: d.handler, ConnState: limited.ConnState, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout + idleMargin,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
	env.Group.Add(func() error { return d.serveCallers(callers, limited) }, func(error) { d.stop(callers, limited) })
	path, handler := carobstilev1connect.NewEdgeServiceHandler(peerService{d})
	peers := http.NewServeMux()
	peers.Handle(path, handler)
	for _, s := range []struct {
		name, address string
		handler       http.Handler
		grace         time.Duration
	}{
		{"ready", d.settings.ReadyAddress, http.HandlerFunc(d.serveReady), 0},
		{"daemons", d.settings.ServiceAddress, d.handler.ServeDaemons(peers), peerAnswerTime},
		{"metrics", d.settings.MetricsAddress, d.metricsHandler(), 0},
	} {
		if err := env.Serve(s.name, s.address, s.handler, s.grace); err != nil {
			return err
		}
	}
	env.Background(func(ctx context.Context) { d.watchSettings(ctx, env.SettingsPath, env.Reload) })
	return nil
}

// maxHeaderBytes is the largest size of a caller's headers; configurations allow 16 KiB.
const maxHeaderBytes = 64 << 10

func (d *Daemon) serveCallers(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if !d.draining.Load() {
		return err
	}
	<-d.drained
	return nil
}

// initialized reports whether the daemon has a configuration and a list of servers, and knows the evacuations.
func (d *Daemon) initialized() bool {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	return d.table.Load() != nil && d.serversListed && d.evacuations.known()
}

// seedTried reports whether the first fetch from a seed has ended or taken seedWait. A seed knows what the store does not, such as
// servers that have told a daemon that they are leaving.
func (d *Daemon) seedTried() bool {
	select {
	case <-d.seedAsked:
		return true
	default:
		return time.Since(d.start) >= seedWait
	}
}

// serveReady serves the platform's readiness check, which decides whether the daemon gets new callers.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	switch {
	case d.draining.Load():
		reason = "stopping"
	case !d.initialized():
		reason = "no configuration, servers or evacuations known"
	case !d.seedTried():
		reason = "waiting for the answer of a seed"
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, reason) // the platform ignores the body
}
