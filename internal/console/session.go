package console

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/password"
)

const (
	cookieName = "carobconsole"
	// maxSessions limits memory: each session may hold a draft, which takes about 10 MB with 14,000 workspaces.
	maxSessions = 16
)

// session is the session of a signed-in browser. Its fields are guarded by mu.
type session struct {
	mu       sync.Mutex
	operator string
	csrf     string
	expires  time.Time
	draft    *draft
	// notice is a message to show once, on the next page.
	notice string
}

// draft is an edited copy of the configuration, kept for the lifetime of the session. base is the snapshot it was made
// from.
type draft struct {
	base *confstore.Snapshot
	doc  *config.Document
}

func (s *session) popNotice() string {
	notice := s.notice
	s.notice = ""
	return notice
}

// sessions holds the sessions by the SHA-256 of their token.
type sessions struct {
	mu       sync.Mutex
	byHash   map[[sha256.Size]byte]*session
	now      func() time.Time
	lifetime time.Duration
}

func newSessions(now func() time.Time, lifetime time.Duration) *sessions {
	return &sessions{byHash: map[[sha256.Size]byte]*session{}, now: now, lifetime: lifetime}
}

// create creates a session and returns its token. At maxSessions it removes the session that expires first.
func (s *sessions) create(operator string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if len(s.byHash) >= maxSessions {
		s.removeOldest()
	}
	token := rand.Text()
	s.byHash[sha256.Sum256([]byte(token))] = &session{
		operator: operator, csrf: rand.Text(), expires: s.now().Add(s.lifetime),
	}
	return token
}

func (s *sessions) removeExpired() {
	for hash, sess := range s.byHash {
		if !sess.expires.After(s.now()) {
			delete(s.byHash, hash)
		}
	}
}

func (s *sessions) removeOldest() {
	var oldest *[sha256.Size]byte
	for hash, sess := range s.byHash {
		if oldest == nil || sess.expires.Before(s.byHash[*oldest].expires) {
			oldest = &hash
		}
	}
	delete(s.byHash, *oldest)
}

// fromRequest returns the session of a request's cookie, or nil if there is none or it has expired.
func (s *sessions) fromRequest(r *http.Request) *session {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sess := s.byHash[sha256.Sum256([]byte(cookie.Value))]
	if sess == nil || !sess.expires.After(s.now()) {
		return nil
	}
	return sess
}

func (s *sessions) remove(r *http.Request) {
	if cookie, err := r.Cookie(cookieName); err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byHash, sha256.Sum256([]byte(cookie.Value)))
	}
}

// equalSecrets reports whether two secrets are equal, in constant time.
func equalSecrets(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// operators authenticates operators by name and password.
type operators struct {
	// mu serializes password checks, which limits the CPU time that password guessing can use to one core.
	mu     sync.Mutex
	byName map[string]password.Hash
	// dummyHash is checked for unknown names, so that response times do not reveal which names exist.
	dummyHash password.Hash
}

func newOperators(list []Operator) (*operators, error) {
	out := &operators{byName: map[string]password.Hash{}}
	for _, o := range list {
		hash, err := password.Parse(o.PasswordHash)
		if err != nil {
			return nil, err
		}
		out.byName[o.Name], out.dummyHash = hash, hash
	}
	return out, nil
}

func (o *operators) authenticate(name, secret string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	hash, known := o.byName[name]
	if !known {
		hash = o.dummyHash
	}
	return hash.Matches(secret) && known
}
