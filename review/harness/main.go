// Command harness plays the cases of the review: it starts carobedge processes before stand-ins of the platform's store, of
// backend servers and of requesters on loopback addresses, disturbs them as a case says, and checks the rule of the case.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the site norrvik-hojd.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	drain     = 2 * time.Second
	graceS    = 8
	apiKey    = "n2ctnfzs989anu6wsjnb"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// env is what the parts of a case share.
type env struct {
	program, dir string
	trouble      bool
	start        time.Time
	store        *store
	daemons      []*daemon
	closing      atomic.Bool
	// life is held while a process is started again and while closing is set.
	life sync.Mutex

	mu     sync.Mutex
	out    *os.File
	nextID int
}

var current *env

// fatal ends a case that cannot run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.record(format, args...)
		current.stop()
	}
	os.Exit(exitNotRun)
}

// record writes a line to the record of the case.
func (e *env) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%9.3f %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (e *env) say(format string, args ...any) {
	e.record(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (e *env) newID(kind string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	return fmt.Sprintf("%s-%06d", kind, e.nextID)
}

// startStore starts the store and returns its address.
func (e *env) startStore() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("start store: %v", err)
	}
	e.store = newStore()
	go func() { _ = (&http.Server{Handler: e.store}).Serve(listener) }() // runs until the harness exits
	return listener.Addr().String()
}

// startDaemons starts a daemon for each name and waits until all are ready.
func (e *env) startDaemons(storeAddress string, names, zones []string) {
	for i, name := range names {
		e.daemons = append(e.daemons, reserveDaemon(e, name, zones[i]))
	}
	var seeds []string
	for _, d := range e.daemons[:min(3, len(e.daemons))] {
		seeds = append(seeds, d.service)
	}
	for _, d := range e.daemons {
		d.writeSettings(seeds, storeAddress)
		d.start()
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, d := range e.daemons {
		for !d.isReady() {
			if isClosed(d.exited) || time.Now().After(deadline) {
				fatal("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends all processes that the case has started.
func (e *env) stop() {
	e.life.Lock()
	e.closing.Store(true)
	e.life.Unlock()
	for _, d := range e.daemons {
		d.kill()
	}
}

// configuration returns config/main with an engine service and a plain service, like that of the site.
func configuration() any {
	return map[string]any{
		"Version": 7,
		"Routes": []any{
			map[string]any{
				"Name": "r-stream", "Host": "ficu95.example", "Prefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 10000,
				"SloMs": 300, "GapAimMs": 250, "Priority": 1, "Service": "klatterstod", "Attempts": 2, "Public": false,
				"Affinity": true, "Resumable": true,
			},
			map[string]any{
				"Name": "r-once", "Host": "ficu95.example", "Prefix": "/puxa403/", "Kind": "non_idempotent", "TimeoutMs": 3000,
				"SloMs": 300, "Priority": 2, "Service": "kursregister", "Attempts": 1, "Public": false,
			},
			map[string]any{
				"Name": "r-safe", "Host": "ficu95.example", "Prefix": "/cufi504/", "Kind": "idempotent", "TimeoutMs": 3000,
				"SloMs": 300, "Priority": 2, "Service": "kursregister", "Attempts": 2, "Public": false,
			},
		},
		"Services": []any{
			map[string]any{
				"Name": "klatterstod", "HealthPath": "/health", "MaxConns": 194, "Engine": map[string]any{
					"Capacity": 16, "KvTokens": 315000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
					"context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
				},
			},
			map[string]any{"Name": "kursregister", "HealthPath": "/health", "MaxConns": 100},
		},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1}},
	}
}

func main() {
	cases := map[string]func(*env) bool{
		"drain": drainCase, "term": termCase, "memory": memoryCase,
		"crash":        func(e *env) bool { return crashCase(e, false) },
		"crash-before": func(e *env) bool { return crashCase(e, true) },
		"part":         func(e *env) bool { return partCase(e, 18) },
		"part-early":   func(e *env) bool { return partCase(e, 3) },
	}
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "", "carobedge as the deploy file builds it")
	recordPath := flag.String("record", "", "the file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fatal("unknown case %q", *name)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	out, err := os.Create(*recordPath)
	if err != nil {
		fatal("record: %v", err)
	}
	e := &env{program: *program, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), out: out}
	current = e
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { fatal("ended by signal %v", <-signals) }()
	broken := play(e)
	e.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir) // the folder is the system's to clean otherwise
	}
	if broken {
		e.say("the rule was broken")
		os.Exit(exitBroken)
	}
	e.say("the rule held")
	os.Exit(exitHeld)
}
