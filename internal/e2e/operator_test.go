package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/ctl"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/platform"
)

const rootPath = "/v1/objects/" + platform.KindConfig + "/" + config.RootName

// result is what a run of carobctl leaves.
type result struct {
	code int
	// text is standard output followed by standard error.
	text string
}

// carobctl runs the command line against the deployment.
func (d *deployment) carobctl(platformAddress, author string, args ...string) result {
	all := []string{"--platform", platformAddress, "--author", author}
	for _, h := range d.Hosts {
		all = append(all, "--admin", h.Admin)
	}
	return d.runBinary("carobctl", append(all, args...)...)
}

func (d *deployment) runBinary(name string, args ...string) result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, name), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run() // the exit code is part of the result
	return result{cmd.ProcessState.ExitCode(), stdout.String() + stderr.String()}
}

// edited writes the document in force with a change to a file.
func (d *deployment) edited(name string, change func(doc *config.Document)) string {
	doc, err := d.inForce().Clone()
	require.NoError(d.t, err)
	change(doc)
	return d.write(name, doc)
}

func (d *deployment) write(name string, v any) string {
	data, err := json.Marshal(v)
	require.NoError(d.t, err)
	path := filepath.Join(d.Dir, name)
	require.NoError(d.t, os.WriteFile(path, data, 0o600))
	return path
}

func (d *deployment) inForce() *confstore.Snapshot {
	snapshot, err := confstore.New(platform.NewClient(d.Platform)).Read(context.Background())
	require.NoError(d.t, err)
	return snapshot
}

func weight(i, n int) func(doc *config.Document) {
	return func(doc *config.Document) { doc.Workspaces[i].Weight = n }
}

func want(t *testing.T, r result, code int, texts ...string) {
	t.Helper()
	require.Equal(t, code, r.code, r.text)
	for _, text := range texts {
		require.Contains(t, r.text, text)
	}
}

// Guards against an apply that says a change is in force while a daemon is paused, or does not name that daemon.
func TestApplyNamesTheDaemonThatIsBehind(t *testing.T) {
	d := start(t, nil)
	file := d.edited("new.json", weight(0, 2))
	want(t, d.carobctl(d.Platform, "ada", "diff", file), ctl.ExitDiffers, "weight", "1 difference to generation 1")
	want(t, d.carobctl(d.Platform, "ada", "apply", file), ctl.ExitOK, "generation 2 is in force at all 3 daemons")
	want(t, d.carobctl(d.Platform, "ada", "diff", file), ctl.ExitOK)

	paused := d.Hosts[2]
	d.signal(paused.Name, syscall.SIGSTOP)
	file = d.edited("newer.json", weight(0, 3))
	behind := d.carobctl(d.Platform, "ada", "apply", "--wait", "2s", file)
	want(t, behind, ctl.ExitBehind, "generation 3 is accepted", "not yet in force at 1 of 3 daemons", paused.Name)
	want(t, d.carobctl(d.Platform, "ada", "status"), ctl.ExitOK, "unknown")
	d.signal(paused.Name, syscall.SIGCONT)
	want(t, d.carobctl(d.Platform, "ada", "apply", file), ctl.ExitOK, "generation 3 already has this content",
		"generation 3 is in force at all 3 daemons")
}

// Guards against merges that lose one side and against conflicts that are passed over.
func TestOperatorsMergeOrConflict(t *testing.T) {
	d := start(t, nil)
	base := d.edited("base.json", func(*config.Document) {})
	ada, ben, eve := d.edited("ada.json", weight(0, 2)), d.edited("ben.json", weight(1, 3)), d.edited("eve.json", weight(0, 4))
	want(t, d.carobctl(d.Platform, "ada", "apply", "--base", base, ada), ctl.ExitOK)
	want(t, d.carobctl(d.Platform, "ben", "apply", "--base", base, ben), ctl.ExitOK)
	doc := d.inForce().Document
	require.Equal(t, []int{2, 3}, []int{doc.Workspaces[0].Weight, doc.Workspaces[1].Weight})
	lost := d.carobctl(d.Platform, "eve", "apply", "--base", base, eve)
	want(t, lost, ctl.ExitConflict, doc.Workspaces[0].Name, "weight", "by ben", "nothing was applied")
	want(t, d.carobctl(d.Platform, "eve", "apply", "--generation", "1", eve), ctl.ExitConflict, "generation 3 by ben")
	require.EqualValues(t, 3, d.inForce().Root.Generation)
}

// rootProxy stands between one operator and the platform. It passes every call on but the first write of the root, which
// it gives to intercept.
func (d *deployment) rootProxy(intercept func(w http.ResponseWriter, pass func(w http.ResponseWriter))) string {
	seen := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pass := func(w http.ResponseWriter) { d.pass(w, r) }
		if r.Method != http.MethodPut || r.URL.Path != rootPath || seen {
			pass(w)
			return
		}
		seen = true
		intercept(w, pass)
	}))
	d.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (d *deployment) pass(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+d.Platform+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body) // a caller that left is not an error
}

// loseAnswer closes the connection without an answer.
func loseAnswer() { panic(http.ErrAbortHandler) }

