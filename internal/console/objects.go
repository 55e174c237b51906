package console

import (
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
	Fields   []field
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
	body := editBody{Section: one, Original: name, Fields: formFields(value, c.docs, findingsUnder(list, pointer))}
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
	original := r.PostFormValue("original")
	edited, wrong, ok := d.save(one, original, r.PostForm)
	if !ok {
		c.notFound(w, r, s)
		return
	}
	if len(wrong) > 0 {
		body := editBody{Section: one, Original: original, Fields: formFields(edited, c.docs, wrong)}
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

// save puts a submitted form into the draft. Input that cannot be read, and names by which the object could not be
// found again, leave the draft as it was and are returned by field.
func (d *draft) save(one section, original string, form url.Values) (reflect.Value, map[string][]string, bool) {
	list := one.value(d.doc)
	if !one.List() {
		edited := reflect.New(list.Type()).Elem()
		wrong := readForm(edited, form)
		if len(wrong) == 0 {
			list.Set(edited)
		}
		return edited, wrong, true
	}
	at := one.index(d.doc, original)
	if original != "" && at < 0 {
		return reflect.Value{}, nil, false
	}
	edited := reflect.New(list.Type().Elem()).Elem()
	wrong := readForm(edited, form)
	d.checkName(one, original, objectName(edited), wrong)
	if len(wrong) > 0 {
		return edited, wrong, true
	}
	if at < 0 {
		list.Set(reflect.Append(list, edited))
	} else {
		list.Index(at).Set(edited)
	}
	return edited, nil, true
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
