package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// requestKind is a class of requests that the callers send.
type requestKind struct {
	name, prefix, service string
	routeKind             standin.RouteKind
	weight                int
	attempts              int
	timeout               time.Duration
	promptTokens          int
}

func (k *requestKind) nonIdempotent() bool { return k.routeKind == standin.NonIdempotent }
func (k *requestKind) stream() bool        { return k.routeKind == standin.Streaming }

func (k *requestKind) route() standin.Route {
	return standin.RouteSpec{
		Name: k.name, Host: host, Prefix: k.prefix, Service: k.service, Kind: k.routeKind, Attempts: k.attempts, Timeout: k.timeout,
	}.Route()
}

// Timeouts and attempts of requests, close to those in the platform's specification sheets.
const (
	plainTimeout  = 1500 * time.Millisecond
	streamTimeout = 4 * time.Second
	longTimeout   = 6 * time.Second
	wideTimeout   = 8 * time.Second
	maxAttempts   = 2
)

// requestKinds are the regular kinds of request. The weights give each kind a few requests a second.
var requestKinds = []*requestKind{
	{"stream", "/stream/", engineService, standin.Streaming, 5, maxAttempts, streamTimeout, shortPromptTokens},
	{"long", "/longstream/", engineService, standin.Streaming, 1, maxAttempts, longTimeout, longPromptTokens},
	{"once", "/once/", plainService, standin.NonIdempotent, 4, maxAttempts, plainTimeout, 0},
	{"again", "/again/", plainService, standin.Idempotent, 3, maxAttempts, plainTimeout, 0},
}

// wideKind is sent only where there are minWideEngines: dispatch queues prompts of this length until many engines are free.
var wideKind = &requestKind{"wide", "/widestream/", engineService, standin.Streaming, 0, maxAttempts, wideTimeout, widePromptTokens}

// dynamicKind returns the kind for requests that use a route or key which the run adds and removes; prefix is that of the route.
func dynamicKind(prefix string) *requestKind {
	return &requestKind{
		name: "probe", prefix: prefix, service: plainService, routeKind: standin.Idempotent, attempts: maxAttempts,
		timeout: plainTimeout,
	}
}

const (
	// meanCallerPause is the mean pause between the requests of one caller.
	meanCallerPause = 100 * time.Millisecond
	// busyCallerPause is short, so that requests cross the closing of their connections in stops.
	busyCallerPause = 5 * time.Millisecond
	// dynamicShare is the share of requests that use a route or key which the run adds and removes.
	dynamicShare = 0.15
	// wideShare is the share of wide prompts among the other requests.
	wideShare = 0.01
	// topics is the number of popular parts of prompts, and deadlyShare the share of prompts that get a deadly part.
	topics      = 20
	deadlyShare = 0.1
	// manyParts is the number of parts of a long session, and manyPartsShare the share of prompts that continue one.
	manyParts      = 100
	manyPartsShare = 0.2
	// maxBodyBytes is large enough that some bodies are sent in several writes.
	maxBodyBytes = 6_000
	// callerGrace is how much longer than the request's timeout a caller waits, so that a late end is detected.
	callerGrace = time.Second
)

// request is one request of a caller, with the data that the checker needs.
type request struct {
	id, path, key, workspace, body string
	kind                           *requestKind
	daemon                         int
	sent                           time.Time
	parts                          []string // shared parts of the prompt
	// deadlyPart is the part under which engines crash; "" for sound requests.
	deadlyPart string
	// dynamicName is the route or key that the run adds and removes; "" for other requests.
	dynamicName string

	// The fields below belong to the checker, under its lock, once recordRequest was called.
	reply
	servers []string
	runs    int
	// arrivals counts how often the request reached a server, also where it was refused.
	arrivals int
}

// reply is what a caller received.
type reply struct {
	ended    time.Time
	status   int
	accepted bool
	answer   string
	err      error
	// kept is set if the connection had carried a request before.
	kept bool
}

// caller sends requests one after the other and keeps its connections open until the daemon closes them.
type caller struct {
	cluster *cluster
	checker *checker
	random  *rand.Rand
	http    *http.Client
	// key and workspace are those of requests that do not use a key which the run adds and removes.
	key, workspace string
	// meanPause is the mean pause between requests.
	meanPause time.Duration
}

var lastRequestID atomic.Int64

