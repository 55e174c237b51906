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

// Timeouts of the client. Connections can go silent while new ones work, so a connection is replaced after a call that
// ran into its deadline, and when it stays silent for readIdleTimeout and then leaves an HTTP/2 ping unanswered for
// pingTimeout. Pings go over idle connections as well: one a second over each of 64 would exceed the control budget of
// 14 KB/s, and gates renew grants every 4 s, so connections in use need no pings at 5 s.
const (
	dialTimeout       = time.Second
	readIdleTimeout   = 5 * time.Second
	pingTimeout       = time.Second
	idleTimeout       = 30 * time.Second
	defaultCallBudget = 3 * time.Second
)

// DefaultMaxPeers bounds the peers to which a pool keeps connections. A gate talks to the allocators of its failure
// domain (33 at the design size) and to a few random members.
const DefaultMaxPeers = 64

// Pool calls PeerService of other daemons by address. It keeps one HTTP/2 connection per peer and closes the least
// recently used idle ones over its bound. It is safe for concurrent use.
type Pool struct {
	clock    *evlog.Clock
	tls      *tls.Config
	maxPeers int
	// Traffic, if set before the first call, counts the bytes of the pool's connections.
	Traffic *Traffic

	mu    sync.Mutex
	peers map[string]*peerClient
	turn  uint64
}

type peerClient struct {
	carobstilev1connect.PeerServiceClient
	transport *http.Transport
	inFlight  int
	lastTurn  uint64
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
	p.turn++
	c.lastTurn = p.turn
	p.evict()
	return c
}

// evict closes the least recently used idle peers over the bound. Peers with calls in flight stay.
func (p *Pool) evict() {
	for len(p.peers) > p.maxPeers {
		oldest := ""
		for address, c := range p.peers {
			if c.inFlight == 0 && (oldest == "" || c.lastTurn < p.peers[oldest].lastTurn) {
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

// replace gives the next call to address a new connection. Calls in flight go on over the old one.
func (p *Pool) replace(address string, c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.replaced = true
	if p.peers[address] == c {
		delete(p.peers, address)
	}
}

// Peers returns the number of peers that the pool keeps connections to.
func (p *Pool) Peers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Close closes all idle connections.
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
		limited, cancel := context.WithTimeout(ctx, defaultCallBudget)
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

// Grant asks the allocator at address. Without a deadline in ctx, every call of the pool ends after 3 s.
func (p *Pool) Grant(ctx context.Context, address string, req *pb.GrantRequest) (*pb.GrantResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Grant)
}

// Renew renews grants at the allocator at address.
func (p *Pool) Renew(ctx context.Context, address string, req *pb.RenewRequest) (*pb.RenewResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Renew)
}

// Release gives grants back to the allocator at address.
func (p *Pool) Release(ctx context.Context, address string, req *pb.ReleaseRequest) (*pb.ReleaseResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Release)
}

// FetchConfig asks the daemon at address for its configuration.
func (p *Pool) FetchConfig(ctx context.Context, address string, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return call(ctx, p, address, req, (*peerClient).FetchConfig)
}

// SyncMembers exchanges full membership tables with the daemon at address.
func (p *Pool) SyncMembers(ctx context.Context, address string, req *pb.SyncMembersRequest) (*pb.SyncMembersResponse, error) {
	return call(ctx, p, address, req, (*peerClient).SyncMembers)
}

// Status asks the daemon at address for its view.
func (p *Pool) Status(ctx context.Context, address string, req *pb.StatusRequest) (*pb.StatusResponse, error) {
	return call(ctx, p, address, req, (*peerClient).Status)
}
