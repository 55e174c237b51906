package config

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
)

// Parse decodes and validates a document. The error is a *findings.Error that holds all findings, each with JSON
// Pointer, line and column. Semantic checks run only on documents without a decoding fault, because a field that was
// not decoded would give misleading findings.
func Parse(data []byte) (*Document, error) {
	doc := &Document{}
	places, list := findings.Decode(data, doc)
	if err := list.Err(); err != nil {
		return nil, err
	}
	found := Validate(doc)
	if len(found) == 0 {
		return doc, nil
	}
	list.Append(places.Locate(found)...)
	return nil, list.Err()
}

// Validate returns what is wrong with a decoded document, by JSON Pointer and without lines. It returns nothing for a
// document that may be applied.
func Validate(doc *Document) []findings.Finding {
	v := newValidator(doc)
	if doc.FormatVersion != FormatVersion {
		v.list.Add("/formatVersion", "formatVersion is %d; this release reads %d", doc.FormatVersion, FormatVersion)
	}
	v.limits()
	v.weightStore()
	for i := range doc.BackendServers {
		v.server(at("/backendServers", i), &doc.BackendServers[i])
	}
	v.poolPlaces()
	for i := range doc.Models {
		v.model(at("/models", i), &doc.Models[i])
	}
	for i := range doc.Routes {
		v.route(at("/routes", i), &doc.Routes[i])
	}
	for i := range doc.Callers {
		v.caller(at("/callers", i), &doc.Callers[i])
	}
	for i := range doc.Workspaces {
		v.workspace(at("/workspaces", i), &doc.Workspaces[i])
	}
	return v.list.Items()
}

// validator holds the look-up tables of one validation.
type validator struct {
	doc     *Document
	limit   Limits
	list    findings.List
	pools   map[string]*poolSize
	models  map[string]*Model
	callers map[string]bool
	servers map[string]*BackendServer
	routes  map[string]bool
	// seen maps each kind of unique value to the pointer of its first occurrence.
	seen map[string]map[string]string
	// keyOwners maps key hashes to workspaces.
	keyOwners map[string]string
	// domainRegions maps failure domains to their regions.
	domainRegions map[string]string
}

// poolSize sums up the engines of a pool. Drained engines count, so that draining one never makes a valid document
// invalid.
type poolSize struct {
	engines     int
	prefillRate int
	// kvTokens are the memories of the engines, and together what they hold in equal parts.
	kvTokens []int
	together int
	domain   string
	// otherPointer is the first engine in another failure domain.
	otherPointer string
}

func newValidator(doc *Document) *validator {
	v := &validator{
		doc: doc, limit: doc.Limits.WithDefaults(), pools: map[string]*poolSize{}, models: map[string]*Model{},
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
		v.addServer(at("/backendServers", i), &doc.BackendServers[i])
	}
	for _, p := range v.pools {
		p.together = p.holds()
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
		p = &poolSize{domain: s.FailureDomain}
		v.pools[s.Pool] = p
	}
	if p.domain != s.FailureDomain && p.otherPointer == "" {
		p.otherPointer = pointer
	}
	p.add(s)
}

func (p *poolSize) add(s *BackendServer) {
	p.engines++
	p.kvTokens = append(p.kvTokens, max(0, s.KVTokens))
	p.prefillRate += max(0, s.PrefillTokensPerSecond)
}

// holds returns the tokens that the engines hold together in equal parts, which is how the allocator divides a prompt.
func (p *poolSize) holds() int {
	slices.SortFunc(p.kvTokens, func(a, b int) int { return cmp.Compare(b, a) })
	most := 0
	for i, tokens := range p.kvTokens {
		most = max(most, (i+1)*tokens)
	}
	return most
}

// largest returns the largest memory and prefill rate of one pool, and the engines of all pools, over the pools that
// may serve a model.
func (v *validator) largest(m *Model) (engines, kvTokens, prefillRate int) {
	use := func(p *poolSize) {
		engines += p.engines
		kvTokens = max(kvTokens, p.together)
		prefillRate = max(prefillRate, p.prefillRate)
	}
	if len(m.Pools) == 0 {
		for _, p := range v.pools {
			use(p)
		}
		return engines, kvTokens, prefillRate
	}
	counted := map[string]bool{}
	for _, name := range m.Pools {
		if p := v.pools[name]; p != nil && !counted[name] {
			counted[name] = true
			use(p)
		}
	}
	return engines, kvTokens, prefillRate
}

func at(pointer string, i int) string { return pointer + "/" + strconv.Itoa(i) }
