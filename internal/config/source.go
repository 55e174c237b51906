package config

import _ "embed"

// Source is the Go source of the document types. The published schema and the console take their descriptions from its
// doc comments.
//
//go:embed types.go
var Source string
