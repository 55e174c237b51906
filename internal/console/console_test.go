package console

import (
	"context"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/carobstile/carobstile/internal/password"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
)

// bench is a console over a platform in memory, with one daemon.
type bench struct {
	t        *testing.T
	objects  *platform.Fake
	console  *Console
	server   *httptest.Server
	now      time.Time
	browsers map[string]*browser
}

// browser is one operator's browser.
type browser struct {
	http *http.Client
	// fields are the hidden values of the last page.
	fields map[string]string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, objects: platform.NewFake(), now: time.Now(), browsers: map[string]*browser{}}
	hash, err := password.New("open sesame", password.MinIterations)
	require.NoError(t, err)
	s := &Settings{Address: "127.0.0.1:0", PlatformAddress: "127.0.0.1:1", Operators: []Operator{
		{Name: "ada", PasswordHash: hash.String()}, {Name: "ben", PasswordHash: hash.String()},
	}}
	list := &findings.List{}
	s.Check(list)
	require.NoError(t, list.Err())
	console, err := New(s, Deps{
		Store: confstore.New(b.objects), Fleet: fleet.NewClient([]string{daemon(t)}, 0), Log: evlog.Discard(),
		Now: func() time.Time { return b.now },
	})
	require.NoError(t, err)
	b.console = console
	b.server = httptest.NewServer(console.Handler())
	t.Cleanup(b.server.Close)
	return b
}

