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

// fieldKind is the kind of input that a field is edited with. The templates compare it with these values.
type fieldKind string

const (
	kindText     fieldKind = "text"
	kindNumber   fieldKind = "number"
	kindCheckbox fieldKind = "checkbox"
	kindLines    fieldKind = "lines"
	kindChoice   fieldKind = "choice"
)

// field is an input of a form with its label, help text and findings.
type field struct {
	Name, Label, Help string
	Kind              fieldKind
	Value             string
	Checked           bool
	Choices           []string
	Findings          []string
}

// HelpID is the id of the help text.
func (f field) HelpID() string { return "help-" + f.Name }

// FindingsID is the id of the list of findings.
func (f field) FindingsID() string { return "findings-" + f.Name }

// DescribedBy returns the value of the input's aria-describedby attribute.
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

// docSubject matches the field's Go name and the verb at the start of a doc comment. The help text omits them, because
// operators know the field by its label.
var docSubject = regexp.MustCompile(`^[A-Z][A-Za-z]* (?:is|are) (\pL)`)

// helpText returns the help text of an input for the doc comment of its field.
func helpText(doc string) string {
	match := docSubject.FindStringSubmatchIndex(doc)
	if match == nil {
		return doc
	}
	return strings.ToUpper(doc[match[2]:match[3]]) + doc[match[3]:]
}

// formFields returns the inputs for the fields of a struct. docs maps "<Type>.<Field>" to doc comments, and
// findingsByField maps JSON field names to messages.
func formFields(value reflect.Value, docs map[string]string, findingsByField map[string][]string) []field {
	var out []field
	for i := range value.NumField() {
		structField := value.Type().Field(i)
		name := jsonName(structField)
		f := field{
			Name: name, Label: label(name), Help: helpText(docs[value.Type().Name()+"."+structField.Name]),
			Findings: findingsByField[name],
		}
		f.setInput(value.Field(i))
		out = append(out, f)
	}
	return out
}

func (f *field) setInput(v reflect.Value) {
	switch value := v.Interface().(type) {
	case config.BackendKind:
		f.Kind, f.Value, f.Choices = kindChoice, string(value), []string{string(config.KindEngine), string(config.KindService)}
	case string:
		f.Kind, f.Value = kindText, value
	case int:
		f.Kind, f.Value = kindNumber, strconv.Itoa(value)
	case bool:
		f.Kind, f.Checked = kindCheckbox, value
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

// parseForm sets the fields of a struct from a submitted form. It returns the messages for invalid input by JSON field
// name.
func parseForm(value reflect.Value, form url.Values) map[string][]string {
	fieldErrors := map[string][]string{}
	for i := range value.NumField() {
		name := jsonName(value.Type().Field(i))
		if message := parseField(value.Field(i), strings.TrimSpace(form.Get(name))); message != "" {
			fieldErrors[name] = append(fieldErrors[name], message)
		}
	}
	return fieldErrors
}

func parseField(v reflect.Value, text string) string {
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
		v.Set(reflect.ValueOf(nonEmptyLines(text)))
	case []config.Adapter:
		return parseAdapters(v, text)
	}
	return ""
}

func parseAdapters(v reflect.Value, text string) string {
	var out []config.Adapter
	for _, line := range nonEmptyLines(text) {
		words := strings.Fields(line)
		if len(words) != 2 {
			return "expected a name and a version, got " + strconv.Quote(line)
		}
		out = append(out, config.Adapter{Name: words[0], Version: words[1]})
	}
	v.Set(reflect.ValueOf(out))
	return ""
}

func nonEmptyLines(text string) []string {
	var out []string
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	return out
}

// groupFindingsByField returns the messages of the findings below a JSON Pointer by field name. A finding about a list
// element names the line of the element, counted from 1.
func groupFindingsByField(list []findings.Finding, pointer string) map[string][]string {
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
