package confsync

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/confcore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/member"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/platform"
)

type cluster struct {
	key         string
	credentials peer.Credentials
	store       *memoryStore
	daemons     []*daemon
	// bytes counts the bytes of all calls between daemons, including TLS.
	bytes atomic.Uint64
	// watcherTasks is passed to the daemons as Options.WatcherTasks.
	watcherTasks []func(ctx context.Context)
}

// countingListener counts the bytes received and sent on all accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// daemon runs the membership and the configuration of one daemon on loopback sockets.
type daemon struct {
	*Sync
	members *member.Membership
	address string
	stop    func()
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	key, err := peer.NewKey()
	require.NoError(t, err)
	ca, err := peer.NewAuthority(time.Hour)
	require.NoError(t, err)
	credentials, err := ca.Issue("host", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return &cluster{key: key, credentials: credentials, store: newMemoryStore()}
}

func (c *cluster) start(t testing.TB, count int) {
	t.Helper()
	for range count {
		c.daemons = append(c.daemons, c.startDaemon(t, len(c.daemons)))
	}
}

func (c *cluster) startDaemon(t testing.TB, n int) *daemon {
	t.Helper()
	clock := evlog.NewClock(time.Now)
	sealer, err := peer.NewSealer([]string{c.key}, time.Now)
	require.NoError(t, err)
	listener, udp := listen(t, sealer, clock)
	pool, err := peer.NewPool(c.credentials, 0, clock)
	require.NoError(t, err)
	self := confcore.Peer{
		Name: fmt.Sprintf("d%03d", n), Address: udp.Address(), FailureDomain: fmt.Sprintf("pw-%d", n%6),
	}
	var seeds []string
	if len(c.daemons) > 0 {
		seeds = []string{c.daemons[0].address}
	}
	members := member.New(member.Options{
		Name: self.Name, Address: self.Address, Region: "prairie-west", FailureDomain: self.FailureDomain, Seeds: seeds,
		Seed: uint64(n), Transport: udp, Syncer: pool, Log: evlog.Discard(),
	})
	configuration := New(Options{
		Self: self, Seed: uint64(n), Store: c.store, Peers: pool, Members: members, Log: evlog.Discard(),
		WatcherTasks: c.watcherTasks,
	})
	server, err := peer.NewServer(c.credentials, peer.Handlers{Members: members, Config: configuration}, clock)
	require.NoError(t, err)
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &c.bytes}) }()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = members.Run(ctx) })
	running.Go(func() { _ = configuration.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
		_ = server.Close()
		pool.Close()
	}
	t.Cleanup(stop)
	return &daemon{Sync: configuration, members: members, address: self.Address, stop: stop}
}

func listen(t testing.TB, sealer *peer.Sealer, clock *evlog.Clock) (net.Listener, *peer.UDP) {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		udp, err := peer.ListenUDP(listener.Addr().String(), sealer, clock)
		if err == nil {
			return listener, udp
		}
		require.NoError(t, listener.Close())
	}
}

func (d *daemon) generation() uint64 {
	if index := d.Current(); index != nil {
		return index.Generation
	}
	return 0
}

func (c *cluster) allHaveGeneration(generation uint64) bool {
	for _, d := range c.daemons {
		if d.generation() != generation {
			return false
		}
	}
	return true
}

// waitForGeneration waits until a generation is active at all daemons and returns how long that took.
func (c *cluster) waitForGeneration(t testing.TB, generation uint64, within time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	require.Eventually(t, func() bool { return c.allHaveGeneration(generation) }, within, time.Millisecond)
	return time.Since(start)
}

// Guards against a change that is not active at all daemons within 3 s, against wrong content in the index, and against
// roots and chunks of earlier generations that stay in the cache.
func TestChangeReachesAllDaemons(t *testing.T) {
	c := newCluster(t)
	c.store.apply(t, 1, document(200, 1))
	c.start(t, 12)
	c.waitForGeneration(t, 1, 20*time.Second)
	for generation := uint64(2); generation < 6; generation++ {
		c.store.apply(t, generation, document(200, int(generation)))
		c.waitForGeneration(t, generation, 3*time.Second)
	}
	for _, d := range c.daemons {
		w, ok := d.Current().Workspace("workspace-00000")
		require.True(t, ok)
		require.Equal(t, 5, w.Weight)
		<-d.Ready()
		d.cache.mu.RLock()
		require.Len(t, d.cache.roots, 1)
		require.Len(t, d.cache.chunks, len(d.cache.roots[5].hashes))
		d.cache.mu.RUnlock()
	}
}

