// Package quarantine finds out which requests crash the servers that begin to answer them, and says which requests must
// not run. Requests are compared by their traits: a hash of the request as a whole, and one of each part of its prompt that
// other requests may share.
//
// A Core judges crashes up to one stage of an answer. When a server's connections break, the requests whose answers had not
// reached the stage are its suspects. A trait is blamed once enough servers broke under requests that have it, none of which was
// ever answered, and its share of the traffic does not explain how often it was there. What is blamed is the set of traits that
// all those requests have in common, so that a sound trait that only came along is refused in that company alone. If servers
// crash under requests that have only some of them, a second verdict names these; the first one stays, in case the second proves
// wrong. An answer that reaches the stage clears the traits of its request, also after a verdict.
//
// Two Cores are used side by side. A request may crash servers after some events of its answer, so that only a complete answer
// shows that it is sound. Most crash them before the first event; there the suspects are few, and an answer that begins
// clears popular traits long before it ends.
//
// Core is a reducer: it has no clock, goroutine or I/O. Daemons exchange what they observe and the verdicts that they
// reach. Invariants:
//
//   - A trait that was cleared counts no earlier crash.
//   - A request is refused only if it has all traits of a verdict in force.
//   - A verdict that was lifted is not adopted again from a daemon or a store that has not heard of it.
package quarantine

import (
	"maps"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// minCrashes is the smallest number of crashes that can blame a trait.
	minCrashes = 3
	// minOtherCrashes is the smallest number of crashes that must remain without those at which the trait came along with one
	// other.
	minOtherCrashes = 2
	// smallSample is the number of recent requests under which popular traits may be missing among them.
	smallSample = 100
	// maxChance is the largest probability that the traffic alone explains the crashes of a trait that is blamed. When a
	// failure domain goes down, dozens of popular traits are judged at once.
	maxChance = 2e-5
	// maxNarrowChance is the same for a trait of a verdict that further servers crash under without the verdict's other traits,
	// if no request with it was answered recently.
	maxNarrowChance = 0.05
	// rareShare is the largest share of the traffic that is assumed for a trait that was not seen among a few requests.
	rareShare = 0.0133
	// freshAnswer is how long before a verdict an answer contradicts it.
	freshAnswer = 3 * core.Second
	// crashWindow is how long a broken connection of a server counts as the same crash. Servers take seconds to restart.
	crashWindow = core.Second
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * core.Minute
	// VerdictTTL is how long a verdict refuses requests. For as long after its end, a single crash puts it in force again.
	VerdictTTL = 10 * core.Minute
	// Bounds of the memory of a Core.
	maxCrashes     = 128
	maxSuspects    = 64 // of a crash
	maxVerdicts    = 256
	recentRequests = 512
	// maxTraits bounds the traits of a suspect, so that its record fits a datagram. A request with more of them counts as several
	// suspects.
	maxTraits = 4096
	// maxSuspectTraits and maxRecentTraits bound the traits of all suspects and of the sample of the traffic.
	maxSuspectTraits = 1 << 18
	maxRecentTraits  = 1 << 18
	// maxVerdictTraits bounds the traits of a verdict, which is an object in the store and part of summaries.
	maxVerdictTraits = 512
)

// Stage is a point in the course of an answer.
type Stage int

const (
	// BeforeAnswer: servers crash before the answer begins.
	BeforeAnswer Stage = iota
	// WithinAnswer: servers crash at any time before the answer is complete.
	WithinAnswer
)

func (s Stage) String() string {
	if s == WithinAnswer {
		return "within the answer"
	}
	return "before the answer"
}

// Verdict says that requests with all of some traits crash servers.
type Verdict struct {
	// Stage is that of the answers at which servers crash.
	Stage Stage
	// Traits is sorted.
	Traits []Trait
	// Age is the time since the verdict was reached or renewed.
	Age core.Micros
}

type verdict struct {
	traits []Trait
	made   core.Micros
}

func (v *verdict) inForce(now core.Micros) bool { return now < v.made+VerdictTTL }

// Core holds what one daemon knows about crashes up to one stage.
type Core struct {
	stage   Stage
	crashes []*crash // oldest first
	// suspectTraits counts the traits of all suspects.
	suspectTraits int
	// suspected counts the suspects and verdicts that have a trait.
	suspected map[Trait]int
	verdicts  []*verdict // oldest first
	// lifted holds the time at which a verdict was lifted or narrowed, by the hash of its traits.
	lifted map[Trait]core.Micros
	// recent holds the newest requests that were answered, oldest first, and recentTraits counts their traits.
	recent       []answered
	recentTraits int
	out          []Effect
}

