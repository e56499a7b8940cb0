package roll

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// Book holds what one node knows of the rollouts of all services.
type Book struct {
	policy   Policy
	node     units.VMID
	services map[units.TargetID]*service
	// peers holds the start and the time of the latest report of each peer.
	peers map[units.VMID]peer
	// reports counts the reports that this node has made.
	reports uint64
	// relays is set in a fleet in which two nodes exchange too seldom for evidence to arrive in time.
	relays bool
}

// peer is what is known of a peer whatever the order.
type peer struct {
	incarnation int64
	heardAt     time.Time
}

// service is one service with its order, if there is one.
type service struct {
	own     units.VMID
	names   map[routeID]string
	open    map[units.SoftwareVersion]int
	servers []server.Server
	usual   usuals
	rollout *rollout
	// heard is the newest state of an order that this node has not read yet.
	heard State
}

// rollout is an order and what is known of it.
type rollout struct {
	Order
	// key identifies this node's totals.
	key     uint32
	phase   Phase
	stopped bool
	reason  string
	// listed is set once the node has known servers of the service, and isCurrent if the first ones were all of the target.
	listed, isCurrent bool
	// startedAt is when a node first saw the order, phaseAt when this node learned of the phase, and
	// contactAt the latest sign that the phase is in force.
	startedAt, phaseAt, contactAt time.Time
	// begun and sent count the requests of this node since the order, and those of them at the target.
	begun, sent int
	evidence    evidence
	peers       map[units.VMID]progress
	fleet       fleet
}

// progress is how far a peer has come in an order.
type progress struct {
	phase        Phase
	open, target int
}

// maxServices bounds the services of which states are kept that this node doesn't know.
const maxServices = 256

// NewBook returns a book without orders. node is this node's id.
func NewBook(po Policy, node units.VMID) *Book {
	return &Book{policy: po, node: node, services: map[units.TargetID]*service{}, peers: map[units.VMID]peer{}}
}

func (bo *Book) service(id units.TargetID) *service {
	sc := bo.services[id]
	if sc == nil {
		sc = &service{own: bo.node, names: map[routeID]string{}, open: map[units.SoftwareVersion]int{}, usual: usuals{}}
		bo.services[id] = sc
	}
	return sc
}

// rollout returns the rollout of a service, nil without an order.
func (bo *Book) rollout(id units.TargetID) *rollout {
	if sc := bo.services[id]; sc != nil {
		return sc.rollout
	}
	return nil
}

// SetOrder puts an order into force, as of the first time that the node sees it. An order with another offset
// replaces the one before, and everything starts anew. Orders that aren't valid change nothing.
func (bo *Book) SetOrder(now time.Time, or Order) {
	if or.Validate() != nil {
		return
	}
	sc := bo.service(or.Service)
	if ro := sc.rollout; ro != nil {
		if or.Era < ro.Era || or.Era == ro.Era && or.Offset <= ro.Offset {
			return
		}
		if ro.isRereadAs(or) {
			ro.Offset, ro.Era = or.Offset, or.Era
			ro.fleet.set(ro, sc.servers)
			return
		}
	}
	ro := &rollout{Order: or, key: bo.newKey(now), startedAt: now, phaseAt: now, evidence: newEvidence(), peers: map[units.VMID]progress{}}
	sc.rollout = ro
	ro.setServers(sc.servers)
	if ro.isSame(sc.heard) {
		ro.advance(now, sc.heard.Phase)
	}
}

// newKey returns a number by which a node's totals differ from those that it had before a restart.
func (bo *Book) newKey(now time.Time) uint32 {
	return max(1, uint32(mix(string(bo.node), uint64(now.UnixNano()))))
}

// isRereadAs reports whether an order of a later era is the same one, read from a restored store.
func (ro *rollout) isRereadAs(or Order) bool {
	return or.Era > ro.Era && or.Target == ro.Target && or.Duration == ro.Duration && (or.Offset == ro.Offset || !ro.phase.IsFinal())
}

