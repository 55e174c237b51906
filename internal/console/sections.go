package console

import (
	"reflect"
	"strings"

	"github.com/carobstile/carobstile/internal/config"
)

// section is a part of the document with its own page: a list of named objects or a single settings object.
type section struct {
	// Name is the JSON name of the part.
	Name  string
	Title string
	// One is the singular noun for an object of the list. It is empty for a single settings object, such as limits.
	One string
}

var sections = []section{
	{"callers", "Callers", "caller"},
	{"workspaces", "Workspaces", "workspace"},
	{"models", "Models and adapters", "model"},
	{"backendServers", "Backend servers", "backend server"},
	{"routes", "Routes", "route"},
	{"limits", "Limits", ""},
	{"weightStore", "Weight store", ""},
}

func findSection(name string) (section, bool) {
	for _, s := range sections {
		if s.Name == name {
			return s, true
		}
	}
	return section{}, false
}

// List reports whether the section is a list of named objects.
func (s section) List() bool { return s.One != "" }

// value returns the field of the document that holds the section.
func (s section) value(doc *config.Document) reflect.Value {
	v := reflect.ValueOf(doc).Elem()
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == s.Name {
			return v.Field(i)
		}
	}
	panic("the document has no field " + s.Name) // unreachable: sections contains only fields of the document
}

func objectName(v reflect.Value) string { return v.FieldByName("Name").String() }

// index returns the index of the object with the given name, or -1.
func (s section) index(doc *config.Document, name string) int {
	list := s.value(doc)
	for i := range list.Len() {
		if objectName(list.Index(i)) == name {
			return i
		}
	}
	return -1
}

// remove removes the object with the given name and reports whether it existed.
func (s section) remove(doc *config.Document, name string) bool {
	i := s.index(doc, name)
	if i < 0 {
		return false
	}
	list := s.value(doc)
	list.Set(reflect.AppendSlice(list.Slice(0, i), list.Slice(i+1, list.Len())))
	return true
}

// row is an object on a list page.
type row struct {
	Name    string
	Summary string
}

// search returns the objects whose name or summary contains the text, ignoring case. An empty text matches all objects.
func (s section) search(doc *config.Document, text string) []row {
	list := s.value(doc)
	text = strings.ToLower(text)
	var out []row
	for i := range list.Len() {
		r := row{Name: objectName(list.Index(i)), Summary: summary(list.Index(i).Interface())}
		if text == "" || strings.Contains(strings.ToLower(r.Name+" "+r.Summary), text) {
			out = append(out, r)
		}
	}
	return out
}

func summary(object any) string {
	switch o := object.(type) {
	case config.Caller:
		return "models " + strings.Join(o.Models, ", ")
	case config.Workspace:
		return "caller " + o.Caller
	case config.Model:
		return "version " + o.Version
	case config.BackendServer:
		text := string(o.Kind) + " " + o.Address + " in " + o.FailureDomain
		if o.Pool != "" {
			text += ", pool " + o.Pool
		}
		if o.Drained {
			text += ", drained"
		}
		return text
	case config.Route:
		return strings.Join(o.BackendServers, ", ")
	}
	return ""
}
