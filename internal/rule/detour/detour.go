// Package detour decides whether a node has lost its network path to the backend servers of a
// service, so that its requests go through another node, and which node that is.
//
// A node can't tell from its own failures whether the servers or its path to them failed. So
// failures at several servers, with no answer from any in between, only raise a suspicion. Then
// the node opens connections to a few servers, and takes detours if none of them accepts. It
// goes on opening connections until servers accept them again.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package detour

import (
	"slices"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// minFailed is the number of servers at which requests have to fail.
	minFailed = 2
	// stallTimeout is the time without any answer after which requests that wait at several
	// servers raise a suspicion.
	stallTimeout = 250 * time.Millisecond
	// failureMemory is how long a failure counts.
	failureMemory = 2 * time.Second
	// confirmProbes is the number of servers that are probed on a suspicion.
	confirmProbes = 3
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two probes of a path that is cut.
	probeInterval = 200 * time.Millisecond
	// minAccepted is the number of probes in a row that succeed before a path is used again. It
	// doubles with each cut that follows the return of the path within relapseTime.
	minAccepted = 2
	maxAccepted = 16
	relapseTime = 5 * time.Second
	// The pause after a refuted suspicion doubles with each one that follows soon.
	minClearedPause = 500 * time.Millisecond
	maxClearedPause = 8 * time.Second
	// doubtPause is the time between two probes of a path since another one is cut.
	doubtPause = 2 * time.Second
)

// State is the state of a path.
type State int

// The states.
const (
	// Open is a path that works, as far as is known.
	Open State = iota
	// Suspected is a path that is being probed.
	Suspected
	// Cut is a path on which servers accept no connections.
	Cut
)

// Path is the network path from this node to the servers of one service.
type Path struct {
	state State
	// failed holds the servers at which requests or connections failed since answeredAt, with
	// the times.
	failed     map[units.VMID]time.Time
	answeredAt time.Time
	// since is when the state was entered.
	since time.Time
	// pending is the number of probes without a result, and probedAt when the latest one began.
	pending  int
	probedAt time.Time
	// accepted counts the probes in a row that succeeded, and needed how many have to.
	accepted, needed int
	// returnedAt is when the path was last used again after a cut, clearedAt when a suspicion
	// was last refuted.
	returnedAt, clearedAt time.Time
	// clearedPause is the time after clearedAt in which there is no new suspicion.
	clearedPause time.Duration
	// cutAt is when the path was last found to be cut, doubtedAt when it was last doubted since
	// another path is cut.
	cutAt, doubtedAt time.Time
	// silent is set if established connections don't answer either.
	silent bool
}

// NewPath returns a path that works.
func NewPath() *Path { return &Path{failed: map[units.VMID]time.Time{}, needed: minAccepted} }

// State returns the state of the path.
func (pa *Path) State() State { return pa.state }

// Since returns when the state was entered.
func (pa *Path) Since() time.Time { return pa.since }

// UsesOpenConnections reports whether requests go out on established connections although the
// path is cut, since these still answer.
func (pa *Path) UsesOpenConnections() bool { return pa.state == Cut && !pa.silent }

// Answered records that a server answered a request.
func (pa *Path) Answered(now time.Time) {
	pa.answeredAt = now
	clear(pa.failed)
	if pa.state == Suspected {
		// Connections that were open before say nothing about new ones, which are being probed.
		pa.silent = false
	}
}

// Failed records that a request got no answer from a server, or no connection to it.
func (pa *Path) Failed(now time.Time, id units.VMID) {
	pa.failed[id] = now
	if pa.state == Cut {
		pa.silent = pa.silent || !pa.answeredAt.After(pa.since)
	}
}

// Refused records that a server accepted no new connection. Answers on open connections don't
// refute that.
func (pa *Path) Refused(now time.Time, id units.VMID) {
	if pa.state != Cut {
		pa.failed[id] = now
	}
}

