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

// Limits and intervals of control calls.
const (
	// maxEventBatch limits the number of cache events in one answer.
	maxEventBatch = 1024
	// weightRetryInterval is the wait before the weight store is called again after a transient failure or a rate limit.
	weightRetryInterval = 250 * time.Millisecond
	// Bounds of the interval between two load samples.
	minSampleInterval = 5 * time.Millisecond
	maxSampleInterval = 250 * time.Millisecond
)

// loadReport returns a report of the current state. Engine.mu is held.
func (e *Engine) loadReport() engine.Load {
	e.reportSequence++
	const blockTokens = engine.PrefixBlockTokens
	out := engine.Load{
		Incarnation: e.incarnation, Sequence: e.reportSequence, State: e.state(), Role: e.role, Models: cloneModels(e.models),
		Fence: e.fence, KVTokensTotal: e.pool.total * blockTokens, KVTokensCached: e.pool.idle.Len() * blockTokens,
		KVTokensUsed:     (e.pool.total - e.pool.available()) * blockTokens,
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
				RequestID: r.id, Attempt: r.attempt, ReservedTokens: r.reservedBlocks * blockTokens,
			})
		}
	}
	for _, h := range e.helperWork {
		out.QueuedPrefillTokens += h.tokensLeft
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

// sampleReports takes load reports periodically. It keeps those that are younger than ReportLagMs and the newest of the
// older ones, which is the one that is published.
func (e *Engine) sampleReports() {
	lag := e.scaled(time.Duration(e.settings.ReportLagMs) * time.Millisecond)
	if lag == 0 {
		return
	}
	ticker := time.NewTicker(max(minSampleInterval, min(lag/8, maxSampleInterval)))
	defer ticker.Stop()
	for e.ctx.Err() == nil {
		e.mu.Lock()
		e.reports = append(e.reports, e.loadReport())
		newestPublished := time.Now().Add(-lag).UnixMicro()
		for len(e.reports) > 1 && e.reports[1].ReportedAtMicros <= newestPublished {
			e.reports = e.reports[1:]
		}
		e.mu.Unlock()
		select {
		case <-e.ctx.Done():
		case <-ticker.C:
		}
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var out engine.Load
	if len(e.reports) > 0 {
		out = e.reports[0]
	} else {
		out = e.loadReport()
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// cacheEventLog holds the events of the prefix cache. A lost event leaves a gap in the sequence numbers.
type cacheEventLog struct {
	lastSequence uint64
	events       []loggedEvent
}

type loggedEvent struct {
	engine.CacheEvent
	visibleAt time.Time
}

// logCacheEvent appends an event, unless it is chosen to be lost. Engine.mu is held.
func (e *Engine) logCacheEvent(op engine.CacheOp, hash uint64) {
	e.cacheEvents.lastSequence++
	if e.rng.Float64() < e.settings.CacheEvents.LossShare {
		return
	}
	lag := e.scaled(time.Duration(e.settings.CacheEvents.LagMs) * time.Millisecond)
	e.cacheEvents.events = append(e.cacheEvents.events, loggedEvent{
		engine.CacheEvent{Sequence: e.cacheEvents.lastSequence, Op: op, PrefixHash: hash, Tokens: engine.PrefixBlockTokens},
		time.Now().Add(lag),
	})
	if excess := len(e.cacheEvents.events) - e.settings.CacheEvents.Keep; excess > 0 {
		e.cacheEvents.events = e.cacheEvents.events[excess:]
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	out := engine.CacheEvents{Incarnation: e.incarnation, Events: []engine.CacheEvent{}, Next: after}
	now := time.Now()
	for _, ev := range e.cacheEvents.events {
		if ev.Sequence <= after || ev.visibleAt.After(now) {
			continue
		}
		out.Events = append(out.Events, ev.CacheEvent)
		out.Next = ev.Sequence
		if len(out.Events) == maxEventBatch {
			break
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// modelKey identifies what an order loads or unloads. adapter is empty for the model itself.
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
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.faults.ignoreFence {
		writeRefusal(w, http.StatusConflict, engine.CodeOldFence, fmt.Sprintf("fence %d is lower than %d", o.Fence, e.fence))
		return
	}
	e.fence = max(e.fence, o.Fence)
	if refused := e.executeOrder(o); refused != nil {
		writeRefusal(w, refused.status, refused.code, refused.message)
		return
	}
	e.log.Info("order", "op", o.Op, "model", o.Model, "version", o.Version, "adapter", o.Adapter, "fence", o.Fence)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) executeOrder(o engine.Order) *refusalError {
	key := modelKey{o.Model, o.Version, o.Adapter}
	switch o.Op {
	case engine.OrderLoad:
		return e.beginLoad(key)
	case engine.OrderUnload:
		e.unload(key)
		return nil
	case engine.OrderRole:
		if !validRole(o.Role) {
			return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "role: expected mixed, prefill or decode"}
		}
		e.role = o.Role
		return nil
	default:
		return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "unknown order operation"}
	}
}

func (e *Engine) findModel(name, version string) *engine.LoadedModel {
	for i := range e.models {
		if e.models[i].Name == name && e.models[i].Version == version {
			return &e.models[i]
		}
	}
	return nil
}

// servingVersion returns the model version that serves a request: the requested one, or the one loaded last if none is
// requested.
func (e *Engine) servingVersion(modelField, requested string) (version string, ok bool) {
	name, adapter := splitModel(modelField)
	for i := len(e.models) - 1; i >= 0; i-- {
		m := e.models[i]
		if m.Name != name || requested != "" && m.Version != requested {
			continue
		}
		if adapter == "" || slices.Contains(m.Adapters, adapter) {
			return m.Version, true
		}
	}
	return "", false
}

func (e *Engine) beginLoad(key modelKey) *refusalError {
	m := e.findModel(key.name, key.version)
	_, loading := e.loading[key]
	switch {
	case key.name == "" || key.version == "":
		return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "expected a model and a version"}
	case loading, m != nil && (key.adapter == "" || slices.Contains(m.Adapters, key.adapter)):
		return nil
	case m == nil && key.adapter != "":
		return &refusalError{http.StatusConflict, engine.CodeModelNotLoaded, "the model of the adapter is not loaded"}
	case m == nil && len(e.models) >= e.settings.MaxModels:
		return &refusalError{http.StatusConflict, engine.CodeOutOfMemory, "the maximum number of models is loaded"}
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.loading[key] = cancel
	epoch := e.epoch
	e.spawn(func() { e.finishLoad(ctx, key, epoch) })
	return nil
}

// finishLoad fetches the weights, waits for the modelled load time and makes the model or adapter available, unless the
// load was cancelled.
func (e *Engine) finishLoad(ctx context.Context, key modelKey, epoch int) {
	fetched := e.fetchWeights(ctx, key)
	ms := e.settings.ModelLoadMs
	if key.adapter != "" {
		ms = e.settings.AdapterLoadMs
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
	m := e.findModel(key.name, key.version)
	switch {
	case !fetched:
	case key.adapter == "" && m == nil:
		e.models = append(e.models, key.loaded())
	case key.adapter != "" && m != nil:
		m.Adapters = append(m.Adapters, key.adapter)
	}
}

// fetchWeights calls the weight store until it succeeds. It retries on rate limits, server errors and transport errors;
// any other 4xx status fails the load.
func (e *Engine) fetchWeights(ctx context.Context, key modelKey) bool {
	if e.settings.WeightStore == "" {
		return true
	}
	target := "http://" + e.settings.WeightStore + "/v1/weights/" + url.PathEscape(key.name)
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
		sleep(ctx, weightRetryInterval)
	}
	return false
}

// unload removes a model or an adapter immediately and cancels its load. Running requests continue.
func (e *Engine) unload(key modelKey) {
	if cancel, ok := e.loading[key]; ok {
		cancel()
		delete(e.loading, key)
	}
	m := e.findModel(key.name, key.version)
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
