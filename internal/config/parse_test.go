package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/stretchr/testify/require"
)

func engineAt(name, address, pool, domain string) BackendServer {
	return BackendServer{
		Name: name, Address: address, Kind: KindEngine, Region: "west", FailureDomain: domain, Pool: pool,
		KVTokens: 400_000, PrefillTokensPerSecond: 8_000, DecodeTokensPerSecond: 60,
	}
}

func validDocument() *Document {
	return &Document{
		FormatVersion: FormatVersion,
		Callers: []Caller{{
			Name: "trust", Priority: 5, Models: []string{"prairie"}, Adapters: []string{"prairie/civics"},
			Routes: []string{"bells"},
		}},
		Workspaces: []Workspace{{Name: "alpha", Caller: "trust", KeyHashes: []string{HashKey("a")}}},
		Models: []Model{{
			Name: "prairie", Version: "v1", MaxPromptTokens: 1_000_000, MinReplicas: 2,
			Adapters: []Adapter{{Name: "civics", Version: "v1"}},
		}},
		BackendServers: []BackendServer{
			engineAt("e1", "10.0.0.1:8000", "p1", "w1"), engineAt("e2", "10.0.0.2:8000", "p1", "w1"),
			engineAt("e3", "10.0.0.3:8000", "p1", "w1"),
			{Name: "s1", Address: "[fd00::1]:8000", Kind: KindService, Region: "west", FailureDomain: "w1"},
		},
		Routes: []Route{{Name: "bells", BackendServers: []string{"s1"}}},
	}
}

// Guards against findings on a valid document, which an operator could not resolve.
func TestValidDocument(t *testing.T) { require.Empty(t, Validate(validDocument())) }

// Guards against an invalid value that passes validation or is reported at another field.
func TestValidateReportsEachError(t *testing.T) {
	cases := []struct {
		mutate  func(d *Document)
		pointer string
		message string
	}{
		{func(d *Document) { d.FormatVersion = 2 }, "/formatVersion", "reads 1"},
		{func(d *Document) { d.Callers[0].Models[0] = "x" }, "/callers/0/models/0", "does not exist"},
		{func(d *Document) { d.Callers[0].Models = []string{"prairie", "prairie"} }, "/callers/0/models/1", "listed twice"},
		{func(d *Document) { d.Callers[0].Adapters[0] = "prairie/x" }, "/callers/0/adapters/0", "no such adapter"},
		{func(d *Document) { d.Callers[0].Adapters[0] = "civics" }, "/callers/0/adapters/0", "model/adapter"},
		{func(d *Document) { d.Callers[0].Routes[0] = "x" }, "/callers/0/routes/0", "does not exist"},
		{func(d *Document) { d.Callers[0].Priority = 10 }, "/callers/0/priority", "0 to 9"},
		{func(d *Document) { d.Callers = append(d.Callers, d.Callers[0]) }, "/callers/1/name", "already used at /callers/0"},
		{func(d *Document) { d.Workspaces[0].Caller = "x" }, "/workspaces/0/caller", "does not exist"},
		{func(d *Document) { d.Workspaces[0].Name = "a/b" }, "/workspaces/0/name", "letters, digits"},
		{func(d *Document) { d.Workspaces[0].KeyHashes[0] = "sk-1" }, "/workspaces/0/keyHashes/0", "not a SHA-256"},
		{func(d *Document) {
			d.Workspaces = append(d.Workspaces, Workspace{Name: "b", Caller: "trust", KeyHashes: []string{HashKey("a")}})
		}, "/workspaces/1/keyHashes/0", `used by workspace "alpha"`},
		{func(d *Document) { d.Workspaces[0].Weight = -1 }, "/workspaces/0/weight", "1 to 1000"},
		{func(d *Document) { d.Models[0].Pools = []string{"x"} }, "/models/0/pools/0", "no engine"},
		{func(d *Document) { d.Models[0].MinReplicas = 4 }, "/models/0/minReplicas", "have 3 engines"},
		{func(d *Document) { d.Models[0].MaxPromptTokens = 1_195_905 }, "/models/0/maxPromptTokens", "does not fit the largest"},
		{func(d *Document) { d.Models[0].MaxPromptTokens = 1_195_904 }, "", ""},
		{func(d *Document) { d.BackendServers[2].KVTokens = 100_000 }, "/models/0/maxPromptTokens", "hold 800000 kvTokens"},
		{func(d *Document) { d.Limits.MaxBodyBytes = 1 << 20 }, "/models/0/maxPromptTokens", "limits.maxBodyBytes"},
		{func(d *Document) { d.Limits.MaxDeadlineMs = 60_000 }, "", ""},
		{func(d *Document) { d.Limits.MaxDeadlineMs, d.Limits.DefaultDeadlineMs = 40_000, 40_000 }, "/models/0/maxPromptTokens", "limits.maxDeadlineMs"},
		{func(d *Document) { d.Limits.DefaultDeadlineMs = 2_000_000 }, "/limits/defaultDeadlineMs", "over maxDeadlineMs"},
		{func(d *Document) { d.Limits.MaxOutputTokens = 400_001 }, "/limits/maxOutputTokens", "largest engine"},
		{func(d *Document) { d.Limits.CrashLimit = 6 }, "/limits/crashLimit", "1 to 5"},
		{func(d *Document) { d.WeightStore.LoadsPerMinute = -1 }, "/weightStore/loadsPerMinute", "1 to"},
		{func(d *Document) { d.BackendServers[1].FailureDomain = "w2" }, "/backendServers/1/failureDomain", `pool "p1"`},
		{func(d *Document) { d.BackendServers[1].Region = "east" }, "/backendServers/1/region", "elsewhere"},
		{func(d *Document) { d.BackendServers[0].Address = "host:1" }, "/backendServers/0/address", "IP address"},
		{func(d *Document) { d.BackendServers[1].Address = "10.0.0.1:8000" }, "/backendServers/1/address", "already used"},
		{func(d *Document) { d.BackendServers[0].KVTokens = 0 }, "/backendServers/0/kvTokens", "1 to"},
		{func(d *Document) { d.BackendServers[0].MaxModels = -1 }, "/backendServers/0/maxModels", "1 to"},
		{func(d *Document) { d.BackendServers[0].Kind = "x" }, "/backendServers/0/kind", `"engine" or "service"`},
		{func(d *Document) { d.BackendServers[3].Pool = "p1" }, "/backendServers/3/pool", "no pool"},
		{func(d *Document) { d.Routes[0].BackendServers = nil }, "/routes/0/backendServers", "no backend servers"},
		{func(d *Document) { d.Routes[0].BackendServers[0] = "e1" }, "/routes/0/backendServers/0", "not of kind service"},
		{func(d *Document) { d.Routes[0].TimeoutMs = 2_000_000 }, "/routes/0/timeoutMs", "1 to"},
		{func(d *Document) { d.BackendServers = d.BackendServers[3:] }, "/callers/0/models/0", "no pool has engines"},
	}
	for _, c := range cases {
		doc := validDocument()
		c.mutate(doc)
		found := Validate(doc)
		if c.pointer == "" {
			require.Empty(t, found)
			continue
		}
		require.True(t, hasFinding(found, c.pointer, c.message), "%s %q in %v", c.pointer, c.message, found)
	}
}

