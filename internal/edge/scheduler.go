package edge

import (
	"context"
	"log/slog"
	"sync"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/shell"
)

// jobRepeatPeriod is how long a new job, or a server that was heard to be leaving, is repeated in summaries, in case the
// first datagram was lost.
const jobRepeatPeriod = 1200 * core.Millisecond

// scheduler runs dispatch.Core: it serializes the events and performs their effects.
type scheduler struct {
	now       func() core.Micros
	log       *slog.Logger
	broadcast func(urgent bool, add func(p *carobstilev1.EdgePacket))
	// broadcastToAll reaches the daemons of all cells.
	broadcastToAll func(add func(p *carobstilev1.EdgePacket))
	// onServer is told what this daemon's requests show of the way to their servers.
	onServer serverObserver
	timers   shell.Timers

	mu      sync.Mutex
	core    *dispatch.Core
	waiting map[uint64]chan placement
	ownJobs map[uint64]*ownJob
}

type placement struct {
	plan    dispatch.Plan
	refusal *forward.Refusal
}

// ownJob is a commitment of this daemon, as announced to the neighbours.
type ownJob struct {
	dispatch.Job
	placed core.Micros
}

func newScheduler(domain, name string, now func() core.Micros, log *slog.Logger) *scheduler {
	return &scheduler{
		now: now, log: log, core: dispatch.New(domain, name), onServer: nobody{}, waiting: map[uint64]chan placement{}, ownJobs: map[uint64]*ownJob{},
	}
}

var _ forward.Scheduler = (*scheduler)(nil)

// Place implements forward.Scheduler.
func (s *scheduler) Place(ctx context.Context, w dispatch.Work) (dispatch.Plan, error) {
	result := make(chan placement, 1)
	s.mu.Lock()
	s.waiting[w.ID] = result
	s.step(dispatch.Arrived{Now: s.now(), Work: w})
	s.mu.Unlock()
	select {
	case p := <-result:
		if p.refusal != nil {
			return dispatch.Plan{}, p.refusal
		}
		return p.plan, nil
	case <-ctx.Done():
		s.RecordCancellation(w.ID)
		return dispatch.Plan{}, ctx.Err()
	}
}

// RecordFirstEvent implements forward.Scheduler.
func (s *scheduler) RecordFirstEvent(id uint64) {
	s.onServer.answered(s.lead(id))
	s.Step(dispatch.FirstEvent{Now: s.now(), ID: id})
}

// RecordFinish implements forward.Scheduler.
func (s *scheduler) RecordFinish(id uint64) {
	s.onServer.answered(s.lead(id))
	s.Step(dispatch.Finished{Now: s.now(), ID: id})
}

// lead returns the server that leads a job, "" if the job is unknown.
func (s *scheduler) lead(id uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Lead(id)
}

// RecordCancellation implements forward.Scheduler.
func (s *scheduler) RecordCancellation(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.step(dispatch.Cancelled{Now: s.now(), ID: id})
}

// RecordFailure implements forward.Scheduler. The neighbours are notified of servers that are unreachable or stalled, as
// they cannot use them either, and of refusals, which they count as their own.
func (s *scheduler) RecordFailure(server string, f dispatch.Fault) { s.recordFailure(server, f, f) }

// recordNoReport records that an engine has given no report in time. Whether a connection was made is not known.
func (s *scheduler) recordNoReport(server string) {
	s.recordFailure(server, dispatch.FaultUnreachable, dispatch.FaultStalled)
}

// recordFailure records a failure that shows a fault of the server, and one of the way to it.
func (s *scheduler) recordFailure(server string, f, way dispatch.Fault) {
	s.Step(dispatch.ServerFailed{Now: s.now(), Server: server, Fault: f})
	s.onServer.failed(server, way)
	if s.onServer.CutOff() {
		return // the neighbours reach it
	}
	switch f {
	case dispatch.FaultUnreachable, dispatch.FaultStalled, dispatch.FaultRefused:
		s.broadcast(f != dispatch.FaultRefused, func(p *carobstilev1.EdgePacket) {
			p.Faults = append(p.Faults, &carobstilev1.EdgeFault{Server: server, Fault: int32(f)})
		})
	case dispatch.FaultBroken, dispatch.FaultErrored, dispatch.FaultReplaced:
	}
}