// isSame reports whether a state belongs to the order. After the store was restored peers may still report the era before.
func (ro *rollout) isSame(st State) bool {
	return st.Offset == ro.Offset && st.Target == ro.Target && st.Era <= ro.Era
}

// RemoveOrder ends the control of a service's versions.
func (bo *Book) RemoveOrder(id units.TargetID) {
	if sc := bo.services[id]; sc != nil {
		sc.rollout, sc.heard = nil, State{}
	}
}

// Redate sets the era of a service's order, and when it was first read if that is earlier than known. What is known of the
// order stays: without it a node would send requests to a bad version again.
func (bo *Book) Redate(id units.TargetID, at time.Time, era units.Era) {
	if ro := bo.rollout(id); ro != nil {
		ro.Era = era
		if at.Before(ro.startedAt) {
			ro.startedAt = at
		}
	}
}

// SetRoutes names the routes of a service. Verdicts are by route.
func (bo *Book) SetRoutes(id units.TargetID, routes []string) {
	sc := bo.service(id)
	clear(sc.names)
	for _, na := range routes {
		sc.names[newRouteID(na)] = na
	}
}

// SetServers replaces the list of a service's servers.
func (bo *Book) SetServers(id units.TargetID, list []server.Server) {
	sc := bo.service(id)
	sc.servers = slices.Clone(list)
	if sc.rollout != nil {
		sc.rollout.setServers(list)
	}
}

// setServers replaces the list of servers, and notes whether the first one has only servers of the target.
func (ro *rollout) setServers(list []server.Server) {
	ro.fleet.set(ro, list)
	if fl := &ro.fleet; !ro.listed && fl.target+fl.others > 0 {
		ro.listed, ro.isCurrent = true, fl.others == 0
	}
}

// Route returns the group of servers to which a new request goes. hash is that of the request's id. A request
// that has waited is routed again before it is sent.
func (bo *Book) Route(now time.Time, id units.TargetID, hash uint64) Group {
	ro := bo.rollout(id)
	switch {
	case ro == nil:
		return Any
	case !bo.mayUseTarget(now, ro):
		return Others
	case ro.phase != Canary || ro.fleet.others == 0:
		return Target
	case bo.isCanary(ro, hash):
		return Target
	}
	return Others
}

// mayUseTarget reports whether this node may send any request to the target.
func (bo *Book) mayUseTarget(now time.Time, ro *rollout) bool {
	if ro.isCurrent && ro.fleet.others == 0 {
		return true // The order moves nothing, and there is no other version to go to.
	}
	switch ro.phase {
	case Canary:
		// Without other servers a rejected request is the only alternative to the target.
		return !ro.stopped && (ro.fleet.others == 0 || now.Sub(ro.contactAt) <= bo.policy.contactTimeout() && now.Before(ro.deadline()))
	case Shift:
		return !ro.stopped || ro.fleet.others == 0
	case Completed:
		return true
	default:
		return false
	}
}

func (po *Policy) contactTimeout() time.Duration {
	return min(maxContactTimeout, time.Duration(float64(po.RollbackBound)*contactPart))
}

// isCanary reports whether a request belongs to the share for the canary.
func (bo *Book) isCanary(ro *rollout, hash uint64) bool {
	share := bo.share(ro, ro.phaseAt)
	wanted, have := ro.fleet.wanted(share), ro.fleet.target
	if have == 0 {
		return false
	}
	if have < wanted {
		share *= float64(have) / float64(wanted)
	}
	// The part of a request that each node may have left over is random, so that a large fleet with little
	// traffic keeps the share on average.
	allowed := bo.policy.Share*canaryPart*float64(ro.begun) + fraction(mix(string(bo.node), uint64(ro.Offset)))
	return float64(ro.sent+1) <= allowed && fraction(mix("", hash^uint64(ro.Offset)*0x9e3779b97f4a7c15)) < share
}

