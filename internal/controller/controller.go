package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/placecore"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/rendezvous"
	"github.com/carobstile/carobstile/internal/shell"
)

// Intervals and limits of the shell.
const (
	tickInterval      = time.Second
	membersInterval   = 5 * time.Second
	minReportInterval = 2 * time.Second
	// reportIntervalPerPool scales the interval between report collections with the number of pools: at the design size of
	// 200 pools, reports are collected every 15 s, which keeps them within the control budget of 14 KB/s.
	reportIntervalPerPool = 75 * time.Millisecond
	callTimeout           = 3 * time.Second
	orderTimeout          = 2 * time.Second
	// maxCandidates is the number of highest-ranked daemons whose controllers compete for the lease.
	maxCandidates = 3
	leaseName     = "controller"
)

// DaemonClient calls daemons.
type DaemonClient interface {
	Status(ctx context.Context, address string, req *pb.StatusRequest) (*pb.StatusResponse, error)
	FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// OrderSender sends orders to engines.
type OrderSender interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Options configures a Controller.
type Options struct {
	Name          string
	DaemonAddress string
	Store         platform.Store
	Daemons       DaemonClient
	Orders        OrderSender
	// IsStaleFence reports whether an error from Orders means that the engine refused the fencing number.
	IsStaleFence func(err error) bool
	Log          *slog.Logger
	// Record, if set, is called with every event and its effects, in order.
	Record func(event placecore.Event, effects []placecore.Effect)
}

// Controller runs a placecore.Core and executes its effects.
type Controller struct {
	opts  Options
	clock shell.Clock

	mu   sync.Mutex
	core *placecore.Core

	// observed is accessed by the goroutine of Run only.
	observed observedState
	// tasks tracks effects that run in the background.
	tasks sync.WaitGroup
}

// observedState is the state last fetched from daemons.
type observedState struct {
	members            []*pb.Member
	membersAt          time.Time
	index              *config.Index
	chunks             map[string][]byte
	reportsCollectedAt time.Time
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts, clock: shell.NewClock(), core: placecore.New(opts.Name), observed: observedState{chunks: map[string][]byte{}}}
}

func (c *Controller) now() core.Micros { return c.clock.Now() }

// Active reports whether this controller holds the lease.
func (c *Controller) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Active(c.now())
}

// Run runs the controller until ctx ends, then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	shell.Every(ctx, tickInterval, c.runRound)
	c.releaseLease()
}

func (c *Controller) runRound(ctx context.Context) {
	c.refresh(ctx)
	c.step(placecore.Tick{Now: c.now(), Candidate: c.isCandidate(), AttemptID: uuid.NewString()})
	if c.Active() && time.Since(c.observed.reportsCollectedAt) >= c.reportInterval() {
		c.observed.reportsCollectedAt = time.Now()
		c.collectReports(ctx)
	}
}

// releaseLease releases the lease and waits for background tasks, for callTimeout at most.
func (c *Controller) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		c.tasks.Wait() // orders in flight must finish while the lease is held
		c.step(placecore.StopRequested{Now: c.now()})
		c.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// isCandidate reports whether the daemon on this host is among the maxCandidates highest-ranked live ones.
func (c *Controller) isCandidate() bool {
	var names []string
	for _, m := range c.observed.members {
		if m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE || m.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
			names = append(names, m.GetName())
		}
	}
	for _, name := range rendezvous.Top("controller", names, maxCandidates) {
		if name == c.opts.Name {
			return true
		}
	}
	return false
}

// step passes one event to the core and executes the resulting effects.
func (c *Controller) step(ev placecore.Event) {
	c.mu.Lock()
	effects := c.core.Step(ev)
	if c.opts.Record != nil {
		c.opts.Record(ev, effects)
	}
	c.mu.Unlock()
	for _, e := range effects {
		c.execute(e)
	}
}

func (c *Controller) execute(e placecore.Effect) {
	switch e := e.(type) {
	case placecore.ReadLease:
		c.background(func() { c.step(c.readLease()) })
	case placecore.WriteLease:
		c.background(func() { c.step(c.writeLease(e)) })
	case placecore.SendOrder:
		c.background(func() { c.step(c.sendOrder(e)) })
	case placecore.RoleChanged:
		c.opts.Log.Info("controller role changed", "active", e.Active, "epoch", e.Epoch)
	}
}

func (c *Controller) background(f func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		f()
	}()
}

// sendOrder sends an order unless ValidUntil has passed, so that a process that was paused sends no outdated order.
func (c *Controller) sendOrder(e placecore.SendOrder) placecore.Event {
	remaining := (e.ValidUntil - c.now()).Duration()
	if remaining <= 0 {
		c.opts.Log.Warn("order dropped", "engine", e.Engine, "op", string(e.Order.Op), "reason", "ValidUntil has passed")
		return placecore.OrderDone{Now: c.now(), Engine: e.Engine, Failed: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(remaining, orderTimeout))
	defer cancel()
	err := c.opts.Orders.Order(ctx, e.Address, e.Order)
	c.opts.Log.Info("order sent", "engine", e.Engine, "op", string(e.Order.Op), "model", e.Order.Model,
		"version", e.Order.Version, "adapter", e.Order.Adapter, "fence", e.Order.Fence, "err", err)
	refused := err != nil && c.opts.IsStaleFence(err)
	return placecore.OrderDone{Now: c.now(), Engine: e.Engine, Refused: refused, Failed: err != nil && !refused}
}

func (c *Controller) readLease() placecore.Event {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	object, err := c.opts.Store.Get(ctx, platform.KindLease, leaseName)
	if errors.Is(err, platform.ErrNotFound) {
		return placecore.LeaseRead{Now: c.now()}
	}
	if err != nil {
		return placecore.LeaseRead{Now: c.now(), Failed: true}
	}
	lease, err := decodeLease(object.Value)
	if err != nil {
		c.opts.Log.Error("lease is not readable", "object", platform.KindLease+"/"+leaseName, "err", err)
		return placecore.LeaseRead{Now: c.now(), Failed: true}
	}
	return placecore.LeaseRead{Now: c.now(), Version: object.Version, Lease: lease}
}

func (c *Controller) writeLease(e placecore.WriteLease) placecore.Event {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := encodeLease(e.Lease)
	if err != nil {
		return placecore.LeaseWritten{Now: c.now(), Result: placecore.WriteRejected}
	}
	version, err := c.opts.Store.PutIf(ctx, platform.KindLease, leaseName, value, e.IfVersion)
	return placecore.LeaseWritten{Now: c.now(), Version: version, Result: writeResult(err)}
}

func writeResult(err error) placecore.WriteResult {
	switch {
	case err == nil:
		return placecore.WriteOK
	case errors.Is(err, platform.ErrConflict):
		return placecore.WriteConflict
	case errors.Is(err, platform.ErrUnknown):
		return placecore.WriteUnknown
	default:
		return placecore.WriteRejected
	}
}
