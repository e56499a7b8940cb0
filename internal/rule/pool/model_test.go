package pool_test

import (
	"math"
	"time"

	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

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
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

type bucket struct {
	limit      pool.Limit
	capacity   float64
	level      float64
	refilledAt time.Time
	startedAt  time.Time
	admitted   float64
	// deferred are the units of refused requests that were told when to retry.
	deferred float64
	peers    map[units.VMID]*peerUsage
}

type peerUsage struct {
	total float64
	rate  float64
	// assumed was taken from the bucket for a silent peer since its last report.
	assumed float64
	// reportedAt is the time to which the total applies, and incarnation the start of the peer
	// that it counts from.
	reportedAt  time.Time
	incarnation int64
}

// peerState holds when a peer last reported directly.
type peerState struct {
	lastReport time.Time
}

// model is the pool written plainly: it looks each peer up in maps and sums over all of them at each report.
// The pool has to admit the same.
type model struct {
	tolerance pool.Tolerance
	buckets   map[units.CustomerID]*bucket
	peers     map[units.VMID]*peerState
}

// newModel returns a pool without limits, which admits everything.
func newModel(to pool.Tolerance) *model {
	return &model{tolerance: to, buckets: map[units.CustomerID]*bucket{}, peers: map[units.VMID]*peerState{}}
}

// capacityOf returns the capacity of a limit's bucket: its burst and part of the tolerance.
func capacityOf(to pool.Tolerance, li pool.Limit) float64 {
	extra := (li.Rate*to.Window.Seconds()+li.Burst)*to.Share + to.Fixed
	return li.Burst + extra*usedToleranceShare
}

// SetLimits replaces the limits. Customers without one are not limited.
func (po *model) SetLimits(now time.Time, limits map[units.CustomerID]pool.Limit) {
	for id, li := range limits {
		bu := po.buckets[id]
		if bu == nil {
			po.buckets[id] = &bucket{
				limit: li, capacity: capacityOf(po.tolerance, li), level: li.Burst * initialLevel, refilledAt: now, startedAt: now, peers: map[units.VMID]*peerUsage{},
			}
			continue
		}
		bu.refill(now, po.peers)
		bu.limit, bu.capacity = li, capacityOf(po.tolerance, li)
		bu.capLevel(now, po.peers)
	}
	for id := range po.buckets {
		if _, ok := limits[id]; !ok {
			delete(po.buckets, id)
		}
	}
}

func (bu *bucket) refill(now time.Time, peers map[units.VMID]*peerState) {
	gap := now.Sub(bu.refilledAt)
	if gap <= 0 {
		return
	}
	gained := bu.limit.Rate * gap.Seconds()
	bu.deferred = max(0, bu.deferred-gained)
	bu.level += gained - bu.chargeSilent(now, gap, peers)
	bu.capLevel(now, peers)
	bu.refilledAt = now
}

// capLevel bounds the remaining level, which is the level less the unreported use of peers.
// Bounding the level itself would lose what is refilled between two reports, which in a large
// fleet is more than a second's worth.
func (bu *bucket) capLevel(now time.Time, peers map[units.VMID]*peerState) {
	maxLevel := bu.capacity
	if nodes := len(peers) + 1; nodes > smallFleetNodes {
		maxLevel = bu.limit.Burst // All of the tolerance covers late reports.
		if isIsolated(now, peers) {
			maxLevel *= smallFleetNodes / float64(nodes)
		}
	}
	bu.level = min(bu.level, maxLevel+bu.unreportedWithin(now, peers, min(silenceTimeout(now, peers), unreportedGaps*watch.MeanGap(len(peers)))))
}

// chargeSilent returns what silent peers are assumed to have used in the last gap, and adds it
// to their assumed use.
func (bu *bucket) chargeSilent(now time.Time, gap time.Duration, peers map[units.VMID]*peerState) float64 {
	total, limit := 0.0, silenceTimeout(now, peers)
	for id, pe := range peers {
		age := now.Sub(pe.lastReport)
		if age <= limit || age > peerTTL {
			continue
		}
		us := bu.usage(id)
		part := max(us.rate, bu.equalShare(peers)) * min(gap, age-limit).Seconds()
		us.assumed += part
		total += part
	}
	return total
}

// silenceTimeout returns the age of a report from which on a peer counts as silent. In a large
// fleet two nodes seldom exchange, but a node without any reports is isolated itself.
func silenceTimeout(now time.Time, peers map[units.VMID]*peerState) time.Duration {
	if isIsolated(now, peers) {
		return smallFleetSilence
	}
	return watch.SilenceTimeout(smallFleetSilence, len(peers))
}

// isIsolated tells whether no peer has reported within isolationTimeout.
func isIsolated(now time.Time, peers map[units.VMID]*peerState) bool {
	for _, pe := range peers {
		if now.Sub(pe.lastReport) <= isolationTimeout {
			return false
		}
	}
	return true
}

// Peers returns the number of peers that were ever added or have reported.
func (po *model) Peers() int { return len(po.peers) }

func (bu *bucket) usage(id units.VMID) *peerUsage {
	us := bu.peers[id]
	if us == nil {
		us = &peerUsage{}
		bu.peers[id] = us
	}
	return us
}

// equalShare returns one node's equal share of the limit.
func (bu *bucket) equalShare(peers map[units.VMID]*peerState) float64 {
	return bu.limit.Rate / float64(len(peers)+1)
}

// isYoung reports whether the bucket has not had the time to fill since its start.
func (bu *bucket) isYoung(now time.Time) bool {
	return now.Sub(bu.startedAt).Seconds()*bu.limit.Rate < lateStart*bu.limit.Burst
}

// Take admits a request of this many units, or returns when to retry. late is set for a
// request that can no longer be answered in time. Late requests need a fuller bucket: when a
// customer sends several times its limit for seconds and its callers retry once, requests
// admitted in order of arrival would spend the limit on late answers and make others late.
func (po *model) Take(now time.Time, cu units.CustomerID, amount float64, late bool) (ok bool, after time.Duration) {
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

// View returns the estimate of a customer's bucket, for logs. It is zero without a limit.
func (po *model) View(now time.Time, cu units.CustomerID) pool.View {
	bu := po.buckets[cu]
	if bu == nil {
		return pool.View{}
	}
	bu.refill(now, po.peers)
	return pool.View{Limit: bu.limit, Level: bu.level, Unreported: bu.unreported(now, po.peers)}
}

// Refund returns the units of a request that did not run.
func (po *model) Refund(cu units.CustomerID, amount float64) {
	if bu := po.buckets[cu]; bu != nil {
		bu.level += amount // The next refill bounds it.
		bu.admitted -= amount
	}
}

// unreported estimates what peers have used since their last reports, without what was charged
// for silent ones.
func (bu *bucket) unreported(now time.Time, peers map[units.VMID]*peerState) float64 {
	return bu.unreportedWithin(now, peers, silenceTimeout(now, peers))
}

// unreportedWithin estimates what peers have used since their last reports, each for up to
// maxAge.
func (bu *bucket) unreportedWithin(now time.Time, peers map[units.VMID]*peerState, maxAge time.Duration) float64 {
	total := 0.0
	for id, pe := range peers {
		if us := bu.peers[id]; us != nil && now.Sub(pe.lastReport) <= peerTTL {
			total += us.rate * min(now.Sub(us.reportedAt), maxAge).Seconds()
		}
	}
	return total
}

// Admitted returns this node's totals, by customer.
func (po *model) Admitted() pool.Totals {
	out := pool.Totals{}
	for id, bu := range po.buckets {
		if bu.admitted != 0 {
			out[id] = bu.admitted
		}
	}
	return out
}

// AddPeer adds a peer that has not reported yet. Until it does, it counts as silent and
// serving.
func (po *model) AddPeer(now time.Time, node units.VMID) {
	if po.peers[node] == nil {
		po.peers[node] = &peerState{lastReport: now.Add(-silenceTimeout(now, po.peers))}
	}
}

// MergeReport merges the totals of a peer. The incarnation identifies the start of the peer
// that the totals count from.
func (po *model) MergeReport(now time.Time, node units.VMID, incarnation int64, totals pool.Totals) {
	for _, bu := range po.buckets {
		bu.refill(now, po.peers)
	}
	pe := po.peers[node]
	if pe == nil {
		pe = &peerState{}
		po.peers[node] = pe
	}
	pe.lastReport = now
	for id, bu := range po.buckets {
		bu.applyTotal(bu.usage(node), now, incarnation, totals[id], len(po.peers))
	}
}

// applyTotal applies a peer's total as of a time. The next refill bounds the level.
func (bu *bucket) applyTotal(us *peerUsage, at time.Time, incarnation int64, total float64, peers int) {
	delta := total - us.total
	switch us.incarnation {
	case incarnation:
	case 0: // First report: earlier use doesn't count here, and the rate isn't known yet.
		delta, us.rate = 0, bu.limit.Rate/float64(peers+1)
	default: // Restarted: what it admitted after its last report before that isn't known.
		delta = total + us.rate*(unreportedGaps*watch.MeanGap(peers)).Seconds()
	}
	bu.level += us.assumed - delta
	if gap := at.Sub(us.reportedAt); gap > 0 && us.incarnation != 0 {
		weight := 1 - math.Exp(-float64(gap)/float64(rateTimeConstant))
		us.rate += (max(0, delta)/gap.Seconds() - us.rate) * weight
	}
	us.total, us.assumed, us.reportedAt, us.incarnation = total, 0, at, incarnation
}

// Relay returns the peers' totals to relay: recent ones of customers near their limits.
func (po *model) Relay(now time.Time) map[units.CustomerID][]pool.RelayedUsage {
	var out map[units.CustomerID][]pool.RelayedUsage
	for cu, bu := range po.buckets {
		if bu.level-bu.unreported(now, po.peers) >= bu.capacity*maxRelayLevel || bu.demand() < bu.limit.Rate*minRelayDemand {
			continue
		}
		for id, us := range bu.peers {
			if age := now.Sub(us.reportedAt); us.total != 0 && age <= maxRelayAge {
				if out == nil {
					out = map[units.CustomerID][]pool.RelayedUsage{}
				}
				out[cu] = append(out[cu], pool.RelayedUsage{Node: id, Incarnation: us.incarnation, Total: us.total, Age: age})
			}
		}
	}
	return out
}

// demand returns what peers admit together, in units a second.
func (bu *bucket) demand() float64 {
	total := 0.0
	for _, us := range bu.peers {
		total += us.rate
	}
	return total
}

// MergeRelayed merges totals that a peer relays, where they are newer than those known here.
func (po *model) MergeRelayed(now time.Time, relayed map[units.CustomerID][]pool.RelayedUsage) {
	for cu, list := range relayed {
		bu := po.buckets[cu]
		if bu == nil {
			continue
		}
		bu.refill(now, po.peers)
		for _, re := range list {
			us, at := bu.usage(re.Node), now.Add(-re.Age)
			if po.peers[re.Node] != nil && at.After(us.reportedAt) && re.Incarnation >= us.incarnation {
				bu.applyTotal(us, at, re.Incarnation, re.Total, len(po.peers))
			}
		}
	}
}
