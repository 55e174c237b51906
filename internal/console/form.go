package console

import (
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/findings"
)

// fieldKind says how a field is edited.
type fieldKind string

const (
	kindText   fieldKind = "text"
	kindNumber fieldKind = "number"
	kindBox    fieldKind = "checkbox"
	kindLines  fieldKind = "lines"
	kindChoice fieldKind = "choice"
)

// field is one labelled input of a form.
type field struct {
	Name, Label, Help string
	Kind              fieldKind
	Value             string
	Checked           bool
	Choices           []string
	Findings          []string
}

// HelpID and FindingsID are the ids that aria-describedby refers to.
func (f field) HelpID() string { return "help-" + f.Name }

// FindingsID is the id of the list of findings.
func (f field) FindingsID() string { return "findings-" + f.Name }

// DescribedBy lists the ids of the texts that describe the input.
func (f field) DescribedBy() string {
	var ids []string
	if len(f.Findings) > 0 {
		ids = append(ids, f.FindingsID())
	}
	if f.Help != "" {
		ids = append(ids, f.HelpID())
	}
	return strings.Join(ids, " ")
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// label turns "maxPromptTokens" into "Max prompt tokens".
func label(name string) string {
	var b strings.Builder
	for i, r := range name {
		switch {
		case i == 0:
			b.WriteRune(unicode.ToUpper(r))
		case unicode.IsUpper(r):
			b.WriteByte(' ')
			b.WriteRune(unicode.ToLower(r))
		default:
			b.WriteRune(r)
		}
	}
	return strings.Replace(b.String(), "Kv ", "KV ", 1)
}

// subject is the field's Go name with which a doc comment begins. Operators know the field by its label.
var subject = regexp.MustCompile(`^[A-Z][A-Za-z]* (?:is|are) (\pL)`)

// help turns a field's doc comment into the text below its input.
func help(doc string) string {
	match := subject.FindStringSubmatchIndex(doc)
	if match == nil {
		return doc
	}
	return strings.ToUpper(doc[match[2]:match[3]]) + doc[match[3]:]
}

// formFields describes the inputs of a struct. docs are the doc comments by "<Type>.<Field>".
func formFields(value reflect.Value, docs map[string]string, found map[string][]string) []field {
	var out []field
	for i := range value.NumField() {
		structField := value.Type().Field(i)
		name := jsonName(structField)
		f := field{
			Name: name, Label: label(name), Help: help(docs[value.Type().Name()+"."+structField.Name]), Findings: found[name],
		}
		f.fill(value.Field(i))
		out = append(out, f)
	}
	return out
}

func (f *field) fill(v reflect.Value) {
	switch value := v.Interface().(type) {
	case config.BackendKind:
		f.Kind, f.Value, f.Choices = kindChoice, string(value), []string{string(config.KindEngine), string(config.KindService)}
	case string:
		f.Kind, f.Value = kindText, value
	case int:
		f.Kind, f.Value = kindNumber, strconv.Itoa(value)
	case bool:
		f.Kind, f.Checked = kindBox, value
	case []string:
		f.Kind, f.Value = kindLines, strings.Join(value, "\n")
		f.Help = strings.TrimSpace(f.Help + " One on each line.")
	case []config.Adapter:
		var lines []string
		for _, a := range value {
			lines = append(lines, a.Name+" "+a.Version)
		}
		f.Kind, f.Value = kindLines, strings.Join(lines, "\n")
		f.Help = "Name and version of one adapter on each line."
	}
}

// readForm fills a struct from a submitted form and returns what cannot be read, by field.
func readForm(value reflect.Value, form url.Values) map[string][]string {
	wrong := map[string][]string{}
	for i := range value.NumField() {
		name := jsonName(value.Type().Field(i))
		if message := readField(value.Field(i), strings.TrimSpace(form.Get(name))); message != "" {
			wrong[name] = append(wrong[name], message)
		}
	}
	return wrong
}

func readField(v reflect.Value, text string) string {
	switch v.Interface().(type) {
	case string, config.BackendKind:
		v.SetString(text)
	case bool:
		v.SetBool(text != "")
	case int:
		n, err := strconv.Atoi(text)
		if err != nil && text != "" {
			return "expected a whole number, got " + strconv.Quote(text)
		}
		v.SetInt(int64(n))
	case []string:
		v.Set(reflect.ValueOf(lines(text)))
	case []config.Adapter:
		return readAdapters(v, text)
	}
	return ""
}

func readAdapters(v reflect.Value, text string) string {
	var out []config.Adapter
	for _, line := range lines(text) {
		words := strings.Fields(line)
		if len(words) != 2 {
			return "expected a name and a version, got " + strconv.Quote(line)
		}
		out = append(out, config.Adapter{Name: words[0], Version: words[1]})
	}
	v.Set(reflect.ValueOf(out))
	return ""
}

func lines(text string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	return out
}

// findingsUnder groups the findings under a pointer by the field below it.
func findingsUnder(list []findings.Finding, pointer string) map[string][]string {
	out := map[string][]string{}
	for _, f := range list {
		rest, ok := strings.CutPrefix(f.Pointer, pointer+"/")
		if !ok {
			continue
		}
		name, index, _ := strings.Cut(rest, "/")
		message := f.Message
		if n, err := strconv.Atoi(strings.Split(index, "/")[0]); err == nil {
			message = "line " + strconv.Itoa(n+1) + ": " + message
		}
		out[name] = append(out[name], message)
	}
	return out
}
