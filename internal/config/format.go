package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Format returns a document as indented JSON that Parse accepts. It replaces missing lists by empty ones, because
// encoding/json writes a nil list as null, which Parse rejects.
func Format(doc *Document) ([]byte, error) {
	out := *doc
	out.Callers = orEmpty(doc.Callers)
	out.Models = orEmpty(doc.Models)
	out.BackendServers = orEmpty(doc.BackendServers)
	out.Workspaces = orEmpty(slices.Clone(doc.Workspaces))
	for i := range out.Workspaces {
		out.Workspaces[i].KeyHashes = orEmpty(out.Workspaces[i].KeyHashes)
	}
	out.Routes = orEmpty(slices.Clone(doc.Routes))
	for i := range out.Routes {
		out.Routes[i].BackendServers = orEmpty(out.Routes[i].BackendServers)
	}
	var buffer bytes.Buffer
	enc := json.NewEncoder(&buffer)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(out); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
