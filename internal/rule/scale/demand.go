package scale

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// riseTimeConstant and fallTimeConstant smooth the demand: new servers take seconds to
	// start, so the estimate falls more slowly than it rises.
	riseTimeConstant = 1500 * time.Millisecond
	fallTimeConstant = 12 * time.Second
)

const (
	// lateTimeConstant smooths the ratio of late answers.
	lateTimeConstant = 3 * time.Second
	// toleratedLateShare is the ratio of late answers without effect. Above it the demand is
	// increased by lateGain times the excess, up to maxLateFactor times in all, so that enough
	// servers are ordered where they compute prompts more slowly than the policy's rates.
	toleratedLateShare = 0.1
	lateGain           = 3
	maxLateFactor      = 2
)

const (
	// settleTime is the time of traffic after which the estimate is that of a node that has just started.
	settleTime = 4 * riseTimeConstant
	// idleTime is the time without traffic after which there is taken to be none.
	idleTime = time.Minute
)

// Demand estimates the prompt tokens per second offered to one service, from totals that nodes
// report. Until it is settled, an earlier lease holder's estimate counts if it is higher. It is not safe for concurrent use.
type Demand struct {
	totals    map[string]Totals
	sinceLast Totals
	rate      float64
	lateRatio float64
	// all adds up what has been reported.
	all        Totals
	measuredAt time.Time
	// startedAt is the first measurement, trafficAt the first one with requests, and sourceAt the last one with a new source
	// before the estimate was settled.
	startedAt, trafficAt, sourceAt time.Time
	hasNewSource, settled          bool
	// inherited is the estimate of an earlier lease holder, 0 if there is none.
	inherited units.TokensPerSecond
}

// Totals are the work offered to one incarnation of a node since its start.
type Totals struct {
	Prompt         units.Tokens
	Requests, Late int64
}

// NewDemand returns an estimate of 0.
func NewDemand() *Demand { return &Demand{totals: map[string]Totals{}} }

// Report records the totals of one incarnation of a node, its source. The first report of a
// source sets the base from which later ones count.
func (de *Demand) Report(source string, total Totals) {
	before, known := de.totals[source]
	de.hasNewSource = de.hasNewSource || !known
	if known && total.Requests >= before.Requests {
		de.sinceLast.add(total, before)
		de.all.add(total, before)
	}
	de.totals[source] = total
}

// add adds the difference between two totals of a source.
func (to *Totals) add(now, before Totals) {
	to.Prompt += now.Prompt - before.Prompt
	to.Requests += now.Requests - before.Requests
	to.Late += now.Late - before.Late
}

// Held returns the servers' worth of capacity that limits hold back, given the limit of each
// server that names one and the demand that a server carries without.
func (de *Demand) Held(limits []units.RequestsPerSecond, serverRate units.TokensPerSecond) float64 {
	if de.all.Requests == 0 || serverRate <= 0 {
		return 0
	}
	prompt := float64(de.all.Prompt) / float64(de.all.Requests)
	held := 0.0
	for _, li := range limits {
		held += max(0, 1-float64(li)*prompt/float64(serverRate))
	}
	return held
}

// SetInitial sets the demand that an earlier lease holder estimated. One of 0 tells nothing.
func (de *Demand) SetInitial(rate units.TokensPerSecond) {
	if rate > 0 {
		de.inherited = rate
	}
}

// IsInherited reports whether an earlier lease holder's estimate is known.
func (de *Demand) IsInherited() bool { return de.inherited > 0 }

// IsSettled reports whether the estimate rests on enough traffic, of all sources, to give servers back.
func (de *Demand) IsSettled(now time.Time) bool {
	switch {
	case de.settled:
		return true
	case de.startedAt.IsZero():
		return false
	case de.trafficAt.IsZero():
		return now.Sub(de.startedAt) >= idleTime
	}
	return now.Sub(de.trafficAt) >= settleTime && now.Sub(de.sourceAt) >= settleTime
}

// Rate returns the demand at now, increased for late answers.
func (de *Demand) Rate(now time.Time) units.TokensPerSecond {
	de.measure(now)
	rate := units.TokensPerSecond(de.rate)
	if de.IsSettled(now) {
		return rate
	}
	return max(rate, de.inherited)
}

// Known returns the demand at now for later lease holders, 0 if it is not known.
func (de *Demand) Known(now time.Time) units.TokensPerSecond {
	if !de.IsSettled(now) && !de.IsInherited() {
		return 0
	}
	return de.Rate(now)
}

// measure updates the smoothed demand with what was reported since the last call.
func (de *Demand) measure(now time.Time) {
	if de.trafficAt.IsZero() && de.sinceLast.Requests > 0 {
		de.trafficAt = now
	}
	if de.hasNewSource && !de.settled {
		de.sourceAt = now
	}
	de.hasNewSource = false
	de.settled = de.IsSettled(now)
	if de.measuredAt.IsZero() {
		de.startedAt, de.measuredAt, de.sinceLast = now, now, Totals{}
		return
	}
	gap := now.Sub(de.measuredAt)
	if gap <= 0 {
		return
	}
	offered := float64(de.sinceLast.Prompt) / gap.Seconds()
	if de.sinceLast.Requests > 0 {
		late := float64(de.sinceLast.Late) / float64(de.sinceLast.Requests)
		de.lateRatio += (late - de.lateRatio) * (1 - math.Exp(-gap.Seconds()/lateTimeConstant.Seconds()))
	}
	de.measuredAt, de.sinceLast = now, Totals{}
	offered *= min(maxLateFactor, 1+lateGain*max(0, de.lateRatio-toleratedLateShare))
	timeConstant := fallTimeConstant
	if offered > de.rate {
		timeConstant = riseTimeConstant
	}
	weight := 1 - math.Exp(-gap.Seconds()/timeConstant.Seconds())
	de.rate += (offered - de.rate) * weight
}
