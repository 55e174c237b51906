package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// silence is how long the sound server says nothing.
	silence = 1350 * time.Millisecond
	// streamCount streams of streamEvents events run when a server falls silent.
	streamCount  = 24
	streamEvents = 125
	// slackTime is LossSlackMs of the small sites.
	slackTime = 200 * time.Millisecond
)

// silentServer: shortly after its start a daemon reloads its settings (SIGHUP), and then a sound server is silent for a second or so.
func silentServer(rec *record, trouble bool) (verdict, error) {
	d, err := newDeployment(3, rec)
	if err != nil {
		return verdict{}, err
	}
	var servers []*server
	for i := range 3 {
		s, err := newServer(&server{
			id: fmt.Sprintf("i-%d", i+1), zone: "zone-1", service: "engines", capacity: 16,
			events: 3, interval: eventTime, record: rec,
		}, 3)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
		d.store.put("servers", s.id, s.entry("ready"))
	}
	d.store.put("config", "main", promptsConfig())
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	edge := d.daemons[0]
	prompt := func(events int) call {
		return call{method: http.MethodPost, path: "/prompts/" + newID(), key: "key-1", deadline: 10 * time.Second, tokens: promptTokens(events), events: events}
	}
	time.Sleep(2 * time.Second)
	// Each requester has used its channel before.
	var channels []*channel
	for range streamCount {
		ch, err := dial(edge.caller)
		if err != nil {
			return verdict{}, err
		}
		if r := ch.send(prompt(1)); !r.complete || r.status != http.StatusOK {
			return verdict{}, fmt.Errorf("%w: a prompt is not served in calm: %s", errSetUp, r.text())
		}
		channels = append(channels, ch)
	}
	time.Sleep(2 * time.Second)
	d.signal(edge, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	results := make([]result, streamCount)
	var streams sync.WaitGroup
	for i, ch := range channels {
		streams.Go(func() { results[i] = ch.send(prompt(streamEvents)) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		busiest := slices.MaxFunc(servers, func(a, b *server) int { return cmp.Compare(len(a.ran()), len(b.ran())) })
		rec.line("%s falls silent", busiest.id)
		busiest.fallSilent(silence)
		rec.line("%s goes on", busiest.id)
	}
	streams.Wait()
	return judgeStreams(rec, servers, results), nil
}

// promptTokens is the X-Token-Count of a prompt whose answer has up to a number of events.
func promptTokens(events int) string { return fmt.Sprintf("1040,%d", events*eventTokens) }

func promptsConfig() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r-1", "Host": host, "Prefix": "/prompts/", "Kind": "streaming", "TimeoutMs": 10000, "SloMs": 300, "Priority": 1,
			"Service": "engines", "Attempts": 2, "Public": false, "Affinity": true, "Resumable": true, "GapAimMs": 250,
		}},
		"Services": []map[string]any{{
			"Name": "engines", "HealthPath": "/health", "MaxConns": 40, "Protocol": "h1",
			"Engine": map[string]any{
				"Capacity": 16, "KvTokens": 315000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
			},
		}},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Priority": 1}},
	}
}

// judgeStreams counts the streams that the daemon took and passed on, and whose channels ended without a complete answer.
func judgeStreams(rec *record, servers []*server, results []result) verdict {
	ranOn := map[string][]string{}
	for _, s := range servers {
		for _, r := range s.ran() {
			ranOn[r.id] = append(ranOn[r.id], s.id)
		}
	}
	cut, failed := 0, 0
	for _, r := range results {
		rec.line("stream %s, sent at %s s, ran on %v, ended at %s s: %s", r.id, rec.since(r.sent), ranOn[r.id], rec.since(r.ended), r.text())
		switch {
		case !r.complete && len(ranOn[r.id]) > 0 && r.ended.Sub(r.sent) > slackTime:
			cut++
		case r.status != http.StatusOK:
			failed++
		}
	}
	return verdict{
		broken: cut > 0,
		text:   fmt.Sprintf("LOST: of %d streams sent after the SIGHUP, %d were cut by the daemon, %d failed with an answer", len(results), cut, failed),
	}
}
