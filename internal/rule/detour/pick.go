package detour

import (
	"math/rand/v2"
	"slices"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// declinedTime is how long a node is passed over that declined a request, silentTime how long
	// one is that didn't answer, and goodTime how long one that took a request counts as good.
	declinedTime = time.Second
	silentTime   = 3 * time.Second
	goodTime     = 3 * time.Second
	// samples is the number of nodes of which the least loaded one is chosen.
	samples = 3
	// maxPassedOver is the number of nodes asked up to which one is that is passed over.
	maxPassedOver = 2
	// maxHints bounds the good nodes that are named to a node whose request is declined.
	maxHints = 3
)

// Nodes chooses the nodes through which requests go.
type Nodes struct {
	// unusable holds until when a node is passed over for a service, and good when it last took a
	// request.
	unusable, good map[nodeService]time.Time
	// sent counts the requests in progress through each node.
	sent map[units.VMID]int
	rnd  *rand.Rand
}

type nodeService struct {
	node    units.VMID
	service units.TargetID
}

// NewNodes returns an empty Nodes. The seed differs between nodes.
func NewNodes(seed uint64) *Nodes {
	return &Nodes{unusable: map[nodeService]time.Time{}, good: map[nodeService]time.Time{}, sent: map[units.VMID]int{}, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Choose returns the least loaded of a few of the nodes at random. load is the work that a node
// reports, and asked holds the nodes that have been asked to take the request. Once one has, nodes
// are preferred that took requests lately, since most may be cut off too. Those that could not
// take a request lately are only chosen if there are no others.
func (ns *Nodes) Choose(now time.Time, service units.TargetID, nodes []units.VMID, asked map[units.VMID]bool, load func(units.VMID) int) (best units.VMID, ok bool) {
	var usable, good, passedOver []units.VMID
	for _, id := range nodes {
		key := nodeService{id, service}
		at, known := ns.good[key]
		switch {
		case asked[id]:
		case now.Before(ns.unusable[key]):
			passedOver = append(passedOver, id)
		case len(asked) > 0 && known && now.Sub(at) < goodTime:
			good = append(good, id)
		default:
			usable = append(usable, id)
		}
	}
	list := good
	if len(list) == 0 {
		list = usable
	}
	if len(list) == 0 && len(asked) < maxPassedOver {
		list = passedOver
	}
	least := 0
	for num := 0; num < samples && len(list) > 0; num++ {
		pos := ns.rnd.IntN(len(list))
		id := list[pos]
		list[pos] = list[len(list)-1]
		list = list[:len(list)-1]
		if have := load(id) + 2*ns.sent[id]; !ok || have < least {
			best, least, ok = id, have, true
		}
	}
	return best, ok
}

// Hints returns a few nodes, at random, that took requests of a service lately.
func (ns *Nodes) Hints(now time.Time, service units.TargetID) (out []units.VMID) {
	for key, at := range ns.good {
		if key.service == service && now.Sub(at) < goodTime {
			out = append(out, key.node)
		}
	}
	slices.Sort(out)
	for len(out) > maxHints {
		pos := ns.rnd.IntN(len(out))
		out = slices.Delete(out, pos, pos+1)
	}
	return out
}

// Took records that a node took a request of a service, or was named as one that does.
func (ns *Nodes) Took(now time.Time, id units.VMID, service units.TargetID) {
	prune(ns.good, func(at time.Time) bool { return now.Sub(at) >= goodTime })
	ns.good[nodeService{id, service}] = now
}

// Declined records that a node could not take a request of a service.
func (ns *Nodes) Declined(now time.Time, id units.VMID, service units.TargetID) {
	ns.passOver(now, id, service, declinedTime)
}

// Silent records that a node didn't answer.
func (ns *Nodes) Silent(now time.Time, id units.VMID, service units.TargetID) {
	ns.passOver(now, id, service, silentTime)
}

func (ns *Nodes) passOver(now time.Time, id units.VMID, service units.TargetID, du time.Duration) {
	prune(ns.unusable, now.After)
	key := nodeService{id, service}
	ns.unusable[key] = now.Add(du)
	delete(ns.good, key)
}

func prune(list map[nodeService]time.Time, isOld func(time.Time) bool) {
	for key, at := range list {
		if isOld(at) {
			delete(list, key)
		}
	}
}

// Began records that a request goes through a node.
func (ns *Nodes) Began(id units.VMID) { ns.sent[id]++ }

// Ended records the end of a request that went through a node.
func (ns *Nodes) Ended(id units.VMID) {
	if ns.sent[id]--; ns.sent[id] <= 0 {
		delete(ns.sent, id)
	}
}
