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

// maxApplyAttempts limits how often a confirmation is merged and applied when each attempt conflicts with another
// operator's change.
const maxApplyAttempts = 3

// draftBody is the content of the draft page.
type draftBody struct {
	Base     uint64
	Changes  []config.Change
	Findings []draftFinding
	// Conflicts are the changes of the draft to parts that another operator has changed as well. Current and Author are
	// the generation that they conflict with and its author.
	Conflicts []config.Conflict
	Current   uint64
	Author    string
	// Digest is the SHA-256 of the draft. Confirming sends it back, so that only a draft that was shown can be applied.
	Digest  string
	Problem string
}

// draftFinding is a finding with the URL of the form in which it can be corrected; Link is empty if there is none.
type draftFinding struct {
	findings.Finding
	Link string
}

func (c *Console) showDraft(w http.ResponseWriter, _ *http.Request, s *session) {
	c.renderDraft(w, s, http.StatusOK, draftBody{})
}

func (c *Console) renderDraft(w http.ResponseWriter, s *session, status int, body draftBody) {
	if s.draft != nil {
		digest, err := documentDigest(s.draft.doc)
		if err != nil {
			c.renderPlatformError(w, s, err)
			return
		}
		body.Digest, body.Base = digest, s.draft.base.Root.Generation
		body.Changes = config.Diff(s.draft.base.Document, s.draft.doc)
		for _, f := range s.draftFindings() {
			body.Findings = append(body.Findings, draftFinding{Finding: f, Link: formURL(s.draft.doc, f.Pointer)})
		}
	}
	c.render(w, s, status, "draft", "Your draft", body)
}

func documentDigest(doc *config.Document) (string, error) {
	text, err := config.Format(doc)
	if err != nil {
		return "", errors.Wrap(err, "format the draft")
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// formURL returns the URL of the form for the object that a JSON Pointer refers to, or "" if there is none.
func formURL(doc *config.Document, pointer string) string {
	parts := strings.Split(pointer, "/")
	if len(parts) < 2 {
		return ""
	}
	sec, ok := findSection(parts[1])
	switch {
	case !ok:
		return ""
	case !sec.List():
		return "/section/" + sec.Name
	case len(parts) < 3:
		return "/section/" + sec.Name
	}
	i, err := strconv.Atoi(parts[2])
	list := sec.value(doc)
	if err != nil || i < 0 || i >= list.Len() {
		return ""
	}
	return "/section/" + sec.Name + "/edit?" + url.Values{"name": {objectName(list.Index(i))}}.Encode()
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
	digest, err := documentDigest(s.draft.doc)
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	if r.PostFormValue("digest") != digest {
		c.renderDraft(w, s, http.StatusConflict, draftBody{
			Problem: "The draft changed after this page was shown. Read the differences again before you confirm.",
		})
		return
	}
	accepted, report, err := c.mergeAndApply(r.Context(), s)
	c.respondToApply(w, r, s, accepted, report, err)
}

// conflictReport holds the conflicts between a draft and the configuration in force.
type conflictReport struct {
	current   *confstore.Snapshot
	conflicts []config.Conflict
}

// mergeAndApply merges the draft with the configuration in force and applies the result. If another change is accepted
// in between, it starts again, up to maxApplyAttempts attempts in total. If other changes set the same field as the
// draft, nothing is applied and the conflicts are returned.
func (c *Console) mergeAndApply(ctx context.Context, s *session) (*confstore.Snapshot, *conflictReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		current, err := c.currentSnapshot(ctx)
		if err != nil {
			return nil, nil, err
		}
		merged, conflicts := config.Merge(s.draft.base.Document, s.draft.doc, current.Document)
		if len(conflicts) > 0 {
			return nil, &conflictReport{current: current, conflicts: conflicts}, nil
		}
		if current.Version > 0 && len(config.Diff(current.Document, merged)) == 0 {
			return current, nil, nil // already applied by an earlier confirmation whose answer was lost
		}
		accepted, err := c.deps.Store.Apply(ctx, current, merged, s.operator)
		var conflict *confstore.ConflictError
		if attempt < maxApplyAttempts && errors.As(err, &conflict) {
			continue
		}
		return accepted, nil, err
	}
}

// respondToApply renders the result of a confirmation.
func (c *Console) respondToApply(w http.ResponseWriter, r *http.Request, s *session, accepted *confstore.Snapshot,
	report *conflictReport, err error,
) {
	var found *findings.Error
	var conflict *confstore.ConflictError
	switch {
	case report != nil:
		c.renderDraft(w, s, http.StatusConflict, draftBody{
			Conflicts: report.conflicts, Current: report.current.Root.Generation, Author: report.current.Root.Author,
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
	case errors.As(err, &conflict):
		c.renderDraft(w, s, http.StatusConflict, draftBody{
			Problem: "Other operators changed the configuration during each attempt. Nothing was applied; confirm again.",
		})
	case err != nil:
		c.renderPlatformError(w, s, err)
	default:
		s.draft = nil
		s.notice = "Generation " + strconv.FormatUint(accepted.Root.Generation, 10) + " is accepted."
		c.deps.Log.Info("configuration accepted", "operator", s.operator, "generation", accepted.Root.Generation)
		http.Redirect(w, r, "/versions", http.StatusSeeOther)
	}
}

// rebaseDraft rebases the draft onto the configuration in force. Conflicts are resolved to the value in force; all
// other changes of the draft are kept.
func (c *Console) rebaseDraft(w http.ResponseWriter, r *http.Request, s *session) {
	if s.draft != nil {
		current, err := c.currentSnapshot(r.Context())
		if err != nil {
			c.renderPlatformError(w, s, err)
			return
		}
		merged, conflicts := config.Merge(s.draft.base.Document, s.draft.doc, current.Document)
		// The merged document shares slices with the current snapshot, which edits of the draft must not modify.
		clone, err := (&confstore.Snapshot{Document: merged}).Clone()
		if err != nil {
			c.renderPlatformError(w, s, err)
			return
		}
		s.draft = &draft{base: current, doc: clone}
		s.notice = "The draft now starts from generation " + strconv.FormatUint(current.Root.Generation, 10) + ". " +
			strconv.Itoa(len(conflicts)) + " of your changes gave way to the value in force."
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
	current, err := c.currentSnapshot(r.Context())
	if err != nil {
		c.renderPlatformError(w, s, err)
		return
	}
	var rows []versionRow
	for i := len(current.Root.Attempts) - 1; i >= 0; i-- {
		a := current.Root.Attempts[i]
		rows = append(rows, versionRow{
			Generation: a.Generation, Author: a.Author, Accepted: formatTime(a.AcceptedAtMicros), ID: a.ID,
		})
	}
	c.render(w, s, http.StatusOK, "versions", "Versions", rows)
}
