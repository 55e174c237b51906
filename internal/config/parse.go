package config

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
)

// Parse decodes and validates a document. The error is a *findings.Error that holds all findings, each with JSON
// Pointer, line and column. Semantic checks run only if decoding succeeded, because fields that were not decoded would
// cause misleading findings.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	positions, list := findings.Decode(data, doc)
	if err := list.Err(); err != nil {
		return nil, err
	}
	found := Validate(doc)
	if len(found) == 0 {
		return doc, nil
	}
	list.Append(positions.Locate(found)...)
	return nil, list.Err()
}

// Validate returns the findings of a decoded document by JSON Pointer, without line and column. A document without
// findings can be applied.
func Validate(doc *Document) []findings.Finding {
	v := newValidator(doc)
	if doc.FormatVersion != FormatVersion {
		v.list.Add("/formatVersion", "formatVersion is %d; this release reads %d", doc.FormatVersion, FormatVersion)
	}
	v.limits()
	v.weightStore()
	for i := range doc.BackendServers {
		v.server(elementPointer("/backendServers", i), &doc.BackendServers[i])
	}
	v.poolFailureDomains()
	for i := range doc.Models {
		v.model(elementPointer("/models", i), &doc.Models[i])
	}
	for i := range doc.Routes {
		v.route(elementPointer("/routes", i), &doc.Routes[i])
	}
	for i := range doc.Callers {
		v.caller(elementPointer("/callers", i), &doc.Callers[i])
	}
	for i := range doc.Workspaces {
		v.workspace(elementPointer("/workspaces", i), &doc.Workspaces[i])
	}
	return v.list.Items()
}

// validator holds the look-up tables and findings of one validation.
type validator struct {
	doc             *Document
	effectiveLimits Limits
	list            findings.List
	pools           map[string]*poolCapacity
	models          map[string]*Model
	callers         map[string]bool
	servers         map[string]*BackendServer
	routes          map[string]bool
	// seen maps the unique values of each kind to the pointer of their first occurrence.
	seen map[string]map[string]string
	// keyOwners maps key hashes to the names of their workspaces.
	keyOwners map[string]string
	// domainRegions maps failure domains to their regions.
	domainRegions map[string]string
}

// poolCapacity sums up the engines of a pool. Drained engines count, so that draining one never makes a valid document
// invalid.
type poolCapacity struct {
	engines     int
	prefillRate int
	// kvTokens are the KV memory sizes of the engines, in tokens.
	kvTokens []int
	// groupKVTokens is the result of maxGroupKVTokens.
	groupKVTokens int
	domain        string
	// mismatchPointer is the pointer of the first engine that is not in the failure domain of the pool, or empty.
	mismatchPointer string
}

func newValidator(doc *Document) *validator {
	v := &validator{
		doc: doc, effectiveLimits: doc.Limits.WithDefaults(), pools: map[string]*poolCapacity{}, models: map[string]*Model{},
		callers: map[string]bool{}, servers: map[string]*BackendServer{}, routes: map[string]bool{},
		seen: map[string]map[string]string{}, keyOwners: map[string]string{}, domainRegions: map[string]string{},
	}
	for i := range doc.Callers {
		v.callers[doc.Callers[i].Name] = true
	}
	for i := range doc.Models {
		v.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Routes {
		v.routes[doc.Routes[i].Name] = true
	}
	for i := range doc.BackendServers {
		v.addServer(elementPointer("/backendServers", i), &doc.BackendServers[i])
	}
	for _, p := range v.pools {
		p.groupKVTokens = p.maxGroupKVTokens()
	}
	return v
}

func (v *validator) addServer(pointer string, s *BackendServer) {
	v.servers[s.Name] = s
	if s.Kind != KindEngine || s.Pool == "" {
		return
	}
	p := v.pools[s.Pool]
	if p == nil {
		p = &poolCapacity{domain: s.FailureDomain}
		v.pools[s.Pool] = p
	}
	if p.domain != s.FailureDomain && p.mismatchPointer == "" {
		p.mismatchPointer = pointer
	}
	p.add(s)
}

func (p *poolCapacity) add(s *BackendServer) {
	p.engines++
	p.kvTokens = append(p.kvTokens, max(0, s.KVTokens))
	p.prefillRate += max(0, s.PrefillTokensPerSecond)
}

// maxGroupKVTokens returns the largest prompt, in tokens, that a group of the engines can hold in equal parts, which is
// how the allocator divides a prompt.
func (p *poolCapacity) maxGroupKVTokens() int {
	slices.SortFunc(p.kvTokens, func(a, b int) int { return cmp.Compare(b, a) })
	most := 0
	for i, tokens := range p.kvTokens {
		most = max(most, (i+1)*tokens)
	}
	return most
}

// modelCapacity returns, over the pools that may serve a model, the number of engines and the largest KV memory and
// prefill rate of one pool.
func (v *validator) modelCapacity(m *Model) (engines, kvTokens, prefillRate int) {
	include := func(p *poolCapacity) {
		engines += p.engines
		kvTokens = max(kvTokens, p.groupKVTokens)
		prefillRate = max(prefillRate, p.prefillRate)
	}
	if len(m.Pools) == 0 {
		for _, p := range v.pools {
			include(p)
		}
		return engines, kvTokens, prefillRate
	}
	counted := map[string]bool{}
	for _, name := range m.Pools {
		if p := v.pools[name]; p != nil && !counted[name] {
			counted[name] = true
			include(p)
		}
	}
	return engines, kvTokens, prefillRate
}

func elementPointer(pointer string, i int) string { return pointer + "/" + strconv.Itoa(i) }
