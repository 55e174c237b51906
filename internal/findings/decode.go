package findings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// Decode decodes JSON into the struct that out points to. It reports all findings at once: syntax errors, unknown
// fields, duplicate keys and values of the wrong type, each with JSON Pointer, line and column. The returned places
// give line and column of every value, for later semantic checks.
func Decode(data []byte, out any) (Places, *List) {
	list := &List{}
	d := &decoder{data: data, json: json.NewDecoder(bytes.NewReader(data)), list: list, places: Places{}}
	d.json.UseNumber()
	if err := d.value("", reflect.TypeOf(out).Elem()); err != nil {
		line, column := position(data, d.json.InputOffset())
		list.Append(Finding{Line: line, Column: column, Message: syntaxMessage(err)})
		return d.places, list
	}
	if _, err := d.json.Token(); err != io.EOF {
		line, column := position(data, d.json.InputOffset())
		list.Append(Finding{Line: line, Column: column, Message: "unexpected data after the document"})
	}
	if len(list.items) == 0 {
		if err := json.Unmarshal(data, out); err != nil {
			list.Add("", "%v", err)
		}
	}
	return d.places, list
}

// Place is a position in a document, counted from 1.
type Place struct{ Line, Column int }

// Places maps JSON Pointers to positions.
type Places map[string]Place

// Locate fills in line and column of findings by their pointers, or by the nearest enclosing value that exists.
func (p Places) Locate(items []Finding) []Finding {
	out := make([]Finding, len(items))
	for i, f := range items {
		out[i] = f
		if f.Line > 0 {
			continue
		}
		place := p.nearest(f.Pointer)
		out[i].Line, out[i].Column = place.Line, place.Column
	}
	return out
}

func (p Places) nearest(pointer string) Place {
	for {
		if place, ok := p[pointer]; ok {
			return place
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return Place{}
		}
		pointer = pointer[:cut]
	}
}

type decoder struct {
	data   []byte
	json   *json.Decoder
	list   *List
	places Places
	// offset and line of the last position computed, so that positions cost linear time in total.
	offset, line, lineStart int
}

func (d *decoder) value(pointer string, typ reflect.Type) error {
	for typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	d.mark(pointer)
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return d.object(pointer, typ)
		}
		return d.array(pointer, typ)
	default:
		d.checkScalar(pointer, typ, token)
		return nil
	}
}

func (d *decoder) object(pointer string, typ reflect.Type) error {
	if typ != nil && typ.Kind() != reflect.Struct && typ.Kind() != reflect.Map && typ.Kind() != reflect.Interface {
		d.finding(pointer, "expected %s, got an object", describe(typ))
		typ = nil
	}
	seen := map[string]bool{}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		child := pointer + "/" + Escape(key)
		if seen[key] {
			delete(d.places, child) // the finding names the repeated key's place, not the first one's
			d.mark(child)
			d.finding(child, "duplicate key %q", key)
		}
		seen[key] = true
		if err := d.value(child, d.fieldType(child, key, typ)); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) fieldType(pointer, key string, typ reflect.Type) reflect.Type {
	if typ == nil || typ.Kind() == reflect.Interface {
		return nil
	}
	if typ.Kind() == reflect.Map {
		return typ.Elem()
	}
	if field, ok := fieldByKey(typ, key); ok {
		return field
	}
	d.mark(pointer)
	d.finding(pointer, "unknown field %q", key)
	return nil
}

func fieldByKey(typ reflect.Type, key string) (reflect.Type, bool) {
	for i := range typ.NumField() {
		field := typ.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" {
			if t, ok := fieldByKey(field.Type, key); ok {
				return t, true
			}
			continue
		}
		if name == key && name != "-" {
			return field.Type, true
		}
	}
	return nil, false
}

func (d *decoder) array(pointer string, typ reflect.Type) error {
	var elem reflect.Type
	switch {
	case typ == nil || typ.Kind() == reflect.Interface:
	case typ.Kind() == reflect.Slice || typ.Kind() == reflect.Array:
		elem = typ.Elem()
	default:
		d.finding(pointer, "expected %s, got an array", describe(typ))
	}
	for i := 0; d.json.More(); i++ {
		if err := d.value(pointer+"/"+strconv.Itoa(i), elem); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) checkScalar(pointer string, typ reflect.Type, token json.Token) {
	if typ == nil || typ.Kind() == reflect.Interface {
		return
	}
	raw, err := json.Marshal(token)
	if err != nil {
		return
	}
	if token == nil {
		d.finding(pointer, "expected %s, got null", describe(typ))
		return
	}
	if err := json.Unmarshal(raw, reflect.New(typ).Interface()); err != nil {
		d.finding(pointer, "expected %s, got %s", describe(typ), raw)
	}
}

func (d *decoder) finding(pointer, format string, args ...any) {
	place := d.places[pointer]
	d.list.Append(Finding{
		Pointer: pointer, Line: place.Line, Column: place.Column, Message: fmt.Sprintf(format, args...),
	})
}

// mark records where the next token starts.
func (d *decoder) mark(pointer string) {
	if _, ok := d.places[pointer]; ok {
		return
	}
	offset := int(d.json.InputOffset())
	for offset < len(d.data) && strings.IndexByte(" \t\r\n,:", d.data[offset]) >= 0 {
		offset++
	}
	for ; d.offset < offset; d.offset++ {
		if d.data[d.offset] == '\n' {
			d.line++
			d.lineStart = d.offset + 1
		}
	}
	d.places[pointer] = Place{Line: d.line + 1, Column: offset - d.lineStart + 1}
}

func describe(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, at least 0"
	default:
		return "a whole number"
	}
}

func syntaxMessage(err error) string {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return "the document ends too early"
	}
	return err.Error()
}

func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}
