package pool

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// instant is a time in nanoseconds since a pool's first use. The sums over all peers are made of these,
// as they take most of the time of a report in a large fleet.
type instant int64

// never is before all reports.
const never instant = math.MinInt64 / 4

func (in instant) since(earlier instant) time.Duration { return time.Duration(in - earlier) }

// peers numbers the other nodes and holds when each last reported.
type peers struct {
	// epoch is the time of instant 0, zero before the first use.
	epoch   time.Time
	numbers map[units.VMID]int
	ids     []units.VMID
	// By the peers' numbers: the last report of each, its start as of that, and its first report since.
	lastReports, firstReports []instant
	incarnations              []int64
	// latest is the latest of lastReports.
	latest instant
}

func newPeers() *peers { return &peers{numbers: map[units.VMID]int{}, latest: never} }

func (pe *peers) instant(at time.Time) instant {
	if pe.epoch.IsZero() {
		pe.epoch = at
	}
	return instant(at.Sub(pe.epoch))
}

func (pe *peers) count() int { return len(pe.ids) }

func (pe *peers) add(node units.VMID, lastReport instant) int {
	num := len(pe.ids)
	pe.numbers[node] = num
	pe.ids = append(pe.ids, node)
	pe.lastReports = append(pe.lastReports, lastReport)
	pe.firstReports = append(pe.firstReports, never)
	pe.incarnations = append(pe.incarnations, 0)
	pe.latest = max(pe.latest, lastReport)
	return num
}

// heard records a report of a peer as of a time.
func (pe *peers) heard(num int, at instant, incarnation int64) {
	if pe.incarnations[num] != incarnation {
		pe.incarnations[num], pe.firstReports[num] = incarnation, at
	}
	pe.lastReports[num] = at
	pe.latest = max(pe.latest, at)
}

// isNewcomer reports whether a peer has started lately and has been heard of since.
func (pe *peers) isNewcomer(num int, at instant) bool {
	first := pe.firstReports[num]
	return first != never && at.since(first) <= newcomerTime && at.since(pe.lastReports[num]) <= maxRelayAge
}

// silenceTimeout returns the age of a report from which on a peer counts as silent. In a large
// fleet two nodes seldom exchange, but a node without any reports is isolated itself.
func (pe *peers) silenceTimeout(now time.Time) time.Duration {
	if pe.isIsolated(now) {
		return smallFleetSilence
	}
	return watch.SilenceTimeout(smallFleetSilence, pe.count())
}

// isIsolated tells whether no peer has reported within isolationTimeout.
func (pe *peers) isIsolated(now time.Time) bool {
	return pe.instant(now).since(pe.latest) > isolationTimeout
}

// noUsages returns the usages of so many peers that have not reported.
func noUsages(count int) []peerUsage {
	out := make([]peerUsage, count)
	for num := range out {
		out[num].reportedAt = never
	}
	return out
}
