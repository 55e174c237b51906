package devdeploy

import (
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/load"
)

// mixCaller is the caller that all workspaces of a mix belong to. Its priority is in the middle, so that a measurement
// shows what the policy does without priorities set by callers.
const (
	mixCaller         = "load"
	mixCallerPriority = 5
	// mixServiceTimeoutMs bounds a call of a mix's plain services.
	mixServiceTimeoutMs = 10_000
)

// addMix lets the workspaces of a load mix use the deployment's model and the routes of the mix.
func (w *writer) addMix(mix *load.Mix) {
	if mix == nil {
		return
	}
	doc := &w.d.Document
	caller := config.Caller{Name: mixCaller, Priority: mixCallerPriority, Models: []string{w.model()}}
	known := map[string]bool{BellsRoute: true, StatusRoute: true}
	for _, s := range mix.Services {
		caller.Routes = append(caller.Routes, s.Route)
		if known[s.Route] {
			continue
		}
		known[s.Route] = true
		doc.Routes = append(doc.Routes, config.Route{
			Name: s.Route, BackendServers: []string{"service"}, Idempotent: !s.NonIdempotent, TimeoutMs: mixServiceTimeoutMs,
		})
	}
	doc.Callers = append(doc.Callers, caller)
	for _, ws := range mix.Workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: ws.Name, Caller: mixCaller, KeyHashes: []string{config.HashKey(ws.Key)}, Weight: max(1, int(ws.Weight)),
		})
	}
}

// model is the name of the model that the engines serve.
func (w *writer) model() string {
	if w.plan.Mix != nil {
		return w.plan.Mix.Model
	}
	return Model
}

// prefillRate is the configured prefill rate of an engine in tokens a second.
func (w *writer) prefillRate() int {
	if w.plan.PrefillRate > 0 {
		return w.plan.PrefillRate
	}
	return defaultPrefillRate
}
