package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Conflict is a field or object that two changes of the same base changed differently.
type Conflict struct {
	// Object has the same form as Change.Object.
	Object string `json:"object"`
	// Field is empty if one side removed the object and the other changed it.
	Field string `json:"field,omitempty"`
	// Base, Mine and Theirs are the JSON values of the field or object; empty if it is missing.
	Base   json.RawMessage `json:"base,omitempty"`
	Mine   json.RawMessage `json:"mine,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

// String formats the conflict as one line.
func (c Conflict) String() string {
	part := strings.TrimSpace(c.Object + " " + c.Field)
	return fmt.Sprintf("! %s: base %s, mine %s, theirs %s", part, orUnset(c.Base), orUnset(c.Mine), orUnset(c.Theirs))
}

// Merge combines the changes from base to mine and from base to theirs, by object and field. A field or object that
// both sides changed differently is a conflict, and the merged document then has the value of theirs. Each list of
// strings and each list of adapters is one field. Objects keep the order of theirs, followed by the objects that only
// mine has, in its order.
//
// A merge without conflicts can still give an invalid document, for example if one side removed a caller and the other
// added a workspace for it. The merged document shares lists with its inputs, which must not be modified afterwards.
func Merge(base, mine, theirs *Document) (*Document, []Conflict) {
	m := &merger{base: flatten(base), mine: flatten(mine), theirs: flatten(theirs)}
	out := &Document{}
	value := reflect.ValueOf(out).Elem()
	for i := range value.NumField() {
		section, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		field := value.Field(i)
		switch field.Kind() {
		case reflect.Slice:
			m.section(field, section)
		case reflect.Struct:
			if merged, ok := m.object(section); ok {
				field.Set(merged)
			}
		}
	}
	out.FormatVersion = theirs.FormatVersion
	if theirs.FormatVersion == base.FormatVersion {
		out.FormatVersion = mine.FormatVersion
	}
	return out, m.conflicts
}

type merger struct {
	base, mine, theirs *objects
	conflicts          []Conflict
}

// section merges the objects of one section into out.
func (m *merger) section(out reflect.Value, section string) {
	add := func(o *object) {
		if merged, ok := m.object(o.name); ok {
			out.Set(reflect.Append(out, merged))
		}
	}
	for _, o := range m.theirs.list {
		if o.section == section {
			add(o)
		}
	}
	for _, o := range m.mine.list {
		if o.section == section && m.theirs.byName[o.name] == nil {
			add(o)
		}
	}
}

// object merges one object; ok is false if the merged document does not contain it.
func (m *merger) object(name string) (merged reflect.Value, ok bool) {
	base, mine, theirs := m.base.byName[name], m.mine.byName[name], m.theirs.byName[name]
	switch {
	case equalObjects(mine, base):
		return theirs.structValue()
	case equalObjects(theirs, base), equalObjects(theirs, mine):
		return mine.structValue()
	case mine == nil || theirs == nil:
		m.conflict(Conflict{Object: name, Base: base.json(), Mine: mine.json(), Theirs: theirs.json()})
		return theirs.structValue()
	}
	return m.fields(base, mine, theirs), true
}

// fields merges an object that both sides changed. An object that both sides added has no base, so every difference is
// a conflict.
func (m *merger) fields(base, mine, theirs *object) reflect.Value {
	out := reflect.New(theirs.value.Type()).Elem()
	out.Set(theirs.value)
	for i := range out.NumField() {
		mineField, theirField := mine.value.Field(i), theirs.value.Field(i)
		switch {
		case equalValues(mineField, theirField):
		case base != nil && equalValues(mineField, base.value.Field(i)):
		case base != nil && equalValues(theirField, base.value.Field(i)):
			out.Field(i).Set(mineField)
		default:
			c := Conflict{
				Object: theirs.name, Field: theirs.field(i), Mine: fieldJSON(mineField), Theirs: fieldJSON(theirField),
			}
			if base != nil {
				c.Base = fieldJSON(base.value.Field(i))
			}
			m.conflict(c)
		}
	}
	return out
}

func (m *merger) conflict(c Conflict) { m.conflicts = append(m.conflicts, c) }

// structValue returns the value of the object, or false for a nil object.
func (o *object) structValue() (reflect.Value, bool) {
	if o == nil {
		return reflect.Value{}, false
	}
	return o.value, true
}

func equalObjects(a, b *object) bool {
	if a == nil || b == nil {
		return a == b
	}
	for i := range a.value.NumField() {
		if !equalValues(a.value.Field(i), b.value.Field(i)) {
			return false
		}
	}
	return true
}
