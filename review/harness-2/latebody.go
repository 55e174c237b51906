package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playLateBody takes the key of a tenant away while requests with it are being sent, sends the rest of their bodies longer than ApplyMs after
// the confirmation, and looks for those that run.
func playLateBody(c *cluster, r *record, trouble bool) (bool, error) {
	const (
		apply     = 2 * time.Second
		bodyBytes = 600
		perEdge   = 3
	)
	var all []*server
	for i := range 3 {
		s, err := newServer(fmt.Sprintf("i-desk%d", i+1), func(int, *http.Request) reply { return reply{delay: 2 * time.Millisecond} })
		if err != nil {
			return false, err
		}
		all = append(all, s)
		c.store.put("servers", s.id, s.entry(desk, []string{"zone-regina", "zone-saskatoon", "zone-brandon"}[i], 6, "ready"))
	}
	routes := []map[string]any{route("bell-push", "/push/", "non_idempotent", desk, nil)}
	c.store.put("config", "main", configuration(7, routes, map[string]string{key: "hule930", otherKey: "dova118"}))
	if err := c.start(3); err != nil {
		return false, err
	}
	type upload struct {
		id, edge string
		conn     net.Conn
	}
	var uploads []upload
	for _, e := range c.edges {
		for range perEdge {
			conn, err := net.DialTimeout("tcp", e.callers, time.Second)
			if err != nil {
				return false, err
			}
			defer conn.Close()
			id := newID()
			q := call{method: http.MethodPost, path: "/push/1", key: key, body: strings.Repeat("x", bodyBytes), deadline: 9 * time.Second}
			if _, err := io.WriteString(conn, q.head(id)+q.body[:bodyBytes/2]); err != nil {
				return false, err
			}
			uploads = append(uploads, upload{id, e.name, conn})
			r.line("request %s to %s: head and %d of %d bytes sent", id, e.name, bodyBytes/2, bodyBytes)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.store.put("config", "main", configuration(8, routes, map[string]string{otherKey: "dova118"}))
		r.line("version 8 without the key confirmed by the store")
	}
	confirmed := time.Now()
	time.Sleep(apply + 500*time.Millisecond)
	for _, e := range c.edges { // the edges follow the configuration
		out := call{edge: e.callers, method: http.MethodPost, path: "/push/1", key: key, body: "ring", deadline: 1500 * time.Millisecond}.send()
		r.line("request %s with the key, sent whole to %s %.1f s after the confirmation: %d", out.id, e.name, time.Since(confirmed).Seconds(), out.status)
		if trouble != (out.status == http.StatusUnauthorized) {
			return false, fmt.Errorf("%s answered %d to a whole request", e.name, out.status)
		}
	}
	time.Sleep(time.Second)
	sentAt := time.Since(confirmed)
	for _, u := range uploads {
		if _, err := io.WriteString(u.conn, strings.Repeat("x", bodyBytes/2)); err != nil {
			r.line("request %s: the rest could not be sent: %v", u.id, err)
		}
	}
	status := map[string]int{}
	for _, u := range uploads {
		_ = u.conn.SetDeadline(time.Now().Add(3 * time.Second))
		status[u.id] = readAnswer(u.conn, http.MethodPost).status
		r.line("request %s to %s: last byte sent %.1f s after the confirmation, answered %d", u.id, u.edge, sentAt.Seconds(), status[u.id])
	}
	ran := 0
	for _, s := range all {
		for _, x := range s.allRuns() {
			if _, ours := status[x.id]; ours {
				ran++
				r.line("%s ran %s for tenant %s, %.1f s after the confirmation", s.id, x.id, x.tenant, x.at.Sub(confirmed).Seconds())
			}
		}
	}
	if !trouble {
		if ran != len(uploads) {
			return false, fmt.Errorf("%d of %d requests ran", ran, len(uploads))
		}
		return true, nil
	}
	r.line("CONFIG: %d of %d requests ran with a key that was dropped more than %v before their last byte was sent", ran, len(uploads), apply)
	return ran == 0, nil
}
