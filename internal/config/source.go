package config

import _ "embed"

// Source is the Go source of the types, whose doc comments are the documentation of the document.
//
//go:embed types.go
var Source string
