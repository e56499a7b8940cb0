package admit

import (
	"math"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/units"
)

// Offer is a request of a contended service for which a server has been chosen.
type Offer struct {
	Priority int
	// Hash is a hash of the request's id.
	Hash uint64
	// First is the predicted time to the first event, from now, and Own the part of it in which the server reads the
	// request's own prompt. Usual is the time that the server usually takes besides that, 0 if unknown.
	First, Own, Usual time.Duration
	// Target is the target latency, 0 if there is none. Waited is the time since the request arrived at this node, and Spent that which
	// earlier attempts of its caller have taken before.
	Target, Waited, Spent time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// New is set while this node knows no queues, and Full while it has its share of requests in progress then.
	New, Full bool
	// Spare is set if under half of the slots of all servers are in use and few prompts wait.
	Spare bool
}

// Action is what happens to an Offer.
type Action int

// The actions.
const (
	// Accept means that the request is to be sent.
	Accept Action = iota
	// Hold means that the request may be offered again shortly.
	Hold
	// Reject means that the request is not servable in time.
	Reject
)

// Judgement is the result of an Offer.
type Judgement struct {
	Action
	// After is the time after which the request fits, if it is not sent.
	After time.Duration
	// Floor is set if an accepted request belongs to the share that each class keeps, and Kept if it is accepted only since
	// it does.
	Floor, Kept bool
}

const (
	// holdShare is the part of its target for which a request waits at a node.
	holdShare = 1.0 / 8
	// maxIdleQueue is the queue at a server that is nearly empty.
	maxIdleQueue = 20 * time.Millisecond
	// idleRise is how fast the estimate of the wait at an idle server rises, in seconds a second, and maxIdleShare the
	// part of the smallest target that it may reach.
	idleRise, maxIdleShare = 0.005, 0.25
	// rateFall is the part of the rate at which servers read that is forgotten in a second.
	rateFall = 0.01
	// keptShare is the part of the acceptance rate with which requests are accepted beyond their limit.
	keptShare = 0.25
	// acceptanceWeight is the weight of one request in the smoothed acceptance rate.
	acceptanceWeight = 0.05
	// fastTrend and slowTrend are the times over which queues are averaged to learn how fast they shrink.
	fastTrend, slowTrend = 300 * time.Millisecond, 900 * time.Millisecond
	// minShrinking is the least rate at which queues are taken to shrink, in seconds a second.
	minShrinking = 0.25
	// narrowing is the factor for the headroom of less urgent classes at each rejected request, and widening the part of
	// what it lacks that it regains with each accepted one.
	narrowing, widening = 0.85, 0.03
	minScale            = 0.05
	// scaleTime is the time without decisions on more urgent requests after which a priority has all of its headroom again. With
	// several requests a second and node no such time passes while they are being rejected.
	scaleTime = 10 * time.Second
	// minSpareScale is the part of its headroom that a class has to have for its requests to be accepted while there is spare
	// capacity: with less, more urgent ones are being rejected all the same.
	minSpareScale = 0.5
	// maxQueueCorrection bounds the factor for one predicted queue. The mean of the measured waits in place of the prediction, or a
	// larger factor, rejected half of all requests at servers that were free, since the waits of a few are very long.
	maxQueueCorrection = 2
	// minSpread, minUrgentSpread for the most urgent class, and maxSpread are the least and the largest part of its limit that
	// a request gets.
	minSpread, minUrgentSpread, maxSpread = 0.8, 0.9, 1.05
	// retryJitter is the largest part that is added to a Retry-After, so that callers don't come back together.
	retryJitter = 0.5
)

// Contention decides which requests of one service are accepted while its servers are short.
type Contention struct {
	Feedback Feedback
	Line     Line

	classes Classes
	// idle is the estimated wait at an idle server, 0 before the first request has begun, as of idleAt.
	idle   time.Duration
	idleAt time.Time
	// rate is the rate at which servers read prompts.
	rate   float64
	rateAt time.Time
	// fast and slow are smoothed queues, in seconds, as of seenAt.
	fast, slow float64
	seenAt     time.Time
	acceptance float64
	// scales are the parts of their headroom that requests have, by priority. Priorities that have no route with a target latency
	// are added as they are met: customers may have a priority of their own.
	scales map[int]scale
}

// scale is the part of its headroom that a priority has, and when a request of it was last decided on.
type scale struct {
	val     float64
	decided time.Time
}

