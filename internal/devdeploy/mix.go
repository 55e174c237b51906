package devdeploy

import (
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/load"
)

// mixCaller is the caller of all workspaces of a mix. It has the middle priority, so that measurements show the
// scheduling policy without the effect of caller priorities.
const (
	mixCaller         = "load"
	mixCallerPriority = 5
	// mixServiceTimeoutMs is the call time-out of the routes of a mix.
	mixServiceTimeoutMs = 10_000
)

// addMix adds the workspaces of a load mix and their caller, which may use the deployment's model and the routes of the
// mix.
func (w *writer) addMix(mix *load.Mix) {
	if mix == nil {
		return
	}
	doc := &w.deployment.Document
	caller := config.Caller{Name: mixCaller, Priority: mixCallerPriority, Models: []string{w.modelName()}}
	configured := map[string]bool{NonIdempotentRoute: true, IdempotentRoute: true}
	for _, s := range mix.Services {
		caller.Routes = append(caller.Routes, s.Route)
		if configured[s.Route] {
			continue
		}
		configured[s.Route] = true
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

// modelName returns the name of the model that the engines serve.
func (w *writer) modelName() string {
	if w.plan.Mix != nil {
		return w.plan.Mix.Model
	}
	return Model
}

// prefillRate returns the prefill rate configured for each engine, in tokens per second.
func (w *writer) prefillRate() int {
	if w.plan.PrefillRate > 0 {
		return w.plan.PrefillRate
	}
	return defaultPrefillRate
}
