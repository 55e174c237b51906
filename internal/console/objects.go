package console

import (
	"encoding/json"
	"net/http"
	"net/url"
	"reflect"
	"strconv"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/findings"
)

// rowsPerPage is the number of objects on one page of a list.
const rowsPerPage = 50

type homeBody struct {
	Generation uint64
	Author     string
	Accepted   string
	Counts     []sectionCount
}

type sectionCount struct {
	section
	Count int
}

func (c *Console) home(w http.ResponseWriter, r *http.Request, s *session) {
	current, err := c.inForce(r.Context())
	if err != nil {
		c.failed(w, s, err)
		return
	}
	body := homeBody{
		Generation: current.Root.Generation, Author: current.Root.Author, Accepted: timeText(current.Root.AcceptedAtMicros),
	}
	doc := current.Document
	if s.draft != nil {
		doc = s.draft.doc
	}
	for _, one := range sections {
		entry := sectionCount{section: one}
		if one.List() {
			entry.Count = one.value(doc).Len()
		}
		body.Counts = append(body.Counts, entry)
	}
	c.render(w, s, http.StatusOK, "home", "Configuration", body)
}

func timeText(micros int64) string {
	return core.Micros(micros).Time().Format("2006-01-02 15:04:05 UTC")
}

type listBody struct {
	Section     section
	Query       string
	Total       int
	First, Last int
	Rows        []row
	// Previous and Next are links, empty when there is no such page.
	Previous, Next string
}

func (c *Console) list(w http.ResponseWriter, r *http.Request, s *session) {
	one, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	if !one.List() {
		c.editObject(w, r, s)
		return
	}
	doc, err := c.document(r.Context(), s)
	if err != nil {
		c.failed(w, s, err)
		return
	}
	query := r.URL.Query().Get("q")
	found := one.search(doc, query)
	number, _ := strconv.Atoi(r.URL.Query().Get("page")) // anything else than a number is the first page
	c.render(w, s, http.StatusOK, "list", one.Title, listPage(one, query, found, number))
}

func listPage(one section, query string, found []row, number int) listBody {
	last := max(0, (len(found)-1)/rowsPerPage)
	number = min(max(number, 0), last)
	start := number * rowsPerPage
	end := min(start+rowsPerPage, len(found))
	body := listBody{Section: one, Query: query, Total: len(found), First: start + 1, Last: end, Rows: found[start:end]}
	link := func(page int) string {
		return "/section/" + one.Name + "?" + url.Values{"q": {query}, "page": {strconv.Itoa(page)}}.Encode()
	}
	if number > 0 {
		body.Previous = link(number - 1)
	}
	if number < last {
		body.Next = link(number + 1)
	}
	return body
}

type editBody struct {
	Section section
	// Original is the name of the edited object; empty for a new one.
	Original string
	// Seen is the object as the form shows it, so that a save can tell the operator's changes from others'.
	Seen   string
	Fields []field
	// Other are findings of the object that belong to none of its fields.
	Other []string
}

func (c *Console) newObject(w http.ResponseWriter, r *http.Request, s *session) {
	one, ok := findSection(r.PathValue("section"))
	if !ok || !one.List() {
		c.notFound(w, r, s)
		return
	}
	empty := reflect.New(one.value(&config.Document{}).Type().Elem()).Elem()
	body := editBody{Section: one, Fields: formFields(empty, c.docs, nil)}
	c.render(w, s, http.StatusOK, "edit", "New "+one.One, body)
}

func (c *Console) editObject(w http.ResponseWriter, r *http.Request, s *session) {
	one, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	doc, err := c.document(r.Context(), s)
	if err != nil {
		c.failed(w, s, err)
		return
	}
	name := r.URL.Query().Get("name")
	value, pointer, ok := locate(one, doc, name)
	if !ok {
		c.notFound(w, r, s)
		return
	}
	list := s.draftFindings()
	body := editBody{
		Section: one, Original: name, Seen: encodeSeen(value), Fields: formFields(value, c.docs, findingsUnder(list, pointer)),
	}
	for _, f := range list {
		if f.Pointer == pointer {
			body.Other = append(body.Other, f.Message)
		}
	}
	c.render(w, s, http.StatusOK, "edit", editTitle(one, name), body)
}

func editTitle(one section, name string) string {
	if !one.List() {
		return one.Title
	}
	return "Edit " + one.One + " " + name
}

// locate returns an object of a document and its JSON Pointer.
func locate(one section, doc *config.Document, name string) (reflect.Value, string, bool) {
	if !one.List() {
		return one.value(doc), "/" + one.Name, true
	}
	i := one.index(doc, name)
	if i < 0 {
		return reflect.Value{}, "", false
	}
	return one.value(doc).Index(i), findings.Index("/"+one.Name, i), true
}