// RecordNotice implements forward.Scheduler.
func (s *scheduler) RecordNotice(p dispatch.Process, n dispatch.Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !n.Empty() {
		s.step(dispatch.ServerNotice{Now: s.now(), Process: p, Notice: n})
	}
	return s.core.Accepts(s.now(), p)
}

// RecordAnswer implements forward.Scheduler.
func (s *scheduler) RecordAnswer(p dispatch.Process, sent core.Micros, n dispatch.Notice) {
	s.onServer.answered(p.ID)
	s.Step(dispatch.ServerAnswered{Now: s.now(), Process: p, Sent: sent, Notice: n})
}

// Accepts reports whether a process may receive something new from this daemon now.
func (s *scheduler) Accepts(p dispatch.Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Accepts(s.now(), p)
}

// Declines reports whether a process has said that it takes nothing new from this daemon now.
func (s *scheduler) Declines(p dispatch.Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Declines(s.now(), p)
}

// leavingProcesses returns all processes that are known to be leaving.
func (s *scheduler) leavingProcesses() []*carobstilev1.EdgeProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeProcesses(s.core.LeavingProcesses())
}

func encodeProcesses(list []dispatch.Process) []*carobstilev1.EdgeProcess {
	out := make([]*carobstilev1.EdgeProcess, 0, len(list))
	for _, p := range list {
		out = append(out, &carobstilev1.EdgeProcess{Server: p.ID, StartedAt: p.StartedAt})
	}
	return out
}

// recordLeaving records the processes that a neighbour reported as leaving.
func (s *scheduler) recordLeaving(list []*carobstilev1.EdgeProcess) {
	for _, p := range list {
		process := dispatch.Process{ID: p.GetServer(), StartedAt: p.GetStartedAt()}
		s.Step(dispatch.PeerSawLeaving{Now: s.now(), Process: process})
	}
}

// Accepting implements forward.Scheduler.
func (s *scheduler) Accepting(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Accepting(s.now(), service)
}

// Unreachable implements forward.Scheduler.
func (s *scheduler) Unreachable(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Unreachable(s.now(), server)
}

// widePrompts returns the number of wide prompts that wait in the cell.
func (s *scheduler) widePrompts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.QueueLength()
}

// domainLoads returns the loads of the failure domains as this daemon sees them.
func (s *scheduler) domainLoads() []dispatch.DomainLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.DomainLoads()
}

// Step applies an event and performs its effects.
func (s *scheduler) Step(ev dispatch.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(ev)
}

// step is Step for callers that hold mu. None of the effects blocks.
func (s *scheduler) step(ev dispatch.Event) {
	for _, effect := range s.core.Step(ev) {
		switch e := effect.(type) {
		case dispatch.Assign:
			s.deliver(e.ID, placement{plan: e.Plan})
		case dispatch.Refuse:
			s.deliver(e.ID, placement{refusal: &forward.Refusal{RetryAfter: e.RetryAfter.Duration(), Reason: e.Reason, Elsewhere: e.Elsewhere}})
		case dispatch.SetTimer:
			s.timers.Set("waiting", e.At-s.now(), func() { s.Step(dispatch.Tick{Now: s.now()}) })
		case dispatch.Announce:
			s.announceJob(e)
		case dispatch.AnnounceQueued:
			s.log.Info("wide prompt queued", "job", e.Queued.ID, "service", e.Queued.Service, "prompt_tokens", e.Queued.Prompt)
			q := encodeQueued(e.Queued)
			s.broadcast(true, func(p *carobstilev1.EdgePacket) { p.Queued = append(p.Queued, q) })
		case dispatch.AnnounceWaiting:
			s.broadcast(true, func(p *carobstilev1.EdgePacket) { p.Waiting = append(p.Waiting, encodeWaiting(e.Waiting)) })
		case dispatch.AnnounceFirst:
			if j := s.ownJobs[e.ID]; j != nil {
				j.Decoding, j.Late = true, e.Late
			}
			s.broadcast(false, func(p *carobstilev1.EdgePacket) {
				p.First = append(p.First, e.ID)
				if e.Late {
					p.FirstLate = append(p.FirstLate, e.ID)
				}
			})
		case dispatch.AnnounceEnd:
			delete(s.ownJobs, e.ID)
			s.broadcast(e.Urgent, func(p *carobstilev1.EdgePacket) { p.Ended = append(p.Ended, e.ID) })
		case dispatch.LimitChanged:
			s.log.Info("server limits its requests", "server", e.Process.ID, "limited", e.Named, "per_second", e.PerSecond)
			l := encodeLimit(dispatch.PeerSawLimit{Process: e.Process, Named: e.Named, PerSecond: e.PerSecond})
			s.broadcastToAll(func(p *carobstilev1.EdgePacket) { p.Limits = append(p.Limits, l) })
		case dispatch.AnnounceCold:
			cold := encodeCold(dispatch.PeerSawCold{Process: e.Process, Left: e.Left})
			s.broadcastToAll(func(p *carobstilev1.EdgePacket) { p.Colds = append(p.Colds, cold) })
		case dispatch.ColdChanged:
			if e.Cold {
				s.log.Info("server is cold", "server", e.Process.ID, "left_ms", e.Left/core.Millisecond)
			} else {
				s.log.Info("server is no longer cold", "server", e.Process.ID)
			}
		case dispatch.RefusalsChanged:
			message := "server refuses most requests"
			if !e.Refusing {
				message = "server no longer refuses most requests"
			}
			s.log.Info(message, "server", e.Process.ID, "share", e.Share)
		case dispatch.PauseStarted:
			s.log.Info("server asked for a pause", "server", e.Process.ID, "retry_after", e.Text)
		case dispatch.AnnounceLeaving:
			s.log.Info("server says that it is leaving", "server", e.Process.ID, "started_at", e.Process.StartedAt)
			s.broadcast(true, func(p *carobstilev1.EdgePacket) {
				p.Leaving = append(p.Leaving, encodeProcesses([]dispatch.Process{e.Process})...)
			})
		}
	}
}

