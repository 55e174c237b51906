package soak

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Target is the index of a daemon or server, or unused; Variant is a Link or a name in the tables of
// inject.go.
const (
	DaemonKill    Kind = "daemon-kill"    // SIGKILL, restart after ForMs
	DaemonFreeze  Kind = "daemon-freeze"  // SIGSTOP, SIGCONT after ForMs
	DaemonStop    Kind = "daemon-stop"    // SIGTERM, restart ForMs after the exit
	DaemonReload  Kind = "daemon-reload"  // SIGHUP
	DaemonUpgrade Kind = "daemon-upgrade" // SIGTERM, start of the next program (Options.Next) ForMs after the exit
	DaemonsLost   Kind = "daemons-lost"   // SIGKILL or SIGSTOP of several daemons at once; a server starts to drain 20 ms later
	DaemonStore   Kind = "daemon-store"   // the link to the store
	DaemonCallers Kind = "daemon-callers" // the link to callers
	StoreOutage   Kind = "store-outage"
	StoreCompact  Kind = "store-compact"  // the store compacts its history
	StoreRestored Kind = "store-restored" // the store is away for ForMs and returns from a copy that is some seconds old
	ServerFault   Kind = "server-fault"   // the server misbehaves as the variant says
	ServerLink    Kind = "server-link"
	ServerCrash   Kind = "server-crash" // a successor with another id starts after ForMs
	ServerDrain   Kind = "server-drain" // planned replacement: drains, then a successor starts
	ConfigRoute   Kind = "config-route" // adds a route and removes it after ForMs
	ConfigKey     Kind = "config-key"   // adds a key and revokes it after ForMs
	ServerLimit   Kind = "server-limit" // the server names the variant as its limit of requests a second
	DaemonsCut    Kind = "daemons-cut"  // two thirds of the daemons are cut off from all servers
	DeadlyPart    Kind = "deadly-part"  // some prompts have a part under which each engine crashes, as the variant says
)

// Fault is one fault of a schedule.
type Fault struct {
	// AtMs is the start of the fault in milliseconds from the start of traffic, and ForMs its duration in milliseconds.
	AtMs    int    `json:"atMs"`
	Kind    Kind   `json:"kind"`
	Target  int    `json:"target"`
	Variant string `json:"variant,omitempty"`
	ForMs   int    `json:"forMs,omitempty"`
}

// Schedule determines a run, except for the timing of the machine.
type Schedule struct {
	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	Engines int    `json:"engines"`
	Plain   int    `json:"plain"`
	Callers int    `json:"callers"`
	// FaultsMs is the period in which faults start; a period without faults follows, in which the deployment must recover.
	FaultsMs int     `json:"faultsMs"`
	Faults   []Fault `json:"faults"`
	// Kinds are the names of the kinds of requests that callers send; empty for all.
	Kinds []string `json:"kinds,omitempty"`
	// HardLoad adds failure domains, their evacuations, cold servers, stalled bodies and a workspace with most of the traffic.
	HardLoad bool `json:"hardLoad,omitempty"`
	// Stops adds stops of many daemons in a series and silences of engines.
	Stops bool `json:"stops,omitempty"`
	// Cause describes the failure, in schedules that are kept as regression tests.
	Cause string `json:"cause,omitempty"`
}

// Limits of schedules, so that a run stays within a few hundred processes.
const (
	maxDaemons  = 100
	maxServers  = 200
	maxCallers  = 500
	maxFaultsMs = 3_600_000
)

// faultSpec is a kind of fault with its weight in drawn schedules, its variants and the range of its duration.
type faultSpec struct {
	kind     Kind
	weight   int
	variants []string
	maxMs    int
}

func linkNames(list ...Link) []string {
	out := make([]string, len(list))
	for i, l := range list {
		out[i] = string(l)
	}
	return out
}

// Variants of DaemonsLost.
const (
	lostKilled = "killed"
	lostFrozen = "frozen"
)

// Variants of DeadlyPart: engines crash before or within the answer, or before it under a part that comes behind many others.
const (
	deadlyBefore    = ""
	deadlyWithin    = "within-answer"
	deadlyAmongMany = "among-many"
)

var allLinkNames = linkNames(LinkSlow, LinkReset, LinkSilent, LinkSilentUp, LinkSilentDown)

