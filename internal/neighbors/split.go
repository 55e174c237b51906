package neighbors

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// split divides a packet into packets of at most limit bytes, which have the elements of its lists in their order. All of them
// have the sender, and the first one has the fields that are not lists. An element that does not fit is in a packet of its own,
// which is over the limit.
//
// The list of running jobs stays in one packet, since receivers end all jobs that it does not contain. The late first events
// are in the packets of their first events, where receivers look them up.
func split(p *carobstilev1.EdgePacket, limit int) []*carobstilev1.EdgePacket {
	if proto.Size(p) <= limit {
		return []*carobstilev1.EdgePacket{p}
	}
	d := &divider{limit: limit, base: &carobstilev1.EdgePacket{Sender: p.GetSender()}}
	d.begin(withoutLists(p))
	if p.GetSummary() {
		d.addSummary(p.GetActive())
	}
	late := slices.Clone(p.GetFirstLate())
	for _, id := range p.GetFirst() {
		v := protoreflect.ValueOfUint64(id)
		if i := slices.Index(late, id); i >= 0 {
			late = slices.Delete(late, i, i+1)
			d.add(element{firstField, v}, element{firstLateField, v})
			continue
		}
		d.add(element{firstField, v})
	}
	for _, id := range late { // without a first event
		d.add(element{firstLateField, protoreflect.ValueOfUint64(id)})
	}
	for i := range packetFields.Len() {
		field := packetFields.Get(i)
		if !field.IsList() || field == activeField || field == firstField || field == firstLateField {
			continue
		}
		list := p.ProtoReflect().Get(field).List()
		for n := range list.Len() {
			d.add(element{field, list.Get(n)})
		}
	}
	return d.parts
}

var (
	packetFields   = (&carobstilev1.EdgePacket{}).ProtoReflect().Descriptor().Fields()
	activeField    = packetFields.ByName("active")
	firstField     = packetFields.ByName("first")
	firstLateField = packetFields.ByName("first_late")
)

// withoutLists returns a packet with the fields of p that are not lists, without the mark of a summary.
func withoutLists(p *carobstilev1.EdgePacket) *carobstilev1.EdgePacket {
	out := &carobstilev1.EdgePacket{}
	p.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !field.IsList() {
			out.ProtoReflect().Set(field, v)
		}
		return true
	})
	out.Summary = false
	return out
}

// element is an element of a list of a packet.
type element struct {
	list  protoreflect.FieldDescriptor
	value protoreflect.Value
}

// divider collects the parts of a packet.
type divider struct {
	limit int
	// base is what all parts have.
	base  *carobstilev1.EdgePacket
	parts []*carobstilev1.EdgePacket
	// size is the encoded size of the last part.
	size int
}

// begin starts a part.
func (d *divider) begin(p *carobstilev1.EdgePacket) {
	d.parts = append(d.parts, p)
	d.size = proto.Size(p)
}

func (d *divider) last() *carobstilev1.EdgePacket { return d.parts[len(d.parts)-1] }

// makeRoom starts a new part if a number of bytes does not fit the last one, unless that has nothing but the base.
func (d *divider) makeRoom(bytes int) {
	if d.size+bytes > d.limit && d.size > proto.Size(d.base) {
		d.begin(proto.CloneOf(d.base))
	}
}

// addSummary adds the mark of a summary and the running jobs.
func (d *divider) addSummary(active []uint64) {
	bytes := proto.Size(&carobstilev1.EdgePacket{Summary: true, Active: active})
	d.makeRoom(bytes)
	d.last().Summary, d.last().Active = true, active
	d.size += bytes
}

// add adds elements to the same part.
func (d *divider) add(together ...element) {
	growth := func() (bytes int) {
		for _, e := range together {
			bytes += d.growth(e)
		}
		return bytes
	}
	d.makeRoom(growth())
	d.size += growth() // in the part that has room now
	for _, e := range together {
		d.last().ProtoReflect().Mutable(e.list).List().Append(e.value)
	}
}

// growth returns how many bytes an element adds to the last part. Lists hold messages, texts, or numbers of eight bytes, which are
// packed.
func (d *divider) growth(e element) int {
	tag := protowire.SizeTag(e.list.Number())
	switch e.list.Kind() {
	case protoreflect.MessageKind:
		return tag + protowire.SizeBytes(proto.Size(e.value.Message().Interface()))
	case protoreflect.StringKind:
		return tag + protowire.SizeBytes(len(e.value.String()))
	default:
	}
	packed := func(n int) int {
		if n == 0 {
			return 0
		}
		return tag + protowire.SizeBytes(n*protowire.SizeFixed64())
	}
	n := d.last().ProtoReflect().Get(e.list).List().Len()
	return packed(n+1) - packed(n)
}
