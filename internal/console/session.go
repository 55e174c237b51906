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
	// maxSessions bounds the memory of sessions; each may hold a draft of about ten megabytes at 14,000 workspaces.
	maxSessions = 16
)

// session is one signed-in browser. Its fields are guarded by mu.
type session struct {
	mu       sync.Mutex
	operator string
	csrf     string
	expires  time.Time
	draft    *draft
	// notice is shown once, on the next page.
	notice string
}

// draft is a document that an operator edits. It lives as long as the session.
type draft struct {
	base *confstore.Snapshot
	doc  *config.Document
}

func (s *session) takeNotice() string {
	notice := s.notice
	s.notice = ""
	return notice
}

// sessions holds the signed-in browsers by the hash of their token.
type sessions struct {
	mu     sync.Mutex
	byHash map[[sha256.Size]byte]*session
	now    func() time.Time
	last   time.Duration
}

func newSessions(now func() time.Time, last time.Duration) *sessions {
	return &sessions{byHash: map[[sha256.Size]byte]*session{}, now: now, last: last}
}

// add starts a session and returns its token.
func (s *sessions) add(operator string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if len(s.byHash) >= maxSessions {
		s.removeOldest()
	}
	token := rand.Text()
	s.byHash[sha256.Sum256([]byte(token))] = &session{operator: operator, csrf: rand.Text(), expires: s.now().Add(s.last)}
	return token
}

func (s *sessions) removeExpired() {
	for hash, one := range s.byHash {
		if !one.expires.After(s.now()) {
			delete(s.byHash, hash)
		}
	}
}

func (s *sessions) removeOldest() {
	var oldest *[sha256.Size]byte
	for hash, one := range s.byHash {
		if oldest == nil || one.expires.Before(s.byHash[*oldest].expires) {
			oldest = &hash
		}
	}
	delete(s.byHash, *oldest)
}

// of returns the session of a request, or nil.
func (s *sessions) of(r *http.Request) *session {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.byHash[sha256.Sum256([]byte(cookie.Value))]
	if one == nil || !one.expires.After(s.now()) {
		return nil
	}
	return one
}

func (s *sessions) remove(r *http.Request) {
	if cookie, err := r.Cookie(cookieName); err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byHash, sha256.Sum256([]byte(cookie.Value)))
	}
}

// sameText compares secrets in constant time.
func sameText(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// operators checks passwords.
type operators struct {
	// mu lets one password be checked at a time, which bounds the CPU time that guessing can take.
	mu     sync.Mutex
	byName map[string]password.Hash
	// decoy is checked for unknown names, so that the time of an answer does not tell which names exist.
	decoy password.Hash
}

func newOperators(list []Operator) (*operators, error) {
	out := &operators{byName: map[string]password.Hash{}}
	for _, o := range list {
		hash, err := password.Parse(o.PasswordHash)
		if err != nil {
			return nil, err
		}
		out.byName[o.Name], out.decoy = hash, hash
	}
	return out, nil
}

func (o *operators) check(name, secret string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	hash, known := o.byName[name]
	if !known {
		hash = o.decoy
	}
	return hash.Matches(secret) && known
}
