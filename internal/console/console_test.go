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

// fixture is a console with an in-memory platform, one fake daemon and a browser for each operator.
type fixture struct {
	t        *testing.T
	objects  *platform.Fake
	console  *Console
	server   *httptest.Server
	now      time.Time
	browsers map[string]*browser
}

// browser is an HTTP client with its own cookies.
type browser struct {
	http *http.Client
	// fields holds the latest value of each hidden form field.
	fields map[string]string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, objects: platform.NewFake(), now: time.Now(), browsers: map[string]*browser{}}
	hash, err := password.New("open sesame", password.MinIterations)
	require.NoError(t, err)
	s := &Settings{Address: "127.0.0.1:0", PlatformAddress: "127.0.0.1:1", Operators: []Operator{
		{Name: "ada", PasswordHash: hash.String()}, {Name: "ben", PasswordHash: hash.String()},
	}}
	list := &findings.List{}
	s.Check(list)
	require.NoError(t, list.Err())
	console, err := New(s, Deps{
		Store: confstore.New(f.objects), Fleet: fleet.NewClient([]string{startDaemon(t)}, 0), Log: evlog.Discard(),
		Now: func() time.Time { return f.now },
	})
	require.NoError(t, err)
	f.console = console
	f.server = httptest.NewServer(console.Handler())
	t.Cleanup(f.server.Close)
	return f
}

