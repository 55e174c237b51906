package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the case, from the start of the traffic.
const (
	// calmTime is the time for the daemons to find each other before anything changes.
	calmTime = 5 * time.Second
	// awayTime is how long the store is away.
	awayTime = time.Second
	// contactTime, applyTime and maxStretch are ContactMs, ApplyMs and MaxStretchMs of the small sites.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	maxStretch  = 5 * time.Second
	// judgedTime is how long the newest configuration is judged.
	judgedTime = 8 * time.Second
)

// storeRestored: the store returns from a copy that is some seconds old, and the operator then writes a new configuration.
func storeRestored(rec *record, trouble bool) (verdict, error) {
	d, err := newDeployment(3, rec)
	if err != nil {
		return verdict{}, err
	}
	var servers []*server
	for i := range 3 {
		s, err := newServer(&server{
			id: fmt.Sprintf("i-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), service: "records", capacity: 6,
			work: 20 * time.Millisecond, record: rec,
		}, 128)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
		d.store.put("servers", s.id, s.entry("ready"))
	}
	// The configurations that the operator writes, by version: each adds a route, and the newest one takes a key away.
	write := func(version int) {
		rev := d.store.put("config", "main", recordsConfig(version))
		rec.line("operator: configuration %d is acknowledged at revision %d", version, rev)
	}
	write(1)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(calmTime)
	older := d.store.copyNow()
	rec.line("copy of the store at revision %d", older.revision)
	time.Sleep(time.Second)
	write(2)
	time.Sleep(700 * time.Millisecond)
	write(3)
	time.Sleep(800 * time.Millisecond)
	write(4)
	time.Sleep(applyTime + 500*time.Millisecond)
	if err := expectServed(d, rec, "/route-4/x"); err != nil {
		return verdict{}, err
	}
	if trouble {
		d.store.goAway()
		rec.line("the store is away")
		time.Sleep(awayTime)
		d.store.comeBack(&older)
		rec.line("the store is back from the copy")
		for _, s := range servers {
			d.store.put("servers", s.id, s.entry("ready")) // as in the copy, so that nothing changes
		}
		write(4)
	}
	before := d.store.state()
	time.Sleep(contactTime + time.Second)
	after := d.store.state()
	rec.line("store at revision %d: %d calls in the last %v, %d of them answered 410, %d answered 429", after.revision, after.calls-before.calls,
		contactTime+time.Second, after.gone-before.gone, after.refused-before.refused)
	write(5)
	acknowledged := time.Now()
	time.Sleep(applyTime + maxStretch)
	return judgeNewest(d, rec, servers, acknowledged)
}

// recordsConfig is a version of the configuration. Each has a route more than the one before, and version 5 has no key-2.
func recordsConfig(version int) map[string]any {
	var routes []map[string]any
	for i := 1; i <= version; i++ {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%d", i), "Host": host, "Prefix": fmt.Sprintf("/route-%d/", i), "Kind": "idempotent", "TimeoutMs": 3000, "SloMs": 300,
			"Priority": 2, "Service": "records", "Attempts": 2, "Public": false,
		})
	}
	tenants := []map[string]any{{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Priority": 1}}
	if version < 5 {
		tenants = append(tenants, map[string]any{"Name": "tenant-2", "ApiKeys": []string{"key-2"}, "Priority": 1})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "records", "HealthPath": "/health", "MaxConns": 49, "Protocol": "h1"}},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	}
}

// release changes the entry of a server: the version of its software.
func release(d *deployment, rec *record, s *server) {
	for _, version := range []string{"v2", "v3", "v4"} {
		entry := s.entry("ready")
		entry["Version"] = version
		rev := d.store.put("servers", s.id, entry)
		rec.line("entry of %s says version %s, revision %d", s.id, version, rev)
	}
}

// expectServed checks that each daemon serves a route before the disruption.
func expectServed(d *deployment, rec *record, path string) error {
	for _, one := range d.daemons {
		r := sendOnce(one.caller, call{method: http.MethodGet, path: path, key: "key-1", deadline: 3 * time.Second})
		rec.line("%s: %s with key-1 (%s): %s", one.name, path, r.id, r.text())
		if r.status != http.StatusOK {
			return fmt.Errorf("%w: %s does not serve %s in calm: %s", errSetUp, one.name, path, r.text())
		}
	}
	return nil
}

// judgeNewest sends requests that only the newest configuration allows, or only older ones, and counts those that are handled as by an
// older one.
func judgeNewest(d *deployment, rec *record, servers []*server, acknowledged time.Time) (verdict, error) {
	missing, revoked, sent := 0, 0, 0
	revokedIDs := map[string]bool{}
	half, end := time.Now().Add(judgedTime/2), time.Now().Add(judgedTime)
	released := false
	for ; time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if !released && time.Now().After(half) {
			released = true
			release(d, rec, servers[2])
		}
		for _, one := range d.daemons {
			added := sendOnce(one.caller, call{method: http.MethodGet, path: "/route-5/x", key: "key-1", deadline: 3 * time.Second})
			rec.line("%s: /route-5/x with key-1 (%s), %.1f s after the acknowledgement: %s", one.name, added.id, time.Since(acknowledged).Seconds(), added.text())
			dropped := sendOnce(one.caller, call{method: http.MethodGet, path: "/route-1/x", key: "key-2", deadline: 3 * time.Second})
			rec.line("%s: /route-1/x with key-2 (%s): %s", one.name, dropped.id, dropped.text())
			sent += 2
			if added.status == http.StatusNotFound {
				missing++
			}
			revokedIDs[dropped.id] = true
		}
	}
	for _, s := range servers {
		for _, r := range s.ran() {
			if revokedIDs[r.id] {
				revoked++
				rec.line("%s ran %s of %s at %s s", s.id, r.id, r.tenant, rec.since(r.at))
			}
		}
	}
	for _, one := range d.daemons {
		if !one.running() {
			rec.line("%s has ended", one.name)
		}
	}
	last := d.store.state()
	rec.line("store at revision %d, era %d", last.revision, last.era)
	return verdict{
		broken: missing+revoked > 0,
		text: fmt.Sprintf("CONFIG: of %d requests sent later than %v after the acknowledgement of version 5, %d on its new route got 404, and %d with the key that it takes away ran",
			sent, applyTime+maxStretch, missing, revoked),
	}, nil
}
