package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/peer"
)

const (
	// serverStopTimeout bounds the shutdown of each server after the open requests have ended.
	serverStopTimeout = 5 * time.Second
	// claimRecordTimeout bounds how long a planned stop waits for outcomes of claims to be recorded.
	claimRecordTimeout = 10 * time.Second
	readHeaderTimeout  = 10 * time.Second
	// maxHeaderBytes is the largest size of a caller's headers, which are read before anything of the request is counted. With the
	// default of net/http, 1 MiB, the headers of about 1,200 connections would exceed the memory of the process.
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout is the idle time after which connections from the balancer are closed.
	callerIdleTimeout = 90 * time.Second
)

// Start builds a daemon and adds its actors to the group. The group interrupts actors in the order of their addition,
// so the caller API is added first: a planned stop lets open requests finish while allocators, membership and peers
// still run.
func Start(s *Settings, env *app.Env) error {
	s.applyMemoryLimit()
	d, err := New(s, env.Log, env.Clock)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the caller address")
	}
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	server, err := peer.NewServer(s.Credentials, peer.Handlers{
		Grants: d.allocator, Config: d.conf, Members: d.members, Status: d,
	}, env.Clock)
	if err != nil {
		return err
	}
	d.serveCallers(env.Group, callers)
	d.servePeers(env.Group, server, peers)
	addRunner(env.Group, d.allocator.Run)
	addRunner(env.Group, d.grants.Run)
	addRunner(env.Group, d.conf.Run)
	addRunner(env.Group, d.members.Run)
	env.Background(d.leaving.run)
	env.Background(d.crashes.load)
	env.Background(d.reportTraffic)
	return env.Serve("admin", s.AdminAddress, d.adminHandler(), serverStopTimeout)
}

// addRunner adds an actor that runs until its context ends.
func addRunner(group *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := f(ctx); err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}, func(error) { cancel() })
}

func (d *Daemon) serveCallers(group *run.Group, listener net.Listener) {
	limited := d.gate.LimitConnections(listener, d.settings.MaxFiles)
	server := newCallerServer(d.gate.Handler(), limited)
	d.log.Info("address open", "purpose", "callers", "address", listener.Addr().String(),
		"connections", limited.Maximum())
	group.Add(func() error {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { d.stop(server) })
}

func newCallerServer(h http.Handler, l *bodybudget.Listener) *http.Server {
	return &http.Server{
		Handler: h, ConnState: l.ConnState, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// stop performs a planned stop: it announces the stop to the balancer and the other daemons, waits for the lame-duck
// time so that they can react, lets open requests finish and closes the server.
func (d *Daemon) stop(server *http.Server) {
	d.log.Info("daemon stopping", "open_streams", d.gate.OpenRequests())
	d.stopping.Store(true)
	d.members.Leave()
	d.allocator.StopGranting()
	time.Sleep(d.settings.lameDuck())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.stopGrace())
	defer cancel()
	if err := d.gate.Shutdown(ctx); err != nil {
		d.log.Warn("open requests cut off", "err", err)
	}
	d.claims.wait(claimRecordTimeout)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancelClose()
	if server.Shutdown(closeCtx) != nil {
		_ = server.Close() // the remaining connections have no request in progress
	}
}

func (d *Daemon) servePeers(group *run.Group, server *peer.Server, listener net.Listener) {
	d.log.Info("address open", "purpose", "peers", "address", listener.Addr().String())
	group.Add(func() error { return server.Serve(d.traffic.Listener(listener)) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close() // peers with an open call lose its response and call another daemon
		}
	})
}