func startDaemon(t *testing.T) string {
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

func (f *fixture) browser(name string) *browser {
	if f.browsers[name] == nil {
		jar, err := cookiejar.New(nil)
		require.NoError(f.t, err)
		f.browsers[name] = &browser{fields: map[string]string{}, http: &http.Client{
			Jar: jar, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	}
	return f.browsers[name]
}

var hiddenFields = regexp.MustCompile(`name="(csrf|digest|seen)" value="([^"]*)"`)

// send sends the request "METHOD path [form]" with the named browser and returns the response and its body. {csrf},
// {digest} and {seen} in the form are replaced by the latest values of these hidden fields.
func (f *fixture) send(name, text string) (resp *http.Response, page string) {
	client := f.browser(name)
	words := strings.SplitN(text, " ", 3)
	var body string
	if len(words) == 3 {
		body = words[2]
		for field, value := range client.fields {
			body = strings.ReplaceAll(body, "{"+field+"}", url.QueryEscape(value))
		}
	}
	req, err := http.NewRequestWithContext(f.t.Context(), words[0], f.server.URL+words[1], strings.NewReader(body))
	require.NoError(f.t, err)
	if words[0] == http.MethodPost {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		req.Header.Set("Sec-Fetch-Site", "same-origin")
	}
	resp, err = client.http.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	for _, match := range hiddenFields.FindAllStringSubmatch(string(data), -1) {
		client.fields[match[1]] = html.UnescapeString(match[2])
	}
	return resp, string(data)
}

func (f *fixture) signIn(name string) {
	resp, _ := f.send(name, "POST /signin name="+name+"&password=open+sesame")
	require.Equal(f.t, http.StatusSeeOther, resp.StatusCode)
	f.send(name, "GET /")
}

func (f *fixture) storedSnapshot() *confstore.Snapshot {
	snapshot, err := confstore.New(f.objects).Read(context.Background())
	require.NoError(f.t, err)
	return snapshot
}

var (
	mainElement     = regexp.MustCompile(`(?s)<main[^>]*>(.*)</main>`)
	textInputs      = regexp.MustCompile(`<input [^>]*name="([^"]*)" value="([^"]*)"[^>]*>`)
	textAreas       = regexp.MustCompile(`(?s)<textarea id="([^"]*)"[^>]*>(.*?)</textarea>`)
	selectedOptions = regexp.MustCompile(`<option selected>([^<]*)</option>`)
	checkedBoxes    = regexp.MustCompile(`<input type="checkbox" id="([^"]*)"[^>]* checked[^>]*>`)
	htmlTags        = regexp.MustCompile(`<[^>]*>`)
	timestamps      = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d UTC`)
)

// pageText returns the visible text of a page's main element, with the values of inputs in brackets.
func pageText(page string) string {
	match := mainElement.FindStringSubmatch(page)
	if match == nil {
		return ""
	}
	text := hiddenFields.ReplaceAllString(match[1], "")
	text = textInputs.ReplaceAllString(text, "[$1=$2]")
	text = textAreas.ReplaceAllString(text, "[$1=$2]")
	text = selectedOptions.ReplaceAllString(text, "[$1]")
	text = checkedBoxes.ReplaceAllString(text, "[$1=yes]")
	text = timestamps.ReplaceAllString(
		htmlTags.ReplaceAllString(strings.NewReplacer("</td>", " | ", "</th>", " | ").Replace(text), ""), "(time)")
	var out strings.Builder
	for _, line := range strings.Split(html.UnescapeString(text), "\n") {
		if line = strings.Join(strings.Fields(line), " "); line != "" {
			out.WriteString("| " + line + "\n")
		}
	}
	return out.String()
}

// replay sends the requests of a session file and returns the session with the actual responses. Lines start with ">"
// for a request, preceded by the operator, "<" for the status and redirect target, "|" for the text of the page, "=" for
// changes to the stored document, "#" for a comment and "%" to apply the named example document.
func (f *fixture) replay(session string) string {
	var out strings.Builder
	before := f.storedSnapshot()
	for _, line := range strings.Split(strings.TrimSuffix(session, "\n"), "\n") {
		switch {
		case strings.HasPrefix(line, "> "):
			name, request, _ := strings.Cut(strings.TrimPrefix(line, "> "), " ")
			resp, page := f.send(name, request)
			fmt.Fprintf(&out, "%s\n%s\n%s", line, strings.TrimSpace(fmt.Sprintf("< %d %s", resp.StatusCode,
				resp.Header.Get("Location"))), pageText(page))
			after := f.storedSnapshot()
			if after.Version != before.Version {
				fmt.Fprintf(&out, "= generation %d by %s\n", after.Root.Generation, after.Root.Author)
			}
			for _, change := range config.Diff(before.Document, after.Document) {
				fmt.Fprintf(&out, "= %s\n", change)
			}
			before = after
		case strings.HasPrefix(line, "% "):
			out.WriteString(line + "\n")
			f.applyExample(strings.TrimPrefix(line, "% "))
			before = f.storedSnapshot()
		case line == "" || strings.HasPrefix(line, "#"):
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

func (f *fixture) applyExample(example string) {
	data, err := os.ReadFile("../../examples/" + example)
	require.NoError(f.t, err)
	doc, err := config.Parse(data)
	require.NoError(f.t, err)
	_, err = confstore.New(f.objects).Apply(f.t.Context(), f.storedSnapshot(), doc, "setup")
	require.NoError(f.t, err)
}

// Guards against unintended changes of the pages and of the documents that submitted forms produce.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			got := newFixture(t).replay(string(want))
			if os.Getenv("CAROBSTILE_UPDATE_GOLDEN") == "1" {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(want), got)
		})
	}
}

// Guards against accepting changes without a session, with a missing CSRF token or that of another session, from
// another site, or after the session has expired.
func TestChangesNeedSessionAndToken(t *testing.T) {
	f := newFixture(t)
	f.applyExample("trust.json")
	resp, _ := f.send("ada", "POST /draft/discard csrf=x")
	require.Equal(t, "/signin", resp.Header.Get("Location"))
	f.signIn("ada")
	f.signIn("ben")
	resp, _ = f.send("ada", "POST /section/limits/save queueLimit=9")
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	resp, _ = f.send("ada", "POST /section/limits/save queueLimit=9&csrf="+url.QueryEscape(f.browser("ben").fields["csrf"]))
	require.Equal(t, http.StatusForbidden, resp.StatusCode)

	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/signin", nil)
	require.NoError(t, err)
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	resp, err = f.browser("ada").http.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusForbidden, resp.StatusCode)

	f.now = f.now.Add(9 * time.Hour)
	resp, _ = f.send("ada", "GET /draft")
	require.Equal(t, "/signin", resp.Header.Get("Location"))
}

// Guards against pages without security headers, and against a session cookie that scripts can read or that is sent
// with cross-site requests.
func TestHeadersAndCookie(t *testing.T) {
	f := newFixture(t)
	resp, _ := f.send("ada", "POST /signin name=ada&password=open+sesame")
	cookie := resp.Cookies()[0]
	require.True(t, cookie.HttpOnly)
	require.Equal(t, http.SameSiteStrictMode, cookie.SameSite)
	resp, _ = f.send("ada", "GET /")
	for header, want := range map[string]string{
		"Content-Security-Policy": "default-src 'none'", "X-Content-Type-Options": "nosniff", "X-Frame-Options": "DENY",
		"Cache-Control": "no-store", "Referrer-Policy": "same-origin",
	} {
		require.Contains(t, resp.Header.Get(header), want)
	}
}

// Guards against unlimited password guessing.
func TestSignInAttemptsAreLimited(t *testing.T) {
	f := newFixture(t)
	last := 0
	for range signInAttemptsBurst + 1 {
		resp, _ := f.send("eve", "POST /signin name=ada&password=guess")
		last = resp.StatusCode
	}
	require.Equal(t, http.StatusTooManyRequests, last)
}

var (
	inputIDs       = regexp.MustCompile(`<(input|select|textarea)[^>]*id="([^"]+)"`)
	labelTargets   = regexp.MustCompile(`<label for="([^"]+)"`)
	descriptionIDs = regexp.MustCompile(`aria-describedby="([^"]+)"`)
)

// Guards against inputs without a label, which screen readers cannot announce, and against aria-describedby ids that do
// not exist.
func TestEveryInputHasALabel(t *testing.T) {
	f := newFixture(t)
	f.applyExample("trust.json")
	f.signIn("ada")
	for _, s := range sections {
		path := "GET /section/" + s.Name
		if s.List() {
			path += "/new"
		}
		_, page := f.send("ada", path)
		labels := map[string]bool{}
		for _, m := range labelTargets.FindAllStringSubmatch(page, -1) {
			labels[m[1]] = true
		}
		for _, m := range inputIDs.FindAllStringSubmatch(page, -1) {
			require.True(t, labels[m[2]], "%s: %s has no label", s.Name, m[2])
		}
		for _, m := range descriptionIDs.FindAllStringSubmatch(page, -1) {
			for _, id := range strings.Fields(m[1]) {
				require.Contains(t, page, `id="`+id+`"`)
			}
		}
	}
}

// Guards against lists of 14,000 objects that are not paged, or that miss objects on the last page or in a search.
func TestListOfManyWorkspaces(t *testing.T) {
	f := newFixture(t)
	doc := &config.Document{FormatVersion: config.FormatVersion, Callers: []config.Caller{{Name: "c"}}}
	for i := range 14_000 {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: fmt.Sprintf("w%05d", i), Caller: "c"})
	}
	_, err := confstore.New(f.objects).Apply(t.Context(), f.storedSnapshot(), doc, "setup")
	require.NoError(t, err)
	f.signIn("ada")
	_, page := f.send("ada", "GET /section/workspaces?page=279")
	require.Contains(t, page, "13951 to 14000 of 14000")
	require.NotContains(t, page, "Next page")
	_, page = f.send("ada", "GET /section/workspaces?q=W1234")
	require.Contains(t, page, "1 to 10 of 10")
}

