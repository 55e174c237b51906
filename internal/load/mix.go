// Package load makes open-loop load on an OpenAI-compatible address, verifies every answer, and compares results.
package load

import (
	"os"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
)

// Mix describes a workload.
type Mix struct {
	Name string `json:"name"`
	// Seed decides arrivals, lengths, prompts and workspaces.
	Seed uint64 `json:"seed"`
	// Model is "<model>" or "<model>/<adapter>". Version verifies answers whose chunks have no system_fingerprint.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// RatePerSecond of all classes and services together; arrivals are Poisson, one process for each class, so that the
	// arrivals of a class are the same when others are left out.
	RatePerSecond   float64     `json:"ratePerSecond"`
	DurationSeconds float64     `json:"durationSeconds"`
	Classes         []Class     `json:"classes"`
	Services        []Service   `json:"services,omitempty"`
	Workspaces      []Workspace `json:"workspaces"`
	Bursts          []Burst     `json:"bursts,omitempty"`
}

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Class is a kind of prompt.
type Class struct {
	Name string `json:"name"`
	// Share of RatePerSecond.
	Share float64 `json:"share"`
	// PromptTokens are drawn log-uniformly, OutputTokens (sent as max_tokens) uniformly.
	PromptTokens Range `json:"promptTokens"`
	OutputTokens Range `json:"outputTokens"`
	// Priority overrides the workspace's; it is sent as X-Priority, which engines honour and gates do not.
	Priority int `json:"priority,omitempty"`
	// DeadlineMs is sent as X-Carobstile-Deadline-Ms when above 0.
	DeadlineMs int `json:"deadlineMs,omitempty"`
	// Prefix says how many prompts begin with shared text.
	Prefix Prefix `json:"prefix,omitzero"`
}

// Prefix is text that prompts of a class share.
type Prefix struct {
	// Share of the prompts that begin with shared text.
	Share float64 `json:"share"`
	// Tokens of shared text; a shorter prompt consists of it only in part.
	Tokens int `json:"tokens"`
	// Count of different texts, per workspace.
	Count int `json:"count"`
}

// Service is a plain service.
type Service struct {
	Route string `json:"route"`
	// Path below /services/<route>.
	Path   string  `json:"path"`
	Method string  `json:"method"`
	Share  float64 `json:"share"`
	// NonIdempotent calls carry an Idempotency-Key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Repeats is how often each call is sent again with the same key, as callers do who doubt.
	Repeats int `json:"repeats,omitempty"`
	// BodyBytes of the request.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// Workspace is a sender.
type Workspace struct {
	Name string `json:"name"`
	// Key is the bearer key.
	Key string `json:"key"`
	// Weight is the workspace's share of the requests, relative to the others.
	Weight   float64 `json:"weight"`
	Priority int     `json:"priority,omitempty"`
}

// Burst is a repeated wave of extra requests of one class.
type Burst struct {
	Class         string  `json:"class"`
	OffsetSeconds float64 `json:"offsetSeconds"`
	// EverySeconds repeats the burst; 0 means once.
	EverySeconds float64 `json:"everySeconds,omitempty"`
	Requests     int     `json:"requests"`
	// OverSeconds is the time over which the requests are spread evenly at random.
	OverSeconds float64 `json:"overSeconds"`
}

// ReadMix reads and checks a mix file and reports all findings at once.
func ReadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, err
	}
	return ParseMix(data)
}

// ParseMix checks a mix.
func ParseMix(data []byte) (Mix, error) {
	var m Mix
	places, list := findings.Decode(data, &m)
	if err := list.Err(); err != nil {
		return Mix{}, err
	}
	list.Append(places.Locate(m.check())...)
	return m, list.Err()
}

func (m Mix) check() []findings.Finding {
	var l findings.List
	if m.Model == "" && len(m.Classes) > 0 {
		l.Add("/model", "expected the name of a model")
	}
	if m.RatePerSecond < 0 {
		l.Add("/ratePerSecond", "expected a number, at least 0")
	}
	if m.DurationSeconds <= 0 {
		l.Add("/durationSeconds", "expected a number above 0")
	}
	m.checkClasses(&l)
	m.checkServices(&l)
	m.checkWorkspaces(&l)
	m.checkBursts(&l)
	return l.Items()
}

func (m Mix) checkClasses(l *findings.List) {
	names := map[string]bool{}
	for i, c := range m.Classes {
		at := "/classes/" + strconv.Itoa(i)
		if c.Name == "" || names[c.Name] {
			l.Add(at+"/name", "expected a name of its own")
		}
		names[c.Name] = true
		checkShare(l, at+"/share", c.Share)
		checkRange(l, at+"/promptTokens", c.PromptTokens)
		checkRange(l, at+"/outputTokens", c.OutputTokens)
		checkShare(l, at+"/prefix/share", c.Prefix.Share)
		if c.Prefix.Share > 0 && (c.Prefix.Count < 1 || c.Prefix.Tokens < 1) {
			l.Add(at+"/prefix", "expected count and tokens, at least 1")
		}
	}
}

func checkShare(l *findings.List, at string, share float64) {
	if share < 0 || share > 1 {
		l.Add(at, "expected a number from 0 to 1")
	}
}

func checkRange(l *findings.List, at string, r Range) {
	if r.Min < 1 || r.Max < r.Min {
		l.Add(at, "expected min, at least 1, and max, at least min")
	}
}

func (m Mix) checkServices(l *findings.List) {
	for i, s := range m.Services {
		at := "/services/" + strconv.Itoa(i)
		if s.Route == "" || s.Method == "" {
			l.Add(at, "expected a route and a method")
		}
		checkShare(l, at+"/share", s.Share)
	}
}

func (m Mix) checkWorkspaces(l *findings.List) {
	if len(m.Workspaces) == 0 {
		l.Add("/workspaces", "expected at least one workspace")
	}
	for i, w := range m.Workspaces {
		if w.Weight <= 0 {
			l.Add("/workspaces/"+strconv.Itoa(i)+"/weight", "expected a number above 0")
		}
	}
}

func (m Mix) checkBursts(l *findings.List) {
	names := map[string]bool{}
	for _, c := range m.Classes {
		names[c.Name] = true
	}
	for i, b := range m.Bursts {
		at := "/bursts/" + strconv.Itoa(i)
		if !names[b.Class] {
			l.Add(at+"/class", "expected the name of a class")
		}
		if b.EverySeconds < 0 || b.OverSeconds < 0 || b.OffsetSeconds < 0 || b.Requests < 1 {
			l.Add(at, "expected times of at least 0 and at least one request")
		}
	}
}
