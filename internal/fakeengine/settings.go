package fakeengine

import (
	"os"
	"strconv"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings configures one engine. Zero values take the defaults of WithDefaults.
type Settings struct {
	// Listen is the IP address and port that the engine listens on.
	Listen string `json:"listen"`
	// Seed seeds all random choices, so that runs can be repeated.
	Seed uint64 `json:"seed"`
	// TimeScale divides all modelled durations (steps, loads, transfers, lags): 10 makes the engine ten times faster.
	// Heartbeats, deadlines, the resume window and the time to live of reservations are not scaled. Default 1.
	TimeScale float64 `json:"timeScale"`
	// Models lists the models that are loaded at the start.
	Models []engine.LoadedModel `json:"models"`
	// MaxModels limits the number of models loaded at once; default 4.
	MaxModels int `json:"maxModels"`
	// Role is the role at the start; default "mixed".
	Role engine.Role `json:"role"`
	// KVTokens is the size of the KV memory in tokens; default 200,000. It is rounded down to full blocks.
	KVTokens int `json:"kvTokens"`
	// MaxRunning limits the requests in the batch; default 256. MaxQueued limits the queued requests; default 1,024.
	MaxRunning int `json:"maxRunning"`
	MaxQueued  int `json:"maxQueued"`
	// Step is the cost model of one step of the batch.
	Step StepCost `json:"step"`
	// ReportLagMs is the age of published load reports; default 0.
	ReportLagMs int `json:"reportLagMs"`
	// CacheEvents configures the publication of cache events.
	CacheEvents CacheEventSettings `json:"cacheEvents"`
	// ModelLoadMs and AdapterLoadMs are the load times after the weights were fetched; defaults 20,000 and 2,000.
	ModelLoadMs   int `json:"modelLoadMs"`
	AdapterLoadMs int `json:"adapterLoadMs"`
	// WeightStore is the address of the platform's weight store. If it is empty, loads do not fetch weights.
	WeightStore string `json:"weightStore"`
	// KVBandwidth is the bandwidth of export and import in tokens per second; default 500,000.
	KVBandwidth int `json:"kvBandwidth"`
	// IgnoresFence makes the engine accept orders with an old fence.
	IgnoresFence bool `json:"ignoresFence"`
	// CrashMarker crashes the engine when a prompt contains it; empty means none.
	CrashMarker string `json:"crashMarker"`
}

// StepCost is the cost model of one step of the batch, in microseconds.
type StepCost struct {
	// TokenBudget is the maximum number of tokens of a step, decode and prefill together; default 2,048.
	TokenBudget int `json:"tokenBudget"`
	// BaseMicros is the fixed time of a step; default 6,000.
	BaseMicros float64 `json:"baseMicros"`
	// PrefillTokenMicros is the time of one prompt token; default 20.
	PrefillTokenMicros float64 `json:"prefillTokenMicros"`
	// DecodeTokenMicros is the time of one generated token; default 30.
	DecodeTokenMicros float64 `json:"decodeTokenMicros"`
	// KVTokenMicros is the time of reading one token of KV cache; default 0.004.
	KVTokenMicros float64 `json:"kvTokenMicros"`
}

// CacheEventSettings configures the publication of cache events.
type CacheEventSettings struct {
	// LagMs is the time from an event to its publication.
	LagMs int `json:"lagMs"`
	// LossShare is the share of events that are lost, from 0 to 1.
	LossShare float64 `json:"lossShare"`
	// Keep is the number of most recent events that are kept; default 8,192.
	Keep int `json:"keep"`
}

// WithDefaults returns the settings with defaults for zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.TimeScale, 1)
	setDefault(&s.MaxModels, 4)
	setDefault(&s.Role, engine.RoleMixed)
	setDefault(&s.KVTokens, 200_000)
	setDefault(&s.MaxRunning, 256)
	setDefault(&s.MaxQueued, 1024)
	setDefault(&s.Step.TokenBudget, 2048)
	setDefault(&s.Step.BaseMicros, 6_000)
	setDefault(&s.Step.PrefillTokenMicros, 20)
	setDefault(&s.Step.DecodeTokenMicros, 30)
	setDefault(&s.Step.KVTokenMicros, 0.004)
	setDefault(&s.CacheEvents.Keep, 8192)
	setDefault(&s.ModelLoadMs, 20_000)
	setDefault(&s.AdapterLoadMs, 2_000)
	setDefault(&s.KVBandwidth, 500_000)
	return s
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// ReadSettings reads and validates a settings file. The error lists all findings.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(data)
}

// ParseSettings parses and validates settings and fills in defaults. The error lists all findings.
func ParseSettings(data []byte) (Settings, error) {
	var s Settings
	if err := settings.Parse(data, &s); err != nil {
		return Settings{}, err
	}
	return s.WithDefaults(), nil
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) { list.Append(s.WithDefaults().check()...) }

func (s Settings) check() []findings.Finding {
	var l findings.List
	settings.Address(&l, "/listen", s.Listen)
	for name, v := range map[string]float64{
		"/timeScale": s.TimeScale, "/step/baseMicros": s.Step.BaseMicros,
		"/step/prefillTokenMicros": s.Step.PrefillTokenMicros, "/step/decodeTokenMicros": s.Step.DecodeTokenMicros,
		"/step/kvTokenMicros": s.Step.KVTokenMicros, "/step/tokenBudget": float64(s.Step.TokenBudget),
		"/maxRunning": float64(s.MaxRunning), "/maxQueued": float64(s.MaxQueued), "/maxModels": float64(s.MaxModels),
		"/modelLoadMs": float64(s.ModelLoadMs), "/adapterLoadMs": float64(s.AdapterLoadMs),
		"/kvBandwidth": float64(s.KVBandwidth), "/cacheEvents/keep": float64(s.CacheEvents.Keep),
	} {
		if v <= 0 {
			l.Add(name, "expected a number above 0")
		}
	}
	if s.KVTokens < engine.PrefixBlockTokens {
		l.Add("/kvTokens", "expected at least %d", engine.PrefixBlockTokens)
	}
	if s.ReportLagMs < 0 {
		l.Add("/reportLagMs", "expected at least 0")
	}
	if s.CacheEvents.LagMs < 0 {
		l.Add("/cacheEvents/lagMs", "expected at least 0")
	}
	if s.CacheEvents.LossShare < 0 || s.CacheEvents.LossShare > 1 {
		l.Add("/cacheEvents/lossShare", "expected a number from 0 to 1")
	}
	if !validRole(s.Role) {
		l.Add("/role", "expected mixed, prefill or decode")
	}
	for i, m := range s.Models {
		if m.Name == "" || m.Version == "" {
			l.Add("/models/"+strconv.Itoa(i), "expected a name and a version")
		}
	}
	return l.Items()
}

func validRole(r engine.Role) bool {
	return r == engine.RoleMixed || r == engine.RolePrefill || r == engine.RoleDecode
}