func daemon(t *testing.T) string {
	t.Helper()
	status, err := protojson.Marshal(&pb.StatusResponse{
		Self: &pb.Member{Name: "gate-1", FailureDomain: "w1", State: pb.MemberState_MEMBER_STATE_ALIVE}, Ready: true,
		OpenStreams: 4, Pools: []*pb.PoolStatus{{Pool: "p1", EnginesReady: 1, Grants: 2, Engines: []*pb.EngineStatus{
			{Name: "e1", KvTokensTotal: 1_000, KvTokensUsed: 250},
		}}},
	})
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" {
			_, _ = io.WriteString(w, "requests{code=\"200\"} 7\ncarobstile_gate_requests_ended{code=\"complete\"} 5\n"+
				"carobstile_gate_first_token_bucket{class=\"long\",le=\"3\"} 2\n"+
				"carobstile_gate_first_token_bucket{class=\"long\",le=\"+Inf\"} 3\n")
			return
		}
		_, _ = w.Write(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (b *bench) browser(name string) *browser {
	if b.browsers[name] == nil {
		jar, err := cookiejar.New(nil)
		require.NoError(b.t, err)
		b.browsers[name] = &browser{fields: map[string]string{}, http: &http.Client{
			Jar: jar, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	}
	return b.browsers[name]
}

var hidden = regexp.MustCompile(`name="(csrf|digest|seen)" value="([^"]*)"`)

// send performs "METHOD path [form]" and returns the status, the redirect target and the page. {csrf}, {digest} and
// {seen} stand for the values of the last page that had them.
func (b *bench) send(name, text string) (resp *http.Response, page string) {
	one := b.browser(name)
	words := strings.SplitN(text, " ", 3)
	var body string
	if len(words) == 3 {
		body = words[2]
		for field, value := range one.fields {
			body = strings.ReplaceAll(body, "{"+field+"}", url.QueryEscape(value))
		}
	}
	req, err := http.NewRequestWithContext(b.t.Context(), words[0], b.server.URL+words[1], strings.NewReader(body))
	require.NoError(b.t, err)
	if words[0] == http.MethodPost {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		req.Header.Set("Sec-Fetch-Site", "same-origin")
	}
	resp, err = one.http.Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	for _, match := range hidden.FindAllStringSubmatch(string(data), -1) {
		one.fields[match[1]] = html.UnescapeString(match[2])
	}
	return resp, string(data)
}

func (b *bench) signIn(name string) {
	resp, _ := b.send(name, "POST /signin name="+name+"&password=open+sesame")
	require.Equal(b.t, http.StatusSeeOther, resp.StatusCode)
	b.send(name, "GET /")
}

func (b *bench) stored() *confstore.Snapshot {
	snapshot, err := confstore.New(b.objects).Read(context.Background())
	require.NoError(b.t, err)
	return snapshot
}

var (
	mainPart = regexp.MustCompile(`(?s)<main[^>]*>(.*)</main>`)
	inputs   = regexp.MustCompile(`<input [^>]*name="([^"]*)" value="([^"]*)"[^>]*>`)
	areas    = regexp.MustCompile(`(?s)<textarea id="([^"]*)"[^>]*>(.*?)</textarea>`)
	options  = regexp.MustCompile(`<option selected>([^<]*)</option>`)
	checked  = regexp.MustCompile(`<input type="checkbox" id="([^"]*)"[^>]* checked[^>]*>`)
	tags     = regexp.MustCompile(`<[^>]*>`)
	times    = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d UTC`)
)

// pageText returns the text of a page as a reader gets it, with the values of inputs in brackets.
func pageText(page string) string {
	match := mainPart.FindStringSubmatch(page)
	if match == nil {
		return ""
	}
	text := hidden.ReplaceAllString(match[1], "")
	text = inputs.ReplaceAllString(text, "[$1=$2]")
	text = areas.ReplaceAllString(text, "[$1=$2]")
	text = options.ReplaceAllString(text, "[$1]")
	text = checked.ReplaceAllString(text, "[$1=yes]")
	text = times.ReplaceAllString(tags.ReplaceAllString(strings.NewReplacer("</td>", " | ", "</th>", " | ").Replace(text), ""), "(time)")
	var out strings.Builder
	for _, line := range strings.Split(html.UnescapeString(text), "\n") {
		if line = strings.Join(strings.Fields(line), " "); line != "" {
			out.WriteString("| " + line + "\n")
		}
	}
	return out.String()
}

// replay sends the requests of a session file (">", operator first) and returns the session that results: "<" is the
// answer, "|" the text of the page and "=" what a request changed in the stored document. "%" replaces the stored
// document by that of the named example.
func (b *bench) replay(session string) string {
	var out strings.Builder
	before := b.stored()
	for _, line := range strings.Split(strings.TrimSuffix(session, "\n"), "\n") {
		switch {
		case strings.HasPrefix(line, "> "):
			name, request, _ := strings.Cut(strings.TrimPrefix(line, "> "), " ")
			resp, page := b.send(name, request)
			fmt.Fprintf(&out, "%s\n%s\n%s", line, strings.TrimSpace(fmt.Sprintf("< %d %s", resp.StatusCode,
				resp.Header.Get("Location"))), pageText(page))
			after := b.stored()
			if after.Version != before.Version {
				fmt.Fprintf(&out, "= generation %d by %s\n", after.Root.Generation, after.Root.Author)
			}
			for _, change := range config.Diff(before.Document, after.Document) {
				fmt.Fprintf(&out, "= %s\n", change)
			}
			before = after
		case strings.HasPrefix(line, "% "):
			out.WriteString(line + "\n")
			b.load(strings.TrimPrefix(line, "% "))
			before = b.stored()
		case line == "" || strings.HasPrefix(line, "#"):
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

func (b *bench) load(example string) {
	data, err := os.ReadFile("../../examples/" + example)
	require.NoError(b.t, err)
	doc, err := config.Parse(data)
	require.NoError(b.t, err)
	_, err = confstore.New(b.objects).Apply(b.t.Context(), b.stored(), doc, "setup")
	require.NoError(b.t, err)
}

// Guards against a change in what operators see and in the documents that their forms produce, over whole sessions.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			got := newBench(t).replay(string(want))
			if os.Getenv("CAROBSTILE_UPDATE_GOLDEN") == "1" {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(want), got)
		})
	}
}

// Guards against changes without a sign-in, with a stolen or missing token, from another site, or after the session's
// end.
func TestChangesNeedSessionAndToken(t *testing.T) {
	b := newBench(t)
	b.load("trust.json")
	resp, _ := b.send("ada", "POST /draft/discard csrf=x")
	require.Equal(t, "/signin", resp.Header.Get("Location"))
	b.signIn("ada")
	b.signIn("ben")
	resp, _ = b.send("ada", "POST /section/limits/save queueLimit=9")
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	resp, _ = b.send("ada", "POST /section/limits/save queueLimit=9&csrf="+url.QueryEscape(b.browser("ben").fields["csrf"]))
	require.Equal(t, http.StatusForbidden, resp.StatusCode)

	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/signin", nil)
	require.NoError(t, err)
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	resp, err = b.browser("ada").http.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusForbidden, resp.StatusCode)

	b.now = b.now.Add(9 * time.Hour)
	resp, _ = b.send("ada", "GET /draft")
	require.Equal(t, "/signin", resp.Header.Get("Location"))
}

// Guards against pages without security headers and against a cookie that scripts or other sites can use.
func TestHeadersAndCookie(t *testing.T) {
	b := newBench(t)
	resp, _ := b.send("ada", "POST /signin name=ada&password=open+sesame")
	cookie := resp.Cookies()[0]
	require.True(t, cookie.HttpOnly)
	require.Equal(t, http.SameSiteStrictMode, cookie.SameSite)
	resp, _ = b.send("ada", "GET /")
	for header, want := range map[string]string{
		"Content-Security-Policy": "default-src 'none'", "X-Content-Type-Options": "nosniff", "X-Frame-Options": "DENY",
		"Cache-Control": "no-store", "Referrer-Policy": "same-origin",
	} {
		require.Contains(t, resp.Header.Get(header), want)
	}
}

// Guards against unlimited guessing of passwords.
func TestSignInAttemptsAreLimited(t *testing.T) {
	b := newBench(t)
	last := 0
	for range attemptsBurst + 1 {
		resp, _ := b.send("eve", "POST /signin name=ada&password=guess")
		last = resp.StatusCode
	}
	require.Equal(t, http.StatusTooManyRequests, last)
}

var (
	anyInput = regexp.MustCompile(`<(input|select|textarea)[^>]*id="([^"]+)"`)
	anyLabel = regexp.MustCompile(`<label for="([^"]+)"`)
	refers   = regexp.MustCompile(`aria-describedby="([^"]+)"`)
)

// Guards against inputs that a screen reader cannot name, and descriptions that point nowhere.
func TestEveryInputHasALabel(t *testing.T) {
	b := newBench(t)
	b.load("trust.json")
	b.signIn("ada")
	for _, s := range sections {
		path := "GET /section/" + s.Name
		if s.List() {
			path += "/new"
		}
		_, page := b.send("ada", path)
		labels := map[string]bool{}
		for _, m := range anyLabel.FindAllStringSubmatch(page, -1) {
			labels[m[1]] = true
		}
		for _, m := range anyInput.FindAllStringSubmatch(page, -1) {
			require.True(t, labels[m[2]], "%s: %s has no label", s.Name, m[2])
		}
		for _, m := range refers.FindAllStringSubmatch(page, -1) {
			for _, id := range strings.Fields(m[1]) {
				require.Contains(t, page, `id="`+id+`"`)
			}
		}
	}
}

// Guards against lists that grow too long for a page or lose objects between pages.
func TestListOfManyWorkspaces(t *testing.T) {
	b := newBench(t)
	doc := &config.Document{FormatVersion: config.FormatVersion, Callers: []config.Caller{{Name: "c"}}}
	for i := range 14_000 {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: fmt.Sprintf("w%05d", i), Caller: "c"})
	}
	_, err := confstore.New(b.objects).Apply(t.Context(), b.stored(), doc, "setup")
	require.NoError(t, err)
	b.signIn("ada")
	_, page := b.send("ada", "GET /section/workspaces?page=279")
	require.Contains(t, page, "13951 to 14000 of 14000")
	require.NotContains(t, page, "Next page")
	_, page = b.send("ada", "GET /section/workspaces?q=W1234")
	require.Contains(t, page, "1 to 10 of 10")
}

