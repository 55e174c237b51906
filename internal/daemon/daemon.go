package daemon

import (
	"context"
	"encoding/base64"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/allocator"
	"github.com/carobstile/carobstile/internal/alloccore"
	"github.com/carobstile/carobstile/internal/claim"
	"github.com/carobstile/carobstile/internal/confcore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/confsync"
	"github.com/carobstile/carobstile/internal/crashes"
	"github.com/carobstile/carobstile/internal/cursor"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/grants"
	"github.com/carobstile/carobstile/internal/member"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/telemetry"
)

// Daemon holds the components of one carobgate process.
type Daemon struct {
	settings *Settings
	log      *slog.Logger
	clock    *evlog.Clock

	store     platform.Store
	peers     *peer.Pool
	members   *member.Membership
	conf      *confsync.Sync
	allocator *allocator.Allocator
	grants    *grants.Grants
	router    *poolRouter
	claims    *gateClaims
	crashes   *crashRecorder
	leaving   *leavingHosts
	gate      *gate.Gate
	metrics   *telemetry.Metrics
	udp       *peer.UDP
	traffic   peer.Traffic
	stopping  atomic.Bool
	// gcBallast is never read or written, so it takes no physical memory, but the garbage collector counts it as live
	// heap and first collects at twice its size instead of at 4 MB. Without it, a small gate under load ran many
	// collections per second.
	gcBallast []byte

	// assignMu serialises changes of the assignment.
	assignMu sync.Mutex
}

// gcBallastBytes lets the heap grow to about 32 MB before a collection, within the 128 MB that a daemon may use for
// control.
const gcBallastBytes = 16 << 20

// New builds a daemon without starting it. The only address that it opens is the UDP socket for membership.
func New(s *Settings, log *slog.Logger, clock *evlog.Clock) (*Daemon, error) {
	d := &Daemon{gcBallast: make([]byte, gcBallastBytes), settings: s, log: log, clock: clock, store: platform.NewClient(s.PlatformAddress)}
	d.metrics = telemetry.New()
	peers, err := peer.NewPool(s.Credentials, 0, clock)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	peers.Traffic = &d.traffic
	d.peers = peers
	if err := d.buildMembership(); err != nil {
		return nil, err
	}
	if err := d.buildAllocation(); err != nil {
		return nil, err
	}
	return d, d.buildGate()
}

func (d *Daemon) buildMembership() error {
	s := d.settings
	sealer, err := peer.NewSealer(s.ClusterKeys, time.Now)
	if err != nil {
		return errors.Wrap(err, "load cluster keys")
	}
	udp, err := peer.ListenUDP(s.PeerAddress, sealer, d.clock)
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	d.udp = udp
	d.members = member.New(member.Options{
		Name: s.Name, Address: s.PeerAddress, Region: s.Region, FailureDomain: s.FailureDomain, Seeds: s.Seeds,
		Seed: rand.Uint64(), Transport: udp, Syncer: d.peers, Log: d.log,
		Hosts:    func(ctx context.Context) ([]platform.Host, error) { return d.store.Hosts(ctx, "") },
		SkipHost: d.isBackendServer,
	})
	d.conf = confsync.New(confsync.Options{
		Self: confcore.Peer{Name: s.Name, Address: s.PeerAddress, FailureDomain: s.FailureDomain},
		Seed: rand.Uint64(), Store: d.store, Peers: d.peers, Members: d.members, Log: d.log,
		WatcherTasks: []func(context.Context){
			confstore.NewCollector(d.store, d.log).Run, claim.NewCollector(d.store, d.log).Run,
		},
	})
	return nil
}

func (d *Daemon) isBackendServer(address string) bool {
	index := d.conf.Current()
	if index == nil {
		return false
	}
	_, ok := index.ServerAt(address)
	return ok
}

