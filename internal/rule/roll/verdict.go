package roll

import (
	"fmt"
	"math"
	"time"
)

// test is a threshold from which on the target's bad answers are clearly more than the others'.
type test struct {
	// bad is the least number of bad answers, and likelihood the least logarithm of the likelihood ratio of two
	// different shares to a common one. It is about half of the square of the number of standard deviations.
	bad, likelihood float64
	// excess is the least difference of the shares, and extra the least number of bad answers beyond the others' share.
	excess, extra float64
}

// The tests. Each is made many times in a rollout, for each route and for all of them, over all the time and over the last
// second. Slow answers need a difference, since the caches of new servers are cold.
var (
	// stopFailed and stopSlow stop the canary: four standard deviations are met by chance once in 30,000 times.
	stopFailed = test{bad: 5, likelihood: 8}
	stopSlow   = test{bad: 8, likelihood: 10, excess: 0.08}
	// recentFailed and recentSlow are for the last second, of which a long rollout has many.
	recentFailed = test{bad: 5, likelihood: 11}
	recentSlow   = test{bad: 8, likelihood: 13, excess: 0.08}
	// lateFailed and lateSlow are for all answers of a canary that has had up to maxLateBad bad ones, and extraFailed and
	// extraSlow for one with extraBad more than the others' share. A version that is only slightly worse has to be stopped
	// before the 50th answer for which that is the reason.
	lateFailed  = test{bad: 25, likelihood: 4}
	lateSlow    = test{bad: 25, likelihood: 5, excess: 0.08}
	extraFailed = test{bad: extraBad, likelihood: 2, extra: extraBad}
	extraSlow   = test{bad: extraBad, likelihood: 4, extra: extraBad}
	// doubtFailed and doubtSlow forbid the shift at the verdict, for each route and time, and totalFailed and totalSlow for
	// all of them. A good version that is rolled back costs less than a bad one that isn't, but a single failure is no doubt:
	// with a share of 1% one in ten routes would have one in the last second.
	doubtFailed = test{bad: 2, likelihood: 4}
	doubtSlow   = test{bad: 3, likelihood: 5, excess: 0.08}
	totalFailed = test{bad: 2, likelihood: 2}
	totalSlow   = test{bad: 3, likelihood: 3, excess: 0.08}
	// doubtOpen is for requests in progress instead of bad answers: a server that hangs gives no answers to judge.
	doubtOpen = test{bad: 5, likelihood: 6, excess: 0.1}
	// shiftFailed and shiftSlow roll back in the shift, when there are no answers of the others from the same time, and
	// all caches are cold.
	shiftFailed = test{bad: 10, likelihood: 12, excess: 0.1}
	shiftSlow   = test{bad: 20, likelihood: 20, excess: 0.5}
)

const (
	// minAnswers is the least number of answers of the target for a good verdict. A version that fails on a fifth of the
	// requests passes 20 without a failure once in 87 times.
	minAnswers = 20
	// enoughAnswers is the number of answers that is enough on any route. Up to it, a route needs a third of those that it
	// would have by its share of the requests: fewer means that answers are missing.
	enoughAnswers, expectedPart = 12, 3
	// minExpected is the number of answers by its share of the requests from which on a route is judged by itself. One with
	// less is judged with all the others: a Poisson variable with mean 8 is at most 2 once in 70 times.
	minExpected = 8
	// priorWeight is the number of answers for which the others' share over all routes counts on a route, and priorBad and
	// priorAnswers stand for the answers of the others before any are known.
	// They are on the high side: the first answers of the target come before those of other nodes at the others are known.
	priorWeight, priorBad, priorAnswers = 10, 1, 10
	// maxLateBad is the number of bad answers up to which a canary is stopped for slight differences. A good version with 14%
	// failures would meet them at some time in a long rollout.
	maxLateBad = 75
	extraBad   = 30
	// toleratedNodes is the number of nodes that judge from somewhat different knowledge with the thresholds as they are. With
	// more of them one would be wrong more often.
	toleratedNodes = 8
)

// sample is a number of answers and the bad ones of them.
type sample struct{ answers, bad float64 }

