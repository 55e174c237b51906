package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// designSizeDocument returns a document of the size given on the design page: 14,000 workspaces, 1,200 engines in 200
// pools and 3 models.
func designSizeDocument() *Document {
	doc := &Document{FormatVersion: FormatVersion}
	for i := range 40 {
		doc.Callers = append(doc.Callers, Caller{Name: fmt.Sprintf("caller-%02d", i), Models: []string{"m0", "m1", "m2"}})
	}
	for i := range 14_000 {
		doc.Workspaces = append(doc.Workspaces, Workspace{
			Name: fmt.Sprintf("workspace-%05d", i), Caller: fmt.Sprintf("caller-%02d", i%40), Weight: 1 + i%3,
			KeyHashes: []string{HashKey(fmt.Sprint("a", i)), HashKey(fmt.Sprint("b", i))},
		})
	}
	for i := range 3 {
		doc.Models = append(doc.Models, Model{
			Name: fmt.Sprintf("m%d", i), Version: "v1", MaxPromptTokens: 1_000_000, MinReplicas: 300,
		})
	}
	for i := range 1_200 {
		pool := i / 6
		doc.BackendServers = append(doc.BackendServers, engineAt(fmt.Sprintf("engine-%04d", i),
			fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200+1), fmt.Sprintf("pool-%03d", pool), fmt.Sprintf("domain-%d", pool%6)))
	}
	return doc
}

// BenchmarkParseDesignSize measures decoding and validation. The target is under one second per document.
func BenchmarkParseDesignSize(b *testing.B) {
	data, err := Format(designSizeDocument())
	require.NoError(b, err)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkValidateDesignSize measures the semantic checks alone.
func BenchmarkValidateDesignSize(b *testing.B) {
	doc := designSizeDocument()
	for b.Loop() {
		if found := Validate(doc); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}

// BenchmarkMergeDesignSize measures the three-way merge of two documents that each changed one workspace.
func BenchmarkMergeDesignSize(b *testing.B) {
	base, mine, theirs := designSizeDocument(), designSizeDocument(), designSizeDocument()
	mine.Workspaces[1].Weight, theirs.Workspaces[2].Weight = 9, 9
	for b.Loop() {
		if _, conflicts := Merge(base, mine, theirs); len(conflicts) > 0 {
			b.Fatal(conflicts[0])
		}
	}
}
