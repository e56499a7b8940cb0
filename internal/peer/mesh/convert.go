package mesh

import (
	"time"

	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// ToWire converts a gossip message to its wire form.
func ToWire(msg *member.Message) *wire.GossipMessage {
	out := &wire.GossipMessage{
		From: string(msg.From), Digest: msg.Digest, Full: msg.Full,
		Members: make([]*wire.Member, len(msg.Members)),
	}
	for idx := range msg.Members {
		out.Members[idx] = MemberToWire(&msg.Members[idx])
	}
	return out
}

// FromWire validates and converts a received gossip message. One invalid member fails the
// whole message with KindFailed.
func FromWire(in *wire.GossipMessage) (member.Message, error) {
	msg := member.Message{From: units.VMID(in.GetFrom()), Digest: in.GetDigest(), Full: in.GetFull()}
	for _, wm := range in.GetMembers() {
		me, err := MemberFromWire(wm)
		if err != nil {
			return member.Message{}, err
		}
		msg.Members = append(msg.Members, me)
	}
	return msg, nil
}

// MemberToWire converts a member to its wire form. Its deadline is sent in Unix
// milliseconds, 0 for none.
func MemberToWire(me *member.Member) *wire.Member {
	out := &wire.Member{
		Id: string(me.VM), Incarnation: uint64(me.Incarnation), Role: uint32(me.Role), State: uint32(me.State),
		Revision: me.Revision, Address: me.Address, Zone: string(me.Zone), Target: string(me.Target),
		TableVersion: uint64(me.TableVersion), Class: me.Class,
	}
	if !me.Deadline.IsZero() {
		out.DeadlineUnixMs = me.Deadline.UnixMilli()
	}
	return out
}

// MemberFromWire validates and converts a received member. An empty id, an unknown role or
// an unknown state gives KindFailed.
func MemberFromWire(in *wire.Member) (member.Member, error) {
	const op = "mesh.MemberFromWire"
	if in.GetId() == "" {
		return member.Member{}, fault.New(op, KindFailed, "member without an id")
	}
	if in.GetRole() > uint32(member.RolePlain) || in.GetState() > uint32(member.Gone) {
		return member.Member{}, fault.New(op, KindFailed, "member %q with unknown role %d or state %d", in.GetId(), in.GetRole(), in.GetState())
	}
	me := member.Member{
		Instance: units.Instance{VM: units.VMID(in.GetId()), Incarnation: units.Incarnation(in.GetIncarnation())},
		Role:     member.Role(in.GetRole()), State: member.State(in.GetState()), Revision: in.GetRevision(),
		Address: in.GetAddress(), Zone: units.ZoneID(in.GetZone()), Target: units.TargetID(in.GetTarget()),
		Class: in.GetClass(), TableVersion: units.Version(in.GetTableVersion()),
	}
	if ms := in.GetDeadlineUnixMs(); ms != 0 {
		me.Deadline = time.UnixMilli(ms).UTC()
	}
	return me, nil
}
