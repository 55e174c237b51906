package membercore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against urgent crash records that are delayed until the next probe interval because records of other requests
// have used up the limit of hints. A second gate then let a request close to its crash limit crash a fourth engine.
func TestUrgentRecordsGoToAllMembersAtOnce(t *testing.T) {
	const members = 5
	now := core.Hour
	c := New(Member{Name: "self", Address: "10.0.0.1:1", Incarnation: 1}, 7)
	c.Step(Started{Now: now})
	for i := range members {
		m := Member{Name: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.1.%d:1", i), Incarnation: 1, State: Alive}
		c.Step(PacketReceived{Now: now, Packet: Packet{Kind: Hint, Sender: m}})
	}
	for i := range 3 * maxHintsPerInterval {
		c.Step(RecordsAdded{Now: now, Records: []CrashRecord{{Fingerprint: fmt.Appendf(nil, "other%d", i), EngineIncarnation: "e1", CreatedAt: now}}})
	}
	var urgent []CrashRecord
	for _, engine := range []string{"e1", "e2"} {
		urgent = append(urgent, CrashRecord{Fingerprint: []byte("crashing"), EngineIncarnation: engine, CreatedAt: now})
	}
	recipients := map[string]bool{}
	for _, effect := range c.Step(RecordsAdded{Now: now, Records: urgent, Urgent: true}) {
		if p, ok := effect.(SendPacket); ok {
			require.Subset(t, p.Packet.Records, urgent)
			recipients[p.To] = true
		}
	}
	require.Len(t, recipients, members)
}