// NewContention returns the state of a service with these classes.
func NewContention(classes Classes) *Contention {
	co := &Contention{acceptance: 1}
	co.SetClasses(classes)
	return co
}

// SetClasses replaces the classes of the service, and forgets the priorities that have none.
func (co *Contention) SetClasses(classes Classes) {
	before := co.scales
	co.classes, co.scales = classes, make(map[int]scale, len(classes))
	for _, cl := range classes {
		co.scales[cl.Priority] = scale{val: 1}
		if sc, ok := before[cl.Priority]; ok {
			co.scales[cl.Priority] = sc
		}
	}
}

// wait is the prediction for an offer, corrected by what was measured lately.
type wait struct {
	// queue is the wait in front of the request besides that at an idle server, base the remaining time to its first
	// event.
	queue, base time.Duration
}

func (wa wait) first() time.Duration { return wa.base + wa.queue }

// canBeInTime reports whether a request can begin in time for its deadline after a wait of up to holds, in which its queue shrinks
// by the time that passes. Otherwise a request that can't be served would keep the fitting ones behind it in line.
func (wa wait) canBeInTime(remaining, holds time.Duration) bool {
	waits := min(wa.queue, holds)
	return wa.first()-waits <= time.Duration(float64(remaining-waits)*maxRemainingShare)
}

// predict corrects the prediction of an offer.
func (co *Contention) predict(now time.Time, of *Offer) wait {
	queue := time.Duration(float64(max(0, of.First-of.Own-co.idle)) * min(co.Feedback.Correction(now), maxQueueCorrection))
	co.follow(now, queue)
	if of.New {
		queue = max(queue, of.Usual-co.idle)
	}
	return wait{queue: queue, base: of.Own + co.idle}
}

// Began records the wait of a request that has begun, and the one that was predicted.
func (co *Contention) Began(now time.Time, waited, expected time.Duration) {
	// Beyond the smallest target all waits are too long alike. A few of seconds, at servers that fail, must not count for many.
	most := co.classes.least()
	waited = bound.Clamp(waited, 0, most)
	co.Feedback.Observe(now, waited, min(expected, most))
	most = time.Duration(float64(most) * maxIdleShare)
	switch since := now.Sub(co.idleAt); {
	case co.idleAt.IsZero(), waited < co.idle:
		co.idle = min(waited, most)
	default:
		co.idle = min(co.idle+min(waited-co.idle, time.Duration(float64(since)*idleRise)), most)
	}
	co.idleAt = now
}

// Own returns the time in which a server reads tokens of a prompt, from the current estimate of its rate. That is too low
// while queues are long and not known, so that the highest one of late counts.
func (co *Contention) Own(now time.Time, uncached units.Tokens, rate units.TokensPerSecond) time.Duration {
	if since := now.Sub(co.rateAt).Seconds(); since > 0 {
		co.rate *= math.Exp(-rateFall * min(since, 1/rateFall))
		co.rateAt = now
	}
	co.rate = max(co.rate, float64(rate))
	return time.Duration(float64(uncached) / max(co.rate, 1) * float64(time.Second))
}

// follow records the queue that a request was offered.
func (co *Contention) follow(now time.Time, val time.Duration) {
	since, queue := now.Sub(co.seenAt), val.Seconds()
	if co.seenAt.IsZero() {
		co.fast, co.slow = queue, queue // Averages that rise from 0 would make a shrinking queue look like a growing one.
	}
	co.seenAt = now
	co.fast += (queue - co.fast) * (1 - math.Exp(-since.Seconds()/fastTrend.Seconds()))
	co.slow += (queue - co.slow) * (1 - math.Exp(-since.Seconds()/slowTrend.Seconds()))
}

// shrinking returns the rate at which queues shrink, in seconds a second.
func (co *Contention) shrinking() float64 {
	return bound.Clamp((co.slow-co.fast)/(slowTrend-fastTrend).Seconds(), minShrinking, 1)
}

