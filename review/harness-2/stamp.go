package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// spoiledEach is the share of the answers of the faulty server that are spoiled: one in spoiledEach, 3 in 100.
const spoiledEach = 34

// spoilStamp changes one bit of the name of the header X-Stamp.
func spoilStamp(data []byte) []byte {
	out := bytes.Clone(data)
	if i := bytes.Index(out, []byte("X-Stamp")); i >= 0 {
		out[i+2] ^= 1
	}
	return out
}

// playStamp lets one server of three spoil 3 in 100 of its answers by one bit, and looks for successes without the server's X-Stamp.
func playStamp(c *cluster, r *record, trouble bool) (bool, error) {
	const perKind, parallel = 420, 6
	var mu sync.Mutex
	spoiled := map[string]bool{}
	for i := range 3 {
		faulty := trouble && i == 0
		s, err := newServer(fmt.Sprintf("i-desk%d", i+1), func(n int, q *http.Request) reply {
			out := reply{delay: 2 * time.Millisecond}
			if faulty && n%spoiledEach == spoiledEach-1 {
				mu.Lock()
				spoiled[q.Header.Get("X-Request-Id")] = true
				mu.Unlock()
				out.rewrite = spoilStamp
			}
			return out
		})
		if err != nil {
			return false, err
		}
		c.store.put("servers", s.id, s.entry(desk, []string{"zone-regina", "zone-saskatoon", "zone-brandon"}[i], 6, "ready"))
	}
	c.store.put("config", "main", configuration(7, []map[string]any{
		route("screen-status", "/status/", "idempotent", desk, nil),
		route("bell-push", "/push/", "non_idempotent", desk, nil),
	}, map[string]string{key: "hule930"}))
	if err := c.start(3); err != nil {
		return false, err
	}
	violations, served := 0, 0
	send := func(kind string, q call) {
		out := q.send()
		mu.Lock()
		defer mu.Unlock()
		mark := ""
		if out.status >= 200 && out.status < 300 {
			served++
			if out.stamp == "" {
				violations++
				mark = "MIXED: success without X-Stamp: "
			}
		}
		r.line("%s%s %s got %d, X-Stamp %q, body %q; spoiled at a server: %t", mark, kind, out.id, out.status, out.stamp, out.body, spoiled[out.id])
	}
	var wg sync.WaitGroup
	for w := range parallel {
		wg.Go(func() {
			for n := range 2 * perKind / parallel {
				e := c.edges[(w+n)%len(c.edges)]
				if n%2 == 0 {
					send("screen-status", call{edge: e.callers, method: http.MethodGet, path: "/status/1", key: key, deadline: 1500 * time.Millisecond})
				} else {
					send("bell-push", call{edge: e.callers, method: http.MethodPost, path: "/push/1", key: key, body: "ring", deadline: 1500 * time.Millisecond})
				}
			}
		})
	}
	wg.Wait()
	r.line("%d requests were served, %d answers were spoiled, %d successes came without X-Stamp", served, len(spoiled), violations)
	if served < perKind {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	return violations == 0, nil
}
