package alloccore

import (
	"container/heap"
	"container/list"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// levels is the number of priorities.
const levels = 10

// costScale keeps the division by a workspace's weight precise.
const costScale = 1_000

// entry is a request that waits for its answer.
type entry struct {
	ask      uint64
	req      Request
	serveKey string
	class    Class
	mode     mode
	priority int
	// need is the KV memory of the whole request, uncached its prefill work on the best engine; tokens.
	need, uncached int
	enqueued       core.Micros
	// parts is the number of engines that the request takes.
	parts int
	// until is when the request is refused if it still waits.
	until core.Micros

	lane   *lane
	flow   *flow
	inFlow *list.Element
	// inArrivals is the place among the waiting requests of one priority, in order of arrival.
	inArrivals *list.Element
}

// flow is the queue of one workspace in a level.
type flow struct {
	workspace string
	entries   *list.List
	// start is the start tag of the first entry.
	start int64
	// serial decides ties of start tags by age.
	serial uint64
	index  int
	weight int64
	// queued sums the flow's requests.
	queued backlog
}

// weight returns the weight of the request's workspace in fair queuing.
func (x *entry) weight() int64 { return int64(max(x.req.Weight, 1)) }

func (f *flow) head() *entry { return f.entries.Front().Value.(*entry) }

// flowHeap orders flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
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

// level is the part of a lane with one priority.
type level struct {
	flows       flowHeap
	byWorkspace map[string]*flow
	// since is when the level was last served, or last became busy.
	since core.Micros
	// weight sums the weights of the flows.
	weight int64
}

// laneKey separates requests that wait for different things, so that one that waits for much does not block others.
type laneKey struct {
	class   Class
	model   string
	adapter string
	mode    mode
}

type lane struct {
	key     laneKey
	levels  [levels]level
	waiting int
}

// fairClock is the start-time fair queuing state of one priority, shared by all lanes. Tags are in tokens * costScale /
// weight.
type fairClock struct {
	virtual int64
	finish  map[string]int64
}

// backlog sums what waits in one class and priority.
type backlog struct{ uncached, memory int }

func (b *backlog) add(x *entry, sign int) {
	b.uncached += sign * x.uncached
	b.memory += sign * x.need
}

// queue holds the waiting requests.
type queue struct {
	policy *Policy
	byAsk  map[uint64]*entry
	byKey  map[laneKey]*lane
	// lanes in order of creation.
	lanes    []*lane
	arrivals [levels]*list.List
	clocks   [levels]fairClock
	waiting  [classes][levels]backlog
	// perWorkspace counts the waiting requests of each workspace.
	perWorkspace map[string]int
	serial       uint64
}

func newQueue(policy *Policy) *queue {
	q := &queue{policy: policy, byAsk: map[uint64]*entry{}, byKey: map[laneKey]*lane{}, perWorkspace: map[string]int{}}
	for i := range q.arrivals {
		q.arrivals[i] = list.New()
		q.clocks[i].finish = map[string]int64{}
	}
	return q
}

func (q *queue) len() int { return len(q.byAsk) }

// push adds a request.
func (q *queue) push(now core.Micros, x *entry) {
	q.byAsk[x.ask] = x
	x.inArrivals = q.arrivals[x.priority].PushBack(x)
	q.count(x, 1)
	x.lane = q.laneOf(x)
	x.lane.waiting++
	l := &x.lane.levels[x.priority]
	if len(l.flows) == 0 {
		l.since = now
	}
	q.pushFlow(l, x)
}

func (q *queue) laneOf(x *entry) *lane {
	key := laneKey{x.class, x.req.Model, x.req.Adapter, x.mode}
	l := q.byKey[key]
	if l == nil {
		l = &lane{key: key}
		q.byKey[key] = l
		q.lanes = append(q.lanes, l)
	}
	return l
}

func (q *queue) flowName(x *entry) string {
	if !q.policy.FairQueuing {
		return ""
	}
	return x.req.Workspace
}

func (q *queue) pushFlow(l *level, x *entry) {
	name := q.flowName(x)
	f := l.byWorkspace[name]
	if f == nil {
		q.serial++
		f = &flow{workspace: name, entries: list.New(), start: q.clocks[x.priority].start(name), serial: q.serial}
		if l.byWorkspace == nil {
			l.byWorkspace = map[string]*flow{}
		}
		l.byWorkspace[name] = f
		f.weight = x.weight()
		l.weight += f.weight
		heap.Push(&l.flows, f)
	}
	x.flow = f
	x.inFlow = f.entries.PushBack(x)
	f.queued.add(x, 1)
}

// count keeps the sums that expected waits are made of.
func (q *queue) count(x *entry, sign int) {
	q.waiting[x.class][x.priority].add(x, sign)
	q.perWorkspace[x.req.Workspace] += sign
	if q.perWorkspace[x.req.Workspace] == 0 {
		delete(q.perWorkspace, x.req.Workspace)
	}
}

// start returns the start tag of a workspace that becomes busy.
func (c *fairClock) start(workspace string) int64 { return max(c.virtual, c.finish[workspace]) }

// serve advances virtual time to the start tag of the served request and charges the workspace.
func (c *fairClock) serve(x *entry) {
	start := max(x.flow.start, c.finish[x.flow.workspace])
	c.virtual = max(c.virtual, start)
	c.finish[x.flow.workspace] = start + int64(x.need)*costScale/x.weight()
}

// serve removes a request that was granted. Requests that leave otherwise are not charged.
func (q *queue) serve(now core.Micros, x *entry) {
	x.lane.levels[x.priority].since = now
	q.clocks[x.priority].serve(x)
	q.remove(x)
}

// remove takes a request out.
func (q *queue) remove(x *entry) {
	delete(q.byAsk, x.ask)
	q.arrivals[x.priority].Remove(x.inArrivals)
	q.count(x, -1)
	q.removeFromFlow(x)
	x.lane.waiting--
	if x.lane.waiting == 0 {
		delete(q.byKey, x.lane.key)
		q.lanes = slices.DeleteFunc(q.lanes, func(l *lane) bool { return l == x.lane })
	}
	if q.arrivals[x.priority].Len() == 0 {
		// Nobody competes any more, so nobody owes anything.
		q.clocks[x.priority].virtual = 0
		clear(q.clocks[x.priority].finish)
	}
}

func (q *queue) removeFromFlow(x *entry) {
	l := &x.lane.levels[x.priority]
	f := x.flow
	wasHead := f.entries.Front() == x.inFlow
	f.entries.Remove(x.inFlow)
	f.queued.add(x, -1)
	if f.entries.Len() == 0 {
		l.weight -= f.weight
		heap.Remove(&l.flows, f.index)
		delete(l.byWorkspace, f.workspace)
		return
	}
	if wasHead {
		f.start = max(f.start, q.clocks[x.priority].finish[f.workspace])
		heap.Fix(&l.flows, f.index)
	}
}

// refresh raises the start tag of the first flow while another lane has served its workspace meanwhile.
func (q *queue) refresh(l *level, priority int) {
	for len(l.flows) > 0 {
		f := l.flows[0]
		finish := q.clocks[priority].finish[f.workspace]
		if finish <= f.start {
			return
		}
		f.start = finish
		heap.Fix(&l.flows, 0)
	}
}

// heads returns the first n requests of a level in order.
func (q *queue) heads(l *level, priority, n int) []*entry {
	out := make([]*entry, 0, n)
	taken := make([]*flow, 0, n)
	for len(out) < n {
		q.refresh(l, priority)
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

// effective returns the priority of a level after aging. The age counts from the last time that the level was served,
// so that a level with a long backlog gains one turn at a time and does not overtake higher priorities for good.
func (q *queue) effective(l *level, priority int, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return priority
	}
	return priority + int((now-l.since)/q.policy.AgingStep)
}

// aged returns the priority of a request raised by its own wait.
func (q *queue) aged(x *entry, now core.Micros) int {
	if !q.policy.Aging || q.policy.AgingStep <= 0 {
		return x.priority
	}
	return x.priority + int((now-x.enqueued)/q.policy.AgingStep)
}

// best returns the level of a lane to serve next, and its effective priority.
func (q *queue) best(l *lane, now core.Micros) (priority, effective int) {
	priority, effective = -1, -1
	for p := levels - 1; p >= 0; p-- {
		if len(l.levels[p].flows) == 0 {
			continue
		}
		if e := q.effective(&l.levels[p], p, now); e > effective {
			priority, effective = p, e
		}
	}
	return priority, effective
}
