// Package member holds what a node knows of the other nodes and of the backend
// servers, how two such views merge, and the gossip that spreads changes.
//
// Nothing here does I/O or reads a clock; the time and the random source are arguments.
package member

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

// Role tells what a member is.
type Role uint8

// The roles.
const (
	// RoleNode is a lycheepickd.
	RoleNode Role = iota
	// RoleEngine is a backend server that runs a model.
	RoleEngine
	// RolePlain is a backend server that runs a plain service.
	RolePlain
)

var roleNames = [...]string{"node", "engine", "plain"}

// String returns the role in snake case.
func (ro Role) String() string {
	if int(ro) < len(roleNames) {
		return roleNames[ro]
	}
	return "invalid"
}

// State is what is known of a member's life. Within one incarnation Leaving and
// Gone are sticky: no source unsets them.
type State uint8

// The states, in order of precedence.
const (
	// Alive marks a member that answers, as far as is known.
	Alive State = iota
	// Suspect marks a node that did not answer probes; it can refute that.
	Suspect
	// Leaving marks a member that gets no new work.
	Leaving
	// Gone marks a member that is no more.
	Gone
)

var stateNames = [...]string{"alive", "suspect", "leaving", "gone"}

// String returns the state in snake case.
func (st State) String() string {
	if int(st) < len(stateNames) {
		return stateNames[st]
	}
	return "invalid"
}

// Member is what is known of one VM.
type Member struct {
	units.Instance
	Role  Role
	State State
	// Revision grows each time the member itself changes what follows, or refutes
	// a suspicion. It stays 0 for backend servers.
	Revision uint64
	// Address is host:port by IP number.
	Address string
	Zone    units.ZoneID
	// Target is the model or plain service of a backend server.
	Target units.TargetID
	// Class is the machine class, for its price.
	Class string
	// TableVersion is the version that a node has in force.
	TableVersion units.Version
	// Deadline is when a leaving VM is reclaimed, if known.
	Deadline time.Time
}

// lifeBits leave room for a start time in milliseconds below a VM's incarnation.
const lifeBits = 44

// NodeIncarnation returns the incarnation of a node that started at start on a life of
// its VM. A restarted process has a larger one, as has a VM id that is used again.
func NodeIncarnation(vm units.Incarnation, start time.Time) units.Incarnation {
	return vm<<lifeBits | units.Incarnation(start.UnixMilli())&(1<<lifeBits-1)
}

// VMIncarnation returns the incarnation of the VM that a member runs on.
func (me *Member) VMIncarnation() units.Incarnation {
	if me.Role == RoleNode {
		return me.Incarnation >> lifeBits
	}
	return me.Incarnation
}

// Merge returns the join of two accounts of the same VM id. It is commutative,
// associative and idempotent, so that views converge in whatever order and however
// often accounts arrive.
func Merge(old, in Member) Member {
	if in.Incarnation != old.Incarnation {
		if in.Incarnation > old.Incarnation {
			return in
		}
		return old
	}
	out := old
	if wins(&in, &old) {
		out = in
	}
	out.State = mergeState(&old, &in)
	out.Deadline = earliest(old.Deadline, in.Deadline)
	return out
}

// wins orders two accounts of one incarnation. The bytes of the accounts settle
// ties, so that the order is total.
func wins(one, two *Member) bool {
	if one.Revision != two.Revision {
		return one.Revision > two.Revision
	}
	if one.TableVersion != two.TableVersion {
		return one.TableVersion > two.TableVersion
	}
	return one.label() > two.label()
}

func (me *Member) label() string {
	return me.Address + "|" + string(me.Zone) + "|" + string(me.Target) + "|" + me.Class + "|" + me.Role.String()
}

func mergeState(one, two *Member) State {
	high := max(one.State, two.State)
	if high >= Leaving {
		return high
	}
	if one.Revision == two.Revision {
		return high
	}
	if one.Revision > two.Revision {
		return one.State
	}
	return two.State
}

func earliest(one, two time.Time) time.Time {
	if one.IsZero() || (!two.IsZero() && two.Before(one)) {
		return two
	}
	return one
}

// hash returns a sum over all that Merge looks at.
func (me *Member) hash() uint64 {
	var num [40]byte
	binary.LittleEndian.PutUint64(num[0:], uint64(me.Incarnation))
	binary.LittleEndian.PutUint64(num[8:], me.Revision)
	binary.LittleEndian.PutUint64(num[16:], uint64(me.TableVersion))
	if !me.Deadline.IsZero() {
		binary.LittleEndian.PutUint64(num[24:], uint64(me.Deadline.UnixMilli()))
	}
	num[32] = byte(me.State)
	di := xxhash.New()
	_, _ = di.WriteString(string(me.VM))
	_, _ = di.Write(num[:])
	_, _ = di.WriteString(me.label())
	return di.Sum64()
}

// View is a set of members. It is not safe for concurrent use.
type View struct {
	members map[units.VMID]Member
	digest  uint64
}

// NewView returns an empty view.
func NewView() *View { return &View{members: map[units.VMID]Member{}} }

// Apply merges one account in and tells whether the view changed.
func (vi *View) Apply(in Member) bool {
	old, known := vi.members[in.VM]
	out := in
	if known {
		out = Merge(old, in)
		if out == old {
			return false
		}
		vi.digest ^= old.hash()
	}
	vi.members[in.VM] = out
	vi.digest ^= out.hash()
	return true
}

// Forget drops a member that has been gone for long.
func (vi *View) Forget(id units.VMID) {
	if old, ok := vi.members[id]; ok {
		vi.digest ^= old.hash()
		delete(vi.members, id)
	}
}

// Get returns the account of a member.
func (vi *View) Get(id units.VMID) (Member, bool) {
	me, ok := vi.members[id]
	return me, ok
}

// Digest returns a sum over all accounts; equal views have equal digests.
func (vi *View) Digest() uint64 { return vi.digest }

// Len returns the number of members.
func (vi *View) Len() int { return len(vi.members) }

// List returns the members in order of id.
func (vi *View) List() []Member {
	out := make([]Member, 0, len(vi.members))
	for _, me := range vi.members {
		out = append(out, me)
	}
	sort.Slice(out, func(one, two int) bool { return out[one].VM < out[two].VM })
	return out
}

// Rank returns the members that fit, in rendezvous order for a key: each key has an
// order of its own, which changes only by the members that come and go.
func Rank(key string, members []Member, fits func(*Member) bool) []Member {
	type scored struct {
		score uint64
		index int
	}
	var list []scored
	for idx := range members {
		if !fits(&members[idx]) {
			continue
		}
		list = append(list, scored{score: Score(key, members[idx].VM), index: idx})
	}
	sort.Slice(list, func(one, two int) bool {
		if list[one].score != list[two].score {
			return list[one].score > list[two].score
		}
		return members[list[one].index].VM < members[list[two].index].VM
	})
	out := make([]Member, len(list))
	for pos, sc := range list {
		out[pos] = members[sc.index]
	}
	return out
}

// Score is the rendezvous weight of a VM for a key.
func Score(key string, id units.VMID) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(key)
	_, _ = di.Write([]byte{0})
	_, _ = di.WriteString(string(id))
	return di.Sum64()
}
