package e2e

import (
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
)

// browser is an operator's browser session at the console. fields contains the hidden fields and the values of the last
// form received.
type browser struct {
	t      *testing.T
	base   string
	http   *http.Client
	fields url.Values
}

var formFieldPattern = regexp.MustCompile(`name="([^"]*)" value="([^"]*)"|<textarea id="([^"]*)"[^>]*>([^<]*)</textarea>`)

func newBrowser(t *testing.T, d *deployment) *browser {
	jar, err := cookiejar.New(nil)
	require.NoError(t, err)
	b := &browser{t: t, base: "http://" + d.Console, http: &http.Client{Jar: jar, Timeout: 20 * time.Second}}
	page := b.post("/signin", url.Values{"name": {devdeploy.Operator}, "password": {devdeploy.OperatorPassword}})
	require.Contains(t, page, "Signed in as "+devdeploy.Operator)
	return b
}

func (b *browser) get(path string) string {
	resp, err := b.http.Get(b.base + path)
	require.NoError(b.t, err)
	return b.read(resp)
}

func (b *browser) post(path string, form url.Values) string {
	resp, err := b.http.PostForm(b.base+path, form)
	require.NoError(b.t, err)
	return b.read(resp)
}

func (b *browser) read(resp *http.Response) string {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	b.fields = url.Values{}
	for _, m := range formFieldPattern.FindAllStringSubmatch(string(data), -1) {
		b.fields.Set(m[1]+m[3], html.UnescapeString(m[2]+m[4]))
	}
	return string(data)
}

// setWeight saves the weight of a workspace in the draft.
func (b *browser) setWeight(workspace string, weight int) {
	b.get("/section/workspaces/edit?name=" + workspace)
	form := b.fields
	form.Set("weight", strconv.Itoa(weight))
	require.Contains(b.t, b.post("/section/workspaces/save", form), "Saved in your draft")
}

// Guards against a console whose confirmed change does not take effect, that applies something other than the displayed
// diff, or that overwrites another operator's change.
func TestConsoleChangeAndConflict(t *testing.T) {
	d := startDeployment(t, nil)
	first, second := newBrowser(t, d), newBrowser(t, d)
	workspace := d.currentConfig().Document.Workspaces[0].Name
	first.setWeight(workspace, 4)
	second.setWeight(workspace, 7)
	page := first.get("/draft")
	require.Contains(t, page, "Differences to generation 1")
	require.Contains(t, page, "<code>4</code>")
	require.EqualValues(t, 1, d.currentConfig().Root.Generation, "a draft must not be in force")

	require.Contains(t, first.post("/draft/apply", first.fields), "Generation 2 is accepted")
	accepted := time.Now()
	for _, h := range d.Hosts {
		for d.status(h).Generation < 2 {
			require.Less(t, time.Since(accepted), maxPropagationDelay, "%s is behind", h.Name)
			time.Sleep(pollInterval)
		}
	}
	second.get("/draft")
	page = second.post("/draft/apply", second.fields)
	require.Contains(t, page, "Nothing was applied. "+devdeploy.Operator+" changed the same fields")
	require.Contains(t, page, "<code>7</code>")
	require.Equal(t, 4, d.currentConfig().Document.Workspaces[0].Weight)
}
