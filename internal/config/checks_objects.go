package config

import (
	"slices"
	"strings"
)

// bytesPerToken is the size of a token of prompt text, as section 5.2 of the design page defines it.
const bytesPerToken = 4

func (v *validator) model(pointer string, m *Model) {
	v.name("model", pointer, m.Name)
	if !ValidName(m.Version) {
		v.list.Add(pointer+"/version", "version %q is not a valid name", m.Version)
	}
	prompt := v.between(pointer, "maxPromptTokens", m.MaxPromptTokens, 1, maxTokensBound)
	v.between(pointer, "minReplicas", m.MinReplicas, 0, maxReplicasBound)
	v.modelPools(pointer, m)
	v.adapters(pointer, m)
	engines, kvTokens, prefillRate := v.largest(m)
	if m.MinReplicas > engines {
		v.list.Add(pointer+"/minReplicas", "minReplicas is %d, but the model's pools have %d engines", m.MinReplicas, engines)
	}
	if prompt && engines > 0 {
		v.promptFits(pointer+"/maxPromptTokens", m, kvTokens, prefillRate)
	}
}

// promptFits reports a longest prompt that the body limit, the pools' memory or the longest deadline rules out.
func (v *validator) promptFits(pointer string, m *Model, kvTokens, prefillRate int) {
	if need := m.MaxPromptTokens + v.limit.MaxOutputTokens; need > kvTokens {
		v.list.Add(pointer, "maxPromptTokens of %d with limits.maxOutputTokens of %d does not fit the largest pool of the"+
			" model, whose engines hold %d kvTokens together in equal parts", m.MaxPromptTokens, v.limit.MaxOutputTokens,
			kvTokens)
	}
	if m.MaxPromptTokens*bytesPerToken > v.limit.MaxBodyBytes {
		v.list.Add(pointer, "a prompt of maxPromptTokens %d has %d bytes, over limits.maxBodyBytes of %d",
			m.MaxPromptTokens, m.MaxPromptTokens*bytesPerToken, v.limit.MaxBodyBytes)
	}
	if prefillRate <= 0 {
		return
	}
	if ms := m.MaxPromptTokens * 1000 / prefillRate; ms > v.limit.MaxDeadlineMs {
		v.list.Add(pointer, "prefill of maxPromptTokens %d takes %d ms on the fastest pool of the model, over"+
			" limits.maxDeadlineMs of %d", m.MaxPromptTokens, ms, v.limit.MaxDeadlineMs)
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
		p := at(pointer+"/adapters", i)
		v.name(kind, p, a.Name)
		if !ValidName(a.Version) {
			v.list.Add(p+"/version", "version %q is not a valid name", a.Version)
		}
	}
}

func (v *validator) route(pointer string, r *Route) {
	v.name("route", pointer, r.Name)
	v.optional(pointer, "timeoutMs", r.TimeoutMs, 1, v.limit.MaxDeadlineMs)
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
	v.between(pointer, "priority", c.Priority, 0, maxPriority)
	v.references(pointer+"/models", "model", c.Models, v.modelFault)
	v.references(pointer+"/adapters", "adapter", c.Adapters, v.adapterFault)
	v.references(pointer+"/routes", "route", c.Routes, func(name string) string {
		if !v.routes[name] {
			return "it does not exist"
		}
		return ""
	})
}

func (v *validator) modelFault(name string) string {
	m := v.models[name]
	if m == nil {
		return "it does not exist"
	}
	if engines, _, _ := v.largest(m); engines == 0 {
		return "no pool has engines for it"
	}
	return ""
}

func (v *validator) adapterFault(name string) string {
	model, adapter, ok := strings.Cut(name, "/")
	if !ok {
		return `it must have the form "model/adapter"`
	}
	if fault := v.modelFault(model); fault != "" {
		return "model " + model + ": " + fault
	}
	if !slices.ContainsFunc(v.models[model].Adapters, func(a Adapter) bool { return a.Name == adapter }) {
		return "the model has no such adapter"
	}
	return ""
}

// references checks a list of names: fault returns what is wrong with one, and each may occur once.
func (v *validator) references(pointer, kind string, names []string, fault func(name string) string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			v.list.Add(at(pointer, i), "%s %q is listed twice", kind, name)
			continue
		}
		if text := fault(name); text != "" {
			v.list.Add(at(pointer, i), "%s %q: %s", kind, name, text)
		}
	}
}

func (v *validator) workspace(pointer string, w *Workspace) {
	v.name("workspace", pointer, w.Name)
	if !v.callers[w.Caller] {
		v.list.Add(pointer+"/caller", "caller %q does not exist", w.Caller)
	}
	for i, hash := range w.KeyHashes {
		v.keyHash(at(pointer+"/keyHashes", i), w.Name, hash)
	}
	v.optional(pointer, "weight", w.Weight, 1, maxWeight)
	v.optional(pointer, "maxConcurrent", w.MaxConcurrent, 1, maxConcurrentBound)
	v.optional(pointer, "maxPromptTokens", w.MaxPromptTokens, 1, maxTokensBound)
}

// keyHash checks the form of a key hash and that one workspace has it once. The message does not repeat the value,
// because the commonest fault is a plain key in place of its hash.
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
