package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory above which the platform kills a process of the site.
	memoryMB = 284
	// linkBytesPerS bounds what all requesters of a machine send to it: 800 of the 1,000 Mbit/s of its link.
	linkBytesPerS = 100_000_000
	// bodyBytes is the size of the bodies, below the limit of the configuration, 4,194,304 bytes.
	bodyBytes = 4_000_000
)

// memoryCase lets many users with large bodies come at once. The platform kills each process that exceeds its memory. It
// checks that machines do not close kept channels of requests that they have passed on to sound servers.
func memoryCase(e *env) bool {
	const (
		settle  = 5 * time.Second
		calm    = 14 * time.Second
		burst   = 9500 * time.Millisecond
		users   = 25 // per daemon
		factor  = 2.9
		events  = 16
		allowed = 3
	)
	work := func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		writeEvents(w, r, events, 1500*time.Millisecond, 300*time.Millisecond)
	}
	address := e.startStore()
	e.store.put("config", "main", configuration())
	zones := []string{"zon-hamnvik", "zon-bergsta", "zon-lindholm"}
	var servers []*server
	for i := range 14 {
		servers = append(servers, newServer(e, "klatterstod", zones[i%3], 16, work))
	}
	e.startDaemons(address, []string{"edge-zon-hamnvik-1", "edge-zon-bergsta-1", "edge-zon-lindholm-1"}, zones)
	peaks := e.enforceMemory()

	body := strings.Repeat("x", bodyBytes)
	var answers []answer
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop, stopBurst := make(chan struct{}), make(chan struct{})
	links := map[string]*link{}
	for _, d := range e.daemons {
		links[d.name] = &link{}
	}
	start := func(d *daemon, count int, spread time.Duration, until chan struct{}) {
		for range count {
			wg.Go(func() {
				c := &client{env: e, daemon: d, link: links[d.name]}
				defer c.close()
				time.Sleep(rand.N(spread))
				for !isClosed(until) {
					kept := c.conn != nil
					a := c.do(call{
						id: e.newID("large"), path: "/lohu930/2f", body: body, timeout: 10 * time.Second,
						headers: []string{"X-Model: m", "X-Token-Count: 5000,800", "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:4960"},
					})
					a.kept = kept
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if !a.whole {
						time.Sleep(500 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(settle)
	base := float64(users)
	for _, d := range e.daemons {
		start(d, users, calm/2, stop)
	}
	time.Sleep(calm)
	if e.trouble {
		e.record("burst    begins")
		for _, d := range e.daemons {
			start(d, int(base*(factor-1)), burst/4, stopBurst)
		}
	}
	time.Sleep(burst)
	close(stopBurst)
	close(stop)
	wg.Wait()

	ran := map[string]bool{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			ran[r.requestID] = true
		}
	}
	whole, lost := 0, 0
	for _, a := range answers {
		if a.isWholeAnswer() {
			whole++
		}
		if a.kept && a.status == 0 && ran[a.id] {
			lost++
			e.record("lost     %s was passed on to a server, and its kept channel ended without an answer", a.id)
		}
	}
	killed := 0
	for _, d := range e.daemons {
		killed += peaks.report(e, d)
	}
	e.say("%d requests sent, %d answered whole; %d processes exceeded %d MB", len(answers), whole, killed, memoryMB)
	e.say("LOST: %d requests passed on to sound servers, their kept channels closed without an answer; %d are allowed", lost, allowed)
	return lost > allowed
}

// link bounds the rate at which the requesters of a machine send.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// wait blocks until n bytes may be sent.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	at := l.free
	l.free = l.free.Add(time.Duration(n) * time.Second / linkBytesPerS)
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// memoryWatch holds the largest resident memory of each daemon in bytes, and how often it was killed.
type memoryWatch struct {
	mu    sync.Mutex
	peak  map[string]int
	kills map[string]int
}

// enforceMemory kills each daemon whose resident memory exceeds memoryMB, as the platform does, and starts it again.
func (e *env) enforceMemory() *memoryWatch {
	w := &memoryWatch{peak: map[string]int{}, kills: map[string]int{}}
	for _, d := range e.daemons {
		go func() {
			for !e.closing.Load() {
				time.Sleep(10 * time.Millisecond)
				used := residentBytes(d.cmd.Process.Pid)
				w.mu.Lock()
				w.peak[d.name] = max(w.peak[d.name], used)
				w.mu.Unlock()
				if used <= memoryMB<<20 {
					continue
				}
				w.mu.Lock()
				w.kills[d.name]++
				w.mu.Unlock()
				e.record("memory   %s uses %d MB of %d and is killed", d.name, used>>20, memoryMB)
				d.signal(syscall.SIGKILL)
				<-d.exited
				time.Sleep(500 * time.Millisecond)
				e.life.Lock()
				if !e.closing.Load() {
					d.start()
				}
				e.life.Unlock()
			}
		}()
	}
	return w
}

func (w *memoryWatch) report(e *env, d *daemon) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.say("%s: at most %d MB, killed %d times", d.name, w.peak[d.name]>>20, w.kills[d.name])
	return w.kills[d.name]
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