func (c *Console) saveObject(w http.ResponseWriter, r *http.Request, s *session) {
	one, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	d, err := c.startDraft(r.Context(), s)
	if err != nil {
		c.failed(w, s, err)
		return
	}
	original, seen := r.PostFormValue("original"), r.PostFormValue("seen")
	edited, wrong, ok := d.save(one, original, seen, r.PostForm)
	if !ok {
		c.notFound(w, r, s)
		return
	}
	if len(wrong) > 0 {
		body := editBody{Section: one, Original: original, Seen: seen, Fields: formFields(edited, c.docs, wrong)}
		for i := range body.Fields {
			body.Fields[i].Value = r.PostFormValue(body.Fields[i].Name)
		}
		c.render(w, s, http.StatusUnprocessableEntity, "edit", editTitle(one, original), body)
		return
	}
	s.notice = "Saved in your draft. Nothing is in force before you confirm it."
	target := "/section/" + one.Name
	if one.List() {
		target += "/edit?" + url.Values{"name": {objectName(edited)}}.Encode()
	}
	http.Redirect(w, r, target, http.StatusSeeOther)
}

// save puts a submitted form into the draft. Input that cannot be read, names by which the object could not be found
// again, and fields that changed otherwise since the form was shown leave the draft as it was and are returned by field.
// It returns false when the object no longer exists or the form does not say what it showed.
func (d *draft) save(one section, original, seen string, form url.Values) (reflect.Value, map[string][]string, bool) {
	target, isNew := one.value(d.doc), false
	if one.List() {
		at := one.index(d.doc, original)
		isNew = original == ""
		if at < 0 && !isNew {
			return reflect.Value{}, nil, false
		}
		if isNew {
			target = reflect.New(target.Type().Elem()).Elem()
		} else {
			target = target.Index(at)
		}
	}
	edited := reflect.New(target.Type()).Elem()
	wrong := readForm(edited, form)
	if !isNew && !keepOthers(edited, target, seen, wrong) {
		return reflect.Value{}, nil, false
	}
	if one.List() {
		d.checkName(one, original, objectName(edited), wrong)
	}
	if len(wrong) > 0 {
		return edited, wrong, true
	}
	target.Set(edited)
	if isNew {
		list := one.value(d.doc)
		list.Set(reflect.Append(list, edited))
	}
	return edited, nil, true
}

// keepOthers merges by field: what the form did not change since it was shown keeps the draft's present value. It
// returns false when the form does not say what it showed.
func keepOthers(edited, present reflect.Value, seen string, wrong map[string][]string) bool {
	shown := reflect.New(edited.Type())
	if json.Unmarshal([]byte(seen), shown.Interface()) != nil {
		return false
	}
	for i := range edited.NumField() {
		mine, before, now := edited.Field(i), shown.Elem().Field(i), present.Field(i)
		switch {
		case sameField(before, now) || sameField(mine, now):
		case sameField(mine, before):
			mine.Set(now)
		default:
			name := jsonName(edited.Type().Field(i))
			text, _ := json.Marshal(now.Interface()) // fields are strings, numbers, booleans and lists, which encode
			wrong[name] = append(wrong[name], "changed by someone else since this form was shown, to "+string(text)+
				"; open the form again to edit it from there")
		}
	}
	return true
}

func sameField(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// encodeSeen returns an object as JSON.
func encodeSeen(v reflect.Value) string {
	text, _ := json.Marshal(v.Interface()) // objects hold strings, numbers, booleans and lists, which encode
	return string(text)
}

func (d *draft) checkName(one section, original, name string, wrong map[string][]string) {
	switch {
	case !config.ValidName(name):
		wrong["name"] = append(wrong["name"], "must be 1 to 64 letters, digits, '.', '_' or '-' and start with a letter or digit")
	case name != original && one.index(d.doc, name) >= 0:
		wrong["name"] = append(wrong["name"], "another "+one.One+" has this name")
	}
}

func (c *Console) deleteObject(w http.ResponseWriter, r *http.Request, s *session) {
	one, ok := findSection(r.PathValue("section"))
	if !ok || !one.List() {
		c.notFound(w, r, s)
		return
	}
	d, err := c.startDraft(r.Context(), s)
	if err != nil {
		c.failed(w, s, err)
		return
	}
	name := r.PostFormValue("original")
	if !one.remove(d.doc, name) {
		c.notFound(w, r, s)
		return
	}
	s.notice = "Removed " + one.One + " " + name + " from your draft. Nothing is in force before you confirm it."
	http.Redirect(w, r, "/section/"+one.Name, http.StatusSeeOther)
}
