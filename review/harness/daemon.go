package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// daemon is a carobedge process.
type daemon struct {
	env                                     *env
	name, zone                              string
	caller, ready, service, packet, metrics string
	settings                                string
	cmd                                     *exec.Cmd
	exited                                  chan struct{}
}

// reserveDaemon chooses the addresses of a daemon.
func reserveDaemon(e *env, name, zone string) *daemon {
	d := &daemon{env: e, name: name, zone: zone, settings: filepath.Join(e.dir, name+".json")}
	d.caller, d.ready, d.service, d.metrics, d.packet = freePort(), freePort(), freePort(), freePort(), freePort()
	return d
}

// Daemons get ports below the ephemeral ones, which outgoing connections take.
const (
	firstPort = 21_000
	lastPort  = 31_000
)

// nextPort is the next port to try. Processes that run at the same time begin at different ones.
var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

// freePort returns an address on which no process listens, over TCP or UDP.
func freePort() string {
	for range lastPort - firstPort {
		address := "127.0.0.1:" + strconv.Itoa(nextPort)
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = c.Close()
		return address
	}
	fatal("no free port from %d to %d", firstPort, lastPort)
	return ""
}

// writeSettings writes the settings that deploy/settings.json.tmpl makes of the platform's file of a small deployment.
func (d *daemon) writeSettings(seeds []string, storeAddress string) {
	data, err := json.MarshalIndent(map[string]any{
		"name": d.name, "failureDomain": d.zone, "callerAddress": d.caller, "readyAddress": d.ready,
		"serviceAddress": d.service, "packetAddress": d.packet, "metricsAddress": d.metrics, "seeds": seeds,
		"storeAddress": storeAddress, "memoryMB": 284, "stopGraceSeconds": graceS,
		"retry": map[string]any{"ratio": 0.2, "allowance": 102, "windowSeconds": 10},
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(d.settings, data, 0o600)
	}
	if err != nil {
		fatal("settings: %v", err)
	}
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.env.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("daemon log: %v", err)
	}
	defer log.Close()
	d.cmd = exec.Command(d.env.program, "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		fatal("start %s: %v", d.name, err)
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		d.env.record("exit     %s: %v", d.name, cmd.ProcessState)
		close(exited)
	}(d.cmd, d.exited)
}

func (d *daemon) signal(s syscall.Signal) {
	d.env.record("signal   %s to %s", s, d.name)
	_ = d.cmd.Process.Signal(s) // fails if the process has exited
}

// kill ends the process if it runs and waits for its exit.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill() // as above
	<-d.exited
}

// isReady asks for readiness as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
