package console

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/cockroachdb/errors"
)

// applyTries bounds the merges of one confirmation when other changes keep being accepted in between.
const applyTries = 3

type draftBody struct {
	Base     uint64
	Changes  []config.Change
	Findings []draftFinding
	// Conflicts are parts that another operator changed too.
	Conflicts []config.Conflict
	Current   uint64
	Author    string
	// Digest identifies the content that the operator saw and confirms.
	Digest  string
	Problem string
}

// draftFinding links a finding to the form where it can be repaired.
type draftFinding struct {
	findings.Finding
	Link string
}

func (c *Console) showDraft(w http.ResponseWriter, _ *http.Request, s *session) {
	c.renderDraft(w, s, http.StatusOK, draftBody{})
}

func (c *Console) renderDraft(w http.ResponseWriter, s *session, status int, body draftBody) {
	if s.draft != nil {
		digest, err := digest(s.draft.doc)
		if err != nil {
			c.failed(w, s, err)
			return
		}
		body.Digest, body.Base = digest, s.draft.base.Root.Generation
		body.Changes = config.Diff(s.draft.base.Document, s.draft.doc)
		for _, f := range s.draftFindings() {
			body.Findings = append(body.Findings, draftFinding{Finding: f, Link: linkOf(s.draft.doc, f.Pointer)})
		}
	}
	c.render(w, s, status, "draft", "Your draft", body)
}

func digest(doc *config.Document) (string, error) {
	text, err := config.Format(doc)
	if err != nil {
		return "", errors.Wrap(err, "format the draft")
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// linkOf returns the form of the object that a pointer leads into.
func linkOf(doc *config.Document, pointer string) string {
	parts := strings.Split(pointer, "/")
	if len(parts) < 2 {
		return ""
	}
	one, ok := findSection(parts[1])
	switch {
	case !ok:
		return ""
	case !one.List():
		return "/section/" + one.Name
	case len(parts) < 3:
		return "/section/" + one.Name
	}
	i, err := strconv.Atoi(parts[2])
	list := one.value(doc)
	if err != nil || i < 0 || i >= list.Len() {
		return ""
	}
	return "/section/" + one.Name + "/edit?" + url.Values{"name": {objectName(list.Index(i))}}.Encode()
}

func (c *Console) discardDraft(w http.ResponseWriter, r *http.Request, s *session) {
	s.draft = nil
	s.notice = "The draft is discarded."
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) applyDraft(w http.ResponseWriter, r *http.Request, s *session) {
	if s.draft == nil {
		http.Redirect(w, r, "/draft", http.StatusSeeOther)
		return
	}
	seen, err := digest(s.draft.doc)
	if err != nil {
		c.failed(w, s, err)
		return
	}
	if r.PostFormValue("digest") != seen {
		c.renderDraft(w, s, http.StatusConflict, draftBody{
			Problem: "The draft changed after this page was shown. Read the differences again before you confirm.",
		})
		return
	}
	accepted, conflicts, err := c.apply(r.Context(), s)
	c.applied(w, r, s, accepted, conflicts, err)
}

// conflictReport is what another operator changed too.
type conflictReport struct {
	current *confstore.Snapshot
	list    []config.Conflict
}

// apply merges the draft with what is in force and applies it. After a conflict with another change in between it merges
// again; changes to the same field are reported and nothing is applied.
func (c *Console) apply(ctx context.Context, s *session) (*confstore.Snapshot, *conflictReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for try := 1; ; try++ {
		current, err := c.inForce(ctx)
		if err != nil {
			return nil, nil, err
		}
		merged, list := config.Merge(s.draft.base.Document, s.draft.doc, current.Document)
		if len(list) > 0 {
			return nil, &conflictReport{current: current, list: list}, nil
		}
		if current.Version > 0 && len(config.Diff(current.Document, merged)) == 0 {
			return current, nil, nil // an earlier confirmation, whose answer was lost, was accepted
		}
		accepted, err := c.deps.Store.Apply(ctx, current, merged, s.operator)
		var conflict *confstore.ConflictError
		if try < applyTries && errors.As(err, &conflict) {
			continue
		}
		return accepted, nil, err
	}
}

// applied answers a confirmation.
func (c *Console) applied(w http.ResponseWriter, r *http.Request, s *session, accepted *confstore.Snapshot,
	conflicts *conflictReport, err error,
) {
	var found *findings.Error
	switch {
	case conflicts != nil:
		c.renderDraft(w, s, http.StatusConflict, draftBody{
			Conflicts: conflicts.list, Current: conflicts.current.Root.Generation, Author: conflicts.current.Root.Author,
		})
	case errors.As(err, &found):
		c.renderDraft(w, s, http.StatusUnprocessableEntity, draftBody{
			Problem: "The draft, merged with what is in force, has findings: " + found.Error(),
		})
	case errors.Is(err, confstore.ErrOutcomeUnknown):
		c.renderDraft(w, s, http.StatusBadGateway, draftBody{
			Problem: "The platform's answer was lost, and it is unknown whether the change was accepted. Look at the list" +
				" of versions before you confirm again.",
		})
	case err != nil:
		c.failed(w, s, err)
	default:
		s.draft = nil
		s.notice = "Generation " + strconv.FormatUint(accepted.Root.Generation, 10) + " is accepted."
		c.deps.Log.Info("configuration accepted", "operator", s.operator, "generation", accepted.Root.Generation)
		http.Redirect(w, r, "/versions", http.StatusSeeOther)
	}
}

// takeCurrent rebases the draft: parts in conflict take the value in force, all other changes of the draft are kept.
func (c *Console) takeCurrent(w http.ResponseWriter, r *http.Request, s *session) {
	if s.draft != nil {
		current, err := c.inForce(r.Context())
		if err != nil {
			c.failed(w, s, err)
			return
		}
		merged, list := config.Merge(s.draft.base.Document, s.draft.doc, current.Document)
		// The merge shares lists with the snapshot in force, which later edits of the draft must not reach.
		copied, err := (&confstore.Snapshot{Document: merged}).Clone()
		if err != nil {
			c.failed(w, s, err)
			return
		}
		s.draft = &draft{base: current, doc: copied}
		s.notice = "The draft now starts from generation " + strconv.FormatUint(current.Root.Generation, 10) + ". " +
			strconv.Itoa(len(list)) + " of your changes gave way to the value in force."
	}
	http.Redirect(w, r, "/draft", http.StatusSeeOther)
}

type versionRow struct {
	Generation uint64
	Author     string
	Accepted   string
	ID         string
}

func (c *Console) versions(w http.ResponseWriter, r *http.Request, s *session) {
	current, err := c.inForce(r.Context())
	if err != nil {
		c.failed(w, s, err)
		return
	}
	var rows []versionRow
	for i := len(current.Root.Attempts) - 1; i >= 0; i-- {
		a := current.Root.Attempts[i]
		rows = append(rows, versionRow{
			Generation: a.Generation, Author: a.Author, Accepted: timeText(a.AcceptedAtMicros), ID: a.ID,
		})
	}
	c.render(w, s, http.StatusOK, "versions", "Versions", rows)
}