func newCaller(c *cluster, checker *checker, seed, number uint64) *caller {
	out := &caller{
		key: baseKey, workspace: workspace, meanPause: meanCallerPause, cluster: c, checker: checker, random: rand.New(rand.NewPCG(seed, 1000+number)),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}},
	}
	if c.stops {
		out.meanPause = busyCallerPause
	}
	if c.hardLoad && out.random.Float64() < heavyShare {
		out.key, out.workspace = heavyKey, heavyWorkspace
	}
	return out
}

func (c *caller) run(ctx context.Context) {
	daemon := c.random.IntN(len(c.cluster.daemons))
	for ctx.Err() == nil {
		got := c.send(c.newRequest(daemon))
		if got.err != nil || got.status == http.StatusServiceUnavailable {
			daemon = c.random.IntN(len(c.cluster.daemons)) // as the platform routes new connections to another host
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.meanPause))):
		}
	}
	c.http.CloseIdleConnections()
}

func (c *caller) newRequest(daemon int) *request {
	id := "r" + strconv.FormatInt(lastRequestID.Add(1), 10)
	r := &request{id: id, daemon: daemon, key: c.key, workspace: c.workspace, body: id + strings.Repeat("x", c.random.IntN(maxBodyBytes))}
	if c.random.Float64() < dynamicShare {
		r.dynamicName = c.checker.randomDynamicName(c.random)
	}
	switch {
	case strings.HasPrefix(r.dynamicName, "/"):
		r.kind = dynamicKind(r.dynamicName)
	case r.dynamicName != "":
		r.kind, r.key, r.workspace = dynamicKind("/again/"), r.dynamicName, workspace
	default:
		r.kind = c.drawKind()
		c.addParts(r)
	}
	r.path = r.kind.prefix + id
	return r
}

// addParts gives a prompt a popular part and, while there is one, at times a deadly part.
func (c *caller) addParts(r *request) {
	if r.kind.promptTokens == 0 {
		return
	}
	r.parts = []string{"topic" + strconv.Itoa(c.random.IntN(topics))}
	part := c.checker.randomDeadlyPart(c.random)
	deadly := part != "" && c.random.Float64() < deadlyShare
	if deadly && strings.HasPrefix(part, deadlyPrefix+deadlyAmongMany) || c.random.Float64() < manyPartsShare {
		for i := range manyParts {
			r.parts = append(r.parts, "session"+strconv.Itoa(i))
		}
	}
	if deadly {
		r.deadlyPart, r.parts = part, append(r.parts, part)
	}
}

func (c *caller) drawKind() *requestKind {
	if c.cluster.hasWidePrompts() && c.random.Float64() < wideShare {
		return wideKind
	}
	total := 0
	for _, k := range c.cluster.kinds {
		total += k.weight
	}
	left := c.random.IntN(total)
	for _, k := range c.cluster.kinds {
		if left -= k.weight; left < 0 {
			return k
		}
	}
	return c.cluster.kinds[0]
}

// send sends a request and reports the reply to the checker.
func (c *caller) send(r *request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), r.kind.timeout+callerGrace)
	defer cancel()
	req, err := standin.Call{
		Address: c.cluster.daemons[r.daemon].callers.address(), Host: host, Method: http.MethodPost, Path: r.path, ID: r.id,
		Key: r.key, Timeout: r.kind.timeout, Body: strings.NewReader(r.body), PromptTokens: r.kind.promptTokens,
		MaxAnswerTokens: answerTokens, SharedParts: r.parts,
	}.Request()
	if err != nil {
		panic(fmt.Sprintf("build request: %v", err))
	}
	r.sent = time.Now()
	c.checker.recordRequest(r)
	got := reply{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { got.kept = info.Reused }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		got.status, got.accepted = resp.StatusCode, standin.AcceptedByServer(resp.Header)
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.answer = string(data)
	}
	got.err, got.ended = err, time.Now()
	c.checker.recordReply(r, got)
	return got
}

// checkStream returns the first error in the events of a stream, or ""; complete says that the stream ended without an error.
func checkStream(r *request, complete bool) string {
	events := strings.Split(r.answer, "\n\n")
	tail := events[len(events)-1]
	events = events[:len(events)-1]
	for i, event := range events {
		if event != fmt.Sprintf("id: %d\ndata: %s", i+1, answerText(r.id, r.body, i+1)) {
			return fmt.Sprintf("event %d of the answer differs from the one the server sent", i+1)
		}
	}
	if complete && (len(events) != streamEvents || tail != "") {
		return fmt.Sprintf("stream complete after %d of %d events, with %d bytes after the last event",
			len(events), streamEvents, len(tail))
	}
	return ""
}
