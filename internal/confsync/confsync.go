// Package confsync is the shell of confcore: it reads roots and chunks from the platform and from other daemons, checks
// their hashes, builds the index of the configuration in force and serves both to other daemons.
package confsync

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/confcore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/member"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
)

// Fetcher calls FetchConfig of another daemon; *peer.Pool is the real one.
type Fetcher interface {
	FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// Membership is what the shell needs of *member.Membership.
type Membership interface {
	Members() []membercore.Member
	Subscribe(l member.Listener)
	SetGeneration(generation uint64)
	Hint(addresses []string)
}

var (
	_ Fetcher           = (*peer.Pool)(nil)
	_ Membership        = (*member.Membership)(nil)
	_ peer.ConfigSource = (*Sync)(nil)
)

// Options configure the configuration of one daemon.
type Options struct {
	// Self is this daemon as the others know it.
	Self confcore.Peer
	// Seed of the core's random choices.
	Seed    uint64
	Store   platform.Store
	Peers   Fetcher
	Members Membership
	Log     *slog.Logger
	// WhileWatching run in the background while this daemon is one of the watchers of its failure domain, until their
	// context ends.
	WhileWatching []func(ctx context.Context)
	// Record, if not nil, is called with every event and its effects, in order, for golden sessions.
	Record func(event confcore.Event, effects []confcore.Effect)
}

// Sync keeps the configuration of one daemon up to date.
type Sync struct {
	options Options
	clock   shell.Clock
	timers  shell.Timers
	cache   *cache
	current atomic.Pointer[config.Index]
	ready   chan struct{}

	mu        sync.Mutex
	core      *confcore.Core
	ctx       context.Context
	stopWatch context.CancelFunc

	subscribersMu sync.Mutex
	subscribers   []func(*config.Index)

	background sync.WaitGroup
}

// New returns the configuration of a daemon, which is fetched once Run is called. It subscribes to membership.
func New(options Options) *Sync {
	s := &Sync{
		options: options, clock: shell.NewClock(), cache: newCache(), ready: make(chan struct{}),
		core: confcore.New(options.Self, options.Seed), ctx: context.Background(),
	}
	options.Members.Subscribe(member.Listener{
		Changed: s.peersChanged,
		Generation: func(generation uint64, from string) {
			s.step(func() confcore.Event {
				return confcore.GenerationSeen{Now: s.clock.Now(), Generation: generation, From: from}
			})
		},
		Joined: func() { s.step(func() confcore.Event { return confcore.Joined{Now: s.clock.Now()} }) },
	})
	return s
}

// Run keeps the configuration up to date until ctx is done. It returns nil.
func (s *Sync) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.step(func() confcore.Event { return confcore.Started{Now: s.clock.Now()} })
	s.peersChanged()
	<-ctx.Done()
	// Under the lock, so that no call starts after the wait below began.
	s.mu.Lock()
	cancel()
	s.mu.Unlock()
	s.timers.Stop()
	s.background.Wait()
	return nil
}

// Current returns the configuration in force, nil before the first.
func (s *Sync) Current() *config.Index { return s.current.Load() }

// Ready is closed once the daemon has a configuration and has asked or waited for a peer.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Subscribe calls notify with each configuration that comes into force, in order. It is called without a lock that
// Current needs, and must not block.
func (s *Sync) Subscribe(notify func(*config.Index)) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	s.subscribers = append(s.subscribers, notify)
}

// FetchConfig answers another daemon with the root in force and the chunks asked for that are here, as many as fit one
// message.
func (s *Sync) FetchConfig(_ context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	res := &pb.FetchConfigResponse{}
	if index := s.Current(); index != nil {
		res.Generation = index.Generation
	}
	if req.GetMinGeneration() > 0 {
		res.Root = s.cache.rootFrom(req.GetMinGeneration())
	}
	res.Chunks = s.cache.batch(req.GetChunkHashes())
	return res, nil
}

func (s *Sync) peersChanged() {
	s.step(func() confcore.Event {
		// Read under the lock of step, so that an older list cannot follow a newer one.
		return confcore.PeersChanged{Now: s.clock.Now(), Peers: s.peers()}
	})
}

func (s *Sync) peers() []confcore.Peer {
	var out []confcore.Peer
	for _, m := range s.options.Members.Members() {
		if m.Name != s.options.Self.Name && m.TakesWork() {
			out = append(out, confcore.Peer{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain})
		}
	}
	return out
}

// step runs the core, sets timers under its lock so that a later one wins, and performs the other effects after it.
func (s *Sync) step(event func() confcore.Event) {
	s.mu.Lock()
	ev := event()
	effects := s.core.Step(ev)
	if s.options.Record != nil {
		s.options.Record(ev, effects)
	}
	for _, effect := range effects {
		s.performLocked(effect)
	}
	s.mu.Unlock()
	for _, effect := range effects {
		if e, ok := effect.(confcore.Announce); ok {
			s.options.Members.SetGeneration(e.Generation)
			s.options.Members.Hint(e.To)
		}
	}
}

// performLocked performs what must keep its order; calls run in the background.
func (s *Sync) performLocked(effect confcore.Effect) {
	switch e := effect.(type) {
	case confcore.SetTimer:
		s.timers.Set(e.Key, e.At-s.clock.Now(), func() {
			s.step(func() confcore.Event { return confcore.TimerFired{Now: s.clock.Now(), Key: e.Key} })
		})
	case confcore.SetWatch:
		s.setWatch(e.On)
	case confcore.PollRoot:
		s.spawn(s.pollRoot)
	case confcore.ReadRoot:
		s.spawn(func(ctx context.Context) { s.readRoot(ctx, e) })
	case confcore.ReadChunks:
		s.cache.aim(e.Generation)
		s.spawn(func(ctx context.Context) { s.readChunks(ctx, e) })
	case confcore.Adopt:
		s.cache.aim(e.Generation)
		s.spawn(func(context.Context) { s.adopt(e.Generation) })
	case confcore.Ready:
		close(s.ready)
	}
}

// spawn runs a call in the background, unless Run has ended. It is called with the lock held.
func (s *Sync) spawn(run func(ctx context.Context)) {
	ctx := s.ctx
	if ctx.Err() == nil {
		s.background.Go(func() { run(ctx) })
	}
}

func (s *Sync) setWatch(on bool) {
	if s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
	if on && s.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.stopWatch = cancel
		s.background.Go(func() { s.watch(ctx) })
		for _, run := range s.options.WhileWatching {
			s.background.Go(func() { run(ctx) })
		}
	}
}

// adopt builds the index of the target and puts it into force.
func (s *Sync) adopt(generation uint64) {
	start := time.Now()
	index, err := s.cache.build(generation)
	if err != nil {
		s.options.Log.Error("configuration not adopted", "generation", generation, "err", err)
		s.step(func() confcore.Event { return confcore.AdoptFailed{Now: s.clock.Now(), Generation: generation} })
		return
	}
	s.cache.settle(generation)
	s.current.Store(index)
	s.options.Log.Info("configuration in force", "generation", generation, "build", time.Since(start))
	s.subscribersMu.Lock()
	subscribers := s.subscribers
	s.subscribersMu.Unlock()
	for _, notify := range subscribers {
		notify(index)
	}
	s.step(func() confcore.Event { return confcore.Adopted{Now: s.clock.Now(), Generation: generation} })
}
