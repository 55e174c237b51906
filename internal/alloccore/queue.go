package alloccore

import (
	"container/heap"
	"container/list"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// priorityLevels is the number of request priorities.
const priorityLevels = 10

// tagScale is the fixed-point scale of fair queuing tags; it preserves precision in the division by a workspace's
// weight.
const tagScale = 1_000

// entry is a request that has not been answered yet.
type entry struct {
	call     uint64
	req      Request
	modelKey string
	class    Class
	mode     suspectMode
	priority int
	// kvTokens is the KV memory of the whole request. uncached is its prefill work on the engine with the longest cached
	// prefix, in tokens.
	kvTokens, uncached int
	enqueued           core.Micros
	// parts is the number of engines that the request needs.
	parts int
	// refuseAt is when the request is refused if it is still queued.
	refuseAt core.Micros

	lane     *lane
	flow     *flow
	flowNode *list.Element
	// arrivalNode is the element in the arrival-ordered list of the request's priority.
	arrivalNode *list.Element
}

// flow is the queue of one workspace within a priority level of a lane.
type flow struct {
	workspace string
	entries   *list.List
	// startTag is the fair queuing start tag of the first entry.
	startTag int64
	// serial breaks ties between equal start tags; the older flow comes first.
	serial uint64
	index  int
	weight int64
	// queued is the total work of the flow's requests.
	queued queuedWork
}

// weight returns the fair queuing weight of the request's workspace, at least 1.
func (ent *entry) weight() int64 { return int64(max(ent.req.Weight, 1)) }

func (f *flow) head() *entry { return f.entries.Front().Value.(*entry) }

// flowHeap is a min-heap of flows ordered by start tag.
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

// priorityLevel holds the requests of one priority in a lane.
type priorityLevel struct {
	flows       flowHeap
	byWorkspace map[string]*flow
	// lastServed is when the level was last served or, if later, became non-empty.
	lastServed core.Micros
	// weight is the sum of the flows' weights.
	weight int64
}

// laneKey identifies a lane. Requests that need different resources are queued in separate lanes, so that a request
// that cannot be placed does not block those that can.
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

// fairQueueState is the start-time fair queuing state of one priority, shared by all lanes. Tags are in tokens *
// tagScale / weight.
type fairQueueState struct {
	virtualTime int64
	finishTags  map[string]int64
}

// queuedWork is a sum over queued requests: their uncached prompt tokens and their KV memory in tokens.
type queuedWork struct{ uncached, memory int }

func (w *queuedWork) add(ent *entry, sign int) {
	w.uncached += sign * ent.uncached
	w.memory += sign * ent.kvTokens
}

// queue holds the requests that wait for a grant.
type queue struct {
	policy *Policy
	byCall map[uint64]*entry
	byKey  map[laneKey]*lane
	// lanes is in creation order.
	lanes      []*lane
	arrivals   [priorityLevels]*list.List
	fairStates [priorityLevels]fairQueueState
	work       [classes][priorityLevels]queuedWork
	// perWorkspace is the number of queued requests of each workspace.
	perWorkspace map[string]int
	serial       uint64
}

func newQueue(policy *Policy) *queue {
	q := &queue{policy: policy, byCall: map[uint64]*entry{}, byKey: map[laneKey]*lane{}, perWorkspace: map[string]int{}}
	for i := range q.arrivals {
		q.arrivals[i] = list.New()
		q.fairStates[i].finishTags = map[string]int64{}
	}
	return q
}

func (q *queue) len() int { return len(q.byCall) }

// push adds a request to the queue.
func (q *queue) push(now core.Micros, ent *entry) {
	q.byCall[ent.call] = ent
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

// addToSums adds a request to the sums behind the expected waits, or subtracts it if sign is -1.
func (q *queue) addToSums(ent *entry, sign int) {
	q.work[ent.class][ent.priority].add(ent, sign)
	q.perWorkspace[ent.req.Workspace] += sign
	if q.perWorkspace[ent.req.Workspace] == 0 {
		delete(q.perWorkspace, ent.req.Workspace)
	}
}

// startTag returns the start tag of a workspace whose flow becomes non-empty.
func (c *fairQueueState) startTag(workspace string) int64 {
	return max(c.virtualTime, c.finishTags[workspace])
}

// charge advances virtual time to the start tag of the served request and adds the request's cost to the finish tag of
// its workspace.
func (c *fairQueueState) charge(ent *entry) {
	start := max(ent.flow.startTag, c.finishTags[ent.flow.workspace])
	c.virtualTime = max(c.virtualTime, start)
	c.finishTags[ent.flow.workspace] = start + int64(ent.kvTokens)*tagScale/ent.weight()
}

// removeGranted removes a granted request and charges its workspace. Requests that leave the queue in another way are
// not charged.
func (q *queue) removeGranted(now core.Micros, ent *entry) {
	ent.lane.levels[ent.priority].lastServed = now
	q.fairStates[ent.priority].charge(ent)
	q.remove(ent)
}

// remove removes a request from the queue without charging its workspace.
func (q *queue) remove(ent *entry) {
	delete(q.byCall, ent.call)
	q.arrivals[ent.priority].Remove(ent.arrivalNode)
	q.addToSums(ent, -1)
	q.removeFromFlow(ent)
	ent.lane.waiting--
	if ent.lane.waiting == 0 {
		delete(q.byKey, ent.lane.key)
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l == ent.lane })
	}
	if q.arrivals[ent.priority].Len() == 0 {
		// No request of this priority is left, so the fair queuing state starts anew.
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

// refreshStartTags raises the start tag of the first flow if another lane has served its workspace in the meantime,
// until the first flow is up to date.
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

// heads returns the first requests of the first n flows of a level, in start tag order.
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

// effectivePriority returns the priority of a level after aging. The age counts from the last time that the level was
// served, so a level with a long backlog gains one grant at a time and does not overtake higher priorities permanently.
func (q *queue) effectivePriority(l *priorityLevel, priority int, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return priority
	}
	return priority + int((now-l.lastServed)/q.policy.AgingStep)
}

// agedPriority returns the priority of a request after aging by its own wait.
func (q *queue) agedPriority(ent *entry, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return ent.priority
	}
	return ent.priority + int((now-ent.enqueued)/q.policy.AgingStep)
}

// bestLevel returns the priority level of a lane to serve next, and its effective priority.
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
