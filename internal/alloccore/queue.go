package alloccore

import (
	"container/heap"
	"container/list"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// priorityLevels is the number of priorities.
const priorityLevels = 10

// tagScale keeps the division by a workspace's weight precise.
const tagScale = 1_000

// entry is a request that waits for its answer.
type entry struct {
	ask      uint64
	req      Request
	modelKey string
	class    Class
	mode     suspectMode
	priority int
	// kvTokens is the KV memory of the whole request, uncached its prefill work on the best engine; tokens.
	kvTokens, uncached int
	enqueued           core.Micros
	// parts is the number of engines that the request takes.
	parts int
	// refuseAt is when the request is refused if it still waits.
	refuseAt core.Micros

	lane     *lane
	flow     *flow
	flowNode *list.Element
	// arrivalNode is the place among the waiting requests of one priority, in order of arrival.
	arrivalNode *list.Element
}

// flow is the queue of one workspace in a level.
type flow struct {
	workspace string
	entries   *list.List
	// startTag is the startTag tag of the first entry.
	startTag int64
	// serial decides ties of start tags by age.
	serial uint64
	index  int
	weight int64
	// queued sums the flow's requests.
	queued queuedWork
}

// weight returns the weight of the request's workspace in fair queuing.
func (ent *entry) weight() int64 { return int64(max(ent.req.Weight, 1)) }

func (f *flow) head() *entry { return f.entries.Front().Value.(*entry) }

// flowHeap orders flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].serial < h[j].serial
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}

// priorityLevel is the part of a lane with one priority.
type priorityLevel struct {
	flows       flowHeap
	byWorkspace map[string]*flow
	// lastServed is when the level was last served, or last became busy.
	lastServed core.Micros
	// weight sums the weights of the flows.
	weight int64
}

// laneKey separates requests that wait for different things, so that one that waits for much does not block others.
type laneKey struct {
	class   Class
	model   string
	adapter string
	mode    suspectMode
}

type lane struct {
	key     laneKey
	levels  [priorityLevels]priorityLevel
	waiting int
}

// fairQueueState is the start-time fair queuing state of one priority, shared by all lanes. Tags are in tokens * costScale /
// weight.
type fairQueueState struct {
	virtualTime int64
	finishTags  map[string]int64
}

// queuedWork sums what waits in one class and priority.
type queuedWork struct{ uncached, memory int }

func (b *queuedWork) add(ent *entry, sign int) {
	b.uncached += sign * ent.uncached
	b.memory += sign * ent.kvTokens
}

// queue holds the waiting requests.
type queue struct {
	policy *Policy
	byAsk  map[uint64]*entry
	byKey  map[laneKey]*lane
	// lanes in order of creation.
	lanes      []*lane
	arrivals   [priorityLevels]*list.List
	fairStates [priorityLevels]fairQueueState
	work       [classes][priorityLevels]queuedWork
	// perWorkspace counts the waiting requests of each workspace.
	perWorkspace map[string]int
	serial       uint64
}

func newQueue(policy *Policy) *queue {
	q := &queue{policy: policy, byAsk: map[uint64]*entry{}, byKey: map[laneKey]*lane{}, perWorkspace: map[string]int{}}
	for i := range q.arrivals {
		q.arrivals[i] = list.New()
		q.fairStates[i].finishTags = map[string]int64{}
	}
	return q
}

func (q *queue) len() int { return len(q.byAsk) }

// push adds a request.
func (q *queue) push(now core.Micros, ent *entry) {
	q.byAsk[ent.ask] = ent
	ent.arrivalNode = q.arrivals[ent.priority].PushBack(ent)
	q.addToSums(ent, 1)
	ent.lane = q.laneOf(ent)
	ent.lane.waiting++
	l := &ent.lane.levels[ent.priority]
	if len(l.flows) == 0 {
		l.lastServed = now
	}
	q.pushFlow(l, ent)
}

func (q *queue) laneOf(ent *entry) *lane {
	key := laneKey{ent.class, ent.req.Model, ent.req.Adapter, ent.mode}
	l := q.byKey[key]
	if l == nil {
		l = &lane{key: key}
		q.byKey[key] = l
		q.lanes = append(q.lanes, l)
	}
	return l
}

func (q *queue) flowKey(ent *entry) string {
	if !q.policy.FairQueuing {
		return ""
	}
	return ent.req.Workspace
}

func (q *queue) pushFlow(l *priorityLevel, ent *entry) {
	name := q.flowKey(ent)
	f := l.byWorkspace[name]
	if f == nil {
		q.serial++
		f = &flow{
			workspace: name, entries: list.New(), startTag: q.fairStates[ent.priority].startTag(name), serial: q.serial,
		}
		if l.byWorkspace == nil {
			l.byWorkspace = map[string]*flow{}
		}
		l.byWorkspace[name] = f
		f.weight = ent.weight()
		l.weight += f.weight
		heap.Push(&l.flows, f)
	}
	ent.flow = f
	ent.flowNode = f.entries.PushBack(ent)
	f.queued.add(ent, 1)
}