func (sa sample) share() float64 { return sa.bad / max(sa.answers, 1e-9) }

// likelihood returns the logarithm of the likelihood ratio of two different shares to a common one, 0 if the target's share
// isn't the larger one.
func likelihood(target, others sample) float64 {
	if target.share() <= others.share() {
		return 0
	}
	common := sample{target.answers + others.answers, target.bad + others.bad}.share()
	return target.answers*divergence(target.share(), common) + others.answers*divergence(others.share(), common)
}

// divergence returns the Kullback-Leibler divergence of two shares.
func divergence(one, two float64) float64 {
	return term(one, two) + term(1-one, 1-two)
}

func term(one, two float64) float64 {
	if one <= 0 {
		return 0
	}
	return one * math.Log(one/two)
}

// exceeds reports whether the target's bad answers are clearly more than the others'.
func (te test) exceeds(target, others sample) bool {
	difference := target.share() - others.share()
	return target.bad >= te.bad && difference >= te.excess && difference*target.answers >= te.extra && likelihood(target, others) >= te.likelihood
}

// failures and slowness select what is bad about answers.
func failures(co counts) sample { return sample{float64(co.answers), float64(co.failed)} }
func slowness(co counts) sample { return sample{float64(co.answers), float64(co.slow)} }

// tests are two tests by what is bad.
type tests struct{ failed, slow test }

// allRoutes names the sum over the routes.
const allRoutes = "all routes"

// forNodes returns the tests for one of so many nodes.
func (te tests) forNodes(num int) tests {
	more := math.Log(max(1, float64(num)/toleratedNodes))
	te.failed.likelihood += more
	te.slow.likelihood += more
	return te
}

// find returns in words where the target is bad by the tests, empty if it isn't. usual is what the others' answers were
// over a longer time.
func (te tests) find(names map[routeID]string, have, usual cells) string {
	total, usualTotal := have.sum(), usual.sum()
	if found := te.scope(allRoutes, total, usualTotal, usualTotal.others); found != "" {
		return found
	}
	for rt, ce := range have {
		if found := te.scope("route "+names[rt], ce, usual[rt], usualTotal.others); found != "" {
			return found
		}
	}
	return ""
}

// scope tests one route, or all of them. The share of the others is that of the same time and route; with few answers
// there it tends to that over a longer time, then to that on all routes.
func (te tests) scope(name string, have, usual cell, all counts) string {
	longer, elsewhere := usual.others.minus(have.others), all.minus(usual.others)
	for _, ki := range []struct {
		word string
		test test
		bad  func(counts) sample
	}{{"failed", te.failed, failures}, {"were slow", te.slow, slowness}} {
		others := toward(ki.bad(have.others), toward(ki.bad(longer), toward(ki.bad(elsewhere), sample{priorAnswers, priorBad})))
		if target := ki.bad(have.target); ki.test.exceeds(target, others) {
			return fmt.Sprintf("%s: %d of %d answers of the target %s, of the others %.3g", name, int(target.bad), int(target.answers), ki.word, others.share())
		}
	}
	return ""
}

// toward adds a prior to a sample.
func toward(sa, prior sample) sample {
	return sample{sa.answers + priorWeight, sa.bad + priorWeight*prior.share()}
}

// judge stops the canary, or the shift while old servers serve, if the evidence says that the target is bad. Within an order
// a node never takes this back.
func (sc *service) judge(now time.Time) {
	ro := sc.rollout
	if ro.stopped {
		return
	}
	ev := &ro.evidence
	ev.note(now)
	switch ro.phase {
	case Canary:
		ro.stop(sc.findInCanary(now))
	case Shift:
		if ro.fleet.others > 0 {
			ro.stop(sc.findInShift(now))
		}
	default:
	}
}

