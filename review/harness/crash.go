package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// crashCase sends one stream request again and again, with the same path, caller and body and ids of their own. Each engine
// that runs it crashes right after the first event of its answer and is back after three seconds. It checks how many of
// these requests reach servers later than ContactMs after the third crash. If beforeFirstEvent is set, engines crash before
// the first event.
func crashCase(e *env, beforeFirstEvent bool) bool {
	const (
		settle     = 5 * time.Second
		down       = 3 * time.Second
		pause      = 4 * time.Second // between two requests that crash servers
		repeats    = 10
		events     = 20
		clientsPer = 2
		badBody    = "the request that crashes servers"
		allowed    = 3 // retries
	)
	var mu sync.Mutex
	var crashes []time.Time
	var reached []time.Time
	bad := map[string]bool{}
	work := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		isBad := string(body) == badBody
		if isBad {
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
		}
		if !isBad || !e.trouble {
			writeEvents(w, r, events, 40*time.Millisecond, 40*time.Millisecond)
			return
		}
		if beforeFirstEvent {
			sleep(r, 40*time.Millisecond)
		} else if writeEvents(w, r, 1, 40*time.Millisecond, 0) {
			time.Sleep(20 * time.Millisecond)
		}
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
					a := c.do(streamCall(e.newID("sound"), "a sound request"))
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
		d := e.daemons[rand.IntN(len(e.daemons))]
		c := &client{env: e, daemon: d}
		q := streamCall(e.newID("again"), badBody)
		mu.Lock()
		bad[q.id] = true
		mu.Unlock()
		c.do(q)
		c.close()
		time.Sleep(pause)
	}
	close(stop)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	ids := map[string]bool{}
	sends := 0
	if len(crashes) >= 3 {
		after := crashes[2].Add(contact)
		for _, s := range servers {
			for _, r := range s.allRuns() {
				if bad[r.requestID] && r.at.After(after) {
					ids[r.requestID] = true
					sends++
				}
			}
		}
	}
	e.say("%d requests of the same path, caller and body sent; %d crashes; %d of %d sound streams failed", repeats, len(crashes),
		failed.Load(), sound.Load())
	e.say("BUDGET: later than %d ms after the third crash, %d of its retries reached servers, in %d sends; %d are allowed",
		contact.Milliseconds(), len(ids), sends, allowed)
	return len(ids) > allowed
}

func streamCall(id, body string) call {
	return call{
		id: id, path: "/lohu930/2f", body: body, timeout: 10 * time.Second,
		headers: []string{"X-Model: m", "X-Token-Count: 1460,80", "X-Prompt-Prefix: 5c1e07a2:800," + partOf(id) + ":660"},
	}
}

// partOf returns the id of the last part of a prompt, which belongs to the request itself.
func partOf(id string) string { return "91bd" + id[len(id)-6:] }
