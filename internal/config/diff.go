package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of a change: an object was added or removed, or one of its fields changed.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	// Object is "<section>/<name>", such as "workspaces/alpha", or a section without names, such as "limits".
	Object string     `json:"object"`
	Kind   ChangeKind `json:"kind"`
	// Field is set when Kind is Changed.
	Field string `json:"field,omitempty"`
	// Before and After are the JSON values of the field, or of the whole object if it was added or removed. They are
	// empty for a field that is not set.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Object, c.After)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Object, c.Before)
	default:
		return fmt.Sprintf("~ %s %s: %s -> %s", c.Object, c.Field, orUnset(c.Before), orUnset(c.After))
	}
}

func orUnset(v json.RawMessage) string {
	if len(v) == 0 {
		return "(unset)"
	}
	return string(v)
}

// Diff returns the changes from before to after by object and field: changed and removed objects in the order of
// before, then added objects in the order of after. Reordering objects within a section is not a change.
func Diff(before, after *Document) []Change {
	old, updated := flatten(before), flatten(after)
	var out []Change
	for _, o := range old.list {
		if other, ok := updated.byName[o.name]; ok {
			out = append(out, diffFields(o, other)...)
		} else {
			out = append(out, Change{Object: o.name, Kind: Removed, Before: o.json()})
		}
	}
	for _, o := range updated.list {
		if _, ok := old.byName[o.name]; !ok {
			out = append(out, Change{Object: o.name, Kind: Added, After: o.json()})
		}
	}
	return out
}

func diffFields(before, after *object) []Change {
	var out []Change
	for i := range before.value.NumField() {
		b, a := before.value.Field(i), after.value.Field(i)
		if equalValues(b, a) {
			continue
		}
		out = append(out, Change{
			Object: before.name, Kind: Changed, Field: before.field(i), Before: fieldJSON(b), After: fieldJSON(a),
		})
	}
	return out
}

// object is a section without names, or a named object of a section, with its fields in the order of the struct.
type object struct {
	name    string
	section string
	value   reflect.Value
}

func (o *object) field(i int) string {
	name, _, _ := strings.Cut(o.value.Type().Field(i).Tag.Get("json"), ",")
	return name
}

// json returns the JSON of the object, or nil for a nil object.
func (o *object) json() json.RawMessage {
	if o == nil {
		return nil
	}
	return fieldJSON(o.value)
}

type objects struct {
	list   []*object
	byName map[string]*object
}

func (x *objects) add(section, name string, value reflect.Value) {
	o := &object{name: name, section: section, value: value}
	x.list = append(x.list, o)
	x.byName[name] = o
}

// flatten returns the objects of a document in the order of its sections. A section that is a struct, such as limits,
// is one object.
func flatten(doc *Document) *objects {
	x := &objects{byName: map[string]*object{}}
	if doc == nil {
		doc = &Document{}
	}
	value := reflect.ValueOf(doc).Elem()
	for i := range value.NumField() {
		section, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		field := value.Field(i)
		switch field.Kind() {
		case reflect.Struct:
			x.add(section, section, field)
		case reflect.Slice:
			for j := range field.Len() {
				x.add(section, section+"/"+field.Index(j).FieldByName("Name").String(), field.Index(j))
			}
		}
	}
	return x
}

// equalValues compares two field values. An empty list equals a missing one.
func equalValues(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// fieldJSON returns the JSON of a value, or nil for an empty list or string. Zero numbers and false are returned,
// because operators need to see a change from or to them.
func fieldJSON(v reflect.Value) json.RawMessage {
	if k := v.Kind(); (k == reflect.Slice || k == reflect.String) && v.Len() == 0 {
		return nil
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v.Interface()); err != nil {
		// Unreachable: documents consist of strings, numbers, booleans, lists and structs, which always encode.
		panic(err)
	}
	return bytes.TrimSpace(out.Bytes())
}