var faultSpecs = []faultSpec{
	{DaemonKill, 3, nil, 3_000},
	{DaemonFreeze, 3, nil, 5_000},
	{DaemonStop, 3, nil, 1_000},
	{DaemonReload, 1, nil, 0},
	{DaemonUpgrade, 0, nil, 1_000},
	{DaemonsLost, 2, []string{lostKilled, lostFrozen}, 5_000},
	{DaemonStore, 3, allLinkNames, 8_000},
	{DaemonCallers, 2, allLinkNames, 3_000},
	{StoreOutage, 3, outageNames, 6_000},
	{StoreCompact, 1, nil, 0},
	{StoreRestored, 2, nil, 1_500},
	{ServerFault, 4, serverFaultNames, 5_000},
	{ServerLink, 3, allLinkNames, 5_000},
	{ServerCrash, 3, nil, 3_000},
	{ServerDrain, 3, nil, 1_000},
	{ConfigRoute, 3, nil, 5_000},
	{ConfigKey, 3, nil, 5_000},
	{ServerLimit, 3, []string{"0.5", "1", "3"}, 8_000},
	{DaemonsCut, 2, []string{cutSilent, cutRefused, cutRefusedNew}, 9_000},
	{DeadlyPart, 3, []string{deadlyBefore, deadlyWithin, deadlyAmongMany}, 12_000},
}

// Generate adds drawn faults to a schedule. On average, one fault in three starts within 300 ms of the previous one, so that
// faults overlap.
func Generate(s Schedule, faults int) Schedule {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	total := 0
	for _, c := range s.specs() {
		total += c.weight
	}
	at := 0
	for i := range faults {
		if i > 0 && random.IntN(3) == 0 {
			at += random.IntN(300)
		} else {
			at = random.IntN(s.FaultsMs)
		}
		s.Faults = append(s.Faults, s.drawFault(random, total, at))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return s
}

// specs returns the kinds of faults that a schedule may have.
func (s *Schedule) specs() []faultSpec {
	out := faultSpecs
	if s.HardLoad {
		out = slices.Concat(out, hardLoadSpecs)
	}
	if s.Stops {
		out = slices.Concat(out, stopSpecs)
	}
	return out
}

func (s *Schedule) drawFault(random *rand.Rand, total, at int) Fault {
	remaining := random.IntN(total)
	for _, c := range s.specs() {
		if remaining -= c.weight; remaining >= 0 {
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

// Read reads and checks a schedule in the format of Write.
func Read(in io.Reader) (Schedule, error) {
	var s Schedule
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.Wrap(err, "decode schedule")
	}
	return s, s.Check()
}

// Check returns an error that names the first invalid field of a schedule.
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
		{"faultsMs", s.FaultsMs, 1, maxFaultsMs},
	} {
		if b.value < b.low || b.value > b.high {
			return errors.Newf("schedule: %s must be from %d to %d, got %d", b.name, b.low, b.high, b.value)
		}
	}
	for _, name := range s.Kinds {
		if !slices.ContainsFunc(requestKinds, func(k *requestKind) bool { return k.name == name }) {
			return errors.Newf("schedule: kinds: kind of request %q does not exist", name)
		}
	}
	for i, f := range s.Faults {
		if err := f.check(s.specs()); err != nil {
			return errors.Wrapf(err, "schedule: faults[%d]", i)
		}
	}
	return nil
}

func (f Fault) check(specs []faultSpec) error {
	i := slices.IndexFunc(specs, func(c faultSpec) bool { return c.kind == f.Kind })
	switch {
	case i < 0:
		return errors.Newf("kind %q does not exist", f.Kind)
	case len(specs[i].variants) > 0 && !slices.Contains(specs[i].variants, f.Variant):
		return errors.Newf("variant %q of %s does not exist", f.Variant, f.Kind)
	case f.AtMs < 0 || f.ForMs < 0 || f.Target < 0:
		return errors.Newf("atMs, forMs and target must not be negative, got %d, %d and %d", f.AtMs, f.ForMs, f.Target)
	}
	return nil
}

// Write writes a schedule as JSON.
func (s Schedule) Write(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return errors.Wrap(e.Encode(s), "write schedule")
}
