// Package load generates open-loop load on OpenAI-compatible servers, verifies every answer and compares results.
package load

import (
	"os"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
)

// Mix describes a workload.
type Mix struct {
	Name string `json:"name"`
	// Seed seeds the random choice of arrival times, lengths, prompts and workspaces.
	Seed uint64 `json:"seed"`
	// Model is "<model>" or "<model>/<adapter>". Version is the model version that answers are verified against until a
	// chunk carries a system_fingerprint.
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// RatePerSecond is the request rate of all classes and services together. Each class has its own Poisson process,
	// so that its arrivals stay the same when other classes are left out of a run.
	RatePerSecond   float64     `json:"ratePerSecond"`
	DurationSeconds float64     `json:"durationSeconds"`
	Classes         []Class     `json:"classes"`
	Services        []Service   `json:"services,omitempty"`
	Workspaces      []Workspace `json:"workspaces"`
	Bursts          []Burst     `json:"bursts,omitempty"`
}

// Range is a range of integers, inclusive at both ends.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Class is a class of prompts with common properties.
type Class struct {
	Name string `json:"name"`
	// Share is the part of RatePerSecond that this class receives, from 0 to 1.
	Share float64 `json:"share"`
	// PromptTokens is sampled log-uniformly. OutputTokens is sampled uniformly and sent as max_tokens.
	PromptTokens Range `json:"promptTokens"`
	OutputTokens Range `json:"outputTokens"`
	// Priority overrides the workspace's priority. It is sent as X-Priority, which engines honour and gates ignore.
	Priority int `json:"priority,omitempty"`
	// DeadlineMs is sent as X-Carobstile-Deadline-Ms if it is above 0.
	DeadlineMs int `json:"deadlineMs,omitempty"`
	// Prefix configures text that several prompts begin with.
	Prefix Prefix `json:"prefix,omitzero"`
}

// Prefix configures the common leading text of the prompts of a class.
type Prefix struct {
	// Share is the part of the prompts that begin with shared text, from 0 to 1.
	Share float64 `json:"share"`
	// Tokens is the length of the shared text. A prompt that is shorter consists of the beginning of the shared text.
	Tokens int `json:"tokens"`
	// Count is the number of different shared texts for each workspace.
	Count int `json:"count"`
}

// Service describes calls of a plain service.
type Service struct {
	Route string `json:"route"`
	// Path is appended to /services/<route>.
	Path   string  `json:"path"`
	Method string  `json:"method"`
	Share  float64 `json:"share"`
	// NonIdempotent calls carry an Idempotency-Key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
	// Repeats is how often each call is sent again with the same key, as callers do that do not know the outcome.
	Repeats int `json:"repeats,omitempty"`
	// BodyBytes is the size of the request body.
	BodyBytes int `json:"bodyBytes,omitempty"`
}

// Workspace is a workspace in whose name requests are sent.
type Workspace struct {
	Name string `json:"name"`
	// Key is the API key, sent as bearer token.
	Key string `json:"key"`
	// Weight is the workspace's share of the requests relative to the weights of the other workspaces.
	Weight   float64 `json:"weight"`
	Priority int     `json:"priority,omitempty"`
}

// Burst adds requests of one class within a short time, once or periodically.
type Burst struct {
	Class         string  `json:"class"`
	OffsetSeconds float64 `json:"offsetSeconds"`
	// EverySeconds is the period of the burst; 0 means a single burst.
	EverySeconds float64 `json:"everySeconds,omitempty"`
	Requests     int     `json:"requests"`
	// OverSeconds is the duration of a burst. Send times are uniformly distributed over it.
	OverSeconds float64 `json:"overSeconds"`
}

// ReadMix reads and validates a mix file. The error lists all findings.
func ReadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, err
	}
	return ParseMix(data)
}

// ParseMix parses and validates a mix. The error lists all findings.
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
		pointer := "/classes/" + strconv.Itoa(i)
		if c.Name == "" || names[c.Name] {
			l.Add(pointer+"/name", "expected a unique, non-empty name")
		}
		names[c.Name] = true
		checkShare(l, pointer+"/share", c.Share)
		checkRange(l, pointer+"/promptTokens", c.PromptTokens)
		checkRange(l, pointer+"/outputTokens", c.OutputTokens)
		checkShare(l, pointer+"/prefix/share", c.Prefix.Share)
		if c.Prefix.Share > 0 && (c.Prefix.Count < 1 || c.Prefix.Tokens < 1) {
			l.Add(pointer+"/prefix", "expected count and tokens, at least 1")
		}
	}
}

func checkShare(l *findings.List, pointer string, share float64) {
	if share < 0 || share > 1 {
		l.Add(pointer, "expected a number from 0 to 1")
	}
}

func checkRange(l *findings.List, pointer string, r Range) {
	if r.Min < 1 || r.Max < r.Min {
		l.Add(pointer, "expected min, at least 1, and max, at least min")
	}
}

func (m Mix) checkServices(l *findings.List) {
	for i, s := range m.Services {
		pointer := "/services/" + strconv.Itoa(i)
		if s.Route == "" || s.Method == "" {
			l.Add(pointer, "expected a route and a method")
		}
		checkShare(l, pointer+"/share", s.Share)
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
		pointer := "/bursts/" + strconv.Itoa(i)
		if !names[b.Class] {
			l.Add(pointer+"/class", "expected the name of a class")
		}
		if b.EverySeconds < 0 || b.OverSeconds < 0 || b.OffsetSeconds < 0 || b.Requests < 1 {
			l.Add(pointer, "expected offsetSeconds, everySeconds and overSeconds of at least 0 and requests of at least 1")
		}
	}
}
