package member

import (
	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/membercore"
)

var statesToProto = map[membercore.State]pb.MemberState{
	membercore.Alive:   pb.MemberState_MEMBER_STATE_ALIVE,
	membercore.Suspect: pb.MemberState_MEMBER_STATE_SUSPECT,
	membercore.Leaving: pb.MemberState_MEMBER_STATE_LEAVING,
	membercore.Dead:    pb.MemberState_MEMBER_STATE_DEAD,
}

var statesFromProto = map[pb.MemberState]membercore.State{
	pb.MemberState_MEMBER_STATE_ALIVE:   membercore.Alive,
	pb.MemberState_MEMBER_STATE_SUSPECT: membercore.Suspect,
	pb.MemberState_MEMBER_STATE_LEAVING: membercore.Leaving,
	pb.MemberState_MEMBER_STATE_DEAD:    membercore.Dead,
}

var kindsToProto = map[membercore.Kind]pb.PacketKind{
	membercore.Probe:         pb.PacketKind_PACKET_KIND_PROBE,
	membercore.Ack:           pb.PacketKind_PACKET_KIND_ACK,
	membercore.IndirectProbe: pb.PacketKind_PACKET_KIND_INDIRECT_PROBE,
	membercore.Hint:          pb.PacketKind_PACKET_KIND_HINT,
}

var kindsFromProto = map[pb.PacketKind]membercore.Kind{
	pb.PacketKind_PACKET_KIND_PROBE:          membercore.Probe,
	pb.PacketKind_PACKET_KIND_ACK:            membercore.Ack,
	pb.PacketKind_PACKET_KIND_INDIRECT_PROBE: membercore.IndirectProbe,
	pb.PacketKind_PACKET_KIND_HINT:           membercore.Hint,
}

// ToProto converts a member to its protobuf message.
func ToProto(m membercore.Member) *pb.Member {
	return &pb.Member{
		Name: m.Name, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain,
		Incarnation: m.Incarnation, State: statesToProto[m.State],
	}
}

// fromProto converts a protobuf message to a member. For a state that this release does not know it returns an empty
// member, which the core ignores.
func fromProto(m *pb.Member) membercore.Member {
	state, ok := statesFromProto[m.GetState()]
	if !ok {
		return membercore.Member{}
	}
	return membercore.Member{
		Name: m.GetName(), Address: m.GetAddress(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain(),
		Incarnation: m.GetIncarnation(), State: state,
	}
}

func membersToProto(members []membercore.Member) []*pb.Member {
	out := make([]*pb.Member, len(members))
	for i, m := range members {
		out[i] = ToProto(m)
	}
	return out
}

func membersFromProto(members []*pb.Member) []membercore.Member {
	out := make([]membercore.Member, len(members))
	for i, m := range members {
		out[i] = fromProto(m)
	}
	return out
}

func recordsToProto(records []membercore.CrashRecord) []*pb.CrashRecord {
	out := make([]*pb.CrashRecord, len(records))
	for i, r := range records {
		out[i] = &pb.CrashRecord{Fingerprint: r.Fingerprint, EngineIncarnation: r.EngineIncarnation, MadeMicros: int64(r.CreatedAt)}
	}
	return out
}

func recordsFromProto(records []*pb.CrashRecord) []membercore.CrashRecord {
	out := make([]membercore.CrashRecord, len(records))
	for i, r := range records {
		out[i] = membercore.CrashRecord{
			Fingerprint: r.GetFingerprint(), EngineIncarnation: r.GetEngineIncarnation(), CreatedAt: core.Micros(r.GetMadeMicros()),
		}
	}
	return out
}

func packetToProto(p membercore.Packet) *pb.Packet {
	out := &pb.Packet{
		Kind: kindsToProto[p.Kind], Sender: ToProto(p.Sender), Sequence: p.Sequence,
		Updates: membersToProto(p.Updates), CrashRecords: recordsToProto(p.Records), Generation: p.Generation,
	}
	if p.Target != nil {
		out.Target = ToProto(*p.Target)
	}
	return out
}

func packetFromProto(p *pb.Packet) (membercore.Packet, bool) {
	kind, ok := kindsFromProto[p.GetKind()]
	out := membercore.Packet{
		Kind: kind, Sender: fromProto(p.GetSender()), Sequence: p.GetSequence(),
		Updates: membersFromProto(p.GetUpdates()), Records: recordsFromProto(p.GetCrashRecords()),
		Generation: p.GetGeneration(),
	}
	if p.GetTarget() != nil {
		target := fromProto(p.GetTarget())
		out.Target = &target
	}
	return out, ok
}
