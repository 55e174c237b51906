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
	current, err := c.currentSnapshot(r.Context())
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	body := homeBody{
		Generation: current.Root.Generation, Author: current.Root.Author, Accepted: formatTime(current.Root.AcceptedAtMicros),
	}
	doc := current.Document
	if s.draft != nil {
		doc = s.draft.doc
	}
	for _, sec := range sections {
		entry := sectionCount{section: sec}
		if sec.List() {
			entry.Count = sec.value(doc).Len()
		}
		body.Counts = append(body.Counts, entry)
	}
	c.render(w, s, http.StatusOK, "home", "Configuration", body)
}

func formatTime(micros int64) string {
	return core.Micros(micros).Time().Format("2006-01-02 15:04:05 UTC")
}

type listBody struct {
	Section     section
	Query       string
	Total       int
	First, Last int
	Rows        []row
	// Previous and Next are the URLs of the adjacent pages, empty if there is none.
	Previous, Next string
}

func (c *Console) list(w http.ResponseWriter, r *http.Request, s *session) {
	sec, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	if !sec.List() {
		c.editObject(w, r, s)
		return
	}
	doc, err := c.visibleDocument(r.Context(), s)
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	query := r.URL.Query().Get("q")
	rows := sec.search(doc, query)
	pageNumber, _ := strconv.Atoi(r.URL.Query().Get("page")) // an invalid number selects the first page
	c.render(w, s, http.StatusOK, "list", sec.Title, listPage(sec, query, rows, pageNumber))
}

func listPage(sec section, query string, rows []row, pageNumber int) listBody {
	last := max(0, (len(rows)-1)/rowsPerPage)
	pageNumber = min(max(pageNumber, 0), last)
	start := pageNumber * rowsPerPage
	end := min(start+rowsPerPage, len(rows))
	body := listBody{Section: sec, Query: query, Total: len(rows), First: start + 1, Last: end, Rows: rows[start:end]}
	link := func(page int) string {
		return "/section/" + sec.Name + "?" + url.Values{"q": {query}, "page": {strconv.Itoa(page)}}.Encode()
	}
	if pageNumber > 0 {
		body.Previous = link(pageNumber - 1)
	}
	if pageNumber < last {
		body.Next = link(pageNumber + 1)
	}
	return body
}

type editBody struct {
	Section section
	// Original is the name of the edited object, empty for a new one.
	Original string
	// Seen is the object as shown by the form, in JSON. Saving compares it with the submitted values to find the fields
	// that the operator changed.
	Seen   string
	Fields []field
	// Other lists the findings about the object as a whole.
	Other []string
}

func (c *Console) newObject(w http.ResponseWriter, r *http.Request, s *session) {
	sec, ok := findSection(r.PathValue("section"))
	if !ok || !sec.List() {
		c.notFound(w, r, s)
		return
	}
	empty := reflect.New(sec.value(&config.Document{}).Type().Elem()).Elem()
	body := editBody{Section: sec, Fields: formFields(empty, c.docs, nil)}
	c.render(w, s, http.StatusOK, "edit", "New "+sec.One, body)
}

func (c *Console) editObject(w http.ResponseWriter, r *http.Request, s *session) {
	sec, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	doc, err := c.visibleDocument(r.Context(), s)
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	name := r.URL.Query().Get("name")
	value, pointer, ok := findObject(sec, doc, name)
	if !ok {
		c.notFound(w, r, s)
		return
	}
	draftFindings := s.draftFindings()
	body := editBody{
		Section: sec, Original: name, Seen: encodeObject(value),
		Fields: formFields(value, c.docs, groupFindingsByField(draftFindings, pointer)),
	}
	for _, f := range draftFindings {
		if f.Pointer == pointer {
			body.Other = append(body.Other, f.Message)
		}
	}
	c.render(w, s, http.StatusOK, "edit", editTitle(sec, name), body)
}

func editTitle(sec section, name string) string {
	if !sec.List() {
		return sec.Title
	}
	return "Edit " + sec.One + " " + name
}

// findObject returns an object of a document and its JSON Pointer, and false if the object does not exist.
func findObject(sec section, doc *config.Document, name string) (reflect.Value, string, bool) {
	if !sec.List() {
		return sec.value(doc), "/" + sec.Name, true
	}
	i := sec.index(doc, name)
	if i < 0 {
		return reflect.Value{}, "", false
	}
	return sec.value(doc).Index(i), findings.Index("/"+sec.Name, i), true
}

