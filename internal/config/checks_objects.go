package config

import (
	"slices"
	"strings"
)

// bytesPerToken is the number of bytes of prompt text per token, as section 5.2 of the design page defines it.
const bytesPerToken = 4

func (v *validator) model(pointer string, m *Model) {
	v.name("model", pointer, m.Name)
	if !ValidName(m.Version) {
		v.list.Add(pointer+"/version", "version %q is not a valid name", m.Version)
	}
	prompt := v.inRange(pointer, "maxPromptTokens", m.MaxPromptTokens, 1, maxTokensBound)
	v.inRange(pointer, "minReplicas", m.MinReplicas, 0, maxReplicasBound)
	v.modelPools(pointer, m)
	v.adapters(pointer, m)
	engines, kvTokens, prefillRate := v.modelCapacity(m)
	if m.MinReplicas > engines {
		v.list.Add(pointer+"/minReplicas", "minReplicas is %d, but the model's pools have %d engines", m.MinReplicas, engines)
	}
	if prompt && engines > 0 {
		v.promptFits(pointer+"/maxPromptTokens", m, kvTokens, prefillRate)
	}
}

// promptFits reports a maxPromptTokens that exceeds what the KV memory of the model's pools, the body limit or the
// maximum deadline allows.
func (v *validator) promptFits(pointer string, m *Model, kvTokens, prefillRate int) {
	if need := m.MaxPromptTokens + v.effectiveLimits.MaxOutputTokens; need > kvTokens {
		v.list.Add(pointer, "maxPromptTokens of %d with limits.maxOutputTokens of %d does not fit the largest pool of the"+
			" model, whose engines hold %d kvTokens together in equal parts", m.MaxPromptTokens,
			v.effectiveLimits.MaxOutputTokens, kvTokens)
	}
	if m.MaxPromptTokens*bytesPerToken > v.effectiveLimits.MaxBodyBytes {
		v.list.Add(pointer, "a prompt of maxPromptTokens %d has %d bytes, over limits.maxBodyBytes of %d",
			m.MaxPromptTokens, m.MaxPromptTokens*bytesPerToken, v.effectiveLimits.MaxBodyBytes)
	}
	if prefillRate <= 0 {
		return
	}
	if ms := m.MaxPromptTokens * 1000 / prefillRate; ms > v.effectiveLimits.MaxDeadlineMs {
		v.list.Add(pointer, "prefill of maxPromptTokens %d takes %d ms on the fastest pool of the model, over"+
			" limits.maxDeadlineMs of %d", m.MaxPromptTokens, ms, v.effectiveLimits.MaxDeadlineMs)
	}
}

func (v *validator) modelPools(pointer string, m *Model) {
	v.references(pointer+"/pools", "pool", m.Pools, func(name string) string {
		if v.pools[name] == nil {
			return "no engine is in this pool"
		}
		return ""
	})
}

func (v *validator) adapters(pointer string, m *Model) {
	kind := "adapter of model " + m.Name
	for i, a := range m.Adapters {
		p := elementPointer(pointer+"/adapters", i)
		v.name(kind, p, a.Name)
		if !ValidName(a.Version) {
			v.list.Add(p+"/version", "version %q is not a valid name", a.Version)
		}
	}
}

func (v *validator) route(pointer string, r *Route) {
	v.name("route", pointer, r.Name)
	v.optionalInRange(pointer, "timeoutMs", r.TimeoutMs, 1, v.effectiveLimits.MaxDeadlineMs)
	if len(r.BackendServers) == 0 {
		v.list.Add(pointer+"/backendServers", "route %q has no backend servers", r.Name)
	}
	v.references(pointer+"/backendServers", "backend server", r.BackendServers, func(name string) string {
		s := v.servers[name]
		switch {
		case s == nil:
			return "it does not exist"
		case s.Kind != KindService:
			return "it is not of kind service"
		}
		return ""
	})
}

func (v *validator) caller(pointer string, c *Caller) {
	v.name("caller", pointer, c.Name)
	v.inRange(pointer, "priority", c.Priority, 0, maxPriority)
	v.references(pointer+"/models", "model", c.Models, v.modelProblem)
	v.references(pointer+"/adapters", "adapter", c.Adapters, v.adapterProblem)
	v.references(pointer+"/routes", "route", c.Routes, func(name string) string {
		if !v.routes[name] {
			return "it does not exist"
		}
		return ""
	})
}

func (v *validator) modelProblem(name string) string {
	m := v.models[name]
	if m == nil {
		return "it does not exist"
	}
	if engines, _, _ := v.modelCapacity(m); engines == 0 {
		return "no pool has engines for it"
	}
	return ""
}

func (v *validator) adapterProblem(name string) string {
	model, adapter, ok := strings.Cut(name, "/")
	if !ok {
		return `it must have the form "model/adapter"`
	}
	if problem := v.modelProblem(model); problem != "" {
		return "model " + model + ": " + problem
	}
	if !slices.ContainsFunc(v.models[model].Adapters, func(a Adapter) bool { return a.Name == adapter }) {
		return "the model has no such adapter"
	}
	return ""
}

// references checks a list of names: each may occur once, and problem returns why a name is invalid, or an empty
// string.
func (v *validator) references(pointer, kind string, names []string, problem func(name string) string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			v.list.Add(elementPointer(pointer, i), "%s %q is listed twice", kind, name)
			continue
		}
		if text := problem(name); text != "" {
			v.list.Add(elementPointer(pointer, i), "%s %q: %s", kind, name, text)
		}
	}
}

func (v *validator) workspace(pointer string, w *Workspace) {
	v.name("workspace", pointer, w.Name)
	if !v.callers[w.Caller] {
		v.list.Add(pointer+"/caller", "caller %q does not exist", w.Caller)
	}
	for i, hash := range w.KeyHashes {
		v.keyHash(elementPointer(pointer+"/keyHashes", i), w.Name, hash)
	}
	v.optionalInRange(pointer, "weight", w.Weight, 1, maxWeight)
	v.optionalInRange(pointer, "maxConcurrent", w.MaxConcurrent, 1, maxConcurrentBound)
	v.optionalInRange(pointer, "maxPromptTokens", w.MaxPromptTokens, 1, maxTokensBound)
}

// keyHash checks that a key hash is well-formed and unique over all workspaces. The message does not repeat the value,
// because the most common error is a plain key in place of its hash.
func (v *validator) keyHash(pointer, workspace, hash string) {
	if !ValidKeyHash(hash) {
		v.list.Add(pointer, "the value is not a SHA-256 in lower-case hex (%d digits); carobctl hash-key prints one",
			keyHashBytes)
		return
	}
	if owner, ok := v.keyOwners[hash]; ok {
		v.list.Add(pointer, "the key hash is already used by workspace %q", owner)
		return
	}
	v.keyOwners[hash] = workspace
}

// ValidKeyHash reports whether hash has the form that HashKey returns.
func ValidKeyHash(hash string) bool {
	if len(hash) != keyHashBytes {
		return false
	}
	return strings.Trim(hash, "0123456789abcdef") == ""
}
