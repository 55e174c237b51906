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

// Intervals and bounds of the shell.
const (
	tickInterval   = time.Second
	membersEvery   = 5 * time.Second
	minReportEvery = 2 * time.Second
	// reportPause spreads the calls to allocators: 200 pools at the design size are asked every 15 s, which keeps the
	// reports under the control budget of 14 KB/s.
	reportPause  = 75 * time.Millisecond
	callTimeout  = 3 * time.Second
	orderTimeout = 2 * time.Second
	// candidates is the number of daemons whose controllers compete for the lease.
	candidates = 3
	leaseName  = "controller"
)

// Daemons are the calls to daemons that a controller makes.
type Daemons interface {
	Status(ctx context.Context, address string, req *pb.StatusRequest) (*pb.StatusResponse, error)
	FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// Orders sends orders to engines.
type Orders interface {
	Order(ctx context.Context, address string, o engine.Order) error
}

// Options of a Controller.
type Options struct {
	Name          string
	DaemonAddress string
	Store         platform.Store
	Daemons       Daemons
	Orders        Orders
	// Refused reports whether an error of Orders is a refusal of the fencing number.
	Refused func(err error) bool
	Log     *slog.Logger
	// Record, if set, gets every event with its effects, in order.
	Record func(event placecore.Event, effects []placecore.Effect)
}

// Controller drives one placecore.Core.
type Controller struct {
	o     Options
	clock shell.Clock

	mu   sync.Mutex
	core *placecore.Core

	// view belongs to the goroutine of Run.
	view view
	work sync.WaitGroup
}

// view is what the controller last learned from daemons.
type view struct {
	members    []*pb.Member
	membersAt  time.Time
	index      *config.Index
	chunks     map[string][]byte
	reportedAt time.Time
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{o: o, clock: shell.NewClock(), core: placecore.New(o.Name), view: view{chunks: map[string][]byte{}}}
}

func (c *Controller) now() core.Micros { return c.clock.Now() }

// Active reports whether this controller holds the lease.
func (c *Controller) Active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Active(c.now())
}

// Run drives the controller until ctx ends, then gives the lease back.
func (c *Controller) Run(ctx context.Context) {
	shell.Every(ctx, tickInterval, c.round)
	c.giveBack()
}

func (c *Controller) round(ctx context.Context) {
	c.refresh(ctx)
	c.step(placecore.Tick{Now: c.now(), Candidate: c.candidate(), AttemptID: uuid.NewString()})
	if c.Active() && time.Since(c.view.reportedAt) >= c.reportInterval() {
		c.view.reportedAt = time.Now()
		c.collectReports(ctx)
	}
}

func (c *Controller) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		c.work.Wait() // orders under way end first: the lease covers them
		c.step(placecore.StopRequested{Now: c.now()})
		c.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// candidate reports whether this host's daemon is among the highest ranked live ones.
func (c *Controller) candidate() bool {
	var names []string
	for _, m := range c.view.members {
		if m.GetState() == pb.MemberState_MEMBER_STATE_ALIVE || m.GetState() == pb.MemberState_MEMBER_STATE_SUSPECT {
			names = append(names, m.GetName())
		}
	}
	for _, name := range rendezvous.Top("controller", names, candidates) {
		if name == c.o.Name {
			return true
		}
	}
	return false
}

// step feeds one event to the core and performs its effects.
func (c *Controller) step(ev placecore.Event) {
	c.mu.Lock()
	effects := c.core.Step(ev)
	if c.o.Record != nil {
		c.o.Record(ev, effects)
	}
	c.mu.Unlock()
	for _, e := range effects {
		c.perform(e)
	}
}

func (c *Controller) perform(e placecore.Effect) {
	switch e := e.(type) {
	case placecore.ReadLease:
		c.background(func() { c.step(c.readLease()) })
	case placecore.WriteLease:
		c.background(func() { c.step(c.writeLease(e)) })
	case placecore.SendOrder:
		c.background(func() { c.step(c.sendOrder(e)) })
	case placecore.RoleChanged:
		c.o.Log.Info("controller role changed", "active", e.Active, "epoch", e.Epoch)
	}
}

func (c *Controller) background(f func()) {
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		f()
	}()
}

// sendOrder sends an order unless its time is over: a process that was paused must not send what it decided before.
func (c *Controller) sendOrder(e placecore.SendOrder) placecore.Event {
	left := (e.ValidUntil - c.now()).Duration()
	if left <= 0 {
		c.o.Log.Warn("order dropped", "engine", e.Engine, "op", string(e.Order.Op), "reason", "too late")
		return placecore.OrderDone{Now: c.now(), Engine: e.Engine, Failed: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(left, orderTimeout))
	defer cancel()
	err := c.o.Orders.Order(ctx, e.Address, e.Order)
	c.o.Log.Info("order sent", "engine", e.Engine, "op", string(e.Order.Op), "model", e.Order.Model,
		"version", e.Order.Version, "adapter", e.Order.Adapter, "fence", e.Order.Fence, "err", err)
	refused := err != nil && c.o.Refused(err)
	return placecore.OrderDone{Now: c.now(), Engine: e.Engine, Refused: refused, Failed: err != nil && !refused}
}

func (c *Controller) readLease() placecore.Event {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	object, err := c.o.Store.Get(ctx, platform.KindLease, leaseName)
	if errors.Is(err, platform.ErrNotFound) {
		return placecore.LeaseRead{Now: c.now()}
	}
	if err != nil {
		return placecore.LeaseRead{Now: c.now(), Failed: true}
	}
	lease, err := decodeLease(object.Value)
	if err != nil {
		c.o.Log.Error("lease is not readable", "object", platform.KindLease+"/"+leaseName, "err", err)
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
	version, err := c.o.Store.PutIf(ctx, platform.KindLease, leaseName, value, e.IfVersion)
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
