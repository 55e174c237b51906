// Package member runs the membership protocol of package membercore: it performs the core's effects with UDP packets,
// the SyncMembers call and timers, and provides the daemon's view of the other daemons.
package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
)

// Timeouts and intervals.
const (
	// syncTimeout limits the duration of a full exchange.
	syncTimeout = 3 * time.Second
	// hostPollInterval is the mean interval between calls for the platform's host list. It limits the load on the
	// platform: 360 daemons make 6 calls per second.
	hostPollInterval = 60 * time.Second
	// isolatedHostPollInterval replaces hostPollInterval while no other daemon is known.
	isolatedHostPollInterval = 5 * time.Second
	hostPollTimeout          = 2 * time.Second
)

// Transport sends and receives packets. It is implemented by *peer.UDP.
type Transport interface {
	Send(address string, packet *pb.Packet) error
	Serve(handle func(packet *pb.Packet)) error
	Close() error
}

// Syncer calls SyncMembers of another daemon. It is implemented by *peer.Pool.
type Syncer interface {
	SyncMembers(ctx context.Context, address string, req *pb.SyncMembersRequest) (*pb.SyncMembersResponse, error)
}

var (
	_ Transport         = (*peer.UDP)(nil)
	_ Syncer            = (*peer.Pool)(nil)
	_ peer.MemberSource = (*Membership)(nil)
)

// Options configure the membership of one daemon.
type Options struct {
	Name string
	// Address is the daemon's peer address, an IP address and port that other daemons reach over UDP and TCP.
	Address       string
	Region        string
	FailureDomain string
	// Seeds are the peer addresses of other daemons from the settings.
	Seeds []string
	// Hosts returns hosts whose addresses are used as additional seeds, usually platform.Store.Hosts. It may be nil.
	Hosts func(ctx context.Context) ([]platform.Host, error)
	// SkipHost reports whether an address of the host list is not a daemon's, such as that of a backend server. It may be
	// nil.
	SkipHost func(address string) bool
	// Seed initializes the core's random number generator.
	Seed      uint64
	Transport Transport
	Syncer    Syncer
	Log       *slog.Logger
	// OnStep, if not nil, is called with every event and its effects, in order, to record golden sessions.
	OnStep func(event membercore.Event, effects []membercore.Effect)
}

// Listener holds callbacks for membership events. Nil functions are skipped. The functions are called without a lock
// held and must not block. Calls of Changed may be delayed, so Changed should read the current view from Members.
type Listener struct {
	// Changed is called after a change of Members.
	Changed func()
	// Generation is called if the daemon at address from has a configuration with a higher generation.
	Generation func(generation uint64, from string)
	// Records is called with crash records of other daemons that were not known before.
	Records func(records []membercore.CrashRecord)
	// Joined is called after the first full exchange with another daemon.
	Joined func()
}

// Membership runs the membership protocol for one daemon. It is safe for concurrent use.
type Membership struct {
	options Options
	clock   shell.Clock
	timers  shell.Timers

	mu   sync.Mutex
	core *membercore.Core
	// view caches the result of Members; nil after a change.
	view atomic.Pointer[[]membercore.Member]

	listenersMu sync.Mutex
	listeners   []Listener

	background sync.WaitGroup
	ctx        context.Context
}

// New returns the membership of a daemon. It joins the cluster when Run is called.
func New(options Options) *Membership {
	clock := shell.NewClock()
	self := membercore.Member{
		Name: options.Name, Address: options.Address, Region: options.Region, FailureDomain: options.FailureDomain,
		Incarnation: uint64(clock.Now()),
	}
	return &Membership{options: options, clock: clock, core: membercore.New(self, options.Seed), ctx: context.Background()}
}

// Subscribe adds a listener. Call it before Run so that no event is missed.
func (m *Membership) Subscribe(l Listener) {
	m.listenersMu.Lock()
	defer m.listenersMu.Unlock()
	m.listeners = append(m.listeners, l)
}

