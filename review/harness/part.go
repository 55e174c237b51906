package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deadlyPart = "deadbeef01"
	// promptParts is the number of parts of each prompt, the last of which belongs to the request itself.
	promptParts = 20
)

// partCase sends prompts of twenty parts, no two alike. Some of them have a part at the given place (from 1) under which each
// engine crashes when it begins to write an answer; all others share the caller and the other parts. It checks how many requests
// with that part reach servers later than ContactMs after the fifth crash.
func partCase(e *env, place int) bool {
	const (
		settle     = 5 * time.Second
		down       = 3 * time.Second
		pause      = 4 * time.Second // between two requests with the deadly part
		repeats    = 11
		events     = 20
		clientsPer = 2
		allowed    = 3
	)
	var mu sync.Mutex
	var crashes []time.Time
	deadly := map[string]bool{}
	work := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		if !e.trouble || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) {
			writeEvents(w, r, events, 40*time.Millisecond, 40*time.Millisecond)
			return
		}
		sleep(r, 40*time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		e.record("crash    of %s under %s", s.id, r.Header.Get("X-Request-Id"))
		s.crash(down)
	}
	address := e.startStore()
	e.store.put("config", "main", configuration())
	var servers []*server
	for _, zone := range []string{"zon-hamnvik", "zon-bergsta", "zon-lindholm", "zon-hamnvik", "zon-bergsta", "zon-lindholm"} {
		servers = append(servers, newServer(e, "klatterstod", zone, 16, work))
	}
	e.startDaemons(address, []string{"edge-zon-hamnvik-1", "edge-zon-bergsta-1", "edge-zon-lindholm-1"},
		[]string{"zon-hamnvik", "zon-bergsta", "zon-lindholm"})

	var sound, failed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range e.daemons {
		for range clientsPer {
			wg.Go(func() {
				c := &client{env: e, daemon: d}
				defer c.close()
				for !isClosed(stop) {
					a := c.do(longPrompt(e.newID("sound"), 0))
					sound.Add(1)
					if !a.isWholeAnswer() {
						failed.Add(1)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(settle)
	for range repeats {
		c := &client{env: e, daemon: e.daemons[rand.IntN(len(e.daemons))]}
		q := longPrompt(e.newID("part"), place)
		mu.Lock()
		deadly[q.id] = true
		mu.Unlock()
		c.do(q)
		c.close()
		time.Sleep(pause)
	}
	close(stop)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := map[string]bool{}
	if len(crashes) >= 5 {
		after := crashes[4].Add(contact)
		for _, s := range servers {
			for _, r := range s.allRuns() {
				if deadly[r.requestID] && r.at.After(after) {
					late[r.requestID] = true
				}
			}
		}
	}
	e.say("%d requests with the deadly part sent; %d crashes; %d of %d sound streams failed", repeats, len(crashes), failed.Load(),
		sound.Load())
	e.say("BUDGET: later than %d ms after the fifth crash, %d requests with the part reached servers; %d are allowed",
		contact.Milliseconds(), len(late), allowed)
	return len(late) > allowed
}

// longPrompt returns a request of promptParts parts. The part at the place deadly, from 1, is the deadly one; 0 for none.
func longPrompt(id string, deadly int) call {
	parts := make([]string, 0, promptParts)
	for i := 1; i < promptParts; i++ {
		part := fmt.Sprintf("5c1e07a2%02d", i)
		if i == deadly {
			part = deadlyPart
		}
		parts = append(parts, part+":70")
	}
	parts = append(parts, partOf(id)+":130")
	return call{
		id: id, path: "/lohu930/2f", body: "prompt of " + id, timeout: 10 * time.Second,
		headers: []string{"X-Model: m", "X-Token-Count: 1460,80", "X-Prompt-Prefix: " + strings.Join(parts, ",")},
	}
}