// Guards against HTML in names and values running in an operator's browser.
func TestValuesAreEscaped(t *testing.T) {
	b := newBench(t)
	b.signIn("ada")
	_, page := b.send("ada", "POST /section/callers/save csrf={csrf}&name=%3Cscript%3E&models=%3Cb%3E")
	require.NotContains(t, page, "<script>")
	require.NotContains(t, page, "<b>")
	require.Contains(t, page, "&lt;script&gt;")
}

// Guards against a draft that is lost in an outage of the platform, and against an outage that hides the live status.
func TestOutageKeepsTheDraft(t *testing.T) {
	b := newBench(t)
	b.load("trust.json")
	b.signIn("ada")
	b.send("ada", "GET /section/limits")
	b.send("ada", "POST /section/limits/save csrf={csrf}&seen={seen}&queueLimit=77&defaultDeadlineMs=60000"+
		"&maxDeadlineMs=1800000&maxOutputTokens=4096")
	b.send("ada", "GET /draft")
	b.console.timeout = 100 * time.Millisecond
	b.objects.SetFaults(platform.Faults{Outage: true})
	resp, _ := b.send("ada", "POST /draft/apply csrf={csrf}&digest={digest}")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	_, page := b.send("ada", "GET /status")
	require.Contains(t, page, "gate-1")
	b.objects.SetFaults(platform.Faults{LoseWriteAnswers: 2})
	b.console.timeout = platformTimeout
	resp, _ = b.send("ada", "POST /draft/apply csrf={csrf}&digest={digest}")
	require.Equal(t, "/versions", resp.Header.Get("Location"))
	require.Equal(t, 77, b.stored().Document.Limits.QueueLimit)
	require.Equal(t, uint64(2), b.stored().Root.Generation)
}
