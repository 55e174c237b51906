package config

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// edit changes a document at random: fields, additions, removals, lists and settings.
func edit(t *rapid.T, base *Document, label string) *Document {
	doc := *base
	doc.Workspaces = slices.Clone(base.Workspaces)
	doc.Callers = slices.Clone(base.Callers)
	for range rapid.IntRange(0, 4).Draw(t, label) {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		i := slices.IndexFunc(doc.Workspaces, func(w Workspace) bool { return w.Name == name })
		number := rapid.IntRange(0, 2).Draw(t, "number")
		switch op := rapid.IntRange(0, 7).Draw(t, "op"); {
		case op == 0:
			doc.Limits.QueueLimit = number
		case op == 1:
			doc.Callers[0].Models = []string{"m1", "m2", "m3"}[:number]
		case i < 0:
			doc.Workspaces = append(doc.Workspaces, Workspace{Name: name, Caller: "x", Weight: number})
		case op == 2:
			doc.Workspaces = slices.Delete(doc.Workspaces, i, i+1)
		case op <= 4:
			doc.Workspaces[i].Weight = number
		default:
			doc.Workspaces[i].MaxConcurrent = number
		}
	}
	return &doc
}

func drawThree(t *rapid.T) (base, mine, theirs *Document) {
	start := &Document{
		FormatVersion: FormatVersion, Callers: []Caller{{Name: "x"}},
		Workspaces: []Workspace{{Name: "a", Caller: "x"}, {Name: "b", Caller: "x"}},
	}
	base = edit(t, start, "base")
	return base, edit(t, base, "mine"), edit(t, base, "theirs")
}

// keys names the parts that changes touch.
func keys(changes []Change) map[string]Change {
	out := map[string]Change{}
	for _, c := range changes {
		out[c.Object+"#"+c.Field] = c
	}
	return out
}

func has(doc *Document, object string) bool { return flatten(doc).byName[object] != nil }

// Guards against a merge that loses, invents or overwrites a change.
func TestMergeKeepsBothSidesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawThree(t)
		merged, conflicts := Merge(base, mine, theirs)
		got, ours, others := keys(Diff(base, merged)), keys(Diff(base, mine)), keys(Diff(base, theirs))
		for key, c := range others {
			require.Equal(t, c, got[key], "their change is lost")
		}
		conflicting := map[string]bool{}
		for _, c := range conflicts {
			conflicting[c.Object+"#"+c.Field] = true
			if c.Field == "" || !has(base, c.Object) {
				conflicting[c.Object] = true // the whole object, or one that both sides added
			}
		}
		for key, c := range ours {
			if !conflicting[c.Object] && !conflicting[key] {
				require.Equal(t, c, got[key], "my change is lost")
			}
		}
		for key := range got {
			_, inOurs := ours[key]
			_, inOthers := others[key]
			require.True(t, inOurs || inOthers, "%s is invented", key)
		}
	})
}

// Guards against a conflict on a part that only one side changed, and against one that only one order shows.
func TestMergeConflictsAreMutual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawThree(t)
		_, conflicts := Merge(base, mine, theirs)
		_, swapped := Merge(base, theirs, mine)
		for i := range swapped {
			swapped[i].Mine, swapped[i].Theirs = swapped[i].Theirs, swapped[i].Mine
		}
		order := func(a, b Conflict) int { return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field)) }
		slices.SortFunc(conflicts, order)
		slices.SortFunc(swapped, order)
		require.Equal(t, conflicts, swapped)
		for _, c := range conflicts {
			require.NotEqual(t, c.Mine, c.Theirs)
			touched := func(changes []Change) bool {
				return slices.ContainsFunc(changes, func(o Change) bool {
					whole := c.Field == "" || !has(base, c.Object)
					return o.Object == c.Object && (whole || o.Field == c.Field)
				})
			}
			require.True(t, touched(Diff(base, mine)) && touched(Diff(base, theirs)), "%s", c)
		}
	})
}

// Guards against a merge that is not the identity when only one side changed or both made the same change.
func TestMergeOfOneSide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, _ := drawThree(t)
		for _, theirs := range []*Document{base, mine} {
			merged, conflicts := Merge(base, mine, theirs)
			require.Empty(t, conflicts)
			require.Empty(t, Diff(merged, mine))
			merged, conflicts = Merge(base, theirs, mine)
			require.Empty(t, conflicts)
			require.Empty(t, Diff(merged, mine))
		}
	})
}

// Guards against conflicts that an operator cannot read.
func TestConflictNamesValues(t *testing.T) {
	base := &Document{Workspaces: []Workspace{{Name: "a", Weight: 1}, {Name: "b"}}}
	mine := &Document{Workspaces: []Workspace{{Name: "a", Weight: 2}}}
	theirs := &Document{Workspaces: []Workspace{{Name: "a", Weight: 3}, {Name: "b", Caller: "x"}}}
	_, conflicts := Merge(base, mine, theirs)
	require.Len(t, conflicts, 2)
	require.Equal(t, "! workspaces/a weight: base 1, mine 2, theirs 3", conflicts[0].String())
	require.Equal(t, `! workspaces/b: base {"name":"b","caller":"","keyHashes":null}, mine (unset), theirs `+
		`{"name":"b","caller":"x","keyHashes":null}`, conflicts[1].String())
}