func (c *Console) saveObject(w http.ResponseWriter, r *http.Request, s *session) {
	sec, ok := findSection(r.PathValue("section"))
	if !ok {
		c.notFound(w, r, s)
		return
	}
	d, err := c.ensureDraft(r.Context(), s)
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	original, shownJSON := r.PostFormValue("original"), r.PostFormValue("seen")
	edited, fieldErrors, ok := d.saveForm(sec, original, shownJSON, r.PostForm)
	if !ok {
		c.notFound(w, r, s)
		return
	}
	if len(fieldErrors) > 0 {
		body := editBody{Section: sec, Original: original, Seen: shownJSON, Fields: formFields(edited, c.docs, fieldErrors)}
		for i := range body.Fields {
			body.Fields[i].Value = r.PostFormValue(body.Fields[i].Name)
		}
		c.render(w, s, http.StatusUnprocessableEntity, "edit", editTitle(sec, original), body)
		return
	}
	s.notice = "Saved in your draft. Nothing is in force before you confirm it."
	target := "/section/" + sec.Name
	if sec.List() {
		target += "/edit?" + url.Values{"name": {objectName(edited)}}.Encode()
	}
	http.Redirect(w, r, target, http.StatusSeeOther)
}

// saveForm stores a submitted form in the draft. If a value is invalid, the name is invalid or taken, or a field was
// also changed elsewhere since the form was shown, the draft stays unchanged and the messages are returned by field. It
// returns false if the object no longer exists or the JSON of the shown object cannot be decoded.
func (d *draft) saveForm(sec section, original, shownJSON string, form url.Values) (
	reflect.Value, map[string][]string, bool,
) {
	target, isNew := sec.value(d.doc), false
	if sec.List() {
		index := sec.index(d.doc, original)
		isNew = original == ""
		if index < 0 && !isNew {
			return reflect.Value{}, nil, false
		}
		if isNew {
			target = reflect.New(target.Type().Elem()).Elem()
		} else {
			target = target.Index(index)
		}
	}
	edited := reflect.New(target.Type()).Elem()
	fieldErrors := parseForm(edited, form)
	if !isNew && !mergeFields(edited, target, shownJSON, fieldErrors) {
		return reflect.Value{}, nil, false
	}
	if sec.List() {
		d.validateName(sec, original, objectName(edited), fieldErrors)
	}
	if len(fieldErrors) > 0 {
		return edited, fieldErrors, true
	}
	target.Set(edited)
	if isNew {
		list := sec.value(d.doc)
		list.Set(reflect.Append(list, edited))
	}
	return edited, nil, true
}

// mergeFields merges a submitted form with the current object of the draft field by field. Fields that the form did not
// change take the current value. It returns false if the JSON of the shown object cannot be decoded.
func mergeFields(edited, current reflect.Value, shownJSON string, fieldErrors map[string][]string) bool {
	shown := reflect.New(edited.Type())
	if json.Unmarshal([]byte(shownJSON), shown.Interface()) != nil {
		return false
	}
	for i := range edited.NumField() {
		submitted, original, latest := edited.Field(i), shown.Elem().Field(i), current.Field(i)
		switch {
		case equalFields(original, latest) || equalFields(submitted, latest):
		case equalFields(submitted, original):
			submitted.Set(latest)
		default:
			name := jsonName(edited.Type().Field(i))
			text, _ := json.Marshal(latest.Interface()) // cannot fail: fields hold only strings, numbers, booleans and lists
			fieldErrors[name] = append(fieldErrors[name], "changed by someone else since this form was shown, to "+string(text)+
				"; open the form again to edit it from there")
		}
	}
	return true
}

// equalFields reports whether two field values are equal. Nil and empty slices count as equal.
func equalFields(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// encodeObject encodes an object as JSON for editBody.Seen.
func encodeObject(v reflect.Value) string {
	text, _ := json.Marshal(v.Interface()) // cannot fail: objects hold only strings, numbers, booleans and lists
	return string(text)
}

// validateName rejects names by which the object could not be found again: invalid names and those of other objects.
func (d *draft) validateName(sec section, original, name string, fieldErrors map[string][]string) {
	switch {
	case !config.ValidName(name):
		fieldErrors["name"] = append(fieldErrors["name"],
			"must be 1 to 64 letters, digits, '.', '_' or '-' and start with a letter or digit")
	case name != original && sec.index(d.doc, name) >= 0:
		fieldErrors["name"] = append(fieldErrors["name"], "another "+sec.One+" has this name")
	}
}

func (c *Console) deleteObject(w http.ResponseWriter, r *http.Request, s *session) {
	sec, ok := findSection(r.PathValue("section"))
	if !ok || !sec.List() {
		c.notFound(w, r, s)
		return
	}
	d, err := c.ensureDraft(r.Context(), s)
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	name := r.PostFormValue("original")
	if !sec.remove(d.doc, name) {
		c.notFound(w, r, s)
		return
	}
	s.notice = "Removed " + sec.One + " " + name + " from your draft. Nothing is in force before you confirm it."
	http.Redirect(w, r, "/section/"+sec.Name, http.StatusSeeOther)
}