// addToSums keeps the sums that expected waits are made of.
func (q *queue) addToSums(ent *entry, sign int) {
	q.work[ent.class][ent.priority].add(ent, sign)
	q.perWorkspace[ent.req.Workspace] += sign
	if q.perWorkspace[ent.req.Workspace] == 0 {
		delete(q.perWorkspace, ent.req.Workspace)
	}
}

// startTag returns the startTag tag of a workspace that becomes busy.
func (c *fairQueueState) startTag(workspace string) int64 {
	return max(c.virtualTime, c.finishTags[workspace])
}

// charge advances virtual time to the start tag of the served request and charges the workspace.
func (c *fairQueueState) charge(ent *entry) {
	start := max(ent.flow.startTag, c.finishTags[ent.flow.workspace])
	c.virtualTime = max(c.virtualTime, start)
	c.finishTags[ent.flow.workspace] = start + int64(ent.kvTokens)*tagScale/ent.weight()
}

// removeGranted removes a request that was granted. Requests that leave otherwise are not charged.
func (q *queue) removeGranted(now core.Micros, ent *entry) {
	ent.lane.levels[ent.priority].lastServed = now
	q.fairStates[ent.priority].charge(ent)
	q.remove(ent)
}

// remove takes a request out.
func (q *queue) remove(ent *entry) {
	delete(q.byAsk, ent.ask)
	q.arrivals[ent.priority].Remove(ent.arrivalNode)
	q.addToSums(ent, -1)
	q.removeFromFlow(ent)
	ent.lane.waiting--
	if ent.lane.waiting == 0 {
		delete(q.byKey, ent.lane.key)
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l == ent.lane })
	}
	if q.arrivals[ent.priority].Len() == 0 {
		// Nobody competes any more, so nobody owes anything.
		q.fairStates[ent.priority].virtualTime = 0
		clear(q.fairStates[ent.priority].finishTags)
	}
}

func (q *queue) removeFromFlow(ent *entry) {
	l := &ent.lane.levels[ent.priority]
	f := ent.flow
	wasHead := f.entries.Front() == ent.flowNode
	f.entries.Remove(ent.flowNode)
	f.queued.add(ent, -1)
	if f.entries.Len() == 0 {
		l.weight -= f.weight
		heap.Remove(&l.flows, f.index)
		delete(l.byWorkspace, f.workspace)
		return
	}
	if wasHead {
		f.startTag = max(f.startTag, q.fairStates[ent.priority].finishTags[f.workspace])
		heap.Fix(&l.flows, f.index)
	}
}

// refreshStartTags raises the start tag of the first flow while another lane has served its workspace meanwhile.
func (q *queue) refreshStartTags(l *priorityLevel, priority int) {
	for len(l.flows) > 0 {
		f := l.flows[0]
		finish := q.fairStates[priority].finishTags[f.workspace]
		if finish <= f.startTag {
			return
		}
		f.startTag = finish
		heap.Fix(&l.flows, 0)
	}
}

// heads returns the first n requests of a level in order.
func (q *queue) heads(l *priorityLevel, priority, n int) []*entry {
	out := make([]*entry, 0, n)
	taken := make([]*flow, 0, n)
	for len(out) < n {
		q.refreshStartTags(l, priority)
		if len(l.flows) == 0 {
			break
		}
		f := heap.Pop(&l.flows).(*flow)
		taken = append(taken, f)
		out = append(out, f.head())
	}
	for _, f := range taken {
		heap.Push(&l.flows, f)
	}
	return out
}

// effectivePriority returns the priority of a level after aging. The age counts from the last time that the level was served,
// so that a level with a long backlog gains one turn at a time and does not overtake higher priorities for good.
func (q *queue) effectivePriority(l *priorityLevel, priority int, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return priority
	}
	return priority + int((now-l.lastServed)/q.policy.AgingStep)
}

// agedPriority returns the priority of a request raised by its own wait.
func (q *queue) agedPriority(ent *entry, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return ent.priority
	}
	return ent.priority + int((now-ent.enqueued)/q.policy.AgingStep)
}

// bestLevel returns the level of a lane to serve next, and its effective priority.
func (q *queue) bestLevel(l *lane, now core.Micros) (priority, effective int) {
	priority, effective = -1, -1
	for p := priorityLevels - 1; p >= 0; p-- {
		if len(l.levels[p].flows) == 0 {
			continue
		}
		if e := q.effectivePriority(&l.levels[p], p, now); e > effective {
			priority, effective = p, e
		}
	}
	return priority, effective
}
