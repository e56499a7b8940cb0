package roll

import (
	"cmp"
	"slices"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// fleet is the servers of a service that take requests, as a rollout sees them.
type fleet struct {
	target, others int
	// ranks holds the position of each server of the target in rendezvous order. All nodes that know the same
	// servers choose the same ones for the canary.
	ranks map[units.VMID]int
	// targetSeen and othersSeen are the latest times at which watch found servers of a group.
	targetSeen, othersSeen time.Time
}

func (fl *fleet) set(ro *rollout, list []server.Server) {
	type ranked struct {
		id   units.VMID
		hash uint64
	}
	var target []ranked
	fl.others = 0
	for idx := range list {
		switch sv := &list[idx]; {
		case sv.Draining:
		case sv.Version == ro.Target:
			target = append(target, ranked{sv.ID, mix(string(sv.ID), uint64(ro.Offset))})
		default:
			fl.others++
		}
	}
	slices.SortFunc(target, func(one, two ranked) int { return cmp.Or(cmp.Compare(one.hash, two.hash), cmp.Compare(one.id, two.id)) })
	fl.target, fl.ranks = len(target), make(map[units.VMID]int, len(target))
	for idx, it := range target {
		fl.ranks[it.id] = idx
	}
}

// wanted returns the number of servers that give each server of the canary at least the load of another one, at a
// share of the requests. A version that is bad under load only would look good with less.
func (fl *fleet) wanted(share float64) int {
	return max(1, int(float64(fl.others)*share/(1-share)))
}

// isCanary reports whether a server is among the first ones of the target.
func (fl *fleet) isCanary(id units.VMID, wanted int) bool {
	rank, ok := fl.ranks[id]
	return ok && rank < wanted
}

// goneTimeout is the time for which servers of a group have to be missing before a phase follows from that. A list of
// servers can lack some for a moment.
const goneTimeout = time.Second

// watch notes which groups have servers. The first call counts as if both had.
func (fl *fleet) watch(now time.Time) {
	if fl.target > 0 || fl.targetSeen.IsZero() {
		fl.targetSeen = now
	}
	if fl.others > 0 || fl.othersSeen.IsZero() {
		fl.othersSeen = now
	}
}

func (fl *fleet) targetGone(now time.Time) bool { return now.Sub(fl.targetSeen) >= goneTimeout }

func (fl *fleet) othersGone(now time.Time) bool { return now.Sub(fl.othersSeen) >= goneTimeout }
