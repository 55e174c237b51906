package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is how a proxy treats the bytes of its connections.
type Link string

// Kinds of links.
const (
	LinkSound Link = "sound"
	// LinkSlow holds every piece of bytes for slowLink.
	LinkSlow Link = "slow"
	// LinkReset resets open and new connections.
	LinkReset Link = "reset"
	// LinkSilent passes nothing on, LinkSilentUp nothing from the client, LinkSilentDown nothing from the server.
	LinkSilent     Link = "silent"
	LinkSilentUp   Link = "silent-up"
	LinkSilentDown Link = "silent-down"
)

const (
	// slowLink is the delay of a slow link, well above the milliseconds of a sound one.
	slowLink = 150 * time.Millisecond
	// proxyBuffer is how many bytes are passed on at once.
	proxyBuffer = 16 << 10
)

// proxy passes TCP connections on to a target and harms them on request.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	link    Link
	changed chan struct{}
	target  string
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{
		listener: listener, link: LinkSound, changed: make(chan struct{}), target: target, conns: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the link of open and new connections.
func (p *proxy) set(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
	if link == LinkReset {
		p.resetAll()
	}
}

// retarget sends new connections to another address.
func (p *proxy) retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(client net.Conn) {
	p.mu.Lock()
	link, target := p.link, p.target
	p.mu.Unlock()
	if link == LinkReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client) // the target is down, as for a direct connection
		return
	}
	p.track(client, server)
	defer p.untrack(client, server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, LinkSilentUp) })
	both.Go(func() { p.copy(client, server, LinkSilentDown) })
	both.Wait()
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copy passes one direction on; an error in it ends both, and a reset stays a reset.
func (p *proxy) copy(to, from net.Conn, silent Link) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(silent)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		p.hold(silent)
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = tcp.CloseWrite() // the other side has closed it already if this fails
		} else {
			reset(to)
		}
		return
	}
}

// hold waits as the link says before bytes of a direction are passed on.
func (p *proxy) hold(silent Link) {
	for {
		p.mu.Lock()
		link, changed := p.link, p.changed
		p.mu.Unlock()
		switch link {
		case LinkSilent, silent:
			<-changed
		case LinkSlow:
			time.Sleep(slowLink)
			return
		default:
			return
		}
	}
}
