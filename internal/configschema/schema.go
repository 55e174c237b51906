// Package configschema generates the published JSON Schema of the configuration document from its Go structs and their
// doc comments.
package configschema

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/cockroachdb/errors"
)

const (
	dialect  = "https://json-schema.org/draft/2020-12/schema"
	schemaID = "https://carobstile.example/config.schema.json"
)

// String patterns. They duplicate config.ValidName and config.ValidKeyHash; a test checks that they agree.
const (
	namePattern    = `^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`
	adapterPattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,63}/[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`
	hashPattern    = `^[0-9a-f]{64}$`
	addressPattern = `^([0-9.]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$`
)

// patterns holds the patterns of string fields, and of the items of string lists, by "<Type>.<field>".
var patterns = map[string]string{
	"Caller.name": namePattern, "Workspace.name": namePattern, "Model.name": namePattern, "Adapter.name": namePattern,
	"BackendServer.name": namePattern, "Route.name": namePattern, "Workspace.caller": namePattern,
	"Model.version": namePattern, "Adapter.version": namePattern, "BackendServer.region": namePattern,
	"BackendServer.failureDomain": namePattern, "Caller.models": namePattern, "Caller.routes": namePattern,
	"Model.pools": namePattern, "Route.backendServers": namePattern, "Caller.adapters": adapterPattern,
	"Workspace.keyHashes": hashPattern, "BackendServer.address": addressPattern,
}

// enums holds the permitted values of string fields, by "<Type>.<field>".
var enums = map[string][]string{"BackendServer.kind": {string(config.KindEngine), string(config.KindService)}}

// required holds the mandatory fields of each type: those whose absence config.Validate reports.
var required = map[string][]string{
	"Document": {"formatVersion"}, "Caller": {"name"}, "Workspace": {"name", "caller"},
	"Model": {"name", "version", "maxPromptTokens"}, "Adapter": {"name", "version"},
	"BackendServer": {"name", "address", "kind", "region", "failureDomain"}, "Route": {"name", "backendServers"},
}

// node is a JSON Schema. The order of its fields is the order of the keywords in the published schema.
type node struct {
	Schema      string           `json:"$schema,omitempty"`
	ID          string           `json:"$id,omitempty"`
	Ref         string           `json:"$ref,omitempty"`
	Title       string           `json:"title,omitempty"`
	Description string           `json:"description,omitempty"`
	Type        string           `json:"type,omitempty"`
	Enum        []string         `json:"enum,omitempty"`
	Pattern     string           `json:"pattern,omitempty"`
	Minimum     *int             `json:"minimum,omitempty"`
	Maximum     *int             `json:"maximum,omitempty"`
	AnyOf       []*node          `json:"anyOf,omitempty"`
	Const       *int             `json:"const,omitempty"`
	MinItems    int              `json:"minItems,omitempty"`
	UniqueItems bool             `json:"uniqueItems,omitempty"`
	Items       *node            `json:"items,omitempty"`
	Properties  *properties      `json:"properties,omitempty"`
	Required    []string         `json:"required,omitempty"`
	Additional  *bool            `json:"additionalProperties,omitempty"`
	Defs        map[string]*node `json:"$defs,omitempty"`
}

// properties maps names to schemas and keeps the order of the struct fields, which a map would lose.
type properties struct {
	names []string
	nodes []*node
}

// MarshalJSON implements json.Marshaler.
func (p *properties) MarshalJSON() ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, name := range p.names {
		if i > 0 {
			out.WriteByte(',')
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(p.nodes[i])
		if err != nil {
			return nil, err
		}
		out.Write(key)
		out.WriteByte(':')
		out.Write(value)
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// Generate returns the JSON Schema of config.Document.
func Generate() ([]byte, error) {
	docs, err := DocComments(config.Source)
	if err != nil {
		return nil, err
	}
	g := &generator{docs: docs, ranges: config.Ranges(), defs: map[string]*node{}}
	root := g.objectSchema(reflect.TypeFor[config.Document]())
	root.Schema, root.ID, root.Title = dialect, schemaID, "carobstile configuration document"
	root.Defs = g.defs
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(root); err != nil {
		return nil, errors.Wrap(err, "encode the configuration schema")
	}
	return out.Bytes(), nil
}

type generator struct {
	docs   map[string]string
	ranges map[string]config.Range
	defs   map[string]*node
}

// objectSchema returns the schema of a struct type, which permits no other properties.
func (g *generator) objectSchema(typ reflect.Type) *node {
	allowAdditional := false
	n := &node{
		Type: "object", Description: g.docs[typ.Name()], Required: required[typ.Name()], Additional: &allowAdditional,
		Properties: &properties{},
	}
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		child := g.valueSchema(typ.Name()+"."+name, field.Type)
		child.Description = g.docs[typ.Name()+"."+field.Name]
		n.Properties.names = append(n.Properties.names, name)
		n.Properties.nodes = append(n.Properties.nodes, child)
	}
	return n
}

// valueSchema returns the schema of a field of the given type, where name is "<Type>.<field>".
func (g *generator) valueSchema(name string, typ reflect.Type) *node {
	switch typ.Kind() {
	case reflect.Struct:
		return &node{Ref: g.reference(typ)}
	case reflect.Slice:
		list := &node{Type: "array", Items: g.valueSchema(name, typ.Elem())}
		list.UniqueItems = typ.Elem().Kind() == reflect.String
		if name == "Route.backendServers" {
			list.MinItems = 1
		}
		return list
	case reflect.Bool:
		return &node{Type: "boolean"}
	case reflect.Int:
		return g.integerSchema(name)
	default:
		return &node{Type: "string", Pattern: patterns[name], Enum: enums[name]}
	}
}

func (g *generator) reference(typ reflect.Type) string {
	if g.defs[typ.Name()] == nil {
		g.defs[typ.Name()] = g.objectSchema(typ)
	}
	return "#/$defs/" + typ.Name()
}

func (g *generator) integerSchema(name string) *node {
	n := &node{Type: "integer"}
	r, ok := g.ranges[name]
	if !ok {
		return n
	}
	n.Minimum, n.Maximum = &r.Low, &r.High
	if !r.Optional {
		return n
	}
	unsetValue := 0
	return &node{AnyOf: []*node{{Const: &unsetValue}, n}}
}

// DocComments returns the doc comments of the types and fields in source, by "<Type>" and "<Type>.<Field>", each joined
// into one line.
func DocComments(source string) (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "types.go", source, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "parse the Go source of the configuration types")
	}
	out := map[string]string{}
	for _, decl := range file.Decls {
		genDecl, ok := decl.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range genDecl.Specs {
			typ, ok := spec.(*ast.TypeSpec)
			if !ok {
				continue
			}
			out[typ.Name.Name] = oneLine(genDecl.Doc)
			addFields(out, typ)
		}
	}
	return out, nil
}

func addFields(out map[string]string, typ *ast.TypeSpec) {
	body, ok := typ.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range body.Fields.List {
		for _, name := range field.Names {
			out[typ.Name.Name+"."+name.Name] = oneLine(field.Doc)
		}
	}
}

func oneLine(doc *ast.CommentGroup) string { return strings.Join(strings.Fields(doc.Text()), " ") }
