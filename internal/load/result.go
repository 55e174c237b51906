package load

import (
	"encoding/base64"
	"encoding/json"
	"os"
	"runtime/debug"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(2 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Upper bounds of the length classes in prompt tokens, inclusive.
const (
	maxShortTokens  = 4_000
	maxMediumTokens = 100_000
)

// Names of the length classes.
const (
	LengthShort   = "short"
	LengthMedium  = "medium"
	LengthLong    = "long"
	LengthService = "service"
)

// LengthClass returns the length class of a prompt with the given number of tokens.
func LengthClass(promptTokens int) string {
	switch {
	case promptTokens <= maxShortTokens:
		return LengthShort
	case promptTokens <= maxMediumTokens:
		return LengthMedium
	default:
		return LengthLong
	}
}

// Result is the outcome of a run.
type Result struct {
	// Mix is the mix that was run, without the API keys.
	Mix             Mix       `json:"mix"`
	Targets         []string  `json:"targets"`
	Only            []string  `json:"only,omitempty"`
	Resume          bool      `json:"resume"`
	Revision        string    `json:"revision"`
	Started         time.Time `json:"started"`
	DurationSeconds float64   `json:"durationSeconds"`
	Requests        int       `json:"requests"`
	// Outcomes counts the requests by outcome: an Outcome constant of this package or the error code of the answer.
	Outcomes map[string]int `json:"outcomes"`
	// WrongReasons counts the wrong answers by reason.
	WrongReasons map[string]int `json:"wrongReasons,omitempty"`
	Resumes      int            `json:"resumes"`
	Tokens       int            `json:"tokens"`
	// Lateness is the delay between the intended and the actual send time that this process caused. All latencies
	// include it.
	Lateness Series `json:"lateness"`
	// Lengths holds the results by length class; service calls have a class of their own.
	Lengths map[string]*LengthResult `json:"lengths"`
	// Slowdown compares the short requests with a baseline run.
	Slowdown *Slowdown `json:"slowdown,omitempty"`
	// Short lists the complete short requests, so that two runs can be compared request by request.
	Short []Sample `json:"short"`
}

// Sample holds the latencies of one complete request, in microseconds from the intended send time.
type Sample struct {
	ID          string `json:"id"`
	FirstMicros int64  `json:"firstMicros"`
	TotalMicros int64  `json:"totalMicros"`
}

// LengthResult is the result of one length class.
type LengthResult struct {
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// FirstToken is the time to first token, Between the time between tokens and Total the time to the end of the
	// answer, which counts complete answers only.
	FirstToken Series `json:"firstToken"`
	Between    Series `json:"between"`
	Total      Series `json:"total"`
}

// Series is a latency histogram with selected percentiles in milliseconds.
type Series struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"meanMs"`
	P50Ms  float64 `json:"p50Ms"`
	P90Ms  float64 `json:"p90Ms"`
	P95Ms  float64 `json:"p95Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
	// Histogram is the HDR histogram in microseconds, in V2 encoding and base64.
	Histogram string `json:"histogram"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func newSeries(h *hdrhistogram.Histogram) Series {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	s := Series{
		Count: h.TotalCount(), MeanMs: h.Mean() / 1e3, P50Ms: ms(50), P90Ms: ms(90), P95Ms: ms(95), P99Ms: ms(99),
		P999Ms: ms(99.9), MaxMs: float64(h.Max()) / 1e3,
	}
	if data, err := h.EncodeV2(); err == nil {
		s.Histogram = base64.StdEncoding.EncodeToString(data)
	}
	return s
}

// Decode decodes the histogram of the series.
func (s Series) Decode() (*hdrhistogram.Histogram, error) {
	data, err := base64.StdEncoding.DecodeString(s.Histogram)
	if err != nil {
		return nil, err
	}
	return hdrhistogram.Decode(data)
}

// collector aggregates observations. It is safe for concurrent use.
type collector struct {
	mu       sync.Mutex
	out      Result
	lateness *hdrhistogram.Histogram
	lengths  map[string]*lengthHistograms
}

type lengthHistograms struct {
	first, between, total *hdrhistogram.Histogram
}

func newCollector(r *Runner) *collector {
	mix := r.Mix
	mix.Workspaces = append([]Workspace(nil), mix.Workspaces...)
	for i := range mix.Workspaces {
		mix.Workspaces[i].Key = ""
	}
	return &collector{
		out: Result{
			Mix: mix, Targets: r.Targets, Only: r.Only, Resume: r.Resume, Revision: r.Revision,
			Outcomes: map[string]int{}, WrongReasons: map[string]int{}, Lengths: map[string]*LengthResult{},
			Short: []Sample{},
		},
		lateness: newHistogram(), lengths: map[string]*lengthHistograms{},
	}
}

func (c *collector) add(o observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := LengthService
	if o.arrival.Service < 0 {
		name = LengthClass(o.arrival.PromptTokens)
	}
	length, hist := c.lengthClass(name)
	length.Requests++
	length.Outcomes[o.outcome]++
	c.out.Requests++
	c.out.Outcomes[o.outcome]++
	c.out.Resumes += o.resumes
	c.out.Tokens += o.tokens
	if o.reason != "" {
		c.out.WrongReasons[o.reason]++
	}
	if o.outcome == OutcomeNotSent {
		return
	}
	recordDuration(c.lateness, o.lateness)
	if o.first > 0 {
		recordDuration(hist.first, o.first)
	}
	for _, d := range o.between {
		recordDuration(hist.between, d)
	}
	if o.outcome == OutcomeComplete {
		recordDuration(hist.total, o.total)
		c.addSample(name, o)
	}
}

func (c *collector) addSample(name string, o observation) {
	if name == LengthShort {
		c.out.Short = append(c.out.Short, Sample{o.arrival.ID, o.first.Microseconds(), o.total.Microseconds()})
	}
}

func (c *collector) lengthClass(name string) (*LengthResult, *lengthHistograms) {
	if _, ok := c.lengths[name]; !ok {
		c.lengths[name] = &lengthHistograms{newHistogram(), newHistogram(), newHistogram()}
		c.out.Lengths[name] = &LengthResult{Outcomes: map[string]int{}}
	}
	return c.out.Lengths[name], c.lengths[name]
}

func (c *collector) result(started time.Time, elapsed time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Started, c.out.DurationSeconds = started.UTC(), elapsed.Seconds()
	c.out.Lateness = newSeries(c.lateness)
	for name, h := range c.lengths {
		length := c.out.Lengths[name]
		length.FirstToken, length.Between, length.Total = newSeries(h.first), newSeries(h.between), newSeries(h.total)
	}
	sort.Slice(c.out.Short, func(i, j int) bool { return c.out.Short[i].ID < c.out.Short[j].ID })
	return &c.out
}

// Wrong returns the number of answers that were wrong, incomplete or not verified.
func (r *Result) Wrong() int {
	return r.Outcomes[OutcomeWrong] + r.Outcomes[OutcomeIncomplete] + r.Outcomes[OutcomeUnverified]
}

// Write writes the result to a JSON file.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadResult reads a result file written by Result.Write.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	return &r, json.Unmarshal(data, &r)
}

// BuildRevision returns the VCS revision that the program was built from, or "unknown".
func BuildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
