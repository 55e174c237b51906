// Package golden records and replays sessions of a reducer. A session is a text file: a line with the prefix "> " holds an
// event, the lines with the prefix "< " after it hold its effects in order, and lines with the prefix "#" are comments.
// Events and effects are written as type name and JSON object, so that a replay reproduces the file byte for byte.
package golden

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Line prefixes of a session file.
const (
	eventPrefix   = "> "
	effectPrefix  = "< "
	commentPrefix = "#"
)

// maxLineBytes limits one line of a session; a configuration event may contain a whole configuration document.
const maxLineBytes = 16 << 20

// Codec encodes and decodes events and effects together with their type names.
type Codec struct {
	types map[string]reflect.Type
}

// NewCodec returns a codec for the types of the given values, which must be structs with distinct names.
func NewCodec(values ...any) *Codec {
	c := &Codec{types: map[string]reflect.Type{}}
	for _, v := range values {
		t := reflect.TypeOf(v)
		c.types[t.Name()] = t
	}
	return c
}

// Marshal encodes a value as "TypeName {json}".
func (c *Codec) Marshal(v any) ([]byte, error) {
	name := reflect.TypeOf(v).Name()
	if _, ok := c.types[name]; !ok {
		return nil, fmt.Errorf("type %s is not registered", name)
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("marshal %s: %w", name, err)
	}
	return append([]byte(name+" "), body...), nil
}

// Unmarshal decodes the output of Marshal. It returns an error for unknown types and fields.
func (c *Codec) Unmarshal(line []byte) (any, error) {
	name, body, _ := bytes.Cut(line, []byte(" "))
	t, ok := c.types[string(name)]
	if !ok {
		return nil, fmt.Errorf("type %q is not registered", name)
	}
	v := reflect.New(t)
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v.Interface()); err != nil {
		return nil, fmt.Errorf("unmarshal %s: %w", name, err)
	}
	return v.Elem().Interface(), nil
}

// Recorder writes a session. It is not safe for concurrent use; callers must hold the lock that serialises Step.
type Recorder struct {
	w     io.Writer
	codec *Codec
}

// NewRecorder returns a recorder that writes to w.
func NewRecorder(w io.Writer, codec *Codec) *Recorder { return &Recorder{w: w, codec: codec} }

// Record writes one event and its effects.
func (r *Recorder) Record(event any, effects []any) error {
	var out bytes.Buffer
	if err := r.appendLine(&out, eventPrefix, event); err != nil {
		return err
	}
	for _, e := range effects {
		if err := r.appendLine(&out, effectPrefix, e); err != nil {
			return err
		}
	}
	_, err := r.w.Write(out.Bytes())
	return err
}

func (r *Recorder) appendLine(out *bytes.Buffer, prefix string, v any) error {
	text, err := r.codec.Marshal(v)
	if err != nil {
		return err
	}
	out.WriteString(prefix)
	out.Write(text)
	out.WriteByte('\n')
	return nil
}

// Replay passes the events of a session to step and returns the resulting session, including comments. The result equals
// the input if and only if the reducer's effects match the recorded ones.
func Replay(session []byte, codec *Codec, step func(event any) []any) ([]byte, error) {
	var out bytes.Buffer
	recorder := NewRecorder(&out, codec)
	scanner := bufio.NewScanner(bytes.NewReader(session))
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, effectPrefix):
		case strings.HasPrefix(line, eventPrefix):
			event, err := codec.Unmarshal([]byte(strings.TrimPrefix(line, eventPrefix)))
			if err != nil {
				return nil, fmt.Errorf("line %d: %w", n, err)
			}
			if err := recorder.Record(event, step(event)); err != nil {
				return nil, fmt.Errorf("line %d: %w", n, err)
			}
		case line == "" || strings.HasPrefix(line, commentPrefix):
			out.WriteString(line + "\n")
		default:
			return nil, fmt.Errorf("line %d: expected an event, an effect or a comment", n)
		}
	}
	return out.Bytes(), scanner.Err()
}