// Judge decides on a request. It may be asked any number of times for one request.
func (co *Contention) Judge(now time.Time, of *Offer) Judgement {
	wt := co.predict(now, of)
	limit, left := co.limit(now, of, wt)
	inTime := wt.first() <= time.Duration(float64(of.Remaining)*maxRemainingShare)
	out := Judgement{Action: Reject, After: co.retryAfter(of, wt, limit, left)}
	if inTime && !of.Full {
		fits := of.Spare && co.scale(now, of.Priority) >= minSpareScale || wt.queue <= limit
		if floor := co.keeps(of.Hash); fits || floor {
			out.Action, out.Floor, out.Kept = Accept, floor, !fits
			return out
		}
	}
	// A queue shrinks by no more than the time that passes.
	if holds := HoldTime(of.Target) - of.Waited; holds > 0 && wt.base <= left && (of.Full || wt.queue-limit <= HoldTime(of.Target)) && wt.canBeInTime(of.Remaining, holds) {
		out.Action = Hold
	}
	return out
}

// HoldTime returns the time for which a request with a target may wait at a node.
func HoldTime(target time.Duration) time.Duration { return time.Duration(float64(target) * holdShare) }

// limit returns the longest queue with which a request is accepted, and what is left of its target.
func (co *Contention) limit(now time.Time, of *Offer, wt wait) (limit, left time.Duration) {
	left = of.Target - of.Waited - of.Spent
	if of.Target <= 0 {
		left = time.Duration(float64(of.Remaining) * maxRemainingShare)
	}
	if wt.base > left {
		return maxIdleQueue, left // It is late anyway, and must not displace others.
	}
	limit = left - wt.base
	least := minUrgentSpread
	if room, ok := co.classes.headroom(of.Priority); ok {
		least = minSpread
		limit = min(limit, time.Duration(float64(room)*co.scale(now, of.Priority)))
	}
	// The limits of requests differ, so that the share that is accepted follows the queue smoothly.
	return time.Duration(float64(limit) * (least + (maxSpread-least)*float64(of.Hash&0xffff)/0x10000)), left
}

// keeps reports whether a request is one of those that are accepted beyond the limit, the same at all nodes with the same
// acceptance rate.
func (co *Contention) keeps(hash uint64) bool {
	return float64(hash>>11)/(1<<53) < keptShare*co.acceptance
}

// retryAfter returns the time after which a request fits, at the rate at which queues shrink.
func (co *Contention) retryAfter(of *Offer, wt wait, limit, left time.Duration) time.Duration {
	rate := co.shrinking()
	after := float64(wt.queue-limit) / rate
	if float64(wt.base+limit)+after > float64(left) { // Its target will be over.
		after = float64(wt.queue-maxIdleQueue) / rate
	}
	if after <= 0 { // Its deadline is too close.
		after = float64(wt.first()) / rate
	}
	after *= 1 + retryJitter*float64(of.Hash&0xffff)/0x10000
	return bound.Clamp(time.Duration(after), minRetryAfter, maxRetryAfter)
}

// scale returns the part of its headroom that a priority has. One that is met for the first time has that of the next more urgent one.
func (co *Contention) scale(now time.Time, priority int) float64 {
	out, known := co.scales[priority]
	next, urgent := scale{val: 1}, math.MinInt
	var decided time.Time // When a more urgent request was last decided on.
	for pr, sc := range co.scales {
		if pr >= priority {
			continue
		}
		if pr >= urgent {
			next, urgent = sc, pr
		}
		if sc.decided.After(decided) {
			decided = sc.decided
		}
	}
	if !known {
		out.val = next.val
	}
	if now.Sub(decided) >= scaleTime {
		out.val = 1
	}
	co.scales[priority] = out
	return out.val
}

// rescale narrows the headroom of the requests that are less urgent than one that was rejected, and widens it again with
// each one that was accepted.
func (co *Contention) rescale(now time.Time, priority int, accepted bool) {
	for pr, sc := range co.scales {
		if pr <= priority {
			continue
		}
		val := co.scale(now, pr)
		if accepted {
			val += widening * (1.05 - val)
		} else {
			val *= narrowing
		}
		sc.val = bound.Clamp(val, minScale, 1)
		co.scales[pr] = sc
	}
	sc := scale{val: co.scale(now, priority), decided: now}
	co.scales[priority] = sc
}

// Decided records whether a request was accepted in the end.
func (co *Contention) Decided(now time.Time, priority int, accepted bool) {
	co.rescale(now, priority, accepted)
	val := 0.0
	if accepted {
		val = 1
	}
	co.acceptance += acceptanceWeight * (val - co.acceptance)
}

// Acceptance returns the smoothed share of requests that are accepted.
func (co *Contention) Acceptance() float64 { return co.acceptance }
