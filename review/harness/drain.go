package main

import (
	"sync"
	"syscall"
	"time"
)

// drainCase loses four of seven machines at the moment at which a server starts to leave, and checks that the other three
// send that server nothing later than DrainMs after the store confirmed that it is draining.
func drainCase(e *env) bool {
	const (
		settle     = 6 * time.Second        // more than ContactMs, so that all machines are in touch
		takes      = 250 * time.Millisecond // work of a request
		longer     = 350 * time.Millisecond // for which the server goes on after DrainMs
		clientsPer = 8
	)
	address := e.startStore()
	e.store.put("config", "main", configuration())
	var servers []*server
	for _, zone := range []string{"zon-hamnvik", "zon-bergsta", "zon-lindholm", "zon-hamnvik", "zon-bergsta"} {
		servers = append(servers, newServer(e, "kursregister", zone, 6, plainWork(takes)))
	}
	names := []string{
		"edge-zon-hamnvik-1", "edge-zon-hamnvik-2", "edge-zon-hamnvik-3", "edge-zon-bergsta-1", "edge-zon-bergsta-2",
		"edge-zon-lindholm-1", "edge-zon-lindholm-2",
	}
	zones := []string{
		"zon-hamnvik", "zon-hamnvik", "zon-hamnvik", "zon-bergsta", "zon-bergsta", "zon-lindholm", "zon-lindholm",
	}
	e.startDaemons(address, names, zones)
	lost := map[string]bool{
		"edge-zon-hamnvik-1": true, "edge-zon-hamnvik-3": true, "edge-zon-bergsta-1": true, "edge-zon-lindholm-2": true,
	}

	var answers []answer
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range e.daemons {
		if lost[d.name] {
			continue
		}
		for range clientsPer {
			wg.Go(func() {
				c := &client{env: e, daemon: d}
				defer c.close()
				for !isClosed(stop) {
					a := c.do(call{id: e.newID("once"), path: "/puxa403/2f", body: "sign-off", timeout: 3 * time.Second})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(settle)
	if e.trouble {
		for _, d := range e.daemons {
			if lost[d.name] {
				d.signal(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(20 * time.Millisecond)
	leaving := servers[0]
	leavingID := leaving.id
	confirmed := leaving.report("draining")
	e.record("draining %s confirmed by the store", leavingID)
	time.Sleep(time.Until(confirmed.Add(drain + longer)))
	leaving.end()
	e.store.delete("servers", leavingID)
	e.record("left     %s", leavingID)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	late, cut := 0, 0
	for _, r := range leaving.allRuns() {
		after := r.at.Sub(confirmed)
		if after <= drain {
			continue
		}
		late++
		if r.cut {
			cut++
		}
		e.record("late     %s reached %s %d ms after the confirmation, cut %t", r.requestID, r.serverID, after.Milliseconds(), r.cut)
	}
	whole := 0
	for _, a := range answers {
		if a.isWholeAnswer() {
			whole++
		}
	}
	e.say("%d requests sent, %d answered whole", len(answers), whole)
	e.say("DRAIN: %d requests reached the leaving server later than %d ms after the store's confirmation; %d of them were at work when it left",
		late, drain.Milliseconds(), cut)
	return late > 0
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
