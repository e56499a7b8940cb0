// Package pool enforces one rate limit per customer over all nodes together.
//
// Every node keeps its own estimate of one token bucket for each customer: it takes tokens for
// the requests that it admits, and its peers report what they have admitted. Between two
// reports a peer is assumed to continue at its last rate, so that a burst that arrives at all
// nodes at once is counted before the reports of it arrive. A peer that falls silent is
// assumed to use at least an equal share, since it may be cut off and still serving.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package pool

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// Limit is what a customer may use over all nodes together, in units a second.
type Limit struct {
	Rate, Burst float64
}

// Tolerance is what all nodes together may admit beyond a limit: in any window, a share of
// what the limit allows there, and a fixed amount.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Fixed  float64
}

const (
	// usedToleranceShare is the part of the tolerance that the bucket's capacity uses; the
	// rest covers requests that peers admit before their reports arrive.
	usedToleranceShare = 0.1
	// sizeFactor is the ratio of the bucket's level to a request's size from which on the
	// request is admitted, and overdraft the part of the capacity that the level may be short
	// of it. Together they let small requests pass while a customer sends several times its
	// limit: a page or a short answer doesn't wait behind prompts that cost fifty times as
	// much.
	sizeFactor = 2
	overdraft  = 0.05
	// minLateLevel is the part of the capacity that has to be left for a request that can no
	// longer be answered in time, such as one that was refused before. By the users' data
	// sheets an answer in time is worth ten late ones.
	minLateLevel = 0.5
	// lateStart is the time from a bucket's start, in times that its burst takes to refill, for which late
	// requests need no more than others. Its level is low then for want of knowledge, and after an
	// outage all requests are late.
	lateStart = 2
	// initialLevel is the part of the burst with which the bucket of a new node starts: its
	// predecessor and its peers may just have used the rest.
	initialLevel = 0.05
	// rateTimeConstant smooths a peer's rate. Two reports may be only milliseconds apart.
	rateTimeConstant = 400 * time.Millisecond
	// smallFleetSilence is the age of a report from which on a peer of a small fleet counts as
	// silent.
	smallFleetSilence = 1500 * time.Millisecond
	// isolationTimeout is the time without any report after which a node counts as cut off
	// from its peers: three gossip rounds.
	isolationTimeout = 900 * time.Millisecond
	// smallFleetNodes is the number of nodes up to which each exchanges with all others in a
	// round. In a larger fleet of n nodes an isolated one may hold only smallFleetNodes/n of the
	// burst, so that n isolated nodes hold no more together than those of a small fleet.
	smallFleetNodes = 9
	// peerTTL is the age of a report from which on a peer no longer counts.
	peerTTL = 15 * time.Second
	// unreportedGaps is the number of mean gaps between two reports of a pair for which a node
	// that stopped is assumed to have gone on at its last rate, since what it admitted after
	// its last report is not known.
	unreportedGaps = 2
	// maxRelayLevel is the part of the capacity below which a node also relays the totals of
	// its peers. Totals of a customer that sends several times its limit then reach all of a
	// large fleet in a tenth of a second, and not only after the second or more in which each
	// pair exchanges.
	maxRelayLevel = 0.6
	// minRelayDemand is the part of the limit that peers must use as well: the totals of a
	// customer within its limit aren't worth their bytes.
	minRelayDemand = 0.9
	// maxRelayAge is the age up to which totals are relayed.
	maxRelayAge = 800 * time.Millisecond
	// maxRelayed bounds the totals that one report relays of all customers together, so that reports leave room
	// on the smallest link. A node of a large fleet gets some 50 reports a second.
	maxRelayed = 48
	// newcomerTime is the time from a peer's first report for which its totals are relayed, at most
	// maxNewcomerTotals in one report. All nodes know of each other's use in a few exchanges then, also
	// if they have started at once.
	newcomerTime      = 3 * time.Second
	maxNewcomerTotals = 192
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Totals are the units that a node has admitted since its start, by customer.
type Totals map[units.CustomerID]float64

type bucket struct {
	limit      Limit
	capacity   float64
	level      float64
	refilledAt time.Time
	startedAt  time.Time
	admitted   float64
	// deferred are the units of refused requests that were told when to retry.
	deferred float64
	// usages holds what is known of each peer, by its number.
	usages []peerUsage
	// relayFrom is the number of the peer from which on totals are relayed next.
	relayFrom int
}

// peerUsage is what a peer uses of one customer's limit; see noUsages for one that has not reported.
type peerUsage struct {
	total float64
	rate  float64
	// assumed was taken from the bucket for a silent peer since its last report.
	assumed float64
	// reportedAt is the time to which the total applies, and incarnation the start of the peer
	// that it counts from, 0 before its first report.
	reportedAt  instant
	incarnation int64
}

// Pool holds the buckets of all customers.
type Pool struct {
	tolerance Tolerance
	buckets   map[units.CustomerID]*bucket
	peers     *peers
}

// New returns a pool without limits, which admits everything.
func New(to Tolerance) *Pool {
	return &Pool{tolerance: to, buckets: map[units.CustomerID]*bucket{}, peers: newPeers()}
}

// capacity returns the capacity of a limit's bucket: its burst and part of the tolerance.
func (to Tolerance) capacity(li Limit) float64 {
	extra := (li.Rate*to.Window.Seconds()+li.Burst)*to.Share + to.Fixed
	return li.Burst + extra*usedToleranceShare
}

// SetLimits replaces the limits. Customers without one are not limited.
func (po *Pool) SetLimits(now time.Time, limits map[units.CustomerID]Limit) {
	for id, li := range limits {
		bu := po.buckets[id]
		if bu == nil {
			po.buckets[id] = &bucket{
				limit: li, capacity: po.tolerance.capacity(li), level: li.Burst * initialLevel, refilledAt: now, startedAt: now, usages: noUsages(po.peers.count()),
			}
			continue
		}
		bu.refill(now, po.peers)
		bu.limit, bu.capacity = li, po.tolerance.capacity(li)
		bu.capLevel(now, po.peers)
	}
	for id := range po.buckets {
		if _, ok := limits[id]; !ok {
			delete(po.buckets, id)
		}
	}
}

func (bu *bucket) refill(now time.Time, pe *peers) {
	gap := now.Sub(bu.refilledAt)
	if gap <= 0 {
		return
	}
	gained := bu.limit.Rate * gap.Seconds()
	bu.deferred = max(0, bu.deferred-gained)
	bu.level += gained - bu.chargeSilent(now, gap, pe)
	bu.capLevel(now, pe)
	bu.refilledAt = now
}

// capLevel bounds the remaining level, which is the level less the unreported use of peers.
// Bounding the level itself would lose what is refilled between two reports, which in a large
// fleet is more than a second's worth.
func (bu *bucket) capLevel(now time.Time, pe *peers) {
	maxLevel := bu.capacity
	if nodes := pe.count() + 1; nodes > smallFleetNodes {
		maxLevel = bu.limit.Burst // All of the tolerance covers late reports.
		if pe.isIsolated(now) {
			maxLevel *= smallFleetNodes / float64(nodes)
		}
	}
	if bu.level > maxLevel { // The unreported use only adds to the bound.
		bu.level = min(bu.level, maxLevel+bu.unreportedWithin(now, pe, min(pe.silenceTimeout(now), unreportedGaps*watch.MeanGap(pe.count()))))
	}
}

// chargeSilent returns what silent peers are assumed to have used in the last gap, and adds it
// to their assumed use.
func (bu *bucket) chargeSilent(now time.Time, gap time.Duration, pe *peers) float64 {
	total, limit, share := 0.0, pe.silenceTimeout(now), bu.equalShare(pe)
	at := pe.instant(now)
	for num, last := range pe.lastReports {
		age := at.since(last)
		if age <= limit || age > peerTTL {
			continue
		}
		us := &bu.usages[num]
		part := max(us.rate, share) * min(gap, age-limit).Seconds()
		us.assumed += part
		total += part
	}
	return total
}

// Peers returns the number of peers that were ever added or have reported.
func (po *Pool) Peers() int { return po.peers.count() }

// equalShare returns one node's equal share of the limit.
func (bu *bucket) equalShare(pe *peers) float64 {
	return bu.limit.Rate / float64(pe.count()+1)
}

// isYoung reports whether the bucket has not had the time to fill since its start.
func (bu *bucket) isYoung(now time.Time) bool {
	return now.Sub(bu.startedAt).Seconds()*bu.limit.Rate < lateStart*bu.limit.Burst
}

// Take admits a request of this many units, or returns when to retry. late is set for a
// request that can no longer be answered in time. Late requests need a fuller bucket: when a
// customer sends several times its limit for seconds and its callers retry once, requests
// admitted in order of arrival would spend the limit on late answers and make others late.
func (po *Pool) Take(now time.Time, cu units.CustomerID, amount float64, late bool) (ok bool, after time.Duration) {
	bu := po.buckets[cu]
	if bu == nil {
		return true, 0
	}
	bu.refill(now, po.peers)
	// A single request may be larger than the whole bucket.
	need := min(amount*sizeFactor, bu.capacity) - bu.capacity*overdraft
	if late && !bu.isYoung(now) {
		need = max(need, bu.capacity*minLateLevel)
	}
	short := need - (bu.level - bu.unreported(now, po.peers))
	if short > 0 {
		// Spread the retries, so that callers don't all come back when the first one fits.
		wait := time.Duration((short + bu.deferred) / max(bu.limit.Rate, 1) * float64(time.Second))
		bu.deferred += amount
		return false, min(max(wait, minRetryAfter), maxRetryAfter)
	}
	bu.level -= amount
	bu.admitted += amount
	return true, 0
}

// View is this node's estimate of one customer's bucket.
type View struct {
	Limit
	// Level is what is left, Unreported what peers are assumed to have used of it since their
	// last reports.
	Level, Unreported float64
}

// View returns the estimate of a customer's bucket, for logs. It is zero without a limit.
func (po *Pool) View(now time.Time, cu units.CustomerID) View {
	bu := po.buckets[cu]
	if bu == nil {
		return View{}
	}
	bu.refill(now, po.peers)
	return View{Limit: bu.limit, Level: bu.level, Unreported: bu.unreported(now, po.peers)}
}

// Refund returns the units of a request that did not run.
func (po *Pool) Refund(cu units.CustomerID, amount float64) {
	if bu := po.buckets[cu]; bu != nil {
		bu.level += amount // The next refill bounds it.
		bu.admitted -= amount
	}
}

// unreported estimates what peers have used since their last reports, without what was charged
// for silent ones.
func (bu *bucket) unreported(now time.Time, pe *peers) float64 {
	return bu.unreportedWithin(now, pe, pe.silenceTimeout(now))
}

// unreportedWithin estimates what peers have used since their last reports, each for up to
// maxAge.
func (bu *bucket) unreportedWithin(now time.Time, pe *peers, maxAge time.Duration) float64 {
	total, at := 0.0, pe.instant(now)
	for num := range bu.usages {
		if us := &bu.usages[num]; us.rate != 0 && at.since(pe.lastReports[num]) <= peerTTL {
			total += us.rate * float64(min(at.since(us.reportedAt), maxAge))
		}
	}
	return total / float64(time.Second)
}

// Admitted returns this node's totals, by customer.
func (po *Pool) Admitted() Totals {
	out := Totals{}
	for id, bu := range po.buckets {
		if bu.admitted != 0 {
			out[id] = bu.admitted
		}
	}
	return out
}

// AddPeer adds a peer that has not reported yet. Until it does, it counts as silent and
// serving.
func (po *Pool) AddPeer(now time.Time, node units.VMID) {
	if _, ok := po.peers.numbers[node]; !ok {
		po.add(node, po.peers.instant(now.Add(-po.peers.silenceTimeout(now))))
	}
}

// add adds a peer that last reported at a time, and returns its number.
func (po *Pool) add(node units.VMID, lastReport instant) int {
	for _, bu := range po.buckets {
		bu.usages = append(bu.usages, peerUsage{reportedAt: never})
	}
	return po.peers.add(node, lastReport)
}

// refillAll refills all buckets.
func (po *Pool) refillAll(now time.Time) {
	for _, bu := range po.buckets {
		bu.refill(now, po.peers)
	}
}

// MergeReport merges the totals of a peer. The incarnation identifies the start of the peer
// that the totals count from.
func (po *Pool) MergeReport(now time.Time, node units.VMID, incarnation int64, totals Totals) {
	po.refillAll(now)
	at := po.peers.instant(now)
	num, ok := po.peers.numbers[node]
	if !ok {
		num = po.add(node, at)
	}
	po.merge(num, at, incarnation, totals)
}

// merge applies all totals of a peer as of a time.
func (po *Pool) merge(num int, at instant, incarnation int64, totals Totals) {
	po.peers.heard(num, at, incarnation)
	for id, bu := range po.buckets {
		if us := &bu.usages[num]; at >= us.reportedAt { // A relayed total may be newer.
			bu.applyTotal(us, at, incarnation, totals[id], po.peers.count())
		}
	}
}

// applyTotal applies a peer's total as of a time. The next refill bounds the level.
func (bu *bucket) applyTotal(us *peerUsage, at instant, incarnation int64, total float64, peers int) {
	delta := total - us.total
	switch us.incarnation {
	case incarnation:
	case 0: // First report: earlier use doesn't count here, and the rate isn't known yet.
		delta, us.rate = 0, bu.limit.Rate/float64(peers+1)
	default: // Restarted: what it admitted after its last report before that isn't known.
		delta = total + us.rate*(unreportedGaps*watch.MeanGap(peers)).Seconds()
	}
	bu.level += us.assumed - delta
	if gap := at.since(us.reportedAt); gap > 0 && us.incarnation != 0 {
		weight := 1 - math.Exp(-float64(gap)/float64(rateTimeConstant))
		us.rate += (max(0, delta)/gap.Seconds() - us.rate) * weight
	}
	us.total, us.assumed, us.reportedAt, us.incarnation = total, 0, at, incarnation
}