// suspicious reports whether the failures, or the requests that wait, may be due to the path.
func (pa *Path) suspicious(now time.Time, servers, waiting int) bool {
	for id, at := range pa.failed {
		if now.Sub(at) > failureMemory {
			delete(pa.failed, id)
		}
	}
	need := min(minFailed, servers)
	if need == 0 || now.Sub(pa.clearedAt) < pa.clearedPause {
		return false
	}
	return len(pa.failed) >= need || waiting >= need || pa.doubtedAt.Equal(now)
}

// Doubtful reports whether it is being found out, or is about to be, whether the path is cut.
// servers is the number of servers of the service.
func (pa *Path) Doubtful(now time.Time, servers int) bool {
	return pa.state == Suspected || pa.state == Open && pa.suspicious(now, servers, 0)
}

// Doubt raises a suspicion since the path to the servers of another service is cut, which may
// have the same cause.
func (pa *Path) Doubt(now time.Time) {
	if pa.state == Open && now.Sub(pa.doubtedAt) > doubtPause {
		pa.doubtedAt = now
	}
}

// FailedElsewhere reports whether requests have failed at other servers with no answer since.
func (pa *Path) FailedElsewhere(id units.VMID) bool {
	for other := range pa.failed {
		if other != id {
			return true
		}
	}
	return false
}

// CutAt returns when the path was last found to be cut.
func (pa *Path) CutAt() time.Time { return pa.cutAt }

// Waiting tells at how many servers requests have to wait since stallTimeout.
type Waiting func(longerThan time.Duration) int

// Next returns the servers to probe now, among those of the service. waiting counts the servers
// at which requests have waited for an answer for long.
func (pa *Path) Next(now time.Time, servers []units.VMID, waiting Waiting) []units.VMID {
	switch {
	case len(servers) == 0:
		return nil
	case pa.state == Open && pa.suspicious(now, len(servers), pa.stalled(now, waiting)):
		pa.enter(now, Suspected)
		pa.silent = now.Sub(pa.answeredAt) > stallTimeout
		return pa.probe(now, pa.confirming(servers))
	case pa.state == Cut && pa.pending == 0 && now.Sub(pa.probedAt) >= probeInterval:
		return pa.probe(now, []units.VMID{servers[int(now.UnixNano()/int64(probeInterval))%len(servers)]})
	}
	return nil
}

func (pa *Path) stalled(now time.Time, waiting Waiting) int {
	if now.Sub(pa.answeredAt) < stallTimeout {
		return 0
	}
	return waiting(stallTimeout)
}

func (pa *Path) probe(now time.Time, ids []units.VMID) []units.VMID {
	pa.pending, pa.probedAt = len(ids), now
	return ids
}

// confirming returns the servers to probe on a suspicion, those first that have not failed.
func (pa *Path) confirming(servers []units.VMID) []units.VMID {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(one, two units.VMID) int { return pa.failed[one].Compare(pa.failed[two]) })
	return out[:min(len(out), confirmProbes)]
}

// Probed records whether a server accepted a connection. It returns the state that the path
// enters by it, and false if it stays as it is.
func (pa *Path) Probed(now time.Time, accepted bool) (State, bool) {
	pa.pending = max(0, pa.pending-1)
	switch {
	case pa.state == Suspected && accepted:
		if now.Sub(pa.clearedAt) > 2*maxClearedPause {
			pa.clearedPause = 0
		}
		pa.clearedAt, pa.clearedPause = now, min(max(minClearedPause, 2*pa.clearedPause), maxClearedPause)
		clear(pa.failed)
		pa.enter(now, Open)
		return Open, true
	case pa.state == Suspected && pa.pending == 0:
		if pa.returnedAt.IsZero() || now.Sub(pa.returnedAt) > relapseTime {
			pa.needed = minAccepted
		} else {
			pa.needed = min(2*pa.needed, maxAccepted)
		}
		pa.accepted, pa.cutAt = 0, now
		pa.enter(now, Cut)
		return Cut, true
	case pa.state == Cut && !accepted:
		pa.accepted = 0
	case pa.state == Cut:
		if pa.accepted++; pa.accepted >= pa.needed {
			pa.returnedAt = now
			clear(pa.failed)
			pa.enter(now, Open)
			return Open, true
		}
	}
	return pa.state, false
}

func (pa *Path) enter(now time.Time, st State) { pa.state, pa.since = st, now }
