package admit

import (
	"math"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/units"
)

// Waits are a node's totals since its start, over the requests of one service: the times for which they waited for
// their first events, besides those that their own prompts take, the times that had been predicted, and their number.
type Waits struct {
	Waited, Expected time.Duration
	Begun            int64
}

const (
	// feedbackTime is the time in which a measurement loses all but 1/e of its weight. Half of the weight lies within
	// one second, nine tenths within 3.5 s.
	feedbackTime = 1500 * time.Millisecond
	// feedbackPrior is added to both sums, in seconds, so that the correction returns to 1 without measurements.
	feedbackPrior = 0.5
	// minCorrection and maxCorrection bound the factor by which predictions are multiplied.
	minCorrection, maxCorrection = 0.5, 4
	// maxPeerFactor bounds the weight of one report of a peer, as a multiple of the usual one.
	maxPeerFactor = 2
	// peerWeight is the weight of one report in the smoothed usual weight of a report.
	peerWeight = 0.1
	// maxTotal bounds a total in a report.
	maxTotal = 1 << 20 * time.Hour
	// forgetTime is the silence after which a peer's totals are forgotten.
	forgetTime = time.Minute
)

// Feedback compares predicted with actual waits at one service, over all nodes and about the last 1.5 s.
// The zero value has no measurements.
type Feedback struct {
	own            Waits
	sums           decayingSums
	peers          map[units.VMID]peerWaits
	usualBegun     float64
	lastForgetting time.Time
}

type peerWaits struct {
	Waits
	incarnation int64
	at          time.Time
}

// decayingSums are sums of waits, in seconds, and their number, in which older measurements have less weight.
type decayingSums struct {
	waited, expected, begun float64
	at                      time.Time
}

func (ds *decayingSums) add(now time.Time, waited, expected, begun float64) {
	*ds = ds.current(now)
	ds.waited += waited
	ds.expected += expected
	ds.begun += begun
}

func (ds *decayingSums) current(now time.Time) decayingSums {
	weight := math.Exp(-max(0, now.Sub(ds.at).Seconds()) / feedbackTime.Seconds())
	return decayingSums{waited: ds.waited * weight, expected: ds.expected * weight, begun: ds.begun * weight, at: now}
}

// Observe records the wait of a request of this node and the one that was predicted.
func (fe *Feedback) Observe(now time.Time, waited, expected time.Duration) {
	waited, expected = max(0, waited), max(0, expected)
	fe.own.Waited += waited
	fe.own.Expected += expected
	fe.own.Begun++
	fe.sums.add(now, waited.Seconds(), expected.Seconds(), 1)
}

// Totals returns this node's totals, for its report.
func (fe *Feedback) Totals() Waits { return fe.own }

// Merge records the totals in a peer's report. Of a peer, or an incarnation of it, that was not known, only later
// measurements count.
func (fe *Feedback) Merge(now time.Time, node units.VMID, incarnation int64, to Waits) {
	to = Waits{Waited: bound.Clamp(to.Waited, 0, maxTotal), Expected: bound.Clamp(to.Expected, 0, maxTotal), Begun: bound.Clamp(to.Begun, 0, math.MaxInt64)}
	last, known := fe.peers[node]
	if known && incarnation < last.incarnation {
		return
	}
	if fe.peers == nil {
		fe.peers = map[units.VMID]peerWaits{}
	}
	fe.peers[node] = peerWaits{Waits: to, incarnation: incarnation, at: now}
	fe.forget(now)
	waited, expected, begun := (to.Waited - last.Waited).Seconds(), (to.Expected - last.Expected).Seconds(), float64(to.Begun-last.Begun)
	if !known || incarnation != last.incarnation || expected < 0 || waited < 0 || begun <= 0 {
		return
	}
	if fe.usualBegun == 0 {
		fe.usualBegun = min(begun, maxFirstBegun)
	}
	mean := fe.level(now)
	waited, expected = bound.Clamp(waited/begun, mean.waited/maxCorrection, mean.waited*maxCorrection), bound.Clamp(expected/begun, mean.expected/maxCorrection, mean.expected*maxCorrection)
	begun = min(begun, maxPeerFactor*fe.usualBegun)
	fe.usualBegun += peerWeight * (begun - fe.usualBegun)
	fe.sums.add(now, waited*begun, expected*begun, begun)
}

// priorWait is the wait that is assumed with the weight of priorBegun requests where reports are bounded.
const (
	priorWait  = 0.05
	priorBegun = 3
	// maxFirstBegun bounds the weight of the first report.
	maxFirstBegun = 20
)

// level returns the mean waits per request.
func (fe *Feedback) level(now time.Time) decayingSums {
	cu := fe.sums.current(now)
	num := cu.begun + priorBegun
	return decayingSums{waited: (cu.waited + priorBegun*priorWait) / num, expected: (cu.expected + priorBegun*priorWait) / num, begun: num}
}

// Mean returns the mean wait of the requests that have begun lately.
func (fe *Feedback) Mean(now time.Time) time.Duration {
	return time.Duration(fe.level(now).waited * float64(time.Second))
}

func (fe *Feedback) forget(now time.Time) {
	if now.Sub(fe.lastForgetting) < forgetTime {
		return
	}
	fe.lastForgetting = now
	for node, pe := range fe.peers {
		if now.Sub(pe.at) > forgetTime {
			delete(fe.peers, node)
		}
	}
}

// Correction returns the factor by which predictions of waiting are to be multiplied.
func (fe *Feedback) Correction(now time.Time) float64 {
	cu := fe.sums.current(now)
	return bound.Clamp((cu.waited+feedbackPrior)/(cu.expected+feedbackPrior), minCorrection, maxCorrection)
}
