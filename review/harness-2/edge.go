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
	"strings"
	"time"
)

// edge is a process of the project that serves callers, started as the deploy file says.
type edge struct {
	name, callers, ready string
	settings             string
	cmd                  *exec.Cmd
	log                  *os.File
	exited               chan struct{}
}

// cluster is a small deployment: a store, servers and edges, all on loopback addresses.
type cluster struct {
	dir   string
	store *store
	edges []*edge
}

// Ports are chosen below the range from which the system takes the ports of outgoing connections.
const (
	firstPort = 15_000
	portCount = 15_000
)

// freePort returns an address on which nothing listens.
func freePort(network string) (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		var c io.Closer
		var err error
		if network == "udp" {
			c, err = net.ListenPacket("udp", address)
		} else {
			c, err = net.Listen("tcp", address)
		}
		if err == nil {
			return address, c.Close()
		}
	}
	return "", errors.New("no free port found")
}

func newCluster() (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &cluster{dir: dir, store: s}, nil
}

// settingsOf returns the settings that deploy/settings.json.tmpl gives for a machine of the site slate-prairie.
func (c *cluster) settingsOf(name, zone string, seeds []string, ports [5]string) map[string]any {
	return map[string]any{
		"name": name, "failureDomain": zone, "callerAddress": ports[0], "readyAddress": ports[1], "serviceAddress": ports[2],
		"packetAddress": ports[3], "metricsAddress": ports[4], "seeds": seeds, "storeAddress": c.store.address(), "memoryMB": memoryMB,
		"stopGraceSeconds": 8, "drainNoticeMS": 2000, "configBoundMS": 2000, "maxFiles": 4100,
		"retry": map[string]any{"ratio": 0.2, "allowance": 106, "windowSeconds": 10},
	}
}

// start starts edges in three zones and waits until all are ready.
func (c *cluster) start(count int) error {
	zones := []string{"zone-regina", "zone-saskatoon", "zone-brandon"}
	ports := make([][5]string, count)
	var seeds []string
	for i := range ports {
		for k := range ports[i] {
			network := "tcp"
			if k == 3 {
				network = "udp"
			}
			port, err := freePort(network)
			if err != nil {
				return err
			}
			ports[i][k] = port
		}
		if len(seeds) < 3 {
			seeds = append(seeds, ports[i][2])
		}
	}
	for i := range ports {
		e := &edge{name: fmt.Sprintf("edge-%d", i+1), callers: ports[i][0], ready: ports[i][1]}
		e.settings = filepath.Join(c.dir, e.name+".json")
		data, err := json.MarshalIndent(c.settingsOf(e.name, zones[i%len(zones)], seeds, ports[i]), "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(e.settings, data, 0o600); err != nil {
			return err
		}
		c.edges = append(c.edges, e)
		if err := e.start(c.dir); err != nil {
			return err
		}
	}
	for _, e := range c.edges {
		if err := e.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the edges find each other
	return nil
}

// start starts the process with the command of the deploy file.
func (e *edge) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.log = log
	e.cmd = exec.Command("target/carobedge", "--settings", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.exited = exited
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (e *edge) running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// residentMB returns the memory of the process, 0 if it has ended.
func (e *edge) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

func (e *edge) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v, running: %t, log: %s", e.name, limit, e.running(), e.lastLines())
}

// lastLines returns the end of the log of the process.
func (e *edge) lastLines() string {
	data, err := os.ReadFile(e.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// stop ends all processes that the cluster started and removes its folder.
func (c *cluster) stop() {
	for _, e := range c.edges {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
			_ = e.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": "school.example", "Prefix": prefix, "Kind": kind, "Service": service, "TimeoutMs": 10000, "SloMs": 300,
		"Attempts": 2, "Priority": 1, "GapAimMs": 250, "Public": false,
	}
	if kind == "streaming" {
		r["Resumable"], r["Affinity"] = true, true
	}
	if kind == "non_idempotent" {
		r["Attempts"] = 1
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

const (
	desk  = "screen-desk"
	tutor = "carob-tutor"
	key   = "n2ctnfzs989anu6wsjnb"
	// otherKey belongs to another tenant.
	otherKey = "w81mzq0r5txbk2e7hcua"
)

// configuration returns config/main with the given routes and the API keys of tenants.
func configuration(version int, routes []map[string]any, keys map[string]string) map[string]any {
	tenants := []map[string]any{}
	for k, name := range keys {
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": []string{k}})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Tenants": tenants,
		"Services": []map[string]any{
			{"Name": desk, "MaxConns": 110},
			{"Name": tutor, "MaxConns": 434, "Engine": map[string]any{
				"Capacity": 16, "KvTokens": 315000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
			}},
		},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
