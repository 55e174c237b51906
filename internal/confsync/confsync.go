// Package confsync performs the effects of confcore: it reads roots and chunks from the platform and from other
// daemons, verifies their hashes, builds the index of the active configuration, and serves the active root and the
// cached chunks to other daemons.
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

// Fetcher calls FetchConfig of another daemon. *peer.Pool implements it.
type Fetcher interface {
	FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// Membership is the part of *member.Membership that Sync uses.
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

// Options configure a Sync.
type Options struct {
	// Self is this daemon as listed in membership.
	Self confcore.Peer
	// Seed seeds the random choices of the core.
	Seed    uint64
	Store   platform.Store
	Peers   Fetcher
	Members Membership
	Log     *slog.Logger
	// WatcherTasks are functions that run in the background while this daemon is one of the watchers of its failure
	// domain. Their context ends when the daemon stops watching.
	WatcherTasks []func(ctx context.Context)
	// Record, if not nil, is called in order with every event and its effects, to record golden sessions.
	Record func(event confcore.Event, effects []confcore.Effect)
}

// Sync keeps the configuration of one daemon up to date. It is safe for concurrent use.
type Sync struct {
	options Options
	clock   shell.Clock
	timers  shell.Timers
	cache   *cache
	current atomic.Pointer[config.Index]
	ready   chan struct{}

	mu   sync.Mutex
	core *confcore.Core
	// ctx is the context of all background calls. Membership can report events before Run is called, so it is created by
	// New; Run cancels it with cancel when it ends.
	ctx       context.Context
	cancel    context.CancelFunc
	stopWatch context.CancelFunc

	subscribersMu sync.Mutex
	subscribers   []func(*config.Index)

	background sync.WaitGroup
}

// New returns a Sync that is subscribed to membership. Call Run to start it and to release its background calls.
func New(options Options) *Sync {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sync{
		options: options, clock: shell.NewClock(), cache: newCache(), ready: make(chan struct{}),
		core: confcore.New(options.Self, options.Seed), ctx: ctx, cancel: cancel,
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

// Run keeps the configuration up to date until ctx is done. It always returns nil.
func (s *Sync) Run(ctx context.Context) error {
	s.step(func() confcore.Event { return confcore.Started{Now: s.clock.Now()} })
	s.peersChanged()
	<-ctx.Done()
	// Cancel under the lock, so that no background call starts after the Wait below has begun.
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.timers.Stop()
	s.background.Wait()
	return nil
}

// Current returns the index of the active configuration, or nil before the first adoption.
func (s *Sync) Current() *config.Index { return s.current.Load() }

// Ready returns a channel that is closed once a configuration is active and the daemon has joined a peer or the
// time-out for joining has passed.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Subscribe registers notify, which is called in order with each newly adopted configuration. No lock that Current
// needs is held during the call. notify must not block.
func (s *Sync) Subscribe(notify func(*config.Index)) {
	s.subscribersMu.Lock()
	defer s.subscribersMu.Unlock()
	s.subscribers = append(s.subscribers, notify)
}

// FetchConfig returns the active root, if it has at least the requested generation, and those of the requested chunks
// that are cached, up to maxBatchBytes.
func (s *Sync) FetchConfig(_ context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	res := &pb.FetchConfigResponse{}
	if index := s.Current(); index != nil {
		res.Generation = index.Generation
	}
	if req.GetMinGeneration() > 0 {
		res.Root = s.cache.rootAtLeast(req.GetMinGeneration())
	}
	res.Chunks = s.cache.chunkBatch(req.GetChunkHashes())
	return res, nil
}

func (s *Sync) peersChanged() {
	s.step(func() confcore.Event {
		// Read the members under the lock of step, so that an older list cannot overwrite a newer one.
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

// step passes an event to the core. It performs the effects under the lock, so that a later timer replaces an earlier
// one, except Announce, which calls membership after the lock is released.
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

// performLocked performs an effect. Reads and adoptions run in the background. s.mu must be held.
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
		s.cache.setTarget(e.Generation)
		s.spawn(func(ctx context.Context) { s.readChunks(ctx, e) })
	case confcore.Adopt:
		s.cache.setTarget(e.Generation)
		s.spawn(func(context.Context) { s.adopt(e.Generation) })
	case confcore.Ready:
		close(s.ready)
	}
}

// spawn runs a function in the background unless Run has ended. s.mu must be held.
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
		for _, run := range s.options.WatcherTasks {
			s.background.Go(func() { run(ctx) })
		}
	}
}

// adopt builds the index of a generation, activates it and notifies the subscribers.
func (s *Sync) adopt(generation uint64) {
	start := time.Now()
	index, err := s.cache.build(generation)
	if err != nil {
		s.options.Log.Error("configuration not adopted", "generation", generation, "err", err)
		s.step(func() confcore.Event { return confcore.AdoptFailed{Now: s.clock.Now(), Generation: generation} })
		return
	}
	s.cache.activate(generation)
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
