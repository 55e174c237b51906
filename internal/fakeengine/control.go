package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Limits of control calls.
const (
	// maxEventBatch bounds the cache events of one answer.
	maxEventBatch = 1024
	// weightRetry is the pause between calls of the weight store that were over its rate.
	weightRetry = 250 * time.Millisecond
	// Bounds of the time between two samples of the load.
	minSampleEvery = 5 * time.Millisecond
	maxSampleEvery = 250 * time.Millisecond
)

// report returns the state now. Engine.mu is held.
func (e *Engine) report() engine.Load {
	e.seq++
	const size = engine.PrefixBlockTokens
	out := engine.Load{
		Incarnation: e.boot, Sequence: e.seq, State: e.state(), Role: e.role, Models: cloneModels(e.models),
		Fence: e.fence, KVTokensTotal: e.pool.total * size, KVTokensCached: e.pool.idle.Len() * size,
		KVTokensUsed:     (e.pool.total - e.pool.available()) * size,
		Running:          []engine.RunningRequest{},
		ReportedAtMicros: time.Now().UnixMicro(),
	}
	for key := range e.loading {
		out.Loading = append(out.Loading, key.loaded())
	}
	for _, list := range [][]*request{e.running, e.queue} {
		for _, r := range list {
			out.QueuedPrefillTokens += r.prefillLeft
			out.Running = append(out.Running, engine.RunningRequest{
				RequestID: r.id, Attempt: r.attempt, ReservedTokens: r.blocks * size,
			})
		}
	}
	for _, h := range e.helped {
		out.QueuedPrefillTokens += h.left
	}
	return out
}

func (e *Engine) state() engine.State {
	switch {
	case e.leaving:
		return engine.StateLeaving
	case len(e.models) == 0 && len(e.loading) > 0:
		return engine.StateLoading
	default:
		return engine.StateReady
	}
}

