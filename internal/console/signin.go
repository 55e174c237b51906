package console

import (
	"net/http"
	"time"
)

// Rate limit of sign-in attempts, shared by all browsers, against password guessing.
const (
	signInAttemptsPerSecond = 1
	signInAttemptsBurst     = 10
)

func (c *Console) signInPage(w http.ResponseWriter, r *http.Request) {
	if c.sessions.fromRequest(r) != nil {
		http.Redirect(w, r, "/", http.StatusSeeOther)
		return
	}
	c.render(w, nil, http.StatusOK, "signin", "Sign in", "")
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	if !c.signInLimiter.AllowN(c.deps.Now(), 1) {
		c.render(w, nil, http.StatusTooManyRequests, "signin", "Sign in", "Too many attempts. Wait a few seconds.")
		return
	}
	name := r.PostFormValue("name")
	if !c.operators.authenticate(name, r.PostFormValue("password")) {
		c.deps.Log.Warn("sign-in refused", "remote", r.RemoteAddr)
		c.render(w, nil, http.StatusUnauthorized, "signin", "Sign in", "Name or password is wrong.")
		return
	}
	c.deps.Log.Info("operator signed in", "operator", name)
	http.SetCookie(w, c.cookie(c.sessions.create(name), int(c.sessions.lifetime/time.Second)))
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (c *Console) signOut(w http.ResponseWriter, r *http.Request, s *session) {
	c.sessions.remove(r)
	c.deps.Log.Info("operator signed out", "operator", s.operator)
	http.SetCookie(w, c.cookie("", -1))
	http.Redirect(w, r, "/signin", http.StatusSeeOther)
}

func (c *Console) cookie(value string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Value: value, Path: "/", MaxAge: maxAge, HttpOnly: true, Secure: c.tlsEnabled,
		SameSite: http.SameSiteStrictMode,
	}
}
