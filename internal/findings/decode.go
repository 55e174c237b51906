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
// fields, duplicate keys and values of the wrong type, each with JSON Pointer, line and column. The returned positions
// hold line and column of every value, for later semantic checks.
func Decode(data []byte, out any) (Positions, *List) {
	list := &List{}
	d := &decoder{data: data, json: json.NewDecoder(bytes.NewReader(data)), list: list, positions: Positions{}}
	d.json.UseNumber()
	if err := d.decodeValue("", reflect.TypeOf(out).Elem()); err != nil {
		line, column := lineColumn(data, d.json.InputOffset())
		list.Append(Finding{Line: line, Column: column, Message: syntaxMessage(err)})
		return d.positions, list
	}
	if _, err := d.json.Token(); err != io.EOF {
		line, column := lineColumn(data, d.json.InputOffset())
		list.Append(Finding{Line: line, Column: column, Message: "unexpected data after the document"})
	}
	if len(list.items) == 0 {
		if err := json.Unmarshal(data, out); err != nil {
			list.Add("", "%v", err)
		}
	}
	return d.positions, list
}

// Position is a 1-based position in a document.
type Position struct{ Line, Column int }

// Positions maps JSON Pointers to the positions of their values.
type Positions map[string]Position

// Locate returns the findings with line and column set where they were unknown. A finding whose pointer is not in the
// document gets the position of the nearest enclosing value.
func (p Positions) Locate(items []Finding) []Finding {
	out := make([]Finding, len(items))
	for i, f := range items {
		out[i] = f
		if f.Line > 0 {
			continue
		}
		position := p.nearest(f.Pointer)
		out[i].Line, out[i].Column = position.Line, position.Column
	}
	return out
}

func (p Positions) nearest(pointer string) Position {
	for {
		if position, ok := p[pointer]; ok {
			return position
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return Position{}
		}
		pointer = pointer[:cut]
	}
}

type decoder struct {
	data      []byte
	json      *json.Decoder
	list      *List
	positions Positions
	// offset, line and lineStart describe the last computed position. Each search continues there, so that computing
	// all positions takes linear time in total.
	offset, line, lineStart int
}

func (d *decoder) decodeValue(pointer string, typ reflect.Type) error {
	for typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	d.recordPosition(pointer)
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return d.decodeObject(pointer, typ)
		}
		return d.decodeArray(pointer, typ)
	default:
		d.checkScalar(pointer, typ, token)
		return nil
	}
}

func (d *decoder) decodeObject(pointer string, typ reflect.Type) error {
	if typ != nil && typ.Kind() != reflect.Struct && typ.Kind() != reflect.Map && typ.Kind() != reflect.Interface {
		d.addFinding(pointer, "expected %s, got an object", expectedType(typ))
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
			delete(d.positions, child) // report the position of the duplicate, not of the first occurrence
			d.recordPosition(child)
			d.addFinding(child, "duplicate key %q", key)
		}
		seen[key] = true
		if err := d.decodeValue(child, d.fieldType(child, key, typ)); err != nil {
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
	d.recordPosition(pointer)
	d.addFinding(pointer, "unknown field %q", key)
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

func (d *decoder) decodeArray(pointer string, typ reflect.Type) error {
	var elem reflect.Type
	switch {
	case typ == nil || typ.Kind() == reflect.Interface:
	case typ.Kind() == reflect.Slice || typ.Kind() == reflect.Array:
		elem = typ.Elem()
	default:
		d.addFinding(pointer, "expected %s, got an array", expectedType(typ))
	}
	for i := 0; d.json.More(); i++ {
		if err := d.decodeValue(pointer+"/"+strconv.Itoa(i), elem); err != nil {
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
		d.addFinding(pointer, "expected %s, got null", expectedType(typ))
		return
	}
	if err := json.Unmarshal(raw, reflect.New(typ).Interface()); err != nil {
		d.addFinding(pointer, "expected %s, got %s", expectedType(typ), raw)
	}
}

func (d *decoder) addFinding(pointer, format string, args ...any) {
	position := d.positions[pointer]
	d.list.Append(Finding{
		Pointer: pointer, Line: position.Line, Column: position.Column, Message: fmt.Sprintf(format, args...),
	})
}

// recordPosition records the position of the next token as that of pointer, unless the pointer already has one.
func (d *decoder) recordPosition(pointer string) {
	if _, ok := d.positions[pointer]; ok {
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
	d.positions[pointer] = Position{Line: d.line + 1, Column: offset - d.lineStart + 1}
}

func expectedType(typ reflect.Type) string {
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
		return "unexpected end of the document"
	}
	return err.Error()
}

func lineColumn(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}
