package fakeengine

import (
	"os"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/findings"
)

// Settings of one engine. Zero values take the defaults of WithDefaults.
type Settings struct {
	// Listen is the IP address and port of the engine.
	Listen string `json:"listen"`
	// Seed makes everything random repeatable.
	Seed uint64 `json:"seed"`
	// TimeScale divides all modelled durations; 10 runs ten times faster. Default 1.
	TimeScale float64 `json:"timeScale"`
	// Models are ready from the start.
	Models []engine.LoadedModel `json:"models"`
	// Role at the start; default "mixed".
	Role engine.Role `json:"role"`
	// KVTokens is the KV memory in tokens; default 200,000.
	KVTokens int `json:"kvTokens"`
	// Step is the cost model of one step of the batch.
	Step StepCost `json:"step"`
}

// StepCost is the cost model of one step.
type StepCost struct {
	// BaseMicros is the time of an empty step; default 6,000.
	BaseMicros float64 `json:"baseMicros"`
	// PrefillTokenMicros is the time of one prompt token; default 50.
	PrefillTokenMicros float64 `json:"prefillTokenMicros"`
}

// WithDefaults fills in defaults.
func (s Settings) WithDefaults() Settings {
	orFloat(&s.TimeScale, 1)
	orInt(&s.KVTokens, 200_000)
	orFloat(&s.Step.BaseMicros, 6_000)
	orFloat(&s.Step.PrefillTokenMicros, 50)
	if s.Role == "" {
		s.Role = engine.RoleMixed
	}
	return s
}

func orInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func orFloat(v *float64, def float64) {
	if *v == 0 {
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
	places, list := findings.Decode(data, &s)
	if err := list.Err(); err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	list.Append(places.Locate(s.check())...)
	return s, list.Err()
}

func (s Settings) check() []findings.Finding {
	var l findings.List
	if s.Listen == "" {
		l.Add("/listen", "expected an IP address and port")
	}
	if s.TimeScale < 0 {
		l.Add("/timeScale", "expected a number above 0")
	}
	if s.KVTokens < engine.PrefixBlockTokens {
		l.Add("/kvTokens", "expected at least %d", engine.PrefixBlockTokens)
	}
	return l.Items()
}