// sampleReports keeps the samples of the load that are younger than the lag, and the newest one that is not.
func (e *Engine) sampleReports() {
	lag := e.scaled(time.Duration(e.set.ReportLagMs) * time.Millisecond)
	if lag == 0 {
		return
	}
	tick := time.NewTicker(max(minSampleEvery, min(lag/8, maxSampleEvery)))
	defer tick.Stop()
	for e.ctx.Err() == nil {
		e.mu.Lock()
		e.reports = append(e.reports, e.report())
		limit := time.Now().Add(-lag).UnixMicro()
		for len(e.reports) > 1 && e.reports[1].ReportedAtMicros <= limit {
			e.reports = e.reports[1:]
		}
		e.mu.Unlock()
		select {
		case <-e.ctx.Done():
		case <-tick.C:
		}
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var out engine.Load
	if len(e.reports) > 0 {
		out = e.reports[0]
	} else {
		out = e.report()
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}

// cacheLog holds the events of the prefix cache. A lost event uses up a sequence number.
type cacheLog struct {
	last   uint64
	events []loggedEvent
}

type loggedEvent struct {
	engine.CacheEvent
	visible time.Time
}

// cacheChanged logs an event. Engine.mu is held.
func (e *Engine) cacheChanged(op engine.CacheOp, hash uint64) {
	e.events.last++
	if e.rng.Float64() < e.set.CacheEvents.LossShare {
		return
	}
	lag := e.scaled(time.Duration(e.set.CacheEvents.LagMs) * time.Millisecond)
	e.events.events = append(e.events.events, loggedEvent{
		engine.CacheEvent{Sequence: e.events.last, Op: op, PrefixHash: hash, Tokens: engine.PrefixBlockTokens},
		time.Now().Add(lag),
	})
	if over := len(e.events.events) - e.set.CacheEvents.Keep; over > 0 {
		e.events.events = e.events.events[over:]
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	out := engine.CacheEvents{Incarnation: e.boot, Events: []engine.CacheEvent{}, Next: after}
	now := time.Now()
	for _, ev := range e.events.events {
		if ev.Sequence <= after || ev.visible.After(now) {
			continue
		}
		out.Events = append(out.Events, ev.CacheEvent)
		out.Next = ev.Sequence
		if len(out.Events) == maxEventBatch {
			break
		}
	}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}

// modelKey is what an order loads or unloads; adapter is empty for the model itself.
type modelKey struct{ name, version, adapter string }

func (k modelKey) loaded() engine.LoadedModel {
	m := engine.LoadedModel{Name: k.name, Version: k.version}
	if k.adapter != "" {
		m.Adapters = []string{k.adapter}
	}
	return m
}

func cloneModels(models []engine.LoadedModel) []engine.LoadedModel {
	out := make([]engine.LoadedModel, len(models))
	for i, m := range models {
		m.Adapters = slices.Clone(m.Adapters)
		out[i] = m
	}
	return out
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.ignoreFence {
		refuse(w, http.StatusConflict, engine.CodeOldFence, fmt.Sprintf("fence %d is below %d", o.Fence, e.fence))
		return
	}
	e.fence = max(e.fence, o.Fence)
	if refused := e.execute(o); refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	e.log.Info("order", "op", o.Op, "model", o.Model, "version", o.Version, "adapter", o.Adapter, "fence", o.Fence)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) execute(o engine.Order) *refusalError {
	key := modelKey{o.Model, o.Version, o.Adapter}
	switch o.Op {
	case engine.OrderLoad:
		return e.beginLoad(key)
	case engine.OrderUnload:
		e.unload(key)
		return nil
	case engine.OrderRole:
		if !validRole(o.Role) {
			return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "unknown role"}
		}
		e.role = o.Role
		return nil
	default:
		return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "unknown order"}
	}
}

func (e *Engine) find(name, version string) *engine.LoadedModel {
	for i := range e.models {
		if e.models[i].Name == name && e.models[i].Version == version {
			return &e.models[i]
		}
	}
	return nil
}

// servable returns the version that serves a request: the wanted one, else the one loaded last.
func (e *Engine) servable(field, wanted string) (version string, ok bool) {
	name, adapter := splitModel(field)
	for i := len(e.models) - 1; i >= 0; i-- {
		m := e.models[i]
		if m.Name != name || wanted != "" && m.Version != wanted {
			continue
		}
		if adapter == "" || slices.Contains(m.Adapters, adapter) {
			return m.Version, true
		}
	}
	return "", false
}

func (e *Engine) beginLoad(key modelKey) *refusalError {
	m := e.find(key.name, key.version)
	_, underway := e.loading[key]
	switch {
	case key.name == "" || key.version == "":
		return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "expected a model and a version"}
	case underway, m != nil && (key.adapter == "" || slices.Contains(m.Adapters, key.adapter)):
		return nil
	case m == nil && key.adapter != "":
		return &refusalError{http.StatusConflict, engine.CodeModelNotLoaded, "the adapter's model is not loaded"}
	case m == nil && len(e.models) >= e.set.MaxModels:
		return &refusalError{http.StatusConflict, engine.CodeOutOfMemory, "no room for another model"}
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.loading[key] = cancel
	epoch := e.epoch
	e.goRun(func() { e.finishLoad(ctx, key, epoch) })
	return nil
}

// finishLoad fetches the weights, takes the time of a load and makes the model ready, unless it was cancelled.
func (e *Engine) finishLoad(ctx context.Context, key modelKey, epoch int) {
	fetched := e.fetchWeights(ctx, key)
	ms := e.set.ModelLoadMs
	if key.adapter != "" {
		ms = e.set.AdapterLoadMs
	}
	if fetched {
		sleep(ctx, e.scaled(time.Duration(ms)*time.Millisecond))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || e.epoch != epoch {
		return
	}
	e.loading[key]()
	delete(e.loading, key)
	m := e.find(key.name, key.version)
	switch {
	case !fetched:
	case key.adapter == "" && m == nil:
		e.models = append(e.models, key.loaded())
	case key.adapter != "" && m != nil:
		m.Adapters = append(m.Adapters, key.adapter)
	}
}

// fetchWeights waits for the weight store while it is over its rate or out. Any other refusal fails the load.
func (e *Engine) fetchWeights(ctx context.Context, key modelKey) bool {
	if e.set.WeightStore == "" {
		return true
	}
	target := "http://" + e.set.WeightStore + "/v1/weights/" + url.PathEscape(key.name)
	body := []byte(fmt.Sprintf(`{"version":%q,"adapter":%q}`, key.version, key.adapter))
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				return true
			}
			if resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusTooManyRequests {
				e.log.Warn("weight store refused", "model", key.name, "status", resp.StatusCode)
				return false
			}
		}
		sleep(ctx, weightRetry)
	}
	return false
}

// unload takes a model or an adapter out of service at once. Requests that run go on.
func (e *Engine) unload(key modelKey) {
	if cancel, ok := e.loading[key]; ok {
		cancel()
		delete(e.loading, key)
	}
	m := e.find(key.name, key.version)
	if m == nil {
		return
	}
	if key.adapter != "" {
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == key.adapter })
		return
	}
	e.models = slices.DeleteFunc(e.models, func(m engine.LoadedModel) bool {
		return m.Name == key.name && m.Version == key.version
	})
	e.pool.flush()
}