// findInCanary returns in words where the target is bad, empty if it isn't.
func (sc *service) findInCanary(now time.Time) string {
	ev, nodes := &sc.rollout.evidence, len(sc.rollout.peers)+1
	if found := (tests{stopFailed, stopSlow}).forNodes(nodes).find(sc.names, ev.sum, ev.sum); found != "" {
		return found
	}
	if found := (tests{recentFailed, recentSlow}).forNodes(nodes).find(sc.names, ev.recent(now), ev.sum); found != "" {
		return found
	}
	total := ev.sum.sum()
	if found := (tests{extraFailed, extraSlow}).forNodes(nodes).scope(allRoutes, total, total, total.others); found != "" {
		return found
	}
	if total.target.failed+total.target.slow > maxLateBad {
		return ""
	}
	return tests{lateFailed, lateSlow}.forNodes(nodes).scope(allRoutes, total, total, total.others)
}

// findInShift returns in words where the target is bad since the beginning of the shift, empty if it isn't.
func (sc *service) findInShift(now time.Time) string {
	ev := &sc.rollout.evidence
	late := tests{shiftFailed, shiftSlow}.forNodes(len(sc.rollout.peers) + 1)
	if found := late.find(sc.names, ev.sum.since(ev.shifted), ev.sum); found != "" {
		return found
	}
	if found := late.find(sc.names, ev.recent(now), ev.sum); found != "" {
		return found
	}
	// A node that has been cut off from its peers knows hardly any answers of the others since the shift.
	target, others := ev.sum.since(ev.shifted).sum().target, ev.sum.sum().others
	if !late.failed.exceeds(failures(target), failures(others)) {
		return ""
	}
	return fmt.Sprintf("%s: %d of %d answers of the target failed, of the others up to now %.3g", allRoutes, target.failed, target.answers, failures(others).share())
}

func (ro *rollout) stop(reason string) {
	if reason != "" && !ro.stopped {
		ro.stopped, ro.reason = true, reason
	}
}

// verdict returns whether the target is good by all the evidence, and why.
func (sc *service) verdict(now time.Time) (good bool, reason string) {
	ro := sc.rollout
	ev := &ro.evidence
	if ro.stopped {
		return false, ro.reason
	}
	total := ev.sum.sum()
	if total.target.answers < minAnswers {
		return false, fmt.Sprintf("%d answers of the target are too few for a verdict, want %d", total.target.answers, minAnswers)
	}
	if ro.fleet.target*2 < ro.fleet.others {
		return false, fmt.Sprintf("%d servers of the target for %d others", ro.fleet.target, ro.fleet.others)
	}
	share := float64(total.target.answers) / float64(max(1, total.others.answers))
	for rt, ce := range ev.sum {
		expected := float64(ce.others.answers) * share
		if want := min(enoughAnswers, expected/expectedPart); expected >= minExpected && float64(ce.target.answers) < want {
			return false, fmt.Sprintf("route %s: %d answers of the target are too few for a verdict, want %.0f", sc.names[rt], ce.target.answers, math.Ceil(want))
		}
	}
	doubt := tests{doubtFailed, doubtSlow}
	for _, have := range []cells{ev.sum, ev.recent(now)} {
		if found := doubt.find(sc.names, have, ev.sum); found != "" {
			return false, found
		}
	}
	if found := sc.findHanging(total); found != "" {
		return false, found
	}
	if found := (tests{totalFailed, totalSlow}).scope(allRoutes, total, total, total.others); found != "" {
		return false, found
	}
	return true, fmt.Sprintf("%d answers of the target, of which %d failed and %d were slow, are as good as the others", total.target.answers, total.target.failed, total.target.slow)
}

// findHanging returns in words that the target leaves clearly more requests open than the others do, empty if it doesn't.
func (sc *service) findHanging(total cell) string {
	open := progress{open: sc.openOthers(), target: sc.open[sc.rollout.Target]}
	for _, pe := range sc.rollout.peers {
		open.open += pe.open
		open.target += pe.target
	}
	target := sample{float64(total.target.answers) + float64(open.target), float64(open.target)}
	// The others' answers since the canary began include as many to earlier requests as there are requests in progress now.
	others := sample{float64(max(total.others.answers, int64(open.open))), float64(open.open)}
	if !doubtOpen.exceeds(target, others) {
		return ""
	}
	return fmt.Sprintf("%d of %d requests at the target are in progress, of the others %.3g", open.target, int(target.answers), others.share())
}
