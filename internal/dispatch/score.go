package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// lateLoss is the share of its benefit that a late request loses.
	lateLoss = 0.75
	// A prediction that reaches certainlyLate times the target is late, one below surelyOnTime times the target is not;
	// between them the probability grows linearly. The band covers the unknown position inside the current pass.
	surelyOnTime  = 0.75
	certainlyLate = 1.15
	// A request of worthTokens tokens (the prompt, and answerWeight times the answer) is worth one unit of benefit. Only
	// the ratio between requests matters. Up to longTokens the benefit grows faster than the length, as the engine time
	// does; users state 1.3, 4.2 and 21 for mean lengths of 22,000, 55,000 and 162,000. Beyond it grows linearly, as it
	// does among requests of one kind.
	worthTokens   = 20_000
	answerWeight  = 10
	worthExponent = 1.375
	longTokens    = 160_000
	longBase      = 0.3
	minWorth      = 0.3
	// openEngineLoss is charged, as a share of a writer's worth, for the first writer with short pauses on an engine:
	// an engine without such writers can read long prompts without making anything late. Less is charged while more
	// such engines are free than long prompts need, down to minOpenShare once spareEngines more are.
	openEngineLoss = 0.3
	minOpenShare   = 0.05
	spareEngines   = 3
	// readHeadroom is how many engines are kept free for each engine that reads of long prompts keep busy on average.
	readHeadroom = 1.4
	// readMemory is the time over which the reading of long prompts is averaged.
	readMemory = 3 * core.Second
	// An engine that has more than queueMs left to read delays what comes after. queueLoss is charged for each
	// millisecond beyond, since an engine earns about four units of benefit a second; less is charged while the
	// requests that run are worth less than fullStake an engine.
	queueMs   = 700
	queueLoss = 0.006
	fullStake = 3
	// helperRisk is the probability that a helping engine fails while it reads, which ends the whole request.
	helperRisk = 0.0005
	// loadLoss breaks ties in favour of engines with less to do, per millisecond.
	loadLoss = 0.00002
	// Daemons hear of one another's choices some milliseconds late. So that they do not all choose the same engine until
	// then, each request prefers some engines by up to spreadLoss for each daemon. With 60 daemons and none, most prompts
	// that were late had met others that were placed within 20 ms.
	spreadLoss = 0.00015
	// otherDomainLoss is charged for a server in another failure domain; bytes between domains cost money.
	otherDomainLoss = 0.01
)

// readerCounts are the numbers of engines tried for one prompt; a request names at most 16 helpers.
var readerCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

// worth estimates the benefit of a request by its size.
func worth(prompt, answer int) float64 {
	size := float64(prompt + answerWeight*answer)
	w := math.Pow(min(size, longTokens)/worthTokens, worthExponent)
	if size > longTokens {
		w *= longBase + (1-longBase)*size/longTokens
	}
	return max(minWorth, w)
}

// lateProbability returns how probably something predicted to take took is later than target.
func lateProbability(took, target float64) float64 {
	if target <= 0 {
		return 0
	}
	x := (took/target - surelyOnTime) / (certainlyLate - surelyOnTime)
	return min(1, max(0, x))
}

func ms(m core.Micros) float64 { return float64(m) / float64(core.Millisecond) }

func micros(ms float64) core.Micros { return core.Micros(ms * float64(core.Millisecond)) }

// candidate is a server under consideration for one request.
type candidate struct {
	*server
	pass, pending float64 // ms
	// queueLoss is the loss for each millisecond that the engine's queue is too long.
	queueLoss float64
	harm      float64
	// loss is the harm and what else speaks against the engine.
	loss float64
	// preference is a loss that differs between requests and counts only when engines are compared.
	preference float64
}

// preference returns a number from 0 to 1 that is the same at every look at a request.
func preference(w *Work, s *server) float64 {
	const bits = 32
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], w.ID)
	d := xxhash.NewWithSeed(s.hash)
	_, _ = d.Write(id[:]) // a Digest never returns an error
	return float64(d.Sum64()>>(64-bits)) / (1 << bits)
}

// harmOf predicts what the requests on a server lose if it reads cost more milliseconds.
func (c *candidate) harmOf(now core.Micros, cost float64) float64 {
	before := c.pass + c.pending
	after := before + cost
	loss := c.queueLoss * (max(0, c.pending+cost-queueMs) - max(0, c.pending-queueMs))
	for _, j := range c.jobs {
		if j.late {
			continue
		}
		if j.writing {
			pause := ms(j.pause)
			loss += j.worth * lateLoss * (lateProbability(after, pause) - lateProbability(before, pause))
			continue
		}
		left := ms(j.firstBy - now)
		if left > 0 {
			loss += j.worth * lateLoss * (lateProbability(after, left) - lateProbability(before, left))
		}
	}
	return loss
}

