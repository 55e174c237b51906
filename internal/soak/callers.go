package soak

import (
	"bufio"
	"bytes"
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
	name, prefix, kind, service string
	weight                      int
	attempts                    int
	limit                       time.Duration
	prompt                      int
}

func (k *requestKind) once() bool   { return k.kind == "non_idempotent" }
func (k *requestKind) stream() bool { return k.kind == "streaming" }

func (k *requestKind) route() standin.Route {
	return standin.NewRoute(k.name, host, k.prefix, k.kind, k.service, map[string]any{
		"Attempts": k.attempts, "TimeoutMs": k.limit.Milliseconds(), "Resumable": k.stream(), "Affinity": k.stream(),
	})
}

// kinds are the usual kinds of request, with about the limits of the platform's sheets.
var kinds = []*requestKind{
	{name: "stream", prefix: "/stream/", kind: "streaming", service: engines, weight: 5, attempts: 2, limit: 4 * time.Second, prompt: shortPrompt},
	{name: "long", prefix: "/longstream/", kind: "streaming", service: engines, weight: 1, attempts: 2, limit: 6 * time.Second, prompt: longPrompt},
	{name: "once", prefix: "/once/", kind: "non_idempotent", service: plain, weight: 4, attempts: 2, limit: 1500 * time.Millisecond},
	{name: "again", prefix: "/again/", kind: "idempotent", service: plain, weight: 3, attempts: 2, limit: 1500 * time.Millisecond},
}

// probeKind is for routes and keys that come and go.
var probeKind = &requestKind{name: "probe", kind: "idempotent", service: plain, attempts: 2, limit: 1500 * time.Millisecond}

const (
	// callerPause is the mean pause between the requests of one caller.
	callerPause = 100 * time.Millisecond
	// shareOfProbes is the share of requests that use a route or key which comes and goes.
	shareOfProbes = 0.15
	// bodyBytes is enough for a body to leave in several writes.
	bodyBytes = 6_000
	// callerSlack is how much longer than its limit a caller waits before it counts the answer as missing.
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
	if c.random.Float64() < shareOfProbes {
		if r.varies = c.judge.someVarying(c.random); r.varies != "" {
			r.kind, r.path = probeKind, "/again/"+id
			if strings.HasPrefix(r.varies, "/") {
				r.path = r.varies + id
			} else {
				r.key = r.varies
			}
			return r
		}
	}
	r.kind = c.draw()
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
		got.status, got.stamped = resp.StatusCode, resp.Header.Get("X-Stamp") != ""
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
	expected := 1
	scanner := bufio.NewScanner(bytes.NewReader([]byte(r.answer)))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		id, isID := strings.CutPrefix(line, "id: ")
		data, isData := strings.CutPrefix(line, "data: ")
		last := !strings.HasSuffix(r.answer, line) // a broken stream may end inside a line
		switch {
		case isID && last && id != strconv.Itoa(expected):
			return fmt.Sprintf("event %s where %d was due", id, expected)
		case isData && last && data != fmt.Sprintf("%s %s %d", r.id, r.body, expected):
			return fmt.Sprintf("event %d holds other data", expected)
		case isData:
			expected++
		}
	}
	if whole && expected != streamEvents+1 {
		return fmt.Sprintf("complete after %d events of %d", expected-1, streamEvents)
	}
	return ""
}
