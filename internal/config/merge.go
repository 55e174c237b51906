package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Conflict is a part that two changes of the same base changed differently.
type Conflict struct {
	// Object is named as in Change.
	Object string `json:"object"`
	// Field is empty when one side removed the object and the other changed it.
	Field string `json:"field,omitempty"`
	// Base, Mine and Theirs are the JSON values of the field or object; a missing one has no value.
	Base   json.RawMessage `json:"base,omitempty"`
	Mine   json.RawMessage `json:"mine,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

// String formats the conflict as one line.
func (c Conflict) String() string {
	where := strings.TrimSpace(c.Object + " " + c.Field)
	return fmt.Sprintf("! %s: base %s, mine %s, theirs %s", where, orUnset(c.Base), orUnset(c.Mine), orUnset(c.Theirs))
}

// Merge applies the changes from base to mine and from base to theirs together, by object and field. A part that both
// changed differently is a conflict, and the merged document then has the value of theirs. Lists of strings and of
// adapters are one field each. Objects keep the order of theirs; objects that only mine has follow in its order.
//
// A merge without conflicts can still be invalid, for example when one side removed a caller that the other one gave a
// workspace. The merged document shares lists with its inputs, which must not be changed afterwards.
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

// section merges the objects of one list into out.
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

// object merges one object; ok is false when the merged document does not have it.
func (m *merger) object(name string) (merged reflect.Value, ok bool) {
	base, mine, theirs := m.base.byName[name], m.mine.byName[name], m.theirs.byName[name]
	switch {
	case sameObject(mine, base):
		return theirs.get()
	case sameObject(theirs, base), sameObject(theirs, mine):
		return mine.get()
	case mine == nil || theirs == nil:
		m.conflict(Conflict{Object: name, Base: base.json(), Mine: mine.json(), Theirs: theirs.json()})
		return theirs.get()
	}
	return m.fields(base, mine, theirs), true
}

// fields merges an object that both sides changed. An object that both sides added has no base, so that every
// difference is a conflict.
func (m *merger) fields(base, mine, theirs *object) reflect.Value {
	out := reflect.New(theirs.value.Type()).Elem()
	out.Set(theirs.value)
	for i := range out.NumField() {
		mineField, theirField := mine.value.Field(i), theirs.value.Field(i)
		switch {
		case same(mineField, theirField):
		case base != nil && same(mineField, base.value.Field(i)):
		case base != nil && same(theirField, base.value.Field(i)):
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

func (o *object) get() (reflect.Value, bool) {
	if o == nil {
		return reflect.Value{}, false
	}
	return o.value, true
}

func sameObject(a, b *object) bool {
	if a == nil || b == nil {
		return a == b
	}
	for i := range a.value.NumField() {
		if !same(a.value.Field(i), b.value.Field(i)) {
			return false
		}
	}
	return true
}