// Guards against a daemon that cannot start during a platform outage although its peers have the configuration, and
// against an outage or a stale read that replaces the active configuration.
func TestConfigurationDuringPlatformOutage(t *testing.T) {
	c := newCluster(t)
	c.store.apply(t, 1, document(200, 1))
	c.start(t, 3)
	c.waitForGeneration(t, 1, 10*time.Second)
	stale := c.store.objects[platform.KindConfig+"/"+config.RootName]
	c.store.apply(t, 2, document(200, 2))
	c.waitForGeneration(t, 2, 3*time.Second)
	c.store.update(func() { c.store.unavailable = true })
	c.start(t, 1)
	c.waitForGeneration(t, 2, 5*time.Second)
	select {
	case <-c.daemons[3].Ready():
	case <-time.After(3 * time.Second):
		require.Fail(t, "the daemon that was started during the platform outage did not become ready within 3 s")
	}
	c.store.update(func() { c.store.unavailable, c.store.stale = false, &stale })
	for _, d := range c.daemons {
		d.pollRoot(t.Context())
		require.Equal(t, uint64(2), d.generation())
	}
}

// Guards against a slow platform delaying a change that a peer already has.
func TestSlowPlatformDoesNotDelayPeerFetch(t *testing.T) {
	c := newCluster(t)
	c.store.apply(t, 1, document(50, 1))
	c.start(t, 4)
	c.waitForGeneration(t, 1, 10*time.Second)
	c.store.update(func() { c.store.delay = 500 * time.Millisecond })
	c.store.apply(t, 2, document(50, 2))
	c.waitForGeneration(t, 2, 3*time.Second)
}

// lateMembers is a membership without other members.
type lateMembers struct{}

func (lateMembers) Members() []membercore.Member { return nil }
func (lateMembers) Subscribe(member.Listener)    {}
func (lateMembers) SetGeneration(uint64)         {}
func (lateMembers) Hint([]string)                {}

// Guards against a watch and tasks that are started by an event of membership before Run and never end, so that Run does
// not return.
func TestRunEndsWhatStartedBeforeIt(t *testing.T) {
	var running atomic.Int64
	s := New(Options{
		Self: confcore.Peer{Name: "d", Address: "127.0.0.1:1", FailureDomain: "z"}, Store: newMemoryStore(), Members: lateMembers{},
		Log: evlog.Discard(),
		WatcherTasks: []func(context.Context){func(ctx context.Context) {
			running.Add(1)
			<-ctx.Done()
			running.Add(-1)
		}},
	})
	s.mu.Lock()
	s.performLocked(confcore.SetWatch{On: true})
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = s.Run(ctx)
		close(done)
	}()
	require.Eventually(t, func() bool { return running.Load() == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		require.Fail(t, "Run did not return")
	}
	require.Zero(t, running.Load())
}

// Guards against adoption of a document with an unsupported format, and against such a document blocking the next one.
func TestUnreadableDocumentIsNotAdopted(t *testing.T) {
	c := newCluster(t)
	c.store.apply(t, 1, document(10, 1))
	c.start(t, 2)
	c.waitForGeneration(t, 1, 10*time.Second)
	future := document(10, 2)
	future.FormatVersion = config.FormatVersion + 1
	c.store.apply(t, 2, future)
	time.Sleep(time.Second)
	require.True(t, c.allHaveGeneration(1))
	c.store.apply(t, 3, document(10, 3))
	c.waitForGeneration(t, 3, 3*time.Second)
}

// Guards against a FetchConfig response over 1 MiB when many chunks are requested at once.
func TestChunkBatchSizeIsBounded(t *testing.T) {
	c := newCache()
	var hashes [][]byte
	for i := range 10 {
		chunk := make([]byte, config.MaxChunkBytes)
		chunk[0] = byte(i)
		hash := config.ChunkHash(chunk)
		c.addChunk(hash, chunk)
		hashes = append(hashes, []byte(nil))
		_, err := fmt.Sscanf(hash, "%x", &hashes[i])
		require.NoError(t, err)
	}
	total := 0
	for _, chunk := range c.chunkBatch(hashes) {
		total += len(chunk)
	}
	require.Equal(t, maxBatchBytes, total)
}

// Guards against WatcherTasks, such as the collectors, that run at daemons which do not watch or that continue after
// their daemon has stopped.
func TestOnlyWatchersRunWatcherTasks(t *testing.T) {
	c := newCluster(t)
	var running atomic.Int64
	c.watcherTasks = []func(context.Context){func(ctx context.Context) {
		running.Add(1)
		<-ctx.Done()
		running.Add(-1)
	}}
	c.start(t, 13) // three daemons in the first failure domain and two in each of the five others
	require.Eventually(t, func() bool { return running.Load() == 12 }, 20*time.Second, 50*time.Millisecond)
	require.Never(t, func() bool { return running.Load() > 12 }, time.Second, 50*time.Millisecond)
	for _, d := range c.daemons {
		d.stop()
	}
	require.Zero(t, running.Load())
}
