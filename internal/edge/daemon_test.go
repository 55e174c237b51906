package edge

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/neighbors"
)

// nopHandler ignores all calls of the link.
type nopHandler struct{}

func (nopHandler) HandlePacket(*carobstilev1.EdgePacket, bool) {}
func (nopHandler) FillSummary(*carobstilev1.EdgePacket)        {}
func (nopHandler) MemberJoined(*carobstilev1.EdgeMember)       {}
func (nopHandler) MemberAway(*carobstilev1.EdgeMember)         {}

// Guards against a cell without any server of a service that has few servers.
func TestServicesWithFewServersAreNotDivided(t *testing.T) {
	const daemons, engines, desks = 90, 400, 4
	self := &carobstilev1.EdgeMember{Name: "self", PacketAddress: "127.0.0.1:0"}
	link, err := neighbors.Listen(self, nopHandler{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	d := &Daemon{link: link, servers: newServerList(nil, slog.New(slog.DiscardHandler))}
	for i := range daemons {
		link.AddMember(&carobstilev1.EdgeMember{Name: fmt.Sprint("d", i), PacketAddress: "127.0.0.1:9"})
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		d.servers.servers[id] = dispatch.Server{ID: id, Service: "llm"}
	}
	for i := range desks {
		id := fmt.Sprint("p", i)
		d.servers.servers[id] = dispatch.Server{ID: id, Service: "desk"}
	}
	count := map[string]int{}
	for _, s := range d.usableServers() {
		count[s.Service]++
	}
	require.Equal(t, desks, count["desk"])
	require.Less(t, count["llm"], engines)
	require.Positive(t, count["llm"])
}