func (s *scheduler) deliver(id uint64, p placement) {
	if result := s.waiting[id]; result != nil {
		delete(s.waiting, id)
		result <- p
	}
}

func (s *scheduler) announceJob(e dispatch.Announce) {
	now := s.now()
	j := &ownJob{Job: e.Job, placed: now}
	s.ownJobs[e.Job.ID] = j
	add := func(p *carobstilev1.EdgePacket) { p.Placed = append(p.Placed, j.encode(now)) }
	if e.ToAll {
		s.broadcastToAll(add)
		return
	}
	s.broadcast(true, add)
}

func encodeQueued(q dispatch.Queued) *carobstilev1.EdgeQueued {
	return &carobstilev1.EdgeQueued{
		Id: q.ID, Service: q.Service, PromptTokens: int64(q.Prompt), EndInMicros: int64(q.EndIn), Workspace: q.Workspace,
		Fingerprint: q.Fingerprint,
	}
}

func decodeQueued(q *carobstilev1.EdgeQueued) dispatch.Queued {
	return dispatch.Queued{
		ID: q.GetId(), Service: q.GetService(), Prompt: int(q.GetPromptTokens()), EndIn: core.Micros(q.GetEndInMicros()), Workspace: q.GetWorkspace(),
		Fingerprint: q.GetFingerprint(),
	}
}

func encodeWaiting(w dispatch.Waiting) *carobstilev1.EdgeWaiting {
	return &carobstilev1.EdgeWaiting{
		Id: w.ID, Service: w.Service, Rank: int64(w.Rank), PauseMicros: int64(w.MaxPause), DueInMicros: int64(w.DueIn), Workspace: w.Workspace,
		PromptTokens: int64(w.Prompt), AnswerTokens: int64(w.Answer), Fingerprint: w.Fingerprint,
	}
}

func decodeWaiting(w *carobstilev1.EdgeWaiting) dispatch.Waiting {
	return dispatch.Waiting{
		ID: w.GetId(), Service: w.GetService(), Rank: int(w.GetRank()), MaxPause: core.Micros(w.GetPauseMicros()),
		DueIn: core.Micros(w.GetDueInMicros()), Workspace: w.GetWorkspace(),
		Prompt: int(w.GetPromptTokens()), Answer: int(w.GetAnswerTokens()), Fingerprint: w.GetFingerprint(),
	}
}

func encodeLimit(l dispatch.PeerSawLimit) *carobstilev1.EdgeLimit {
	return &carobstilev1.EdgeLimit{
		Server: l.Process.ID, StartedAt: l.Process.StartedAt, Named: l.Named, PerSecond: l.PerSecond, AgeMicros: int64(l.Age),
	}
}

