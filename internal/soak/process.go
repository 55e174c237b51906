package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/edge"
)

// process is one daemon process; it is started again after kills and stops.
type process struct {
	program  string
	settings string
	logPath  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended; expected is set by whoever ends it.
	ended    chan struct{}
	expected bool
}

func newProcess(program, dir string, s edge.Settings) (*process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	p := &process{
		program: program, settings: filepath.Join(dir, s.Name+".json"), logPath: filepath.Join(dir, s.Name+".log"),
	}
	return p, errors.Wrap(os.WriteFile(p.settings, data, 0o600), "settings")
}

// start runs the program; its log is appended to.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log of a daemon")
	}
	defer log.Close()
	cmd := exec.Command(p.program, "--settings", p.settings, "--log-level", "debug")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start of a daemon")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended, p.expected = cmd, make(chan struct{}), false
	go func(ended chan struct{}) {
		_ = cmd.Wait() // how it ended is in its log
		close(ended)
	}(p.ended)
	return nil
}

// signal sends a signal to the process; planned says that it may end from now on.
func (p *process) signal(s syscall.Signal, planned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.expected = p.expected || planned
	_ = p.cmd.Process.Signal(s) // fails if it has ended
}

// wait returns a channel that is closed once the process has ended.
func (p *process) wait() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// diedAlone reports whether the process has ended without having been told to.
func (p *process) diedAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return !p.expected
	default:
		return false
	}
}

// state returns what the kernel says of the process and where it waits, for the report of one that does not end.
func (p *process) state() string {
	p.mu.Lock()
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	p.mu.Unlock()
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return "gone, not waited for: " + err.Error()
	}
	where, err := os.ReadFile(dir + "/wchan")
	if err != nil {
		where = []byte(err.Error())
	}
	return strings.TrimSpace(string(stat)) + "; waits in " + string(where)
}

// memoryMB returns the resident memory of the process, or false while it does not run.
func (p *process) memoryMB() (int, bool) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, false // the process has ended
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20, err == nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.wait()
}
