package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRefused lets one server of seven fail 45 in 100 of the requests that it runs with a 503 that does not say that they have not run, and
// looks for non-idempotent requests that ran and were answered with a status that promises that they have not. Callers try once more after
// such a promise, as the pages say.
func playRefused(c *cluster, r *record, trouble bool) (bool, error) {
	const servers, requests, parallel = 7, 420, 6
	var all []*server
	for i := range servers {
		faulty := trouble && i == 0
		s, err := newServer(fmt.Sprintf("i-desk%d", i+1), func(n int, _ *http.Request) reply {
			if faulty && n*45/100 != (n+1)*45/100 {
				return reply{delay: 2 * time.Millisecond, status: http.StatusServiceUnavailable}
			}
			return reply{delay: 2 * time.Millisecond}
		})
		if err != nil {
			return false, err
		}
		all = append(all, s)
		c.store.put("servers", s.id, s.entry(desk, []string{"zone-regina", "zone-saskatoon", "zone-brandon"}[i%3], 6, "ready"))
	}
	c.store.put("config", "main", configuration(7, []map[string]any{route("bell-push", "/push/", "non_idempotent", desk, nil)},
		map[string]string{key: "hule930"}))
	if err := c.start(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answers, pushes := map[string]outcome{}, map[string]string{} // by request
	var wg sync.WaitGroup
	for w := range parallel {
		wg.Go(func() {
			for n := range requests / parallel {
				push := fmt.Sprintf("ring %d-%d", w, n)
				for try := range 2 {
					e := c.edges[(w+n+try)%len(c.edges)]
					out := call{
						edge: e.callers, method: http.MethodPost, path: "/push/1", key: key, body: push, deadline: 1500 * time.Millisecond,
					}.send()
					mu.Lock()
					answers[out.id], pushes[out.id] = out, push
					mu.Unlock()
					if !promisesNotRun(out.status) {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	violations, failed, served, runs := 0, 0, 0, map[string]int{} // runs of each push
	for _, s := range all {
		for _, ran := range s.allRuns() {
			out := answers[ran.id]
			runs[pushes[ran.id]]++
			switch {
			case out.status == http.StatusOK:
				served++
				r.line("bell-push %s (%s) ran at %s and got %d", ran.id, pushes[ran.id], ran.server, out.status)
			case promisesNotRun(out.status):
				violations++
				r.line("REFUSED: bell-push %s ran at %s, which answered %d without X-Not-Run; the caller got %d, X-Stamp %q",
					ran.id, ran.server, ran.status, out.status, out.stamp)
			default:
				failed++
				r.line("bell-push %s ran at %s and got %d", ran.id, ran.server, out.status)
			}
		}
	}
	for push, n := range runs {
		if n > 1 {
			r.line("push %q was carried out %d times", push, n)
		}
	}
	r.line("%d requests were served, %d failed without a promise, %d ran and were answered as not run", served, failed, violations)
	if served < requests/2 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return violations == 0, nil
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
