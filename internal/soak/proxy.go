package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is the condition that a proxy simulates on its connections.
type Link string

// Link conditions.
const (
	LinkNormal Link = "sound"
	// LinkSlow delays each chunk of data by slowLinkDelay.
	LinkSlow Link = "slow"
	// LinkReset resets open and new connections.
	LinkReset Link = "reset"
	// LinkSilent forwards nothing, LinkSilentUp nothing from the client, LinkSilentDown nothing from the server.
	LinkSilent     Link = "silent"
	LinkSilentUp   Link = "silent-up"
	LinkSilentDown Link = "silent-down"
)

const (
	// slowLinkDelay is well above the few milliseconds of a normal link.
	slowLinkDelay = 150 * time.Millisecond
	// proxyBufferBytes is the largest chunk that is forwarded at once.
	proxyBufferBytes = 16 << 10
)

// proxy forwards TCP connections to a target and simulates link faults.
type proxy struct {
	listener net.Listener

	mu          sync.Mutex
	link        Link
	linkChanged chan struct{}
	target      string
	// conns holds the open connections; true for those of clients.
	conns map[net.Conn]bool
	// cut is the variant of DaemonsCut that applies to the clients that isCut selects; "" if none is cut off.
	cut   string
	isCut func(client net.Conn) bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &proxy{
		listener: listener, link: LinkNormal, linkChanged: make(chan struct{}), target: target, conns: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setLink changes the condition of open and new connections.
func (p *proxy) setLink(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.linkChanged)
	p.linkChanged = make(chan struct{})
	if link == LinkReset {
		p.resetAll()
	}
}

// setCut cuts the clients off that isCut selects, as a variant of DaemonsCut says, and ends an earlier cut.
func (p *proxy) setCut(variant string, isCut func(client net.Conn) bool) {
	p.mu.Lock()
	p.cut, p.isCut = variant, isCut
	close(p.linkChanged)
	p.linkChanged = make(chan struct{})
	defer p.mu.Unlock()
	for c, client := range p.conns {
		if variant == cutRefused && client {
			go func() {
				if isCut(c) {
					reset(c)
				}
			}()
		}
	}
}

// cutOf returns the variant with which a client is cut off, "" if it is not.
func (p *proxy) cutOf(client net.Conn) string {
	p.mu.Lock()
	variant, isCut := p.cut, p.isCut
	p.mu.Unlock()
	if variant == "" || !isCut(client) {
		return ""
	}
	return variant
}

// setTarget changes the address to which new connections are forwarded.
func (p *proxy) setTarget(target string) {
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
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	p.mu.Lock()
	link, target := p.link, p.target
	p.mu.Unlock()
	if cut := p.cutOf(client); link == LinkReset || cut == cutRefused || cut == cutRefusedNew {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client) // as a direct connection to a target that is down
		return
	}
	p.track(client, true)
	p.track(server, false)
	defer p.untrack(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { p.forwardDirection(server, client, client, LinkSilentUp) })
	wg.Go(func() { p.forwardDirection(client, server, client, LinkSilentDown) })
	wg.Wait()
}

func (p *proxy) track(c net.Conn, client bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = client
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// forwardDirection forwards one direction of a connection. EOF is passed on as a half-close; any other error resets the
// other connection, so that a reset remains a reset and both directions end.
func (p *proxy) forwardDirection(to, from, client net.Conn, silent Link) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyLink(client, silent)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		p.applyLink(client, silent)
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = tcp.CloseWrite() // fails only if the connection is already closed
		} else {
			reset(to)
		}
		return
	}
}

// applyLink delays or blocks as the link condition requires, before data of one direction is forwarded.
func (p *proxy) applyLink(client net.Conn, silent Link) {
	for {
		p.mu.Lock()
		link, changed := p.link, p.linkChanged
		p.mu.Unlock()
		if p.cutOf(client) == cutSilent {
			link = LinkSilent
		}
		switch link {
		case LinkSilent, silent:
			<-changed
		case LinkSlow:
			time.Sleep(slowLinkDelay)
			return
		default:
			return
		}
	}
}
