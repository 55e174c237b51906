package soak

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
)

// Kind of a fault.
type Kind string

// Kinds of faults. Target is a daemon, a server or nothing; Variant a Link or a name in the tables of inject.go.
const (
	DaemonKill    Kind = "daemon-kill"    // SIGKILL, started again after ForMs
	DaemonFreeze  Kind = "daemon-freeze"  // SIGSTOP, SIGCONT after ForMs
	DaemonStop    Kind = "daemon-stop"    // SIGTERM, started again ForMs after it ended
	DaemonReload  Kind = "daemon-reload"  // SIGHUP
	DaemonStore   Kind = "daemon-store"   // the link to the store
	DaemonCallers Kind = "daemon-callers" // the link to callers
	StoreOutage   Kind = "store-outage"
	StoreCompact  Kind = "store-compact" // the store forgets its history
	ServerFault   Kind = "server-fault"  // the server answers wrongly
	ServerLink    Kind = "server-link"
	ServerCrash   Kind = "server-crash" // back under another id after ForMs
	ServerDrain   Kind = "server-drain" // planned: draining, and a successor
	ConfigRoute   Kind = "config-route" // adds a route, and drops it after ForMs
	ConfigKey     Kind = "config-key"   // adds a key, and revokes it after ForMs
)

// Fault is one entry of a schedule.
type Fault struct {
	// AtMs is when it begins, from the start of traffic, and ForMs how long it lasts.
	AtMs    int    `json:"atMs"`
	Kind    Kind   `json:"kind"`
	Target  int    `json:"target"`
	Variant string `json:"variant,omitempty"`
	ForMs   int    `json:"forMs,omitempty"`
}

// Schedule is all that decides a run, except the timing of the machine.
type Schedule struct {
	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	Engines int    `json:"engines"`
	Plain   int    `json:"plain"`
	Callers int    `json:"callers"`
	// FaultsMs is the span in which faults begin; a calm span follows in which the deployment has to recover.
	FaultsMs int     `json:"faultsMs"`
	Faults   []Fault `json:"faults"`
	// Cause says what broke, in schedules that are kept as regression cases.
	Cause string `json:"cause,omitempty"`
}

// Bounds of schedules that are read from files, so that a run stays inside a few hundred processes.
const (
	maxDaemons = 100
	maxServers = 200
	maxCallers = 500
	maxSpanMs  = 3_600_000
)

// choice is a kind of fault with its weight, variants and longest duration.
type choice struct {
	kind     Kind
	weight   int
	variants []string
	maxMs    int
}

func links(list ...Link) []string {
	out := make([]string, len(list))
	for i, l := range list {
		out[i] = string(l)
	}
	return out
}

var allLinks = links(LinkSlow, LinkReset, LinkSilent, LinkSilentUp, LinkSilentDown)

var choices = []choice{
	{DaemonKill, 3, nil, 3_000},
	{DaemonFreeze, 3, nil, 5_000},
	{DaemonStop, 3, nil, 1_000},
	{DaemonReload, 1, nil, 0},
	{DaemonStore, 3, allLinks, 8_000},
	{DaemonCallers, 2, allLinks, 3_000},
	{StoreOutage, 3, outageNames, 6_000},
	{StoreCompact, 1, nil, 0},
	{ServerFault, 4, serverFaultNames, 5_000},
	{ServerLink, 3, allLinks, 5_000},
	{ServerCrash, 3, nil, 3_000},
	{ServerDrain, 3, nil, 1_000},
	{ConfigRoute, 3, nil, 5_000},
	{ConfigKey, 3, nil, 5_000},
}

// Generate draws a schedule. Faults come in series: one in three follows the one before it within 300 ms, and overlaps it.
func Generate(s Schedule, faults int) Schedule {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	total := 0
	for _, c := range choices {
		total += c.weight
	}
	at := 0
	for i := range faults {
		if i > 0 && random.IntN(3) == 0 {
			at += random.IntN(300)
		} else {
			at = random.IntN(s.FaultsMs)
		}
		s.Faults = append(s.Faults, s.draw(random, total, at))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return s
}

func (s *Schedule) draw(random *rand.Rand, total, at int) Fault {
	left := random.IntN(total)
	for _, c := range choices {
		if left -= c.weight; left >= 0 {
			continue
		}
		f := Fault{AtMs: at, Kind: c.kind, Target: random.IntN(max(s.Daemons, s.Engines+s.Plain))}
		if len(c.variants) > 0 {
			f.Variant = c.variants[random.IntN(len(c.variants))]
		}
		if c.maxMs > 0 {
			f.ForMs = 200 + random.IntN(c.maxMs)
		}
		return f
	}
	return Fault{AtMs: at, Kind: DaemonReload}
}

// Read reads a schedule as Write prints it.
func Read(in io.Reader) (Schedule, error) {
	var s Schedule
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.Wrap(err, "schedule")
	}
	return s, s.Check()
}

// Check returns what is wrong with a schedule.
func (s *Schedule) Check() error {
	for _, b := range []struct {
		name      string
		value     int
		low, high int
	}{
		{"daemons", s.Daemons, 1, maxDaemons},
		{"engines", s.Engines, 1, maxServers},
		{"plain", s.Plain, 1, maxServers},
		{"callers", s.Callers, 1, maxCallers},
		{"faultsMs", s.FaultsMs, 1, maxSpanMs},
	} {
		if b.value < b.low || b.value > b.high {
			return errors.Newf("schedule: %s must be from %d to %d, got %d", b.name, b.low, b.high, b.value)
		}
	}
	for i, f := range s.Faults {
		if err := f.check(); err != nil {
			return errors.Wrapf(err, "schedule: faults[%d]", i)
		}
	}
	return nil
}

func (f Fault) check() error {
	i := slices.IndexFunc(choices, func(c choice) bool { return c.kind == f.Kind })
	switch {
	case i < 0:
		return errors.Newf("kind %q does not exist", f.Kind)
	case len(choices[i].variants) > 0 && !slices.Contains(choices[i].variants, f.Variant):
		return errors.Newf("variant %q of %s does not exist", f.Variant, f.Kind)
	case f.AtMs < 0 || f.ForMs < 0 || f.Target < 0:
		return errors.New("atMs, forMs and target must not be negative")
	}
	return nil
}

// Write prints a schedule as JSON.
func (s Schedule) Write(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return errors.Wrap(e.Encode(s), "schedule")
}
