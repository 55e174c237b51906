package main

import (
	"sync"
	"syscall"
	"time"
)

// termCase stops one of three machines while its requesters go on to use their channels. With the disruption, the signal to
// stop is sent again while the machine stops. It checks that no request that the machine has passed on loses its answer.
func termCase(e *env) bool {
	const (
		settle     = 5 * time.Second
		takes      = 900 * time.Millisecond
		again      = 250 * time.Millisecond // from the first signal to the second
		clientsPer = 5
	)
	address := e.startStore()
	e.store.put("config", "main", configuration())
	var servers []*server
	for _, zone := range []string{"zon-hamnvik", "zon-bergsta", "zon-lindholm"} {
		servers = append(servers, newServer(e, "kursregister", zone, 6, plainWork(takes)))
	}
	e.startDaemons(address, []string{"edge-zon-hamnvik-1", "edge-zon-bergsta-1", "edge-zon-lindholm-1"},
		[]string{"zon-hamnvik", "zon-bergsta", "zon-lindholm"})

	var answers []answer
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, d := range e.daemons {
		for range clientsPer {
			wg.Go(func() {
				c := &client{env: e, daemon: d}
				defer func() { c.close() }()
				for !isClosed(stop) {
					a := c.do(call{id: e.newID("once"), path: "/puxa403/2f", body: "sign-off", timeout: 3 * time.Second})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if !a.isWholeAnswer() || c.conn == nil { // the channel has ended or is about to
						c.close()
						c = &client{env: e, daemon: e.daemons[max(1, i)]}
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(settle)
	stopped := e.daemons[0]
	first := time.Now()
	stopped.signal(syscall.SIGTERM)
	if e.trouble {
		time.Sleep(again)
		stopped.signal(syscall.SIGTERM)
	}
	select {
	case <-stopped.exited:
	case <-time.After(time.Until(first.Add(graceS * time.Second))):
		stopped.signal(syscall.SIGKILL)
	}
	e.say("%s ended %d ms after the first signal", stopped.name, time.Since(first).Milliseconds())
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	ran := map[string]bool{}
	for _, s := range servers {
		for _, r := range s.allRuns() {
			ran[r.requestID] = true
		}
	}
	lost := 0
	for _, a := range answers {
		if a.daemon == stopped.name && !a.whole && ran[a.id] {
			lost++
			e.record("lost     %s was passed on to a server, and its channel ended without an answer", a.id)
		}
	}
	e.say("%d requests sent; LOST: the answers of %d requests that %s had passed on to servers", len(answers), lost, stopped.name)
	return lost > 0
}
