package configschema

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const schemaPath = "../../docs/config.schema.json"

func compileSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	text, err := os.ReadFile(schemaPath)
	require.NoError(t, err)
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	compiler := jsonschema.NewCompiler()
	require.NoError(t, compiler.AddResource("config.schema.json", value))
	schema, err := compiler.Compile("config.schema.json")
	require.NoError(t, err)
	return schema
}

func validate(t *testing.T, schema *jsonschema.Schema, text string) error {
	t.Helper()
	value, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	require.NoError(t, err)
	return schema.Validate(value)
}

// Guards against a published schema that differs from the one generated from the structs.
func TestPublishedSchemaIsUpToDate(t *testing.T) {
	got, err := Generate()
	require.NoError(t, err)
	if os.Getenv("CAROBSTILE_UPDATE_GOLDEN") == "1" {
		require.NoError(t, os.WriteFile(schemaPath, got, 0o644))
	}
	want, err := os.ReadFile(schemaPath)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "docs/config.schema.json is not what Generate returns; run this test with"+
		" CAROBSTILE_UPDATE_GOLDEN=1 and read the difference")
}

// Guards against invalid examples, and against a schema that rejects documents which Parse accepts.
func TestExamplesAreValid(t *testing.T) {
	schema := compileSchema(t)
	paths, err := filepath.Glob("../../examples/*.json")
	require.NoError(t, err)
	require.Len(t, paths, 2)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, validate(t, schema, string(text)), path)
		doc, err := config.Parse(text)
		require.NoError(t, err, path)
		formatted, err := config.Format(doc)
		require.NoError(t, err)
		require.NoError(t, validate(t, schema, string(formatted)), path)
	}
}

// Guards against a schema that accepts faults which its keywords can express, and against faults that Parse accepts.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	schema := compileSchema(t)
	text, err := os.ReadFile("../../examples/trust.json")
	require.NoError(t, err)
	for from, to := range map[string]string{
		`"formatVersion": 1`:             `"formatVersion": 2`,
		`"priority": 8`:                  `"priority": 10`,
		`"priority": 2`:                  `"prioritty": 2`,
		`"10.20.1.10:8000"`:              `"engine-1:8000"`,
		`"kind": "service"`:              `"kind": "services"`,
		`"weight": 3`:                    `"weight": "3"`,
		`"weight": 2`:                    `"weight": -2`,
		`"name": "slate-east"`:           `"name": "slate east"`,
		`"lesson/civics"`:                `"civics"`,
		`"minReplicas": 6`:               `"minReplicas": 6.5`,
		`"region": "prairie-west",`:      ``,
		`"timeoutMs": 3000`:              `"timeoutMs": null`,
		`"idempotent": true`:             `"idempotent": "yes"`,
		`"version": "2026-10",`:          ``,
		`"maxPromptTokens": 200000,`:     ``,
		`"defaultDeadlineMs": 60000`:     `"defaultDeadlineMs": 90000000`,
		`"failureDomain": "prairie-west`: `"failureDomain": "/prairie-west`,
	} {
		invalid := strings.Replace(string(text), from, to, 1)
		require.NotEqual(t, string(text), invalid, from)
		require.Error(t, validate(t, schema, invalid), "%s -> %s", from, to)
		_, err := config.Parse([]byte(invalid))
		require.Error(t, err, "%s -> %s", from, to)
	}
}

// Guards against differences between the schema's patterns and Parse's rules for names and hashes.
func TestPatternsAgreeWithParse(t *testing.T) {
	name, hash := regexp.MustCompile(namePattern), regexp.MustCompile(hashPattern)
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.StringMatching(`[A-Za-z0-9._/ \x{e5}-]{0,66}`).Draw(t, "name")
		require.Equal(t, config.ValidName(s), name.MatchString(s))
		s = rapid.StringMatching(`[0-9a-f]{63,65}|[0-9a-fA-F]{64}`).Draw(t, "hash")
		require.Equal(t, config.ValidKeyHash(s), hash.MatchString(s))
	})
}

// Guards against types without a description in the schema, which is the documentation for new users.
func TestEveryTypeIsDescribed(t *testing.T) {
	docs, err := DocComments(config.Source)
	require.NoError(t, err)
	for name := range required {
		require.NotEmpty(t, docs[name], name)
	}
}

// Guards against an integer without a range in the schema, which an editor could not check.
func TestEveryNumberHasARange(t *testing.T) {
	text, err := Generate()
	require.NoError(t, err)
	require.NotContains(t, strings.Join(strings.Fields(string(text)), ""), `"type":"integer"}`)
}
