package detour

import (
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// unusableTime is how long a node is passed over that could not take a request.
	unusableTime = time.Second
	// samples is the number of nodes of which the least loaded one is chosen.
	samples = 3
)

// Nodes chooses the nodes through which requests go.
type Nodes struct {
	// unusable holds when a node could last not take a request of a service.
	unusable map[nodeService]time.Time
	// sent counts the requests in progress through each node.
	sent map[units.VMID]int
}

type nodeService struct {
	node    units.VMID
	service units.TargetID
}

// NewNodes returns an empty Nodes.
func NewNodes() *Nodes {
	return &Nodes{unusable: map[nodeService]time.Time{}, sent: map[units.VMID]int{}}
}

// Choose returns the least loaded of a few of the nodes at random, without those that could
// not take a request of the service lately. load is the work that a node reports.
func (ns *Nodes) Choose(now time.Time, service units.TargetID, nodes []units.VMID, load func(units.VMID) int) (best units.VMID, ok bool) {
	var list []units.VMID
	for _, id := range nodes {
		at, known := ns.unusable[nodeService{id, service}]
		if !known || now.Sub(at) > unusableTime {
			list = append(list, id)
		}
	}
	least := 0
	for num := 0; num < samples && len(list) > 0; num++ {
		pos := rand.IntN(len(list))
		id := list[pos]
		list[pos] = list[len(list)-1]
		list = list[:len(list)-1]
		if have := load(id) + 2*ns.sent[id]; !ok || have < least {
			best, least, ok = id, have, true
		}
	}
	return best, ok
}

// Began records that a request goes through a node.
func (ns *Nodes) Began(id units.VMID) { ns.sent[id]++ }

// Ended records the end of a request that went through a node.
func (ns *Nodes) Ended(id units.VMID) {
	if ns.sent[id]--; ns.sent[id] <= 0 {
		delete(ns.sent, id)
	}
}

// Unusable records that a node could not take a request of a service.
func (ns *Nodes) Unusable(now time.Time, id units.VMID, service units.TargetID) {
	for key, at := range ns.unusable {
		if now.Sub(at) > unusableTime {
			delete(ns.unusable, key)
		}
	}
	ns.unusable[nodeService{id, service}] = now
}