// Guards against HTML injection through names and values.
func TestValuesAreEscaped(t *testing.T) {
	f := newFixture(t)
	f.signIn("ada")
	_, page := f.send("ada", "POST /section/callers/save csrf={csrf}&name=%3Cscript%3E&models=%3Cb%3E")
	require.NotContains(t, page, "<script>")
	require.NotContains(t, page, "<b>")
	require.Contains(t, page, "&lt;script&gt;")
}

// Guards against a platform outage that loses the draft or breaks the status page, and against applying a draft twice
// when the answer to the write was lost.
func TestOutageKeepsTheDraft(t *testing.T) {
	f := newFixture(t)
	f.applyExample("trust.json")
	f.signIn("ada")
	f.send("ada", "GET /section/limits")
	f.send("ada", "POST /section/limits/save csrf={csrf}&seen={seen}&queueLimit=77&defaultDeadlineMs=60000"+
		"&maxDeadlineMs=1800000&maxOutputTokens=4096")
	f.send("ada", "GET /draft")
	f.console.timeout = 100 * time.Millisecond
	f.objects.SetFaults(platform.Faults{Outage: true})
	resp, _ := f.send("ada", "POST /draft/apply csrf={csrf}&digest={digest}")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	_, page := f.send("ada", "GET /status")
	require.Contains(t, page, "gate-1")
	f.objects.SetFaults(platform.Faults{LoseWriteResponses: 2})
	f.console.timeout = platformTimeout
	resp, _ = f.send("ada", "POST /draft/apply csrf={csrf}&digest={digest}")
	require.Equal(t, "/versions", resp.Header.Get("Location"))
	require.Equal(t, 77, f.storedSnapshot().Document.Limits.QueueLimit)
	require.Equal(t, uint64(2), f.storedSnapshot().Root.Generation)
}
