package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func sampleDocument(workspaces int) *Document {
	doc := &Document{FormatVersion: FormatVersion, Callers: []Caller{{Name: "trust", Priority: 5}}}
	for i := range workspaces {
		doc.Workspaces = append(doc.Workspaces, Workspace{
			Name: fmt.Sprintf("w%05d", i), Caller: "trust", KeyHashes: []string{HashKey(fmt.Sprintf("key-%d", i))},
		})
	}
	return doc
}

// Guards against a document that is changed by storing and reading it.
func TestSplitAssembleRoundTrip(t *testing.T) {
	doc := sampleDocument(1_000)
	root, chunks, err := Split(doc)
	require.NoError(t, err)
	got, err := Assemble(&root, func(hash string) ([]byte, bool) { c, ok := chunks[hash]; return c, ok })
	require.NoError(t, err)
	require.Equal(t, doc, got)
}

// Guards against a change of one workspace that rewrites more than one chunk, which would exceed the bandwidth budget
// for control traffic.
func TestOneChangeRewritesOneChunk(t *testing.T) {
	_, before, err := Split(sampleDocument(1_000))
	require.NoError(t, err)
	changed := sampleDocument(1_000)
	changed.Workspaces[17].Weight = 3
	_, after, err := Split(changed)
	require.NoError(t, err)
	added := 0
	for hash := range after {
		if _, ok := before[hash]; !ok {
			added++
		}
	}
	require.Equal(t, 1, added)
}

// Guards against adopting a configuration with a corrupted or forged chunk.
func TestAssembleVerifiesChunks(t *testing.T) {
	root, chunks, err := Split(sampleDocument(10))
	require.NoError(t, err)
	chunks[root.Base] = []byte(`{"formatVersion":1}`)
	_, err = Assemble(&root, func(hash string) ([]byte, bool) { c, ok := chunks[hash]; return c, ok })
	require.ErrorContains(t, err, "has the content of")
}