func hasFinding(found []findings.Finding, pointer, message string) bool {
	for _, f := range found {
		if f.Pointer == pointer && strings.Contains(f.Message, message) {
			return true
		}
	}
	return false
}

// Guards against findings without a line, and against reporting only the first finding.
func TestParseLocatesAllFindings(t *testing.T) {
	doc := validDocument()
	doc.Workspaces[0].Caller = "nobody"
	doc.Routes[0].TimeoutMs = -1
	data, err := json.MarshalIndent(doc, "", " ")
	require.NoError(t, err)
	_, err = Parse(data)
	var found *findings.Error
	require.ErrorAs(t, err, &found)
	require.Len(t, found.Findings, 2)
	lines := strings.Split(string(data), "\n")
	require.Contains(t, lines[found.Findings[0].Line-1], `"caller": "nobody"`)
	require.Contains(t, lines[found.Findings[1].Line-1], `"timeoutMs": -1`)
}

// Guards against printing a plain key that was pasted in place of its hash.
func TestFindingsDoNotRepeatKeys(t *testing.T) {
	doc := validDocument()
	doc.Workspaces[0].KeyHashes[0] = "sk-very-secret"
	for _, f := range Validate(doc) {
		require.NotContains(t, f.Message, "sk-very-secret")
	}
}

// Guards against a fetched document that cannot be applied again because its empty lists are written as null.
func TestParseAcceptsFormattedDocument(t *testing.T) {
	doc := validDocument()
	doc.Callers[0].Routes, doc.Routes, doc.Workspaces[0].KeyHashes = nil, nil, nil
	data, err := Format(doc)
	require.NoError(t, err)
	got, err := Parse(data)
	require.NoError(t, err)
	require.Empty(t, Diff(doc, got))
	require.Nil(t, doc.Routes)
}
