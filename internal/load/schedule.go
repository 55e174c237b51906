package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/engine"
)

// Arrival is one request of the schedule. All its properties are determined before the run.
type Arrival struct {
	// At is the intended send time relative to the start of the run.
	At time.Duration
	// Class is an index into Mix.Classes, or -1 for a service call.
	Class int
	// Service is an index into Mix.Services, or -1 for a prompt.
	Service   int
	Workspace int
	// ID is "<class>-<number>" or "<route><path>-<number>". It is the same in every run of the mix with the same seed.
	ID           string
	PromptTokens int
	OutputTokens int
	// Prefix is the index of the shared text that the prompt begins with, or -1.
	Prefix int
	// Seed is the sampling seed that is sent with the request.
	Seed uint64
}

// Schedule returns the arrivals of the mix in order of time. only restricts it to the named classes and service routes;
// empty means all.
func Schedule(m Mix, only []string) []Arrival {
	var out []Arrival
	for i, c := range m.Classes {
		if selected(only, c.Name) {
			out = append(out, classArrivals(m, i)...)
		}
	}
	for i, s := range m.Services {
		if selected(only, s.Route) {
			out = append(out, serviceArrivals(m, i)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func selected(only []string, name string) bool {
	if len(only) == 0 {
		return true
	}
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return false
}

// newRand returns a random number generator seeded by the mix and the name of a part of it, so that the parts do not
// influence each other.
func newRand(m Mix, name string) *rand.Rand {
	return rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(name)))
}

func classArrivals(m Mix, class int) []Arrival {
	c := m.Classes[class]
	rng := newRand(m, "class "+c.Name)
	times := poissonTimes(rng, m.RatePerSecond*c.Share, m.DurationSeconds)
	for i, b := range m.Bursts {
		if b.Class == c.Name {
			times = append(times, burstTimes(newRand(m, fmt.Sprintf("burst %d", i)), b, m.DurationSeconds)...)
		}
	}
	out := make([]Arrival, 0, len(times))
	for n, at := range times {
		out = append(out, Arrival{
			At: at, Class: class, Service: -1, Workspace: pickWorkspace(rng, m.Workspaces),
			ID: fmt.Sprintf("%s-%d", c.Name, n), PromptTokens: logUniform(rng, c.PromptTokens),
			OutputTokens: uniform(rng, c.OutputTokens), Prefix: pickPrefix(rng, c.Prefix), Seed: rng.Uint64() >> 1,
		})
	}
	return out
}

func serviceArrivals(m Mix, service int) []Arrival {
	s := m.Services[service]
	rng := newRand(m, "service "+s.Route+s.Path)
	var out []Arrival
	for n, at := range poissonTimes(rng, m.RatePerSecond*s.Share, m.DurationSeconds) {
		out = append(out, Arrival{
			At: at, Class: -1, Service: service, Workspace: pickWorkspace(rng, m.Workspaces), Prefix: -1,
			ID: fmt.Sprintf("%s%s-%d", s.Route, s.Path, n), Seed: rng.Uint64() >> 1,
		})
	}
	return out
}

func poissonTimes(rng *rand.Rand, rate, seconds float64) []time.Duration {
	var out []time.Duration
	if rate <= 0 {
		return nil
	}
	for at := rng.ExpFloat64() / rate; at < seconds; at += rng.ExpFloat64() / rate {
		out = append(out, secondsToDuration(at))
	}
	return out
}

func burstTimes(rng *rand.Rand, b Burst, seconds float64) []time.Duration {
	var out []time.Duration
	for begin := b.OffsetSeconds; begin < seconds; begin += b.EverySeconds {
		for range b.Requests {
			if at := begin + rng.Float64()*b.OverSeconds; at < seconds {
				out = append(out, secondsToDuration(at))
			}
		}
		if b.EverySeconds == 0 {
			break
		}
	}
	return out
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func uniform(rng *rand.Rand, r Range) int { return r.Min + rng.IntN(r.Max-r.Min+1) }

func logUniform(rng *rand.Rand, r Range) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	n := int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
	return min(max(n, r.Min), r.Max)
}

func pickWorkspace(rng *rand.Rand, list []Workspace) int {
	total := 0.0
	for _, w := range list {
		total += w.Weight
	}
	at := rng.Float64() * total
	for i, w := range list {
		if at -= w.Weight; at < 0 {
			return i
		}
	}
	return len(list) - 1
}

func pickPrefix(rng *rand.Rand, p Prefix) int {
	chosen, n := rng.Float64() < p.Share, rng.IntN(max(1, p.Count))
	if !chosen {
		return -1
	}
	return n
}

// Prompt returns the prompt text of an arrival, which is PromptTokens long.
func Prompt(m Mix, a Arrival) string {
	size := a.PromptTokens * engine.BytesPerToken
	var b strings.Builder
	b.Grow(size)
	if a.Prefix >= 0 {
		c := m.Classes[a.Class]
		name := fmt.Sprintf("%s/%s/%d", m.Workspaces[a.Workspace].Name, c.Name, a.Prefix)
		fill(&b, name, min(size, c.Prefix.Tokens*engine.BytesPerToken))
	}
	fill(&b, fmt.Sprintf("%d/%s", m.Seed, a.ID), size-b.Len())
	return b.String()
}

// filler is the constant text that follows the unique hash in each line of a prompt.
const filler = "the crew checks the harness, reads the note on the board and writes down what was found before it leaves. "

// fill appends size bytes of text derived from name. Every line begins with a hash, so that texts of different names
// differ in every block of a prefix cache.
func fill(b *strings.Builder, name string, size int) {
	seed := xxhash.Sum64String(name)
	for i := uint64(0); size > 0; i++ {
		line := fmt.Sprintf("%016x %s", seed+i*0x9e3779b97f4a7c15, filler)
		n := min(size, len(line))
		b.WriteString(line[:n])
		size -= n
	}
}
