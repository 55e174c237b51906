package neighbors

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

// ignoreAll handles datagrams by ignoring them.
type ignoreAll struct{}

func (ignoreAll) HandlePacket(*carobstilev1.EdgePacket, bool) {}
func (ignoreAll) FillSummary(*carobstilev1.EdgePacket)        {}
func (ignoreAll) MemberJoined(*carobstilev1.EdgeMember)       {}
func (ignoreAll) MemberAway(*carobstilev1.EdgeMember)         {}

// FuzzDatagram checks that a datagram is ignored or names a neighbour with a usable address, and that a packet is not
// changed by being split.
func FuzzDatagram(f *testing.F) {
	p := &carobstilev1.EdgePacket{
		Sender: &carobstilev1.EdgeMember{Name: "d", PacketAddress: "127.0.0.1:9", Boot: 4}, Summary: true, Active: []uint64{1},
		Placed: []*carobstilev1.EdgeJob{{Id: 1, Lead: "s"}}, Leaving: []*carobstilev1.EdgeProcess{{Server: "s"}},
	}
	data, err := proto.Marshal(p)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	self := &carobstilev1.EdgeMember{Name: "self", PacketAddress: "127.0.0.1:0"}
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &Link{
			name: "self", handler: ignoreAll{}, log: evlog.Discard(), self: self, neighbors: map[string]*neighbor{},
			layout: newCellLayout(nil, 0), write: func(data []byte, _ netip.AddrPort) (int, error) { return len(data), nil },
		}
		l.receive(data)
		require.LessOrEqual(t, len(l.neighbors), 1)
		for name, n := range l.neighbors {
			require.NotEmpty(t, name)
			require.True(t, n.address.IsValid())
		}
		decoded := &carobstilev1.EdgePacket{}
		if proto.Unmarshal(data, decoded) != nil {
			return
		}
		const limit = 200
		placed, ended := 0, 0
		for _, part := range split(decoded, limit) {
			placed += len(part.GetPlaced())
			ended += len(part.GetEnded())
		}
		require.Len(t, decoded.GetPlaced(), placed)
		require.Len(t, decoded.GetEnded(), ended)
	})
}