// Guards against a lost answer to the write of the root that is reported as a failure, applied twice, or taken for an
// acceptance although another operator's change won.
func TestLostAnswerOfTheRootIsResolved(t *testing.T) {
	d := start(t, nil)
	accepted := d.rootProxy(func(_ http.ResponseWriter, pass func(http.ResponseWriter)) {
		pass(httptest.NewRecorder())
		loseAnswer()
	})
	want(t, d.carobctl(accepted, "ada", "apply", d.edited("a.json", weight(0, 2))), ctl.ExitOK, "generation 2 is accepted")
	require.EqualValues(t, 2, d.inForce().Root.Generation)

	notArrived := d.rootProxy(func(http.ResponseWriter, func(http.ResponseWriter)) { loseAnswer() })
	want(t, d.carobctl(notArrived, "ada", "apply", d.edited("b.json", weight(0, 3))), ctl.ExitOK, "generation 3 is accepted")

	name := d.inForce().Document.Workspaces[1].Name
	overtaken := d.rootProxy(func(http.ResponseWriter, func(http.ResponseWriter)) {
		d.carobctl(d.Platform, "ben", "apply", d.edited("ben.json", weight(1, 5)))
		loseAnswer()
	})
	want(t, d.carobctl(overtaken, "ada", "apply", d.edited("c.json", weight(0, 4))), ctl.ExitConflict,
		"generation 4 by ben was accepted meanwhile", name)
	require.Equal(t, 3, d.inForce().Document.Workspaces[0].Weight)

	unknown := d.rootProxy(func(http.ResponseWriter, func(http.ResponseWriter)) {
		d.fault(d.Platform, platform.Faults{Outage: true})
		loseAnswer()
	})
	want(t, d.carobctl(unknown, "ada", "--timeout", "3s", "apply", d.edited("d.json", weight(0, 6))), ctl.ExitUnknown)
	d.fault(d.Platform, platform.Faults{})
	require.EqualValues(t, 4, d.inForce().Root.Generation)
}

// Guards against two operators that both believe they won a race, and a loser that does not learn what changed.
func TestRaceOfOperatorsHasOneWinner(t *testing.T) {
	d := start(t, nil)
	name := d.inForce().Document.Workspaces[0].Name
	slow := d.rootProxy(func(w http.ResponseWriter, pass func(http.ResponseWriter)) {
		d.carobctl(d.Platform, "ben", "apply", d.edited("ben.json", weight(0, 5)))
		pass(w)
	})
	want(t, d.carobctl(slow, "ada", "apply", d.edited("ada.json", weight(0, 4))), ctl.ExitConflict,
		"generation 2 by ben was accepted meanwhile", name, "weight")
	require.Equal(t, 5, d.inForce().Document.Workspaces[0].Weight)
}

// Guards against a drained engine that gets work, and against exit codes that scripts rely on.
func TestDrainStatusAndExitCodes(t *testing.T) {
	d := start(t, nil)
	engine := d.Document.BackendServers[0].Name
	want(t, d.carobctl(d.Platform, "ada", "drain", engine), ctl.ExitOK, "drained", "in force at all 3 daemons")
	require.True(t, d.inForce().Document.BackendServers[0].Drained)
	for range 6 {
		got := chat(context.Background(), d.Hosts[0].Caller, devdeploy.CallerKey, "drained?", 2, "", nil)
		require.True(t, got.complete, "%+v", got)
	}
	want(t, d.carobctl(d.Platform, "ada", "status"), ctl.ExitOK, d.Hosts[0].Name, "pool-domain-1", engine, "alive")
	want(t, d.carobctl(d.Platform, "ada", "undrain", engine), ctl.ExitOK)
	require.False(t, d.inForce().Document.BackendServers[0].Drained)
	want(t, d.carobctl(d.Platform, "ada", "drain", "nothing"), ctl.ExitFailed, `"nothing" does not exist`)
	want(t, d.carobctl(d.Platform, "ada", "drian", engine), ctl.ExitUsage)
	bad := d.edited("bad.json", func(doc *config.Document) {
		doc.Workspaces[0].Caller = "nobody"
		doc.Routes[0].BackendServers = []string{"nowhere"}
	})
	for _, command := range []string{"validate", "apply"} {
		want(t, d.carobctl(d.Platform, "ada", command, bad), ctl.ExitFindings, "nobody", "nowhere")
	}
	require.EqualValues(t, 3, d.inForce().Root.Generation)
	for _, p := range d.Processes {
		want(t, d.runBinary(p.Binary, "--settings", p.Settings, "--check"), 0, "settings are valid")
	}
}

// Guards against --check that stops at the first finding and so takes an operator one round per mistake.
func TestCheckReportsAllFindings(t *testing.T) {
	d := &deployment{t: t, Deployment: &devdeploy.Deployment{Dir: t.TempDir()}}
	for binary, faulty := range map[string]string{
		"carobgate":       `{"name": 7, "callerAddress": "a", "adminAddress": "b", "peerAddress": "c", "platformAddress": "d", "seeds": ["e"], "clusterKeys": ["f"], "cursorKeys": ["g"], "credentials": {}, "stopGraceMs": -1, "lameDuckMs": -1, "policyOff": ["x"], "region": "", "failureDomain": ""`,
		"carobcontroller": `{"name": "", "daemonAddress": "a", "adminAddress": "b", "platformAddress": "c", "credentials": {}`,
		"carobconsole":    `{"address": "a", "platformAddress": "b", "admin": ["c"], "adminPort": -1, "sessionMinutes": -1, "operators": []`,
		"carobctl":        `{"platform": "a", "admin": ["b"], "adminPort": 70000`,
		"fakeplatform":    `{"address": "a", "hostLagMs": "long", "weightLoadMs": -1`,
		"fakeengine":      `{"listen": "a", "timeScale": -1`,
		"fakeservice":     `{"address": "a"`,
	} {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(faulty+"}"), &fields))
		pointers := []string{"/unknown"}
		for name := range fields {
			pointers = append(pointers, "/"+name)
		}
		path := filepath.Join(d.Dir, binary+".json")
		require.NoError(t, os.WriteFile(path, []byte(faulty+`, "unknown": 1}`), 0o600))
		want(t, d.runBinary(binary, "--settings", path, "--check"), ctl.ExitUsage, pointers...)
	}
}