// New returns a Core that knows nothing.
func New(stage Stage) *Core {
	return &Core{stage: stage, suspected: map[Trait]int{}, lifted: map[Trait]core.Micros{}}
}

// Step applies an event and returns the resulting effects, in order.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	switch e := ev.(type) {
	case ServerBroke:
		c.expire(e.Now)
		for part := range slices.Chunk(distinct(e.Traits), maxTraits) {
			if c.addSuspect(e.Now, e.Now, crash{process: e.Process, helpers: e.Helpers}, part) {
				c.emit(AnnounceSuspect{Process: e.Process, Helpers: e.Helpers, Traits: part})
				c.judge(e.Now, part)
			}
		}
	case PeerSawBreak:
		c.expire(e.Now)
		traits := distinct(e.Traits)
		if c.addSuspect(e.Now, e.Now-max(0, e.Age), crash{process: e.Process, helpers: e.Helpers}, traits) {
			c.judge(e.Now, traits)
		}
	case Answered:
		c.remember(answered{e.Now, e.Traits, c.weight(e.Took)})
		if sound := c.underSuspicion(e.Traits); len(sound) > 0 {
			c.clear(e.Now, sound)
			c.emit(AnnounceSound{Traits: sound})
		}
	case PeerSawAnswer:
		c.clear(e.Now, c.underSuspicion(e.Traits))
	case VerdictHeard:
		c.adopt(e.Now, e.Verdict)
	}
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// Blocked returns the verdict that refuses a request with the given traits for the longest time, and that time. It returns
// false if there is none.
func (c *Core) Blocked(now core.Micros, traits []Trait) (v Verdict, left core.Micros, blocked bool) {
	for _, o := range c.verdicts {
		if ends := o.made + VerdictTTL; ends > now+left && containsAll(traits, o.traits) {
			v, left, blocked = c.public(o, now), ends-now, true
		}
	}
	return v, left, blocked
}

// Accuses reports whether a verdict in force names one of the traits.
func (c *Core) Accuses(now core.Micros, traits []Trait) bool {
	return slices.ContainsFunc(c.verdicts, func(v *verdict) bool {
		return v.inForce(now) && slices.ContainsFunc(traits, func(t Trait) bool { return slices.Contains(v.traits, t) })
	})
}

// public returns a verdict as other packages see it.
func (c *Core) public(v *verdict, now core.Micros) Verdict {
	return Verdict{Stage: c.stage, Traits: v.traits, Age: now - v.made}
}

// Verdicts returns the verdicts in force, oldest first.
func (c *Core) Verdicts(now core.Micros) []Verdict {
	var out []Verdict
	for _, v := range c.verdicts {
		if v.inForce(now) {
			out = append(out, c.public(v, now))
		}
	}
	return out
}

// underSuspicion returns those of the traits that a suspect or a verdict has.
func (c *Core) underSuspicion(traits []Trait) []Trait {
	var out []Trait
	for _, t := range traits {
		if c.suspected[t] > 0 {
			out = append(out, t)
		}
	}
	return out
}

func (c *Core) count(traits []Trait, by int) {
	for _, t := range traits {
		if c.suspected[t] += by; c.suspected[t] <= 0 {
			delete(c.suspected, t)
		}
	}
}

// expire drops crashes and verdicts that are too old to count.
func (c *Core) expire(now core.Micros) {
	for len(c.crashes) > 0 && c.crashes[0].at+evidenceTTL <= now {
		c.dropCrash(0)
	}
	c.verdicts = slices.DeleteFunc(c.verdicts, func(v *verdict) bool {
		expired := v.made+2*VerdictTTL <= now
		if expired {
			c.count(v.traits, -1)
		}
		return expired
	})
	maps.DeleteFunc(c.lifted, func(_ Trait, at core.Micros) bool { return at+2*VerdictTTL <= now })
}

