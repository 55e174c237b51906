package peer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

const readErrorBackoff = time.Millisecond

// Counters are the traffic counters of a UDP transport since its start.
type Counters struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	// RefusedPackets counts received packets that were dropped without an answer: not sealed with a cluster key, with a
	// send time out of range, or malformed.
	RefusedPackets uint64
}

type counters struct {
	sentPackets, sentBytes, receivedPackets, receivedBytes, refusedPackets atomic.Uint64
}

// UDP sends and receives sealed packets.
type UDP struct {
	conn     *net.UDPConn
	sealer   *Sealer
	clock    *evlog.Clock
	counters counters
}

// ListenUDP binds a UDP socket to address, an IP address and port.
func ListenUDP(address string, sealer *Sealer, clock *evlog.Clock) (*UDP, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse peer address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, errors.Wrap(err, "listen for UDP packets")
	}
	return &UDP{conn: conn, sealer: sealer, clock: clock}, nil
}

// Address returns the bound address.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send sets the clock of a packet, seals it and sends it. Delivery is not guaranteed.
func (u *UDP) Send(address string, packet *pb.Packet) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse destination address of packet")
	}
	stamp(u.clock, packet)
	plain, err := proto.Marshal(packet)
	if err != nil {
		return errors.Wrap(err, "marshal packet")
	}
	sealed, err := u.sealer.Seal(plain)
	if err != nil {
		return err
	}
	if _, err := u.conn.WriteToUDPAddrPort(sealed, to); err != nil {
		return errors.Wrap(err, "send packet")
	}
	u.counters.sentPackets.Add(1)
	u.counters.sentBytes.Add(uint64(len(sealed)))
	return nil
}

// Serve calls handle for each valid packet, sequentially, until Close.
func (u *UDP) Serve(handle func(packet *pb.Packet)) error {
	buffer := make([]byte, MaxPacketBytes+1)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Read errors of a UDP socket concern earlier packets (for example an unreachable port) and are not fatal. The
			// pause avoids a busy loop if an error persists.
			time.Sleep(readErrorBackoff)
			continue
		}
		packet, err := u.open(buffer[:n])
		if err != nil {
			u.counters.refusedPackets.Add(1)
			continue
		}
		u.counters.receivedPackets.Add(1)
		u.counters.receivedBytes.Add(uint64(n))
		handle(packet)
	}
}

func (u *UDP) open(sealed []byte) (*pb.Packet, error) {
	plain, err := u.sealer.Open(sealed)
	if err != nil {
		return nil, err
	}
	packet := &pb.Packet{}
	if err := proto.Unmarshal(plain, packet); err != nil {
		return nil, errors.Wrap(err, "unmarshal packet")
	}
	observe(u.clock, packet)
	return packet, nil
}

// Counters returns the current traffic counters.
func (u *UDP) Counters() Counters {
	return Counters{
		SentPackets: u.counters.sentPackets.Load(), SentBytes: u.counters.sentBytes.Load(),
		ReceivedPackets: u.counters.receivedPackets.Load(), ReceivedBytes: u.counters.receivedBytes.Load(),
		RefusedPackets: u.counters.refusedPackets.Load(),
	}
}

// Close closes the socket, which ends Serve.
func (u *UDP) Close() error { return u.conn.Close() }
