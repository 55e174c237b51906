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
)

const (
	// headerTimeout and idleTimeout bound callers before a configuration says otherwise.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// idleMargin keeps a connection open beyond the configured idle time, so that a request sent at its end still finds
	// it open.
	idleMargin = 2 * time.Second
	// acceptFor is how long a stopping daemon still takes requests: the platform needs two failed checks, a second apart,
	// to send callers elsewhere.
	acceptFor = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that is left to end the process.
	stopReserve = 300 * time.Millisecond
	// idlePoll is how often a stopping daemon looks whether its requests have ended.
	idlePoll = 50 * time.Millisecond
	// withdrawTimeout bounds the removal of the own entry.
	withdrawTimeout = 500 * time.Millisecond
)

// serve opens the addresses of the daemon.
func (d *Daemon) serve(env *app.Env) error {
	listener, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	callers := &http.Server{
		Handler: d.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout + idleMargin,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
	env.Group.Add(func() error { return d.serveCallers(callers, listener) }, func(error) { d.stop(callers) })
	path, handler := carobstilev1connect.NewEdgeServiceHandler(peerService{d})
	peers := http.NewServeMux()
	peers.Handle(path, handler)
	for _, s := range []struct {
		what, address string
		handler       http.Handler
	}{
		{"ready", d.settings.ReadyAddress, http.HandlerFunc(d.ready)},
		{"daemons", d.settings.ServiceAddress, peers},
		{"metrics", d.settings.MetricsAddress, d.metrics.Handler},
	} {
		if err := env.Serve(s.what, s.address, s.handler, 0); err != nil {
			return err
		}
	}
	env.Background(func(ctx context.Context) { d.watchSettings(ctx, env.SettingsPath, env.Reload) })
	return nil
}

// maxHeaderBytes bounds the headers of callers; configurations allow 16 KiB.
const maxHeaderBytes = 64 << 10

func (d *Daemon) serveCallers(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-d.stopping
	return nil
}

// complete reports whether the daemon knows a configuration and the servers.
func (d *Daemon) complete() bool {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	return d.table.Load() != nil && d.haveList
}

// ready tells the platform whether to send new callers.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	reason := ""
	switch {
	case d.draining.Load():
		reason = "stopping"
	case !d.complete():
		reason = "no configuration or servers known"
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, reason) // the platform does not read it
}

// stop ends a planned stop: callers go elsewhere, and open requests end.
func (d *Daemon) stop(server *http.Server) {
	defer close(d.stopping)
	began := time.Now()
	d.draining.Store(true)
	d.log.Info("stopping", "open", d.handler.Open())
	d.link.Leave()
	d.withdraw()
	server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptFor - time.Since(began))
	d.handler.Drain()
	end := began.Add(d.changeable.Load().stopGrace() - stopReserve)
	for d.handler.Open() > 0 && time.Now().Before(end) {
		time.Sleep(idlePoll)
	}
	if open := d.handler.Open(); open > 0 {
		d.log.Warn("open requests cut off", "open", open)
	}
	_ = server.Close() // requests that are still open are cut off by intent
}

func (d *Daemon) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := d.adapter.Store.Withdraw(ctx, d.settings.Name); err != nil {
		d.log.Warn("own entry not removed", "err", err)
	}
}
