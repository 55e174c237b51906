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
	// maxFormBytes limits the body of a request.
	maxFormBytes = 1 << 20
	// platformTimeout limits the time of the platform calls for one request.
	platformTimeout = 15 * time.Second
)

//go:embed pages
var pageFiles embed.FS

// Deps are the dependencies of a Console.
type Deps struct {
	Store *confstore.Store
	Fleet *fleet.Client
	Log   *slog.Logger
	Now   func() time.Time
}

// Console serves the pages and forms of the web console.
type Console struct {
	deps          Deps
	tlsEnabled    bool
	timeout       time.Duration
	pages         map[string]*template.Template
	docs          map[string]string
	sessions      *sessions
	operators     *operators
	signInLimiter *rate.Limiter

	mu      sync.Mutex
	current *confstore.Snapshot // the newest snapshot read so far, guarded by mu
}

// pageNames are the names of the page templates. Each is rendered within layout.html.
var pageNames = []string{"signin", "home", "list", "edit", "draft", "status", "versions", "message"}

// New returns a console. The settings must have passed Settings.Check.
func New(s *Settings, deps Deps) (*Console, error) {
	minutes := s.SessionMinutes
	if minutes == 0 {
		minutes = defaultSessionMinutes
	}
	c := &Console{
		deps: deps, tlsEnabled: s.Certificate != "", timeout: platformTimeout, pages: map[string]*template.Template{},
		sessions:      newSessions(deps.Now, time.Duration(minutes)*time.Minute),
		signInLimiter: rate.NewLimiter(signInAttemptsPerSecond, signInAttemptsBurst),
	}
	var err error
	if c.operators, err = newOperators(s.Operators); err != nil {
		return nil, err
	}
	if c.docs, err = configschema.DocComments(config.Source); err != nil {
		return nil, err
	}
	for _, name := range pageNames {
		if c.pages[name], err = template.ParseFS(pageFiles, "pages/layout.html", "pages/"+name+".html"); err != nil {
			return nil, errors.Wrapf(err, "parse the template of page %s", name)
		}
	}
	return c, nil
}

// Handler returns the HTTP handler of the console.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /style.css", serveStyle)
	mux.HandleFunc("GET /signin", c.signInPage)
	mux.HandleFunc("POST /signin", c.signIn)
	for pattern, handle := range map[string]sessionHandler{
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
		"POST /draft/take-current":         c.rebaseDraft,
		"GET /status":                      c.status,
		"GET /versions":                    c.versions,
		"GET /section/{section}/{unknown}": c.notFound,
	} {
		mux.HandleFunc(pattern, c.requireSession(handle))
	}
	protected := http.NewCrossOriginProtection().Handler(mux)
	return c.withHeaders(protected)
}

// sessionHandler handles a request of a signed-in operator. It is called with s.mu held.
type sessionHandler func(w http.ResponseWriter, r *http.Request, s *session)

// withHeaders sets the security headers and limits the size of the request body.
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
		if c.tlsEnabled {
			h.Set("Strict-Transport-Security", "max-age=31536000")
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// requireSession calls next for requests with a valid session and redirects others to the sign-in page. POST requests
// must also carry the CSRF token of the session.
func (c *Console) requireSession(next sessionHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s := c.sessions.fromRequest(r)
		if s == nil {
			http.Redirect(w, r, "/signin", http.StatusSeeOther)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.Method == http.MethodPost && !equalSecrets(r.PostFormValue("csrf"), s.csrf) {
			c.renderMessage(w, s, http.StatusForbidden, "This form is out of date",
				"The form does not belong to this sign-in. Go back, reload the page and send it again.")
			return
		}
		next(w, r, s)
	}
}

// page is the data passed to every template.
type page struct {
	Title    string
	Operator string
	CSRF     string
	Notice   string
	Sections []section
	// Draft reports whether the session has a draft that was not confirmed yet.
	Draft bool
	Body  any
}

func (c *Console) render(w http.ResponseWriter, s *session, status int, name, title string, body any) {
	p := page{Title: title, Sections: sections, Body: body}
	if s != nil {
		p.Operator, p.CSRF, p.Notice, p.Draft = s.operator, s.csrf, s.popNotice(), s.draft != nil
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := c.pages[name].ExecuteTemplate(w, "layout", p); err != nil {
		c.deps.Log.Warn("page not sent", "page", name, "err", err)
	}
}

func (c *Console) renderMessage(w http.ResponseWriter, s *session, status int, title, text string) {
	c.render(w, s, status, "message", title, text)
}

func (c *Console) notFound(w http.ResponseWriter, _ *http.Request, s *session) {
	c.renderMessage(w, s, http.StatusNotFound, "Not found", "There is no such page or object.")
}

func (c *Console) renderPlatformError(w http.ResponseWriter, s *session, err error) {
	c.deps.Log.Error("platform call failed", "err", err)
	c.renderMessage(w, s, http.StatusBadGateway, "The platform does not answer",
		"The configuration cannot be read or changed now. Your draft is kept. "+err.Error())
}

func serveStyle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	http.ServeFileFS(w, r, pageFiles, "pages/style.css")
}

// currentSnapshot reads the configuration in force from the platform. It reuses what is unchanged since the last read.
func (c *Console) currentSnapshot(ctx context.Context) (*confstore.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.mu.Lock()
	cached := c.current
	c.mu.Unlock()
	snapshot, err := c.deps.Store.Refresh(ctx, cached)
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

// visibleDocument returns the document that the session's pages show: its draft, or the configuration in force.
func (c *Console) visibleDocument(ctx context.Context, s *session) (*config.Document, error) {
	if s.draft != nil {
		return s.draft.doc, nil
	}
	snapshot, err := c.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot.Document, nil
}

// ensureDraft returns the session's draft. If there is none, it creates one from the configuration in force.
func (c *Console) ensureDraft(ctx context.Context, s *session) (*draft, error) {
	if s.draft != nil {
		return s.draft, nil
	}
	base, err := c.currentSnapshot(ctx)
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
