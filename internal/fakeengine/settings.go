package fakeengine

import (
	"os"
	"strconv"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings of one engine. Zero values take the defaults of WithDefaults.
type Settings struct {
	// Listen is the IP address and port of the engine.
	Listen string `json:"listen"`
	// Seed makes everything random repeatable.
	Seed uint64 `json:"seed"`
	// TimeScale divides all modelled durations (steps, loads, transfers, lags); 10 runs ten times faster. Heartbeats,
	// deadlines, the resume window and the life of reservations are not scaled. Default 1.
	TimeScale float64 `json:"timeScale"`
	// Models are ready from the start.
	Models []engine.LoadedModel `json:"models"`
	// MaxModels bounds the models held at once; default 4.
	MaxModels int `json:"maxModels"`
	// Role at the start; default "mixed".
	Role engine.Role `json:"role"`
	// KVTokens is the KV memory in tokens; default 200,000. It is rounded down to whole blocks.
	KVTokens int `json:"kvTokens"`
	// MaxRunning bounds the batch; default 256. MaxQueued bounds the requests that wait; default 1,024.
	MaxRunning int `json:"maxRunning"`
	MaxQueued  int `json:"maxQueued"`
	// Step is the cost model of one step of the batch.
	Step StepCost `json:"step"`
	// ReportLagMs is the age of load reports.
	ReportLagMs int `json:"reportLagMs"`
	// CacheEvents says how cache events are published.
	CacheEvents CacheEventSettings `json:"cacheEvents"`
	// ModelLoadMs and AdapterLoadMs are the times of a load, after the weights were fetched; defaults 20,000 and 2,000.
	ModelLoadMs   int `json:"modelLoadMs"`
	AdapterLoadMs int `json:"adapterLoadMs"`
	// WeightStore is the address of the platform; empty loads without it.
	WeightStore string `json:"weightStore"`
	// KVBandwidth of export and import in tokens a second; default 500,000.
	KVBandwidth int `json:"kvBandwidth"`
	// IgnoresFence lets orders with an old fencing number through.
	IgnoresFence bool `json:"ignoresFence"`
	// CrashMarker is a text whose presence in a prompt crashes the engine.
	CrashMarker string `json:"crashMarker"`
}

// StepCost is the cost model of one step of the batch, in microseconds.
type StepCost struct {
	// TokenBudget of a step, shared by decodes and prefill chunks; default 2,048.
	TokenBudget int `json:"tokenBudget"`
	// BaseMicros is the time of an empty step; default 6,000.
	BaseMicros float64 `json:"baseMicros"`
	// PrefillTokenMicros is the time of one prompt token; default 20.
	PrefillTokenMicros float64 `json:"prefillTokenMicros"`
	// DecodeTokenMicros is the time of one generated token; default 30.
	DecodeTokenMicros float64 `json:"decodeTokenMicros"`
	// KVTokenMicros is the time of reading one token of KV cache; default 0.004.
	KVTokenMicros float64 `json:"kvTokenMicros"`
}

// CacheEventSettings say how cache events are published.
type CacheEventSettings struct {
	// LagMs is the time from an event to its publication.
	LagMs int `json:"lagMs"`
	// LossShare of the events are never published, 0 to 1.
	LossShare float64 `json:"lossShare"`
	// Keep is the number of events kept; default 8,192.
	Keep int `json:"keep"`
}

// WithDefaults fills in defaults.
func (s Settings) WithDefaults() Settings {
	orDefault(&s.TimeScale, 1)
	orDefault(&s.MaxModels, 4)
	orDefault(&s.Role, engine.RoleMixed)
	orDefault(&s.KVTokens, 200_000)
	orDefault(&s.MaxRunning, 256)
	orDefault(&s.MaxQueued, 1024)
	orDefault(&s.Step.TokenBudget, 2048)
	orDefault(&s.Step.BaseMicros, 6_000)
	orDefault(&s.Step.PrefillTokenMicros, 20)
	orDefault(&s.Step.DecodeTokenMicros, 30)
	orDefault(&s.Step.KVTokenMicros, 0.004)
	orDefault(&s.CacheEvents.Keep, 8192)
	orDefault(&s.ModelLoadMs, 20_000)
	orDefault(&s.AdapterLoadMs, 2_000)
	orDefault(&s.KVBandwidth, 500_000)
	return s
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// ReadSettings reads and checks a settings file and reports all findings at once.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(data)
}

// ParseSettings checks settings and fills in defaults.
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