// finishMs predicts when a part of cost ms is read, counted from now.
func (c *candidate) finishMs(cost float64) float64 {
	return c.pass/2 + c.pass + c.pending + cost
}

// opens returns the loss of putting the first writer with pauses as short as pause on the engine.
func (c *candidate) opens(pause core.Micros, w float64, demand float64) float64 {
	if c.shares(pause) {
		return 0
	}
	return openEngineLoss * w * demand
}

// shares reports whether the engine has a writer whose pauses must be at least as short.
func (c *candidate) shares(pause core.Micros) bool {
	for _, j := range c.jobs {
		if j.pause <= pause {
			return true
		}
	}
	return false
}

// openDemand returns how much engines without writers of short pauses are needed for longer prompts: 1 if all are,
// minOpenShare if enough are left over.
func (c *Core) openDemand(now core.Micros, w *Work, list []*candidate) float64 {
	free := -1.0
	for _, s := range list {
		if !s.shares(w.Pause) {
			free++
		}
	}
	needed := readHeadroom * c.readers.load(now, w.Service, w.Pause)
	spare := (free - needed) / spareEngines
	return min(1, max(minOpenShare, 1-spare))
}

// option is a way to run a request.
type option struct {
	lead    *candidate
	helpers []*candidate
	holds   []heldMemory
	firstMs float64
	loss    float64
	// passing is the part of the loss that may be less a little later.
	passing float64
}

// engineOption returns the option with the least predicted loss, or nil if no engine can lead now.
func (c *Core) engineOption(now core.Micros, w *Work, list []*candidate) *option {
	var best *option
	demand := c.openDemand(now, w, list)
	for _, n := range readerCounts {
		if n > len(list) {
			break
		}
		if o := c.withReaders(now, w, list, n, demand); o != nil && (best == nil || o.loss < best.loss) {
			best = o
		}
		if best != nil && best.passing == 0 {
			break // nobody is delayed, so that more readers cannot lower the loss
		}
	}
	return best
}

// withReaders returns the best option in which n engines read the prompt.
func (c *Core) withReaders(now core.Micros, w *Work, list []*candidate, n int, demand float64) *option {
	model := list[0].model
	cost := model.ReadMs(w.Prompt) / float64(n)
	value := worth(w.Prompt, w.Answer)
	for _, s := range list {
		s.harm = s.harmOf(now, cost*s.pace)
		s.loss = s.harm + loadLoss*(s.pass+s.pending) + s.failureRate*value
	}
	lead := c.bestLead(w, list, value, demand)
	if lead == nil {
		return nil
	}
	o := &option{lead: lead, passing: lead.harm}
	o.loss = lead.loss + lead.opens(w.Pause, value, demand) + c.domainLoss(lead.server)
	o.helpers = bestHelpers(list, lead, n-1)
	if len(o.helpers) < n-1 {
		return nil
	}
	o.firstMs = lead.finishMs(cost * lead.pace)
	for _, h := range o.helpers {
		o.firstMs = max(o.firstMs, h.finishMs(cost*h.pace))
		o.passing += h.harm
		o.loss += h.loss + helperRisk*value
	}
	late := value * ownLateness(now, w, o.firstMs)
	o.passing += late
	o.loss += late
	return o
}

// ownLateness returns the share of its benefit that a request loses by its first event coming after firstMs.
func ownLateness(now core.Micros, w *Work, firstMs float64) float64 {
	sinceArrival := ms(now-w.Arrived) + firstMs
	loss := lateLoss * lateProbability(sinceArrival, ms(w.FirstBy-w.Arrived))
	return loss + (1-lateLoss)*lateProbability(sinceArrival, ms(w.GiveUp-w.Arrived))
}

// bestLead returns the engine with the least loss that has a slot and memory for the whole request.
func (c *Core) bestLead(w *Work, list []*candidate, value, demand float64) *candidate {
	need := w.Prompt + w.Answer
	var best *candidate
	bestLoss := 0.0
	for _, s := range list {
		if s.freeSlots() <= 0 || s.freeMemory() < need {
			continue
		}
		loss := s.loss + s.opens(w.Pause, value, demand) + c.domainLoss(s.server) + s.preference
		if best == nil || loss < bestLoss {
			best, bestLoss = s, loss
		}
	}
	return best
}

func (c *Core) domainLoss(s *server) float64 {
	if s.Domain == c.domain {
		return 0
	}
	return otherDomainLoss
}

// bestHelpers returns the n engines with the least harm beside the lead.
func bestHelpers(list []*candidate, lead *candidate, n int) []*candidate {
	if n == 0 {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(list), func(s *candidate) bool { return s == lead })
	slices.SortStableFunc(others, func(a, b *candidate) int {
		return cmp.Compare(a.loss+a.preference, b.loss+b.preference)
	})
	return others[:min(n, len(others))]
}
