package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// oddEntries is the number of entries that the other writer leaves in one go, oddBytes about the size of each, and storeAnswer the
	// time that the store takes for one of its writes.
	oddEntries  = 10
	oddBytes    = 14_000
	storeAnswer = 4 * time.Millisecond
	// memoryMB is the memory of a machine. The platform kills a process that exceeds it, and starts it again after restartDelay.
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
	// Three requests may be lost. allowedEnds is how often processes of a machine may end by themselves.
	allowedLost = 3
	allowedEnds = 2
)

// oddEntry names a service and a state that no page names. It is larger than the entry of a server, and far below ValueBytes.
func oddEntry(n int) map[string]any {
	return map[string]any{
		"Service": "inventory", "State": "archived", "Addr": fmt.Sprintf("127.0.0.1:%d", 1+n), "Notes": strings.Repeat("n", oddBytes),
	}
}

// playEntries lets another writer leave a few entries among those of the servers, three times, plays the platform that kills processes over
// their memory, and looks for requests that were passed on to a sound server and whose channel was closed without an answer.
func playEntries(c *cluster, r *record, trouble bool) (bool, error) {
	const (
		edges, rounds = 5, 3
		roundTime     = 16 * time.Second
		work          = 150 * time.Millisecond
	)
	var all []*server
	for i := range 3 {
		s, err := newServer(fmt.Sprintf("i-desk%d", i+1), func(int, *http.Request) reply { return reply{delay: work} })
		if err != nil {
			return false, err
		}
		all = append(all, s)
		c.store.put("servers", s.id, s.entry(desk, []string{"zone-regina", "zone-saskatoon", "zone-brandon"}[i], 16, "ready"))
	}
	c.store.put("config", "main", configuration(7, []map[string]any{
		route("bell-push", "/push/", "non_idempotent", desk, nil), route("screen-status", "/status/", "idempotent", desk, nil),
	}, map[string]string{key: "hule930"}))
	if err := c.start(edges); err != nil {
		return false, err
	}
	var stopped atomic.Bool
	var mu sync.Mutex
	served, cut := 0, map[string]string{} // requests whose channel ended without an answer, and their edge
	answeredBy := map[string]int{}
	var wg sync.WaitGroup
	for _, e := range c.edges {
		for w := range 3 {
			wg.Go(func() {
				for !stopped.Load() {
					ids, lost := keepChannel(e, w, &stopped)
					mu.Lock()
					served += len(ids)
					answeredBy[e.name] += len(ids)
					if lost != "" {
						cut[lost] = e.name
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	ends := map[string]int{}
	for round := range rounds {
		if trouble {
			for n := range oddEntries {
				c.store.put("servers", fmt.Sprintf("inventory-%d-%d", round, n), oddEntry(n))
				time.Sleep(storeAnswer)
			}
			r.line("another writer left %d entries of about %d bytes", oddEntries, oddBytes)
		}
		for end := time.Now().Add(roundTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, e := range c.edges {
				reason, err := e.watch(c.dir)
				if err != nil {
					return false, err
				}
				if reason != "" {
					ends[e.name]++
					r.line("%s %s; started again", e.name, reason)
				}
			}
		}
		for _, e := range c.edges {
			r.line("%s: %d MB resident", e.name, e.residentMB())
		}
	}
	stopped.Store(true)
	wg.Wait()
	ran := map[string]string{}
	for _, s := range all {
		runs := s.allRuns()
		for _, x := range runs {
			ran[x.id] = s.id
		}
		r.line("%s ran %d requests", s.id, len(runs))
	}
	for _, e := range c.edges {
		r.line("%s answered %d requests", e.name, answeredBy[e.name])
	}
	r.line("%d requests got no answer", len(cut))
	lost, faulty := 0, 0
	for id, edge := range cut {
		if ran[id] != "" {
			lost++
			r.line("LOST: %s passed request %s on to %s and closed its channel without an answer", edge, id, ran[id])
		}
	}
	for _, n := range ends {
		if n > allowedEnds {
			faulty++
		}
	}
	r.line("%d requests were answered, %d were passed on and lost (%d are allowed)", served, lost, allowedLost)
	r.line("processes of %d machines of %d ended by themselves three times or more (Fault: two machines)", faulty, edges)
	if served < 100 {
		return false, fmt.Errorf("only %d requests were answered", served)
	}
	return lost <= allowedLost && faulty < 2, nil
}

// watch kills the process if it is over the memory of its machine, and starts it again if it has ended. It returns why it did so, or "".
func (e *edge) watch(dir string) (string, error) {
	reason := ""
	if e.running() {
		used := e.residentMB()
		if used <= memoryMB {
			return "", nil
		}
		reason = fmt.Sprintf("used %d MB, more than its machine has, and was killed as the platform does", used)
		_ = e.cmd.Process.Kill()
		<-e.exited
	} else {
		reason = "ended by itself: " + e.cmd.ProcessState.String()
	}
	_ = e.log.Close()
	time.Sleep(restartDelay)
	return reason, e.start(dir)
}

// keepChannel sends requests on one channel until it ends or the case stops. It returns the ids that were answered, and that of a request after
// which the channel ended without an answer, or "".
func keepChannel(e *edge, w int, stopped *atomic.Bool) (answered []string, cut string) {
	c, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return nil, ""
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for !stopped.Load() {
		q := call{method: http.MethodPost, path: "/push/1", key: key, body: "ring", deadline: 3 * time.Second}
		if w > 0 {
			q.method, q.path, q.body = http.MethodGet, "/status/1", ""
		}
		id := newID()
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(c, q.head(id)+q.body); err != nil {
			return answered, ""
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
		if err != nil {
			return answered, id
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return answered, id
		}
		answered = append(answered, id)
		if resp.Close {
			return answered, ""
		}
	}
	return answered, ""
}
