package config

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// randomEdit applies random changes to a copy of a document: fields, lists and settings are changed, objects added and
// removed.
func randomEdit(t *rapid.T, base *Document, label string) *Document {
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

func drawDocuments(t *rapid.T) (base, mine, theirs *Document) {
	start := &Document{
		FormatVersion: FormatVersion, Callers: []Caller{{Name: "x"}},
		Workspaces: []Workspace{{Name: "a", Caller: "x"}, {Name: "b", Caller: "x"}},
	}
	base = randomEdit(t, start, "base")
	return base, randomEdit(t, base, "mine"), randomEdit(t, base, "theirs")
}

// changesByPart maps "<object>#<field>" to the change of that part.
func changesByPart(changes []Change) map[string]Change {
	out := map[string]Change{}
	for _, c := range changes {
		out[c.Object+"#"+c.Field] = c
	}
	return out
}

func hasObject(doc *Document, object string) bool { return flatten(doc).byName[object] != nil }

// Guards against a merge that loses or overwrites a change of one side, or contains one that neither side made.
func TestMergeKeepsBothSidesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawDocuments(t)
		merged, conflicts := Merge(base, mine, theirs)
		got, ours, others := changesByPart(Diff(base, merged)), changesByPart(Diff(base, mine)),
			changesByPart(Diff(base, theirs))
		for key, c := range others {
			require.Equal(t, c, got[key], "change of theirs lost")
		}
		conflicting := map[string]bool{}
		for _, c := range conflicts {
			conflicting[c.Object+"#"+c.Field] = true
			if c.Field == "" || !hasObject(base, c.Object) {
				conflicting[c.Object] = true // the whole object conflicts, or both sides added it
			}
		}
		for key, c := range ours {
			if !conflicting[c.Object] && !conflicting[key] {
				require.Equal(t, c, got[key], "change of mine lost")
			}
		}
		for key := range got {
			_, inOurs := ours[key]
			_, inOthers := others[key]
			require.True(t, inOurs || inOthers, "neither side changed %s", key)
		}
	})
}

// Guards against a conflict on a part that only one side changed, and against conflicts that depend on the order of the
// sides.
func TestMergeConflictsAreSymmetric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawDocuments(t)
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
					whole := c.Field == "" || !hasObject(base, c.Object)
					return o.Object == c.Object && (whole || o.Field == c.Field)
				})
			}
			require.True(t, touched(Diff(base, mine)) && touched(Diff(base, theirs)), "%s", c)
		}
	})
}

// Guards against a merge that does not return the changed document if only one side changed, or if both sides made the
// same change.
func TestMergeOfOneSidedChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, _ := drawDocuments(t)
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

// Guards against conflicts that do not show object, field and values to the operator.
func TestConflictStringShowsValues(t *testing.T) {
	base := &Document{Workspaces: []Workspace{{Name: "a", Weight: 1}, {Name: "b"}}}
	mine := &Document{Workspaces: []Workspace{{Name: "a", Weight: 2}}}
	theirs := &Document{Workspaces: []Workspace{{Name: "a", Weight: 3}, {Name: "b", Caller: "x"}}}
	_, conflicts := Merge(base, mine, theirs)
	require.Len(t, conflicts, 2)
	require.Equal(t, "! workspaces/a weight: base 1, mine 2, theirs 3", conflicts[0].String())
	require.Equal(t, `! workspaces/b: base {"name":"b","caller":"","keyHashes":null}, mine (unset), theirs `+
		`{"name":"b","caller":"x","keyHashes":null}`, conflicts[1].String())
}
