package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/platform"
)

const (
	adminShutdownTimeout = time.Second
	// maxPeers is the number of daemons to which idle connections are kept open.
	maxPeers = 8
)

// Start creates a controller and registers it and its admin server with env.
func Start(s *Settings, env *app.Env) error {
	daemons, err := peer.NewPool(s.Credentials, maxPeers, env.Clock)
	if err != nil {
		return err
	}
	engines := engine.NewHTTP(0)
	c := New(Options{
		Name: s.Name, DaemonAddress: s.DaemonAddress, Store: platform.NewClient(s.PlatformAddress), Daemons: daemons,
		Orders: engines, IsStaleFence: func(err error) bool { return engine.CodeOf(err) == engine.CodeOldFence }, Log: env.Log,
	})
	env.Background(c.Run)
	return env.Serve("admin", s.AdminAddress, c.adminHandler(), adminShutdownTimeout)
}

// Status is the response of the /status endpoint.
type Status struct {
	Name   string `json:"name"`
	Active bool   `json:"active"`
}

func (c *Controller) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Status{Name: c.opts.Name, Active: c.Active()}) // the client may have disconnected
	})
	return mux
}
