package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// errSetUp is the error of a case that could not run.
var errSetUp = errors.New("the case could not run")

// daemon is a carobedge process.
type daemon struct {
	name                                    string
	caller, ready, service, packet, metrics string
	settings, log                           string
	cmd                                     *exec.Cmd
	exited                                  chan struct{}
}

// deployment is a store, and daemons of the built program.
type deployment struct {
	dir     string
	program string
	store   *store
	daemons []*daemon
	record  *record
}

// newDeployment starts a store and prepares count daemons in count failure domains.
func newDeployment(count int, rec *record) (*deployment, error) {
	program, err := filepath.Abs("target/carobedge")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: the deploy file's build has not run: %v", errSetUp, err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, program: program, store: st, record: rec}
	for i := range count {
		one := &daemon{name: fmt.Sprintf("edge-%d", i+1)}
		for _, address := range []*string{&one.caller, &one.ready, &one.service, &one.packet, &one.metrics} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		d.daemons = append(d.daemons, one)
	}
	for i, one := range d.daemons {
		if err := d.writeSettings(one, fmt.Sprintf("zone-%d", i%3+1)); err != nil {
			return nil, err
		}
	}
	deployments = append(deployments, d)
	return d, nil
}

// The ports of daemons are below those that the system gives to outgoing connections, which could otherwise take one between the check
// and the daemon's start.
const firstPort, lastPort = 12_000, 32_000

// usedAddresses holds the addresses given out so far.
var usedAddresses = map[string]bool{}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if usedAddresses[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		usedAddresses[address] = true
		return address, nil
	}
	return "", fmt.Errorf("%w: no free port", errSetUp)
}

// writeSettings writes what deploy/settings.json.tmpl makes of the settings of a machine of a small site.
func (d *deployment) writeSettings(one *daemon, zone string) error {
	var seeds []string
	for _, other := range d.daemons[:min(3, len(d.daemons))] {
		seeds = append(seeds, other.service)
	}
	data, err := json.MarshalIndent(map[string]any{
		"name": one.name, "failureDomain": zone, "callerAddress": one.caller, "readyAddress": one.ready,
		"serviceAddress": one.service, "packetAddress": one.packet, "metricsAddress": one.metrics, "seeds": seeds,
		"storeAddress": d.store.address(), "memoryMB": 284, "stopGraceSeconds": 8, "drainNoticeMS": 2000, "configBoundMS": 2000,
		"maxFiles": 4100, "retry": map[string]any{"ratio": 0.2, "allowance": 106, "windowSeconds": 10},
	}, "", "  ")
	if err != nil {
		return err
	}
	one.settings, one.log = filepath.Join(d.dir, one.name+".json"), filepath.Join(d.dir, one.name+".log")
	return os.WriteFile(one.settings, data, 0o600)
}

// start starts a daemon with the command of the deploy file.
func (d *deployment) start(one *daemon) error {
	out, err := os.OpenFile(one.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	one.cmd = exec.Command(d.program, "--settings", one.settings)
	one.cmd.Stdout, one.cmd.Stderr = out, out
	one.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAROBSTILE_SETTINGS=" + one.settings}
	if err := one.cmd.Start(); err != nil {
		return err
	}
	one.exited = make(chan struct{})
	cmd, exited := one.cmd, one.exited
	go func() {
		_ = cmd.Wait() // how it ended is in the record
		close(exited)
	}()
	d.record.line("start of %s", one.name)
	return nil
}

func (d *deployment) startAll() error {
	for _, one := range d.daemons {
		if err := d.start(one); err != nil {
			return err
		}
	}
	for _, one := range d.daemons {
		if err := one.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (one *daemon) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + one.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errSetUp, one.name)
}

func (d *deployment) signal(one *daemon, s syscall.Signal) {
	d.record.line("%v to %s", s, one.name)
	_ = one.cmd.Process.Signal(s) // a process that has exited is noticed by the check
}

func (one *daemon) running() bool {
	select {
	case <-one.exited:
		return false
	default:
		return true
	}
}

// stop ends all daemons. The logs are kept if the variable KEEP names a folder.
func (d *deployment) stop() {
	for _, one := range d.daemons {
		if one.cmd != nil && one.running() {
			_ = one.cmd.Process.Kill()
			<-one.exited
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			copyFile(one.log, filepath.Join(keep, one.name+".log"))
		}
	}
	_ = os.RemoveAll(d.dir)
}

func copyFile(from, to string) {
	in, err := os.Open(from)
	if err != nil {
		return
	}
	defer in.Close()
	out, err := os.Create(to)
	if err != nil {
		return
	}
	defer out.Close()
	_, _ = io.Copy(out, in)
}

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strconv.FormatFloat(time.Since(r.start).Seconds(), 'f', 3, 64)
	_, _ = fmt.Fprintf(r.file, "%8s s  %s\n", text, fmt.Sprintf(format, args...)) // a full disk shows at close
}

func (r *record) since(at time.Time) string {
	return strconv.FormatFloat(at.Sub(r.start).Seconds(), 'f', 3, 64)
}
