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

// process is a daemon process, which is restarted after kills and stops.
type process struct {
	program      string
	settingsPath string
	logPath      string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited; exitExpected is set when the run stops the process.
	exited       chan struct{}
	exitExpected bool
}

func newProcess(program, dir string, s edge.Settings) (*process, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	p := &process{
		program: program, settingsPath: filepath.Join(dir, s.Name+".json"), logPath: filepath.Join(dir, s.Name+".log"),
	}
	return p, errors.Wrap(os.WriteFile(p.settingsPath, data, 0o600), "write settings")
}

// start starts the program and appends its output to the log.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open daemon log")
	}
	defer log.Close()
	cmd := exec.Command(p.program, "--settings", p.settingsPath, "--log-level", "debug")
	cmd.Stdout, cmd.Stderr = log, log
	// When a shell that has started a run in the background exits, the process group of the run is orphaned and gets SIGCONT, which ends
	// the freezes of its daemons early. Outside of that group, daemons have to be ended if the run is interrupted.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.exitExpected = cmd, make(chan struct{}), false
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the reason of the exit is in the daemon's log
		close(exited)
	}(p.exited)
	return nil
}

// signal sends a signal to the process; expectExit says that it may exit from now on.
func (p *process) signal(s syscall.Signal, expectExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.exitExpected = p.exitExpected || expectExit
	_ = p.cmd.Process.Signal(s) // fails if the process has exited
}

// exitedChan returns a channel that is closed once the process has exited.
func (p *process) exitedChan() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// exitedUnexpectedly reports whether the process has exited although the run did not stop it.
func (p *process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.exitExpected
	default:
		return false
	}
}

// kernelState returns the kernel's status of the process and the function it waits in, for reports of a process that does
// not exit.
func (p *process) kernelState() string {
	p.mu.Lock()
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	p.mu.Unlock()
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return "process is gone: " + err.Error()
	}
	waitChannel, err := os.ReadFile(dir + "/wchan")
	if err != nil {
		waitChannel = []byte(err.Error())
	}
	return strings.TrimSpace(string(stat)) + "; waits in " + string(waitChannel)
}

// memoryMB returns the resident memory of the process, or false if the process is not running.
func (p *process) memoryMB() (int, bool) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, false // the process has exited
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20, err == nil
}

// kill sends SIGKILL to the process and waits until it has exited. A process that was never started needs no kill.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	if exited := p.exitedChan(); exited != nil {
		<-exited
	}
}
