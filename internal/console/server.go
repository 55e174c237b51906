package console

import (
	"context"
	"embed"
	"html/template"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/configschema"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// maxFormBytes bounds a submitted form.
	maxFormBytes = 1 << 20
	// platformTimeout bounds the platform calls of one page.
	platformTimeout = 15 * time.Second
)

//go:embed pages
var pageFiles embed.FS

// Deps are what a console works with.
type Deps struct {
	Store *confstore.Store
	Fleet *fleet.Client
	Log   *slog.Logger
	Now   func() time.Time
}

// Console serves the forms.
type Console struct {
	deps      Deps
	secure    bool
	timeout   time.Duration
	pages     map[string]*template.Template
	docs      map[string]string
	sessions  *sessions
	operators *operators
	attempts  *rate.Limiter

	mu      sync.Mutex
	current *confstore.Snapshot
}

// pageNames are the templates, each on top of layout.html.
var pageNames = []string{"signin", "home", "list", "edit", "draft", "status", "versions", "message"}

// New returns a console. The settings must have passed Check.
func New(s *Settings, deps Deps) (*Console, error) {
	minutes := s.SessionMinutes
	if minutes == 0 {
		minutes = defaultSessionMinutes
	}
	c := &Console{
		deps: deps, secure: s.Certificate != "", timeout: platformTimeout, pages: map[string]*template.Template{},
		sessions: newSessions(deps.Now, time.Duration(minutes)*time.Minute),
		attempts: rate.NewLimiter(attemptsPerSecond, attemptsBurst),
	}
	var err error
	if c.operators, err = newOperators(s.Operators); err != nil {
		return nil, err
	}
	if c.docs, err = configschema.Comments(config.Source); err != nil {
		return nil, err
	}
	for _, name := range pageNames {
		if c.pages[name], err = template.ParseFS(pageFiles, "pages/layout.html", "pages/"+name+".html"); err != nil {
			return nil, errors.Wrapf(err, "page %s", name)
		}
	}
	return c, nil
}

// Handler returns the routes of the console.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /style.css", style)
	mux.HandleFunc("GET /signin", c.signInPage)
	mux.HandleFunc("POST /signin", c.signIn)
	for pattern, handle := range map[string]handler{
		"POST /signout":                    c.signOut,
		"GET /{$}":                         c.home,
		"GET /section/{section}":           c.list,
		"GET /section/{section}/new":       c.newObject,
		"GET /section/{section}/edit":      c.editObject,
		"POST /section/{section}/save":     c.saveObject,
		"POST /section/{section}/delete":   c.deleteObject,
		"GET /draft":                       c.showDraft,
		"POST /draft/apply":                c.applyDraft,
		"POST /draft/discard":              c.discardDraft,
		"POST /draft/take-current":         c.takeCurrent,
		"GET /status":                      c.status,
		"GET /versions":                    c.versions,
		"GET /section/{section}/{unknown}": c.notFound,
	} {
		mux.HandleFunc(pattern, c.signedIn(handle))
	}
	protected := http.NewCrossOriginProtection().Handler(mux)
	return c.withHeaders(protected)
}

// handler answers a request of a signed-in operator. The session is locked meanwhile.
type handler func(w http.ResponseWriter, r *http.Request, s *session)

// withHeaders sets the security headers and bounds the request's body.
func (c *Console) withHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none';"+
			" frame-ancestors 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("X-Frame-Options", "DENY")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cross-Origin-Opener-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		if c.secure {
			h.Set("Strict-Transport-Security", "max-age=31536000")
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// signedIn passes requests of signed-in operators on, and for changes requires the session's CSRF token.
func (c *Console) signedIn(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := c.sessions.of(r)
		if s == nil {
			http.Redirect(w, r, "/signin", http.StatusSeeOther)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.Method == http.MethodPost && !sameText(r.PostFormValue("csrf"), s.csrf) {
			c.message(w, s, http.StatusForbidden, "This form is out of date",
				"The form does not belong to this sign-in. Go back, reload the page and send it again.")
			return
		}
		next(w, r, s)
	}
}

// page is what every template gets.
type page struct {
	Title    string
	Operator string
	CSRF     string
	Notice   string
	Sections []section
	// Draft is true while the session has unconfirmed changes.
	Draft bool
	Body  any
}

func (c *Console) render(w http.ResponseWriter, s *session, status int, name, title string, body any) {
	p := page{Title: title, Sections: sections, Body: body}
	if s != nil {
		p.Operator, p.CSRF, p.Notice, p.Draft = s.operator, s.csrf, s.takeNotice(), s.draft != nil
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages[name].ExecuteTemplate(w, "layout", p); err != nil {
		c.deps.Log.Warn("page not sent", "page", name, "err", err)
	}
}

func (c *Console) message(w http.ResponseWriter, s *session, status int, title, text string) {
	c.render(w, s, status, "message", title, text)
}

func (c *Console) notFound(w http.ResponseWriter, _ *http.Request, s *session) {
	c.message(w, s, http.StatusNotFound, "Not found", "There is no such page or object.")
}

func (c *Console) failed(w http.ResponseWriter, s *session, err error) {
	c.deps.Log.Error("platform call failed", "err", err)
	c.message(w, s, http.StatusBadGateway, "The platform does not answer",
		"The configuration cannot be read or changed now. Your draft is kept. "+err.Error())
}

func style(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	http.ServeFileFS(w, r, pageFiles, "pages/style.css")
}

// inForce returns the version in force.
func (c *Console) inForce(ctx context.Context) (*confstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	known := c.current
	c.mu.Unlock()
	snapshot, err := c.deps.Store.Refresh(ctx, known)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || snapshot.Version > c.current.Version {
		c.current = snapshot
	}
	return snapshot, nil
}

// document returns what the session sees: its draft, or what is in force.
func (c *Console) document(ctx context.Context, s *session) (*config.Document, error) {
	if s.draft != nil {
		return s.draft.doc, nil
	}
	snapshot, err := c.inForce(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot.Document, nil
}

// startDraft returns the session's draft, made from what is in force if there is none.
func (c *Console) startDraft(ctx context.Context, s *session) (*draft, error) {
	if s.draft != nil {
		return s.draft, nil
	}
	base, err := c.inForce(ctx)
	if err != nil {
		return nil, err
	}
	doc, err := base.Clone()
	if err != nil {
		return nil, err
	}
	s.draft = &draft{base: base, doc: doc}
	return s.draft, nil
}

func (s *session) draftFindings() []findings.Finding {
	if s.draft == nil {
		return nil
	}
	return config.Validate(s.draft.doc)
}
