package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
)

// fakeFleet is one daemon that allocates the only pool, and one engine that executes orders immediately.
type fakeFleet struct {
	mu     sync.Mutex
	root   []byte
	chunks map[string][]byte
	models []*pb.LoadedModel
	fences []uint64
}

func newFakeFleet(t *testing.T) *fakeFleet {
	doc := &config.Document{
		FormatVersion: 1, Models: []config.Model{{Name: "m", Version: "1", MinReplicas: 1}},
		BackendServers: []config.BackendServer{{Name: "e1", Address: "127.0.0.1:1", Kind: config.KindEngine, Pool: "p", Region: "r", FailureDomain: "f"}},
	}
	root, chunks, err := config.Split(doc)
	require.NoError(t, err)
	root.Generation = 1
	data, err := json.Marshal(root)
	require.NoError(t, err)
	return &fakeFleet{root: data, chunks: chunks}
}

func (f *fakeFleet) Status(context.Context, string, *pb.StatusRequest) (*pb.StatusResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := &pb.Member{Name: "host-a", Address: "127.0.0.1:9", Region: "r", FailureDomain: "f", State: pb.MemberState_MEMBER_STATE_ALIVE}
	return &pb.StatusResponse{
		Generation: 1, Members: []*pb.Member{self},
		Pools: []*pb.PoolStatus{{Pool: "p", Engines: []*pb.EngineStatus{{Name: "e1", State: "ready", Models: f.models}}}},
	}, nil
}

func (f *fakeFleet) FetchConfig(_ context.Context, _ string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	out := &pb.FetchConfigResponse{Generation: 1, Root: f.root}
	for _, hash := range req.GetChunkHashes() {
		out.Chunks = append(out.Chunks, f.chunks[hex.EncodeToString(hash)])
	}
	return out, nil
}

func (f *fakeFleet) Order(_ context.Context, _ string, o engine.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fences = append(f.fences, o.Fence)
	f.models = []*pb.LoadedModel{{Name: o.Model, Version: o.Version}}
	return nil
}

func (f *fakeFleet) loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.models) == 1 && len(f.fences) == 1 && f.fences[0] == 1
}

// Guards against a controller that sends no order for a configured model or sends it without its fencing number, and
// against a planned stop that does not release the lease, so that the successor must wait for its expiry.
func TestControllerPlacesModelAndReleasesLease(t *testing.T) {
	fleet, store := newFakeFleet(t), platform.NewFake()
	c := New(Options{
		Name: "host-a", DaemonAddress: "127.0.0.1:9", Store: store, Daemons: fleet, Orders: fleet,
		IsStaleFence: func(err error) bool { return errors.Is(err, platform.ErrConflict) }, Log: evlog.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	require.Eventually(t, fleet.loaded, 15*time.Second, 50*time.Millisecond)
	cancel()
	<-done
	object, err := store.Get(context.Background(), platform.KindLease, leaseName)
	require.NoError(t, err)
	lease, err := decodeLease(object.Value)
	require.NoError(t, err)
	require.Empty(t, lease.Holder)
	require.Equal(t, uint64(1), lease.Epoch)
}
