package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/gen/carobstile/v1/carobstilev1connect"
	"github.com/carobstile/carobstile/internal/evlog"
)

// Timeouts of the client. An established connection can stop delivering data while new ones work. A connection is
// therefore replaced after a call that exceeded its deadline, and when nothing is received for readIdleTimeout and an
// HTTP/2 ping then stays unanswered for pingTimeout. Idle connections are pinged as well: one ping per second on each
// of 64 connections would exceed the control traffic budget of 14 KB/s. Gates renew grants every 4 s, so with 5 s
// connections in use need no pings.
const (
	dialTimeout        = time.Second
	readIdleTimeout    = 5 * time.Second
	pingTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	defaultCallTimeout = 3 * time.Second
)

// DefaultMaxPeers is the default maximum of peers to which a pool keeps connections. A gate calls the allocators of its
// failure domain (33 at the design size) and a few random members.
const DefaultMaxPeers = 64

// Pool is a client of PeerService of other daemons, addressed by peer address. It keeps one HTTP/2 connection per peer,
// and closes the least recently used ones without calls in flight when there are more than the maximum of peers. It is
// safe for concurrent use.
type Pool struct {
	clock    *evlog.Clock
	tls      *tls.Config
	maxPeers int
	// Traffic, if set before the first call, counts the bytes of the pool's connections.
	Traffic *Traffic

	mu    sync.Mutex
	peers map[string]*peerClient
	uses  uint64
}

type peerClient struct {
	carobstilev1connect.PeerServiceClient
	transport *http.Transport
	inFlight  int
	lastUse   uint64
	replaced  bool
}

// NewPool returns a pool. maxPeers 0 means DefaultMaxPeers.
func NewPool(credentials Credentials, maxPeers int, clock *evlog.Clock) (*Pool, error) {
	_, clientTLS, err := credentials.TLS()
	if err != nil {
		return nil, err
	}
	if maxPeers == 0 {
		maxPeers = DefaultMaxPeers
	}
	return &Pool{clock: clock, tls: clientTLS, maxPeers: maxPeers, peers: map[string]*peerClient{}}, nil
}

func (p *Pool) newPeer(address string) *peerClient {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	transport := &http.Transport{
		TLSClientConfig:     p.tls.Clone(),
		Protocols:           protocols,
		DialContext:         p.Traffic.dialer((&net.Dialer{Timeout: dialTimeout}).DialContext),
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: readIdleTimeout, PingTimeout: pingTimeout},
	}
	client := carobstilev1connect.NewPeerServiceClient(
		&http.Client{Transport: transport},
		"https://"+address,
		connect.WithInterceptors(clockInterceptor(p.clock)),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	return &peerClient{PeerServiceClient: client, transport: transport}
}

func (p *Pool) acquire(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.peers[address]
	if c == nil {
		c = p.newPeer(address)
		p.peers[address] = c
	}
	c.inFlight++
	p.uses++
	c.lastUse = p.uses
	p.evict()
	return c
}

// evict closes the connections of the least recently used peers in excess of maxPeers. Peers with calls in flight are
// kept.
func (p *Pool) evict() {
	for len(p.peers) > p.maxPeers {
		oldest := ""
		for address, c := range p.peers {
			if c.inFlight == 0 && (oldest == "" || c.lastUse < p.peers[oldest].lastUse) {
				oldest = address
			}
		}
		if oldest == "" {
			return
		}
		p.peers[oldest].transport.CloseIdleConnections()
		delete(p.peers, oldest)
	}
}

func (p *Pool) release(c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight--
	if c.replaced && c.inFlight == 0 {
		c.transport.CloseIdleConnections()
	}
	p.evict()
}

// replace makes the next call to address open a new connection. Calls in flight continue on the old one.
func (p *Pool) replace(address string, c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.replaced = true
	if p.peers[address] == c {
		delete(p.peers, address)
	}
}

// Peers returns the number of peers in the pool.
func (p *Pool) Peers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Close removes all peers from the pool and closes their idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.peers {
		c.transport.CloseIdleConnections()
		delete(p.peers, address)
	}
}

func call[Req, Res any](ctx context.Context, p *Pool, address string, req *Req,
	method func(*peerClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
		ctx = limited
	}
	c := p.acquire(address)
	defer p.release(c)
	res, err := method(c, ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.replace(address, c)
		}
		return nil, err
	}
	return res.Msg, nil
}

// Grant requests a grant from the allocator at address. Calls of the pool without a deadline in ctx time out after 3 s.
func (p *Pool) Grant(ctx context.Context, address string, req *pb.GrantRequest) (*pb.GrantResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Grant)
}

// Renew renews grants at the allocator at address.
func (p *Pool) Renew(ctx context.Context, address string, req *pb.RenewRequest) (*pb.RenewResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Renew)
}

// Release releases grants at the allocator at address.
func (p *Pool) Release(ctx context.Context, address string, req *pb.ReleaseRequest) (*pb.ReleaseResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Release)
}

// FetchConfig fetches the configuration of the daemon at address.
func (p *Pool) FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return call(ctx, p, address, req, (*peerClient).FetchConfig)
}

// SyncMembers exchanges membership tables with the daemon at address.
func (p *Pool) SyncMembers(ctx context.Context, address string, req *pb.SyncMembersRequest) (*pb.SyncMembersResponse, error) {
	return call(ctx, p, address, req, (*peerClient).SyncMembers)
}

// Status fetches the status of the daemon at address.
func (p *Pool) Status(ctx context.Context, address string, req *pb.StatusRequest) (*pb.StatusResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Status)
}
