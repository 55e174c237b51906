// Package e2e runs the whole path as real processes: stand-ins for the platform, engines and a plain service, and the
// daemons of several entry hosts.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeengine"
	"github.com/carobstile/carobstile/internal/platform"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	poll         = 50 * time.Millisecond
)

var binaries string

// TestMain builds the binaries once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "carobstile-e2e")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/carobstile/carobstile/cmd/...")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment is a running deployment.
type deployment struct {
	*devdeploy.Deployment
	t         *testing.T
	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	plan devdeploy.Process
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// start writes and starts a deployment, applies its configuration and waits until every daemon is ready.
func start(t *testing.T, change func(plan *devdeploy.Plan)) *deployment {
	plan := devdeploy.Plan{
		Dir: t.TempDir(), BasePort: freePorts(t), Hosts: 3, Domains: 3, EnginesPerDomain: 1, LameDuckMs: 300, StopGraceMs: 20_000,
		Engine: fakeengine.Settings{TimeScale: 4, KVTokens: 50_000},
	}
	if change != nil {
		change(&plan)
	}
	written, err := devdeploy.Write(plan)
	require.NoError(t, err)
	d := &deployment{Deployment: written, t: t, processes: map[string]*process{}}
	t.Cleanup(d.stopAll)
	for _, p := range written.Processes {
		d.run(p)
	}
	d.apply()
	for _, h := range written.Hosts {
		d.waitReady(h)
	}
	return d
}

// freePorts returns the first of a range of ports that are free now. The range is below the ports that the kernel gives
// to outgoing connections.
func freePorts(t *testing.T) int {
	for base := 12_000 + os.Getpid()%100*150; base < 30_000; base += 150 {
		if free(base) {
			return base
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

func free(base int) bool {
	for port := base; port < base+150; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) run(p devdeploy.Process) *process {
	cmd := exec.Command(filepath.Join(binaries, p.Binary), "--settings", p.Settings)
	path := filepath.Join(d.Dir, p.Name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(d.t, cmd.Start())
	started := &process{plan: p, cmd: cmd, done: make(chan struct{}), log: path}
	go func() {
		_ = cmd.Wait() // the exit of a killed process is expected
		_ = out.Close()
		close(started.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[p.Name] = started
	return started
}

func (d *deployment) signal(name string, sig syscall.Signal) *process {
	d.mu.Lock()
	p := d.processes[name]
	d.mu.Unlock()
	require.NotNil(d.t, p, name)
	require.NoError(d.t, p.cmd.Process.Signal(sig))
	return p
}

// kill ends a process at once.
func (d *deployment) kill(name string) {
	<-d.signal(name, syscall.SIGKILL).done
}

// stop ends a process as planned.
func (d *deployment) stop(name string) {
	p := d.signal(name, syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		d.t.Fatalf("%s did not stop within %s", name, stopTimeout)
	}
}

func (d *deployment) restart(name string) { d.run(d.processes[name].plan) }

func (d *deployment) stopAll() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if d.t.Failed() {
		d.printLogs()
	}
}

const tailLines = 40

func (d *deployment) printLogs() {
	for name, p := range d.processes {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		lines := strings.Split(string(data), "\n")
		d.t.Logf("log of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
	}
}

// apply puts the deployment's document into force.
func (d *deployment) apply() {
	store := confstore.New(platform.NewClient(d.Platform))
	var base *confstore.Snapshot
	require.Eventually(d.t, func() bool {
		var err error
		base, err = store.Read(context.Background())
		return err == nil
	}, startTimeout, poll, "platform does not answer")
	_, err := store.Apply(context.Background(), base, &d.Document, "e2e")
	require.NoError(d.t, err)
}

func (d *deployment) waitReady(h devdeploy.Host) {
	require.Eventually(d.t, func() bool { return d.status(h).Ready }, startTimeout, poll, "%s is not ready", h.Name)
	require.Eventually(d.t, func() bool {
		for _, m := range d.status(h).Members {
			if m.State != "MEMBER_STATE_ALIVE" {
				return false
			}
		}
		return len(d.status(h).Members) >= len(d.Hosts)
	}, startTimeout, poll, "%s does not know all daemons", h.Name)
}

// hostStatus is the part of /status that tests read.
type hostStatus struct {
	Ready       bool
	Generation  uint64 `json:",string"`
	OpenStreams int
	Members     []struct{ Name, State string }
	Pools       []struct {
		Pool         string
		EnginesReady int
		Grants       int
	}
}

func (d *deployment) status(h devdeploy.Host) hostStatus {
	var out hostStatus
	resp, err := http.Get("http://" + h.Admin + "/status")
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&out) // a process that stops is not ready
	return out
}

// fault sends a fault command to a stand-in.
func (d *deployment) fault(address string, command any) {
	body, err := json.Marshal(command)
	require.NoError(d.t, err)
	resp, err := http.Post("http://"+address+"/fault", "application/json", bytes.NewReader(body))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	require.Equal(d.t, http.StatusOK, resp.StatusCode, "%s", text)
}

// answer is a streamed answer as the caller sees it.
type answer struct {
	status   int
	body     string
	tokens   []string
	lastID   string
	complete bool
	err      error
	// errorCode is the code of an error event or of an error body.
	errorCode string
	run       string
	first     time.Duration
}

func (a answer) text() string { return strings.Join(a.tokens, "") }

// seed of all chat requests, so that every engine gives the same answer to a prompt.
const seed = 7

// expected is the whole answer to a prompt.
func expected(prompt string, maxTokens int) string {
	return fakeengine.NewAnswer(prompt, devdeploy.Model, "1", seed).Text(0, maxTokens)
}

// chat sends a streamed chat request. each, if set, is called with the number of tokens received so far.
func chat(ctx context.Context, address, key, prompt string, maxTokens int, lastID string, each func(n int)) answer {
	body, _ := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": maxTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, began, each)
}

type errorBody struct {
	Error struct{ Code, Run, Message string }
}

func readAnswer(resp *http.Response, began time.Time, each func(n int)) answer {
	a := answer{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		a.body = string(data)
		var e errorBody
		_ = json.Unmarshal(data, &e)
		a.errorCode, a.run = e.Error.Code, e.Error.Run
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			a.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: error"):
			failed = true
		case line == "data: [DONE]":
			a.complete = true
		case strings.HasPrefix(line, "data: "):
			a.data(strings.TrimPrefix(line, "data: "), failed, began, each)
		}
	}
	a.err = lines.Err()
	return a
}

func (a *answer) data(text string, failed bool, began time.Time, each func(n int)) {
	if failed {
		var e errorBody
		_ = json.Unmarshal([]byte(text), &e)
		a.errorCode, a.run = e.Error.Code, e.Error.Run
		return
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(text), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return
	}
	if len(a.tokens) == 0 {
		a.first = time.Since(began)
	}
	a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
	if each != nil {
		each(len(a.tokens))
	}
}