func (d *Daemon) buildAllocation() error {
	client := engine.NewHTTP(0)
	d.leaving = &leavingHosts{store: d.store}
	policy, err := alloccore.DefaultPolicy().WithRulesDisabled(d.settings.PolicyOff)
	if err != nil {
		return errors.Wrap(err, "policyOff")
	}
	d.allocator = allocator.New(allocator.Options{
		Loads: &loadReader{engines: client, leaving: d.leaving}, Policy: &policy, Log: d.log,
	})
	d.router = &poolRouter{self: d.settings.PeerAddress, local: d.allocator, peers: d.peers}
	location := grants.Location{Region: d.settings.Region, FailureDomain: d.settings.FailureDomain}
	d.grants = grants.New(grants.Options{Gate: d.settings.Name, Location: location, Peer: d.router, Log: d.log})
	d.conf.Subscribe(func(*config.Index) { go d.reassign() })
	d.members.Subscribe(member.Listener{
		Changed: func() { go d.reassign() },
		Records: func(records []membercore.CrashRecord) { d.crashes.addRemote(records) },
	})
	return nil
}

func (d *Daemon) buildGate() error {
	keyring, err := newKeyring(d.settings.CursorKeys)
	if err != nil {
		return errors.Wrap(err, "load cursor keys")
	}
	d.claims = newGateClaims(claim.New(claim.Options{
		Store: d.store, Gate: d.settings.Name, NewID: uuid.NewString, Now: time.Now, Log: d.log,
	}), d.log)
	limit := config.Limits{}.WithDefaults().CrashLimit
	d.crashes = &crashRecorder{
		set: crashes.NewSet(limit), members: d.members, store: d.store, currentConfig: d.conf.Current, log: d.log,
	}
	client := engine.NewHTTP(0)
	client.Clock = d.clock
	engines := newGateEngines(client, d.log)
	d.gate = gate.New(gate.Options{
		Config: d.conf.Current, Grants: newGateGrants(d.grants), Engines: engines,
		Claims: d.claims, Crashes: d.crashes, Cursors: keyring, IsLeaving: d.leaving.contains, Log: d.log,
		MaxOpenBodyBytes: int64(d.settings.MaxOpenBodyBytes),
		Scope:            d.metrics.Scope.SubScope("gate"),
	})
	return nil
}

func newKeyring(keys []string) (*cursor.Keyring, error) {
	var raw [][]byte
	for _, key := range keys {
		decoded, err := base64.StdEncoding.DecodeString(key)
		if err != nil {
			return nil, errors.New("key is not valid base64")
		}
		raw = append(raw, decoded)
	}
	return cursor.NewKeyring(raw)
}

// reassign recomputes the assignment of pools from the current configuration and members, and applies it.
func (d *Daemon) reassign() {
	d.assignMu.Lock()
	defer d.assignMu.Unlock()
	index := d.conf.Current()
	if index == nil {
		return
	}
	table := assign(index, d.members.Members(), d.settings.Name)
	d.crashes.set.SetLimit(index.Limits.CrashLimit)
	d.grants.Configure(index)
	d.allocator.SetPools(table.own, index)
	d.router.assignment.Store(table)
}

// Ready reports whether the balancer may send callers to this daemon: configuration and gate are ready and the daemon
// is not stopping.
func (d *Daemon) Ready() bool {
	select {
	case <-d.conf.Ready():
		return !d.stopping.Load() && d.gate.Ready()
	default:
		return false
	}
}

// Status implements peer.StatusSource.
func (d *Daemon) Status(_ context.Context, req *pb.StatusRequest) (*pb.StatusResponse, error) {
	out := &pb.StatusResponse{
		Self: memberToProto(d.members.Self()), Pools: d.allocator.Status(), OpenStreams: uint32(d.gate.OpenRequests()),
		Ready: d.Ready(),
	}
	if !req.GetOmitMembers() {
		for _, m := range d.members.Members() {
			out.Members = append(out.Members, memberToProto(m))
		}
	}
	if index := d.conf.Current(); index != nil {
		out.Generation = index.Generation
	}
	return out, nil
}

var memberStates = map[membercore.State]pb.MemberState{
	membercore.Alive: pb.MemberState_MEMBER_STATE_ALIVE, membercore.Suspect: pb.MemberState_MEMBER_STATE_SUSPECT,
	membercore.Leaving: pb.MemberState_MEMBER_STATE_LEAVING, membercore.Dead: pb.MemberState_MEMBER_STATE_DEAD,
}

func memberToProto(m membercore.Member) *pb.Member {
	return &pb.Member{
		Name: m.Name, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
		State: memberStates[m.State],
	}
}
