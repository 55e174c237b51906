package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// cutTime is how long a machine is partitioned from all servers, and callInterval the time between two requests to each daemon.
	cutTime      = 10 * time.Second
	callInterval = 100 * time.Millisecond
	// Bounds of the rule: more failures than failureSlack and one in failureShare of all first tries.
	failureSlack = 10
	failureShare = 50
)

// cutOff: one of three machines is partitioned from all servers for some seconds, while only plain requests come.
func cutOff(rec *record, trouble bool) (verdict, error) {
	d, err := newDeployment(3, rec)
	if err != nil {
		return verdict{}, err
	}
	var servers []*server
	for i := range 6 {
		service, capacity := "engines", 16
		if i >= 3 {
			service, capacity = "records", 6
		}
		s, err := newServer(&server{
			id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%d", i%3+1), service: service, capacity: capacity,
			events: 3, interval: eventTime, work: 20 * time.Millisecond, record: rec,
		}, 128)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
		d.store.put("servers", s.id, s.entry("ready"))
	}
	d.store.put("config", "main", allServices())
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(15 * time.Second) // from then on a daemon has its share of the retry budget
	results := make([][]result, len(d.daemons))
	var callers sync.WaitGroup
	done := make(chan struct{})
	for i, one := range d.daemons {
		callers.Go(func() { results[i] = sendPlain(one, done) })
	}
	time.Sleep(3 * time.Second)
	from := time.Now()
	if trouble {
		rec.line("%s is partitioned from all servers", d.daemons[0].name)
		for _, s := range servers {
			s.cut(d.daemons[0].cmd.Process.Pid)
		}
	}
	time.Sleep(cutTime)
	to := time.Now()
	if trouble {
		for _, s := range servers {
			s.cut(0)
		}
		rec.line("the partition has ended")
	}
	time.Sleep(time.Second)
	close(done)
	callers.Wait()
	return judgeCut(rec, d, results, from.Add(contactTime), to), nil
}

// allServices has the routes of the quiet hours of a site: pushes and status checks, beside prompts.
func allServices() map[string]any {
	c, plain := promptsConfig(), recordsConfig(1)
	c["Services"] = append(c["Services"].([]map[string]any), plain["Services"].([]map[string]any)...)
	c["Routes"] = append(c["Routes"].([]map[string]any),
		map[string]any{
			"Name": "r-2", "Host": host, "Prefix": "/push/", "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 300, "Priority": 2, "Service": "records",
			"Attempts": 2, "Public": false,
		},
		map[string]any{
			"Name": "r-3", "Host": host, "Prefix": "/status/", "Kind": "idempotent", "TimeoutMs": 3000, "SloMs": 300, "Priority": 2, "Service": "records",
			"Attempts": 2, "Public": false,
		})
	return c
}

// sendPlain sends pushes and status checks to a daemon in turn until done is closed.
func sendPlain(one *daemon, done chan struct{}) []result {
	var mu sync.Mutex
	var out []result
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			wait.Wait()
			return out
		case <-time.After(callInterval):
		}
		c := call{method: http.MethodPost, path: "/push/" + newID(), key: "key-1", deadline: 3 * time.Second}
		if n%2 == 1 {
			c.method, c.path = http.MethodGet, "/status/"+newID()
		}
		wait.Go(func() {
			r := sendOnce(one.caller, c)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
	}
}

// judgeCut compares the first tries at the machine that was cut off with those at the others.
func judgeCut(rec *record, d *deployment, results [][]result, from, to time.Time) verdict {
	var sent, served [2]int
	for i, list := range results {
		group := min(i, 1)
		for _, r := range list {
			if r.sent.Before(from) || r.sent.After(to.Add(-time.Second)) {
				continue
			}
			sent[group]++
			if r.complete && r.status == http.StatusOK && r.stamped {
				served[group]++
			} else {
				rec.line("%s: %s, sent at %s s, ended at %s s: %s", d.daemons[i].name, r.id, rec.since(r.sent), rec.since(r.ended), strings.TrimSpace(r.text()+" "+r.body))
			}
		}
	}
	failed, all := sent[0]-served[0], sent[0]+sent[1]
	few := 3*served[0]*sent[1] < 2*served[1]*sent[0]
	return verdict{
		broken: few && failureShare*failed > failureShare*failureSlack+all,
		text: fmt.Sprintf("RECOVER: from ContactMs after the cut on %d of %d first tries were served at the machine that was cut off, %d of %d at the others",
			served[0], sent[0], served[1], sent[1]),
	}
}

// cut partitions the server from a process; 0 ends the partition. Open channels of the process are reset, and new ones are.
func (s *server) cut(pid int) {
	s.mu.Lock()
	s.cutFrom = pid
	open := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	if pid == 0 {
		return
	}
	owned := socketsOf(pid)
	for _, c := range open {
		if owned[portOf(c)] {
			reset(c)
		}
	}
}

// isCut reports whether a new channel comes from the process that the server is partitioned from.
func (s *server) isCut(c net.Conn) bool {
	s.mu.Lock()
	pid := s.cutFrom
	s.mu.Unlock()
	return pid != 0 && socketsOf(pid)[portOf(c)]
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func portOf(c net.Conn) int { return c.RemoteAddr().(*net.TCPAddr).Port }

// socketsOf returns the local ports of the TCP connections of a process that this one has started.
func socketsOf(pid int) map[int]bool {
	inodes := map[string]bool{}
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // none if the process has ended
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && strings.HasPrefix(target, "socket:[") {
			inodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	out := map[int]bool{}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer table.Close()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || !inodes[fields[9]] {
			continue
		}
		_, hex, _ := strings.Cut(fields[1], ":")
		if port, err := strconv.ParseUint(hex, 16, 16); err == nil {
			out[int(port)] = true
		}
	}
	return out
}