// Run participates in the membership protocol until ctx is done or the transport fails, then closes the transport.
func (m *Membership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	serveErr := make(chan error, 1)
	go func() { serveErr <- m.options.Transport.Serve(m.receive) }()
	m.step(membercore.Started{Now: m.clock.Now(), Seeds: m.options.Seeds})
	if m.options.Hosts != nil {
		m.background.Go(func() { m.pollHosts(ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErr:
		err = errors.Wrap(err, "receive membership packets")
	}
	m.mu.Lock()
	cancel()
	m.mu.Unlock()
	m.timers.Stop()
	err = errors.CombineErrors(err, m.options.Transport.Close())
	m.background.Wait()
	return err
}

// Members returns all known members, including this daemon, sorted by name. The caller must not modify the slice.
func (m *Membership) Members() []membercore.Member {
	if view := m.view.Load(); view != nil {
		return *view
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.core.Members()
	m.view.Store(&view)
	return view
}

// Self returns the record of this daemon.
func (m *Membership) Self() membercore.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Self()
}

// Leave announces to the other daemons that this one takes no new work. It keeps answering until Run ends.
func (m *Membership) Leave() {
	m.step(membercore.LeaveRequested{Now: m.clock.Now()})
}

// SetGeneration sets the generation of this daemon's active configuration, which all packets carry.
func (m *Membership) SetGeneration(generation uint64) {
	m.step(membercore.GenerationSet{Now: m.clock.Now(), Generation: generation})
}

// Hint sends a hint, which carries the generation, to each of the given addresses at once.
func (m *Membership) Hint(addresses []string) {
	m.step(membercore.HintRequested{Now: m.clock.Now(), To: addresses})
}

// AddRecords disseminates crash records created by this daemon. Urgent ones are sent to other members at once,
// regardless of the limit of hints per interval.
func (m *Membership) AddRecords(records []membercore.CrashRecord, urgent bool) {
	m.step(membercore.RecordsAdded{Now: m.clock.Now(), Records: records, Urgent: urgent})
}

// SyncMembers handles a full exchange started by another daemon.
func (m *Membership) SyncMembers(_ context.Context, req *pb.SyncMembersRequest) (*pb.SyncMembersResponse, error) {
	effects := m.step(membercore.SyncRequested{Now: m.clock.Now(), Table: membercore.Table{
		Members: membersFromProto(req.GetMembers()), Records: recordsFromProto(req.GetCrashRecords()),
		Generation: req.GetGeneration(),
	}})
	for _, effect := range effects {
		if reply, ok := effect.(membercore.ReplySync); ok {
			return &pb.SyncMembersResponse{
				Members: membersToProto(reply.Table.Members), CrashRecords: recordsToProto(reply.Table.Records),
				Generation: reply.Table.Generation,
			}, nil
		}
	}
	return nil, errors.New("membership core returned no reply to SyncMembers")
}

func (m *Membership) receive(packet *pb.Packet) {
	p, ok := packetFromProto(packet)
	if !ok {
		return
	}
	m.step(membercore.PacketReceived{Now: m.clock.Now(), Packet: p})
}

// step applies an event to the core and performs the effects. Timers are set under the core's lock, so that the latest
// one of a key takes effect; the other effects are performed after the lock is released.
func (m *Membership) step(event membercore.Event) []membercore.Effect {
	m.mu.Lock()
	effects := m.core.Step(event)
	if m.options.OnStep != nil {
		m.options.OnStep(event, effects)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case membercore.SetTimer:
			m.timers.Set(e.Key, e.At-m.clock.Now(), func() {
				m.step(membercore.TimerFired{Now: m.clock.Now(), Key: e.Key})
			})
		case membercore.MemberChanged, membercore.MemberRemoved:
			m.view.Store(nil)
		}
	}
	ctx := m.ctx
	m.mu.Unlock()
	m.perform(ctx, effects)
	return effects
}

func (m *Membership) perform(ctx context.Context, effects []membercore.Effect) {
	changed := false
	for _, effect := range effects {
		switch e := effect.(type) {
		case membercore.SendPacket:
			m.send(e)
		case membercore.StartSync:
			m.startSync(ctx, e)
		case membercore.MemberChanged:
			changed = true
			m.logChange(e)
		case membercore.MemberRemoved:
			changed = true
		case membercore.NameConflict:
			m.options.Log.Error("another daemon runs under the name of this one", "name", e.Other.Name, "address", e.Other.Address)
		}
	}
	// Call Changed before Joined. Otherwise a daemon that has joined but sees no peers yet would act as if it were alone.
	if changed {
		m.notify(func(l Listener) {
			if l.Changed != nil {
				l.Changed()
			}
		})
	}
	m.notifyReceived(effects)
}

func (m *Membership) notifyReceived(effects []membercore.Effect) {
	for _, effect := range effects {
		m.notify(func(l Listener) {
			switch e := effect.(type) {
			case membercore.GenerationSeen:
				if l.Generation != nil {
					l.Generation(e.Generation, e.From)
				}
			case membercore.RecordsLearned:
				if l.Records != nil {
					l.Records(e.Records)
				}
			case membercore.Joined:
				if l.Joined != nil {
					l.Joined()
				}
			}
		})
	}
}

func (m *Membership) logChange(e membercore.MemberChanged) {
	if e.Member.State == e.Previous {
		return
	}
	m.options.Log.Info("member changed", "member", e.Member.Name, "address", e.Member.Address,
		"state", string(e.Member.State), "previous", string(e.Previous), "incarnation", e.Member.Incarnation)
}

func (m *Membership) notify(call func(Listener)) {
	m.listenersMu.Lock()
	listeners := m.listeners
	m.listenersMu.Unlock()
	for _, l := range listeners {
		call(l)
	}
}

func (m *Membership) send(e membercore.SendPacket) {
	if err := m.options.Transport.Send(e.To, packetToProto(e.Packet)); err != nil {
		m.options.Log.Debug("failed to send packet", "to", e.To, "err", err)
	}
}

func (m *Membership) startSync(ctx context.Context, e membercore.StartSync) {
	// Hold the lock: Run cancels the context under it before it waits for background calls, so none starts afterwards.
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	m.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		res, err := m.options.Syncer.SyncMembers(ctx, e.To, &pb.SyncMembersRequest{
			Members: membersToProto(e.Table.Members), CrashRecords: recordsToProto(e.Table.Records),
			Generation: e.Table.Generation,
		})
		if err != nil {
			m.options.Log.Debug("full exchange of the membership table failed", "peer", e.To, "err", err)
			return
		}
		m.step(membercore.SyncAnswered{Now: m.clock.Now(), Table: membercore.Table{
			Members: membersFromProto(res.GetMembers()), Records: recordsFromProto(res.GetCrashRecords()),
			Generation: res.GetGeneration(),
		}})
	})
}

// pollHosts periodically updates the seeds with the platform's host list.
func (m *Membership) pollHosts(ctx context.Context) {
	for {
		m.refreshSeeds(ctx)
		interval := hostPollInterval
		if len(m.Members()) == 1 {
			interval = isolatedHostPollInterval
		}
		// Jitter avoids synchronized calls of daemons that start at the same time.
		wait := interval/2 + rand.N(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (m *Membership) refreshSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostPollTimeout)
	defer cancel()
	hosts, err := m.options.Hosts(ctx)
	if err != nil {
		m.options.Log.Debug("failed to read host list", "err", err)
		return
	}
	seeds := append([]string(nil), m.options.Seeds...)
	for _, host := range hosts {
		if host.State == platform.HostLive && (m.options.SkipHost == nil || !m.options.SkipHost(host.Address)) {
			seeds = append(seeds, host.Address)
		}
	}
	m.step(membercore.SeedsChanged{Now: m.clock.Now(), Seeds: seeds})
}
