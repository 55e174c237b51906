package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// requestKind is a kind of request of the callers.
type requestKind struct {
	name, prefix, service string
	kind                  standin.Kind
	weight                int
	attempts              int
	limit                 time.Duration
	prompt                int
}

func (k *requestKind) once() bool   { return k.kind == standin.Once }
func (k *requestKind) stream() bool { return k.kind == standin.Stream }

func (k *requestKind) route() standin.Route {
	return standin.RouteSpec{
		Name: k.name, Host: host, Prefix: k.prefix, Service: k.service, Kind: k.kind, Attempts: k.attempts, Timeout: k.limit,
	}.Route()
}

// Limits of requests, about those of the platform's sheets.
const (
	plainLimit  = 1500 * time.Millisecond
	streamLimit = 4 * time.Second
	longLimit   = 6 * time.Second
	attempts    = 2
)

// kinds are the usual kinds of request. The weights give each kind a few requests a second.
var kinds = []*requestKind{
	{"stream", "/stream/", engines, standin.Stream, 5, attempts, streamLimit, shortPrompt},
	{"long", "/longstream/", engines, standin.Stream, 1, attempts, longLimit, longPrompt},
	{"once", "/once/", plain, standin.Once, 4, attempts, plainLimit, 0},
	{"again", "/again/", plain, standin.Again, 3, attempts, plainLimit, 0},
}

// probeKind is for routes and keys that come and go; its prefix is that of the route.
func probeKind(prefix string) *requestKind {
	return &requestKind{name: "probe", prefix: prefix, service: plain, kind: standin.Again, attempts: attempts, limit: plainLimit}
}

const (
	// callerPause is the mean pause between the requests of one caller.
	callerPause = 100 * time.Millisecond
	// probeShare is the share of requests that use a route or key which comes and goes.
	probeShare = 0.15
	// bodyBytes is enough for a body to leave in several writes.
	bodyBytes = 6_000
	// callerSlack is how much longer than its limit a caller waits, so that a late end is seen.
	callerSlack = time.Second
)

// request is one attempt of a caller, with what the judge needs to know.
type request struct {
	id, path, key, body string
	kind                *requestKind
	daemon              int
	sent                time.Time
	// varies is the route or key that comes and goes; "" for others.
	varies string

	// What follows is the judge's, under its lock, once the request has begun.
	reply
	servers []string
	runs    int
}

// reply is what a caller got.
type reply struct {
	ended   time.Time
	status  int
	stamped bool
	answer  string
	err     error
}

// caller sends one request after the other over connections that it keeps until the daemon closes them.
type caller struct {
	cluster *cluster
	judge   *judge
	random  *rand.Rand
	http    *http.Client
}

var lastRequest atomic.Int64

func newCaller(c *cluster, j *judge, seed, number uint64) *caller {
	return &caller{
		cluster: c, judge: j, random: rand.New(rand.NewPCG(seed, 1000+number)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}},
	}
}

func (c *caller) run(ctx context.Context) {
	home := c.random.IntN(len(c.cluster.daemons))
	for ctx.Err() == nil {
		got := c.send(c.next(home))
		if got.err != nil || got.status == http.StatusServiceUnavailable {
			home = c.random.IntN(len(c.cluster.daemons)) // as the platform sends new connections elsewhere
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(callerPause))):
		}
	}
	c.http.CloseIdleConnections()
}

func (c *caller) next(daemon int) *request {
	id := "r" + strconv.FormatInt(lastRequest.Add(1), 10)
	r := &request{id: id, daemon: daemon, key: baseKey, body: id + strings.Repeat("x", c.random.IntN(bodyBytes))}
	if c.random.Float64() < probeShare {
		r.varies = c.judge.someVarying(c.random)
	}
	switch {
	case strings.HasPrefix(r.varies, "/"):
		r.kind = probeKind(r.varies)
	case r.varies != "":
		r.kind, r.key = probeKind("/again/"), r.varies
	default:
		r.kind = c.draw()
	}
	r.path = r.kind.prefix + id
	return r
}

func (c *caller) draw() *requestKind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	left := c.random.IntN(total)
	for _, k := range kinds {
		if left -= k.weight; left < 0 {
			return k
		}
	}
	return kinds[0]
}

// send sends a request and hands what came back to the judge.
func (c *caller) send(r *request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), r.kind.limit+callerSlack)
	defer cancel()
	req, err := standin.Call{
		Address: c.cluster.daemons[r.daemon].callers.address(), Host: host, Method: http.MethodPost, Path: r.path, ID: r.id,
		Key: r.key, Limit: r.kind.limit, Body: strings.NewReader(r.body), Prompt: r.kind.prompt, Answer: answerTokens,
	}.Request()
	if err != nil {
		panic(fmt.Sprintf("request of the soak itself: %v", err))
	}
	r.sent = time.Now()
	c.judge.begin(r)
	resp, err := c.http.Do(req.WithContext(ctx))
	got := reply{}
	if err == nil {
		got.status, got.stamped = resp.StatusCode, standin.Stamped(resp.Header)
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.answer = string(data)
	}
	got.err, got.ended = err, time.Now()
	c.judge.end(r, got)
	return got
}

// checkStream returns what is wrong with the events of a stream; whole says that it ended as complete.
func checkStream(r *request, whole bool) string {
	events := strings.Split(r.answer, "\n\n")
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	for i, event := range events {
		if event != fmt.Sprintf("id: %d\ndata: %s", i+1, answerText(r.id, r.body, i+1)) {
			return fmt.Sprintf("event %d of the answer is another one", i+1)
		}
	}
	if whole && (len(events) != streamEvents || rest != "") {
		return fmt.Sprintf("complete after %d events of %d and %d bytes", len(events), streamEvents, len(rest))
	}
	return ""
}
