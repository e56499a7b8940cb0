package pace

import (
	"cmp"
	"math"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/notice"
)

const (
	// Expiry is the age from which on an observation has no weight.
	Expiry = 2 * time.Second
	// ReportTime is the age up to which a node reports its own observations.
	ReportTime = 1200 * time.Millisecond
	// maxFactor and minFactor bound the effect of a reported pace on a prediction: a false one must not make a request
	// be rejected everywhere, and real ones are up to 2.5.
	minFactor, maxFactor = 0.5, 4
	// maxQueueFactor bounds the effect of the waiting requests that a server reports.
	maxQueueFactor = 6
)

// Server is what a node knows of the pace of one incarnation of a server. The zero value knows nothing.
type Server struct {
	load   Load
	loadAt time.Time
	// wait is the time that a prompt sent at waitAt has waited.
	wait   time.Duration
	waitAt time.Time
	// ownLoad and ownWait are set if this node has made the observation.
	ownLoad, ownWait bool
	ratios           lowest
}

// SetLoad records what the server reports in an answer to this node.
func (sv *Server) SetLoad(now time.Time, lo Load) {
	if now.After(sv.loadAt) {
		sv.load, sv.loadAt, sv.ownLoad = lo, now, true
	}
}

// SetWait records the time for which a prompt that this node sent at a time has waited. It tells what the queue was when the
// prompt was sent.
func (sv *Server) SetWait(sentAt time.Time, wait time.Duration) {
	if !sentAt.Before(sv.waitAt) {
		sv.wait, sv.waitAt, sv.ownWait = max(wait, 0), sentAt, true
	}
}

// Weight returns the weight of an observation, 1 for a new one and 0 from Expiry on.
func Weight(now, at time.Time) float64 {
	return bound.Clamp(1-float64(now.Sub(at))/float64(Expiry), 0, 1)
}

// Factor returns how much longer than usual the work takes by the server's own account, 1 if it is not known.
func (sv *Server) Factor(now time.Time) float64 {
	if sv.load.Pace == 0 {
		return 1
	}
	// Squared, since a pace lasts for less than a second, and a queue longer.
	wt := Weight(now, sv.loadAt)
	return bound.Clamp(1+wt*wt*(float64(sv.load.Pace)/float64(Usual)-1), minFactor, maxFactor)
}

// IsUsual reports whether the server doesn't say that it is slower or faster than usual.
func (sv *Server) IsUsual(now time.Time) bool {
	const off = 0.1
	return math.Abs(sv.Factor(now)-1) <= off
}

// QueueFactor returns how much longer an answer takes because of the requests that wait, by the server's own account.
func (sv *Server) QueueFactor(now time.Time) float64 {
	if sv.load.Waiting == 0 {
		return 1
	}
	return 1 + min(Weight(now, sv.loadAt)*float64(sv.load.Waiting)/float64(sv.load.Slots), maxQueueFactor-1)
}

// Wait returns the wait in front of a prompt as it has been measured, as far as the measurement is recent. usual is the present
// median wait at all servers, to which a longer one falls as the queue is worked off: by half the time since, as requests arrive meanwhile.
func (sv *Server) Wait(now time.Time, usual time.Duration) time.Duration {
	wt := Weight(now, sv.waitAt)
	if sv.wait >= usual {
		return usual + time.Duration(wt*float64(max(0, sv.wait-usual-now.Sub(sv.waitAt)/2)))
	}
	return usual + time.Duration(wt*wt*float64(sv.wait-usual))
}

// Running returns the requests in progress by the server's own account, 0 if that is not recent.
func (sv *Server) Running(now time.Time) int {
	if now.Sub(sv.loadAt) >= Expiry {
		return 0
	}
	return sv.load.Running
}

// Paced reports whether the server has reported its pace.
func (sv *Server) Paced() bool { return sv.load.Pace != 0 }

// AddRatio takes a sample of the time that an answer took over the time that it takes at the servers of the service.
func (sv *Server) AddRatio(sample float64) { sv.ratios.add(sample) }

// Ratio returns how much longer than at the other servers the work takes, as it has been measured.
func (sv *Server) Ratio() float64 { return sv.ratios.value() }

// Observation is what a node reports of a server. The ages count from the time of the report, and an age of Expiry or more
// marks a part that is missing.
type Observation struct {
	notice.Server
	Load
	LoadAge time.Duration
	Wait    time.Duration
	WaitAge time.Duration
}

// Observation returns this node's own observations of the server that are recent enough to be reported.
func (sv *Server) Observation(now time.Time) (ob Observation, ok bool) {
	ob.LoadAge, ob.WaitAge = Expiry, Expiry
	if age := now.Sub(sv.loadAt); sv.ownLoad && age <= ReportTime {
		ob.Load, ob.LoadAge, ok = sv.load, max(age, 0), true
	}
	if age := now.Sub(sv.waitAt); sv.ownWait && age <= ReportTime {
		ob.Wait, ob.WaitAge, ok = sv.wait, max(age, 0), true
	}
	return ob, ok
}

// Unusual reports whether an observation makes a difference to placement.
func (ob *Observation) Unusual() bool {
	const longWait = 20 * time.Millisecond
	return ob.Pace != 0 && (ob.Pace > 110 || ob.Pace < 90) || ob.Waiting > 0 || ob.Wait > longWait
}

// Compare orders observations by how much they matter to peers: unusual ones first, then by the server.
func (ob *Observation) Compare(other *Observation) int {
	if ob.Unusual() != other.Unusual() {
		if ob.Unusual() {
			return -1
		}
		return 1
	}
	return cmp.Compare(ob.ID, other.ID)
}

// Merge records what a peer reported as of a time. The newest observation holds.
func (sv *Server) Merge(asOf time.Time, ob *Observation) {
	if at := asOf.Add(-ob.LoadAge); ob.LoadAge < Expiry && at.After(sv.loadAt) && ob.Check() == nil {
		sv.load, sv.loadAt, sv.ownLoad = ob.Load, at, false
	}
	if at := asOf.Add(-ob.WaitAge); ob.WaitAge < Expiry && at.After(sv.waitAt) {
		sv.wait, sv.waitAt, sv.ownWait = bound.Clamp(ob.Wait, 0, MaxWait), at, false
	}
}

// MaxWait bounds the wait that an observation states.
const MaxWait = 10 * time.Second