const (
	// canaryPart is the part of the share of exposure that the canary uses. The rest covers requests that are
	// sent before a node learns that the version is bad.
	canaryPart = 0.5
	// maxBoost bounds the ratio of the canary's share of the requests while it lasts to its share of those since
	// the order. The time before the new servers have started can be most of a short rollout.
	maxBoost = 2.5
	// maxContactTimeout is the longest time without a report after which a node ends its canary, contactPart the part of the
	// bound of a rollback that it takes at most.
	maxContactTimeout = 2 * time.Second
	contactPart       = 0.4
	// usualDrain is the time before the deadline at which the canary usually ends: the drain time and the margins.
	usualDrain = 4 * time.Second
)

// share returns the share of this node's requests that the canary gets if it begins at a time. What the node could
// have sent since the order is made up for, so that its share of all requests since the order is the same.
func (bo *Book) share(ro *rollout, beganAt time.Time) float64 {
	total := max(ro.Duration-usualDrain, ro.Duration/2)
	left := total - beganAt.Sub(ro.startedAt)
	boost := maxBoost
	if left > 0 {
		boost = min(maxBoost, max(1, float64(total)/float64(left)))
	}
	return bo.policy.Share * canaryPart * boost
}

func (ro *rollout) deadline() time.Time { return ro.startedAt.Add(ro.Duration) }

// Allows reports whether a request of a group may go to a server.
func (bo *Book) Allows(now time.Time, id units.TargetID, gr Group, sv *server.Server) bool {
	ro := bo.rollout(id)
	if ro == nil {
		return true
	}
	if sv.Version != ro.Target {
		return gr != Target && ro.phase != Completed
	}
	if gr == Others || !bo.mayUseTarget(now, ro) {
		return false
	}
	if ro.phase == Canary && ro.fleet.others > 0 {
		return gr == Target && ro.fleet.isCanary(sv.ID, ro.fleet.wanted(bo.share(ro, ro.phaseAt)))
	}
	return true
}

// Began records a request that was sent to a server of a version, whether or not there is an order. A stream
// that is resumed has ended only when nothing continues it.
func (bo *Book) Began(id units.TargetID, version units.SoftwareVersion) {
	sc := bo.service(id)
	sc.open[version]++
	if ro := sc.rollout; ro != nil {
		ro.begun++
		if version == ro.Target {
			ro.sent++
		}
	}
}

// Ended records the end of a request that began. size is the number of its prompt's tokens, best without those that the server is
// expected to have cached: the caches of new servers are cold, and a prompt is compared with others of about the same size.
func (bo *Book) Ended(now time.Time, id units.TargetID, route string, version units.SoftwareVersion, size units.Tokens, an Answer) {
	sc := bo.service(id)
	if sc.open[version]--; sc.open[version] <= 0 {
		delete(sc.open, version)
	}
	if !an.Counted {
		return
	}
	ro, rt := sc.rollout, newRouteID(route)
	add := counts{answers: 1}
	switch {
	case an.Failed:
		add.failed = 1
	case sc.usual.isSlow(rt, size, an.First):
		add.slow = 1
	}
	if !an.Failed && (ro == nil || version != ro.Target) {
		sc.usual.learn(rt, size, an.First)
	}
	if ro == nil || ro.phase != Canary && ro.phase != Shift {
		return
	}
	ro.evidence.addOwn(ro.key, rt, version == ro.Target, add)
	if version == ro.Target && add.isBad() {
		sc.judge(now)
	}
}

// openOthers returns the number of this node's requests in progress at the other versions.
func (sc *service) openOthers() (num int) {
	for ve, count := range sc.open {
		if ve != sc.rollout.Target {
			num += count
		}
	}
	return num
}

// mix returns a hash of a text and a number.
func mix(text string, num uint64) uint64 {
	di := xxhash.NewWithSeed(num)
	_, _ = di.WriteString(text)
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], num)
	_, _ = di.Write(buf[:])
	return di.Sum64()
}

// fraction maps a hash to a number from 0 to 1.
func fraction(hash uint64) float64 { return float64(hash) / math.MaxUint64 }
