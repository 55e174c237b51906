// Package e2e runs the whole path as real processes: stand-ins for the platform, engines and a plain service, and the
// daemons of several entry hosts.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
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
	stopped   bool
}

type process struct {
	plan devdeploy.Process
	cmd  *exec.Cmd
	done chan struct{}
	log  string
	// logStart is the size of the log before the process started.
	logStart int64
}

// start writes and starts a deployment, applies its configuration and waits until every daemon is ready.
func start(t *testing.T, change func(plan *devdeploy.Plan)) *deployment {
	return startWith(t, change, nil)
}

// startTries bounds the ranges of ports that are tried: another process may take a port between the check and the
// start.
const startTries = 5

// startWith is start with a change of the configuration document.
func startWith(t *testing.T, change func(plan *devdeploy.Plan), edit func(doc *config.Document)) *deployment {
	for range startTries {
		plan := devdeploy.Plan{
			Dir: t.TempDir(), BasePort: takePorts(t), Hosts: 3, Domains: 3, EnginesPerDomain: 1, LameDuckMs: 300,
			StopGraceMs: 20_000, Engine: fakeengine.Settings{TimeScale: 4, KVTokens: 50_000},
		}
		if change != nil {
			change(&plan)
		}
		d := newDeployment(t, plan)
		if edit != nil {
			edit(&d.Document)
		}
		if !d.startAll() {
			t.Logf("a process ended at its start, perhaps because a port from %d on is taken; trying others", plan.BasePort)
			d.printLogs(func(p *process) bool { return p.ended() })
			d.stopAll()
			continue
		}
		t.Cleanup(func() {
			d.stopAll()
			d.scanLogs()
		})
		d.apply()
		for _, h := range d.Hosts {
			d.waitReady(h)
		}
		return d
	}
	t.Fatal("no free range of ports")
	return nil
}

func newDeployment(t *testing.T, plan devdeploy.Plan) *deployment {
	written, err := devdeploy.Write(plan)
	require.NoError(t, err)
	return &deployment{Deployment: written, t: t, processes: map[string]*process{}}
}

// startAll starts all processes and reports whether they hold their addresses. A process that ends at once did not get
// its port.
func (d *deployment) startAll() bool {
	for _, p := range d.Processes {
		d.run(p)
	}
	for _, p := range d.Processes {
		if !d.process(p.Name).started() {
			return false
		}
	}
	return !d.anyEnded()
}

// startedLines are logged by a process that has opened its addresses. A connection alone does not prove that: another
// process may hold the address.
var startedLines = []string{`msg="process started"`, "msg=listening"}

// started waits until a process has opened its addresses or has ended.
func (p *process) started() bool {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit) && !p.ended(); time.Sleep(poll) {
		data, err := os.ReadFile(p.log)
		if err != nil || int64(len(data)) < p.logStart {
			continue
		}
		for _, line := range startedLines {
			if strings.Contains(string(data[p.logStart:]), line) {
				return true
			}
		}
	}
	return false
}

func (d *deployment) anyEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.ended() {
			return true
		}
	}
	return false
}

// run starts a process; a deployment that stops starts none.
func (d *deployment) run(p devdeploy.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	cmd := exec.Command(filepath.Join(binaries, p.Binary), "--settings", p.Settings)
	path := filepath.Join(d.Dir, p.Name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Errorf("log of %s: %v", p.Name, err)
		return
	}
	size, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		d.t.Errorf("log of %s: %v", p.Name, err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		d.t.Errorf("start of %s: %v", p.Name, err)
		return
	}
	started := &process{plan: p, cmd: cmd, done: make(chan struct{}), log: path, logStart: size}
	go func() {
		_ = cmd.Wait() // the exit of a killed process is expected
		_ = out.Close()
		close(started.done)
	}()
	d.processes[p.Name] = started
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// restartPause is the time from the end of an engine's process to its restart by the platform.
const restartPause = 300 * time.Millisecond

// superviseEngines restarts engines that end, as the platform does. It returns the number of restarts so far.
func (d *deployment) superviseEngines() *atomic.Int64 {
	var restarts atomic.Int64
	for name := range d.Engines {
		go func() {
			for !d.stopping() {
				<-d.process(name).done
				time.Sleep(restartPause)
				if !d.stopping() {
					restarts.Add(1)
					d.restart(name)
				}
			}
		}()
	}
	return &restarts
}

func (d *deployment) stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped
}

func (d *deployment) process(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

func (d *deployment) signal(name string, sig syscall.Signal) *process {
	p := d.process(name)
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

// restart starts an ended process again. Another test run may try its port for an instant, so it is tried again.
func (d *deployment) restart(name string) {
	for range startTries {
		d.run(d.process(name).plan)
		if d.stopping() || d.process(name).started() {
			return
		}
	}
	d.t.Errorf("%s does not start again", name)
}

func (d *deployment) stopAll() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if d.t.Failed() {
		d.printLogs(func(*process) bool { return true })
	}
}

const tailLines = 40

func (d *deployment) printLogs(of func(p *process) bool) {
	for name, p := range d.processes {
		if !of(p) {
			continue
		}
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
	require.Equal(d.t, 2, resp.StatusCode/100, "%d %s", resp.StatusCode, text)
}