// clear removes traits of a request that was answered from all suspects and verdicts. A trait crashes servers whatever
// else a request has, so that each trait of an answered request is sound.
func (c *Core) clear(now core.Micros, sound []Trait) {
	if len(sound) == 0 {
		return
	}
	set := newTraitSet(sound)
	isSound := func(t Trait) bool { return set[t] }
	for _, r := range c.crashes {
		for n, traits := range r.suspects {
			r.suspects[n] = slices.DeleteFunc(traits, isSound)
			c.suspectTraits -= len(traits) - len(r.suspects[n])
		}
	}
	for _, t := range sound {
		delete(c.suspected, t)
	}
	for _, v := range slices.Clone(c.verdicts) {
		if slices.Contains(c.verdicts, v) && slices.ContainsFunc(v.traits, isSound) {
			c.narrow(now, v, isSound)
		}
	}
}

// narrow removes sound traits from a verdict, and lifts it if no other remains.
func (c *Core) narrow(now core.Micros, v *verdict, isSound func(Trait) bool) {
	c.lifted[hash(v.traits)] = now
	c.emit(VerdictLifted{Verdict: c.public(v, now)})
	v.traits = slices.DeleteFunc(slices.Clone(v.traits), isSound)
	if len(v.traits) == 0 {
		c.verdicts = slices.DeleteFunc(c.verdicts, func(o *verdict) bool { return o == v })
		return
	}
	c.dropDuplicates(v)
	if v.inForce(now) {
		c.emit(VerdictReached{Verdict: c.public(v, now)})
	}
}

// adopt applies a verdict of another daemon or of the store.
func (c *Core) adopt(now core.Micros, heard Verdict) {
	made := now - max(0, heard.Age)
	if len(heard.Traits) == 0 || len(heard.Traits) > maxVerdictTraits || made+VerdictTTL <= now {
		return
	}
	if at, ok := c.lifted[hash(heard.Traits)]; ok && made <= at {
		c.emit(AnnounceSound{Traits: c.soundOf(heard.Traits)})
		return
	}
	for _, v := range c.verdicts {
		if slices.Equal(v.traits, heard.Traits) {
			v.made = max(v.made, made)
			return
		}
	}
	heard.Traits = slices.Sorted(slices.Values(heard.Traits))
	c.convict(made, heard.Traits)
	c.emit(VerdictAdopted{Verdict: heard})
	c.contradict(now, heard.Traits)
}

// contradict clears those traits of a new verdict that a request had which this daemon saw answered shortly before. A daemon
// that has seen few requests may take a popular trait for a rare one.
func (c *Core) contradict(now core.Micros, traits []Trait) {
	accused, answered := newTraitSet(traits), traitSet{}
	for _, a := range c.recent {
		if a.at+freshAnswer <= now {
			continue
		}
		for _, t := range a.traits {
			if accused[t] {
				answered[t] = true
			}
		}
	}
	var sound []Trait
	for _, t := range traits {
		if answered[t] {
			sound = append(sound, t)
		}
	}
	if len(sound) > 0 {
		c.clear(now, sound)
		c.emit(AnnounceSound{Traits: sound})
	}
}

// soundOf returns the traits of a lifted verdict that no suspect or verdict has.
func (c *Core) soundOf(traits []Trait) []Trait {
	var out []Trait
	for _, t := range traits {
		if c.suspected[t] == 0 {
			out = append(out, t)
		}
	}
	return out
}

// convict puts a verdict in force and drops the crashes that it explains.
func (c *Core) convict(made core.Micros, traits []Trait) {
	v := &verdict{traits: traits, made: made}
	c.verdicts = append(c.verdicts, v)
	c.count(traits, 1)
	if len(c.verdicts) > maxVerdicts {
		c.count(c.verdicts[0].traits, -1)
		c.verdicts = slices.Delete(c.verdicts, 0, 1)
	}
	for i := len(c.crashes) - 1; i >= 0; i-- {
		if slices.ContainsFunc(c.crashes[i].suspects, func(s []Trait) bool { return containsAll(s, traits) }) {
			c.dropCrash(i)
		}
	}
}

// dropDuplicates drops other verdicts with the traits of v, which takes the newest of their times.
func (c *Core) dropDuplicates(v *verdict) {
	c.verdicts = slices.DeleteFunc(c.verdicts, func(o *verdict) bool {
		same := o != v && slices.Equal(o.traits, v.traits)
		if same {
			v.made = max(v.made, o.made)
			c.count(o.traits, -1)
		}
		return same
	})
}

// Key returns a name for the stage and the set of traits of a verdict.
func (v Verdict) Key() uint64 { return uint64(hash(v.Traits)) + uint64(v.Stage) }
