// Package member implements the membership view of nodes and backend servers, its merge
// rules, and the gossip protocol that spreads changes and detects failed nodes.
//
// It does no I/O and reads no clock; the time and the random source are arguments.
package member

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

// Role tells whether a member is a node or what kind of backend server it is.
type Role uint8

// The roles.
const (
	// RoleNode is a node, which runs lycheepickd.
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

// State is the known liveness of a member. Leaving and Gone are sticky: within one
// incarnation no source can unset them.
type State uint8

// The states, in order of precedence.
const (
	// Alive marks a member that answers, or of which no failure is known.
	Alive State = iota
	// Suspect marks a node that did not answer probes; the node can refute it.
	Suspect
	// Leaving marks a member that is to be removed and gets no new requests.
	Leaving
	// Gone marks a member that was removed or that failed.
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

// Member is the membership record of one VM.
type Member struct {
	units.Instance
	Role  Role
	State State
	// Revision is incremented each time the member changes one of the fields below or
	// refutes a suspicion. It stays 0 for backend servers.
	Revision uint64
	// Address is host:port, with an IP address as the host.
	Address string
	Zone    units.ZoneID
	// Target is the model or plain service of a backend server.
	Target units.TargetID
	// Class is the VM class, which sets the price.
	Class string
	// TableVersion is the version of the table that a node has in force.
	TableVersion units.Version
	// Deadline is when a leaving VM is reclaimed; zero if unknown.
	Deadline time.Time
}

// startTimeBits is the width of the start time in Unix milliseconds in the low bits of a
// node's incarnation. The VM's incarnation is above them.
const startTimeBits = 44

// NodeIncarnation returns the incarnation of a node that started at start on a VM of
// incarnation vm. It grows when the process restarts and when the VM id is reused.
func NodeIncarnation(vm units.Incarnation, start time.Time) units.Incarnation {
	return vm<<startTimeBits | units.Incarnation(start.UnixMilli())&(1<<startTimeBits-1)
}

// VMIncarnation returns the incarnation of the member's VM: the high bits of a node's
// incarnation, and a backend server's own one.
func (me *Member) VMIncarnation() units.Incarnation {
	if me.Role == RoleNode {
		return me.Incarnation >> startTimeBits
	}
	return me.Incarnation
}

// Merge returns the join of two records of the same VM id. It is commutative, associative
// and idempotent, so views converge regardless of the order and number of deliveries.
func Merge(old, in Member) Member {
	if in.Incarnation != old.Incarnation {
		if in.Incarnation > old.Incarnation {
			return in
		}
		return old
	}
	out := old
	if supersedes(&in, &old) {
		out = in
	}
	out.State = mergeState(&old, &in)
	out.Deadline = earliest(old.Deadline, in.Deadline)
	return out
}

// supersedes reports whether record one takes precedence over two of the same incarnation.
// Ties are broken by the bytes of the attributes, so that the order is total.
func supersedes(one, two *Member) bool {
	if one.Revision != two.Revision {
		return one.Revision > two.Revision
	}
	if one.TableVersion != two.TableVersion {
		return one.TableVersion > two.TableVersion
	}
	return one.attributes() > two.attributes()
}

func (me *Member) attributes() string {
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

// hash returns a 64-bit hash over all fields that Merge compares.
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
	_, _ = di.WriteString(me.attributes())
	return di.Sum64()
}

// View is the set of members known to one node. It is not safe for concurrent use.
type View struct {
	members map[units.VMID]Member
	digest  uint64
}

// NewView returns a view without members, whose digest is 0.
func NewView() *View { return &View{members: map[units.VMID]Member{}} }

// Apply merges a record into the view and reports whether the view changed.
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

// Forget drops a member and its hash from the digest. Use it only for members that were
// gone for long, since an old record would add the member again.
func (vi *View) Forget(id units.VMID) {
	if old, ok := vi.members[id]; ok {
		vi.digest ^= old.hash()
		delete(vi.members, id)
	}
}

// Get returns the record of a member and reports whether the member is in the view.
func (vi *View) Get(id units.VMID) (Member, bool) {
	me, ok := vi.members[id]
	return me, ok
}

// Digest returns the XOR of the hashes of all records; equal views have equal digests.
func (vi *View) Digest() uint64 { return vi.digest }

// Len returns the number of members, those that are gone included.
func (vi *View) Len() int { return len(vi.members) }

// List returns all members in order of id.
func (vi *View) List() []Member {
	out := make([]Member, 0, len(vi.members))
	for _, me := range vi.members {
		out = append(out, me)
	}
	sort.Slice(out, func(one, two int) bool { return out[one].VM < out[two].VM })
	return out
}

// Rank returns the members that fit, in rendezvous-hashing order for a key. Adding or
// removing a member doesn't change the relative order of the others.
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

// Score returns the rendezvous-hashing weight of a VM for a key. The VM with the largest
// weight comes first.
func Score(key string, id units.VMID) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(key)
	_, _ = di.Write([]byte{0})
	_, _ = di.WriteString(string(id))
	return di.Sum64()
}
