package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestTable() *Table {
	return NewTable(Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Services:   []Service{{Name: "s"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against a request that is handled by the wrong route.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		r := newTestTable().Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, r, "%s%s", c.host, c.path)
			continue
		}
		require.Equal(t, c.want, r.Name, "%s%s", c.host, c.path)
	}
}

// Guards against a key that resolves to the wrong workspace, and an unknown key that resolves to one.
func TestWorkspaceByKey(t *testing.T) {
	require.Equal(t, "w", newTestTable().Workspace("k2").Name)
	require.Nil(t, newTestTable().Workspace("k"))
	require.Nil(t, newTestTable().Workspace(""))
	require.True(t, newTestTable().NeedsKey())
	require.NotNil(t, newTestTable().Service("s"))
	require.Nil(t, newTestTable().Service("t"))
}

// Guards against services that are picked out of proportion to their weights, and a service of weight 0 that is picked.
func TestPickByWeight(t *testing.T) {
	r := Route{Services: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 100 {
		counts[r.Pick(float64(i)/100)]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, counts)
	require.Equal(t, "", (&Route{}).Pick(0.5))
}