// recordLimits records the limits that processes have named to another daemon.
func (s *scheduler) recordLimits(list []*carobstilev1.EdgeLimit) {
	for _, l := range list {
		s.Step(dispatch.PeerSawLimit{
			Now: s.now(), Process: dispatch.Process{ID: l.GetServer(), StartedAt: l.GetStartedAt()}, Named: l.GetNamed(),
			PerSecond: l.GetPerSecond(), Age: core.Micros(l.GetAgeMicros()),
		})
	}
}

func encodeCold(c dispatch.PeerSawCold) *carobstilev1.EdgeCold {
	return &carobstilev1.EdgeCold{
		Server: c.Process.ID, StartedAt: c.Process.StartedAt, LeftMicros: int64(c.Left), AgeMicros: int64(c.Age),
	}
}

// recordColds records what processes have told another daemon about how long they stay cold.
func (s *scheduler) recordColds(list []*carobstilev1.EdgeCold) {
	for _, c := range list {
		s.Step(dispatch.PeerSawCold{
			Now: s.now(), Process: dispatch.Process{ID: c.GetServer(), StartedAt: c.GetStartedAt()},
			Left: core.Micros(c.GetLeftMicros()), Age: core.Micros(c.GetAgeMicros()),
		})
	}
}

// coldNotices returns what the processes that are cold have said about it.
func (s *scheduler) coldNotices() []*carobstilev1.EdgeCold {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*carobstilev1.EdgeCold
	for _, cold := range s.core.ColdNotices(now, now, true) {
		out = append(out, encodeCold(cold))
	}
	return out
}

// coldServers returns the number of servers that are cold.
func (s *scheduler) coldServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ColdServers(s.now())
}

// fillSummary lists all jobs that this daemon runs and its queued prompts. It adds the details of those placed less than jobRepeatPeriod ago,
// or of all if full is set.
func (s *scheduler) fillSummary(p *carobstilev1.EdgePacket, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	p.Leaving = encodeProcesses(s.core.HeardLeaving(now - jobRepeatPeriod))
	if full {
		p.Leaving = encodeProcesses(s.core.LeavingProcesses())
	}
	for _, l := range s.core.LimitChanges(now, now-jobRepeatPeriod, full) {
		p.Limits = append(p.Limits, encodeLimit(l))
	}
	for _, cold := range s.core.ColdNotices(now, now-jobRepeatPeriod, full) {
		p.Colds = append(p.Colds, encodeCold(cold))
	}
	for _, q := range s.core.QueuedPrompts(now) {
		p.Active = append(p.Active, q.ID)
		p.Queued = append(p.Queued, encodeQueued(q))
	}
	for id, j := range s.ownJobs {
		p.Active = append(p.Active, id)
		if full || now-j.placed < jobRepeatPeriod {
			p.Placed = append(p.Placed, j.encode(now))
		}
	}
}

func (j *ownJob) encode(now core.Micros) *carobstilev1.EdgeJob {
	elapsed := now - j.placed
	out := &carobstilev1.EdgeJob{
		Id: j.ID, Service: j.Service, Lead: j.Lead, Helpers: j.Helpers, PromptTokens: int64(j.Prompt),
		AnswerTokens: int64(j.Answer), PauseMicros: int64(j.MaxPause), FirstInMicros: int64(j.FirstIn - elapsed),
		EndInMicros: int64(j.EndIn - elapsed), Writing: j.Decoding, Late: j.Late,
		Workspace: j.Workspace, Fingerprint: j.Fingerprint,
	}
	for _, r := range j.Reservations {
		out.Holds = append(out.Holds, &carobstilev1.EdgeHold{Server: r.Server, Tokens: int64(r.Tokens)})
	}
	return out
}

func decodeJob(j *carobstilev1.EdgeJob) dispatch.Job {
	out := dispatch.Job{
		ID: j.GetId(), Service: j.GetService(), Lead: j.GetLead(), Helpers: j.GetHelpers(),
		Prompt: int(j.GetPromptTokens()), Answer: int(j.GetAnswerTokens()), MaxPause: core.Micros(j.GetPauseMicros()),
		FirstIn: core.Micros(j.GetFirstInMicros()), EndIn: core.Micros(j.GetEndInMicros()), Decoding: j.GetWriting(),
		Late: j.GetLate(), Workspace: j.GetWorkspace(), Fingerprint: j.GetFingerprint(),
	}
	for _, r := range j.GetHolds() {
		out.Reservations = append(out.Reservations, dispatch.Reservation{Server: r.GetServer(), Tokens: int(r.GetTokens())})
	}
	return out
}
