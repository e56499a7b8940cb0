// Package pool keeps what all nodes admit of a customer's requests within one limit.
//
// Every node holds its own view of one token bucket for each customer: it takes from it
// for its own requests, and its peers tell it what they have taken. Between two reports a
// peer is taken to go on as before, so that a burst that arrives at all nodes at once is
// seen before the reports of it are in. A peer that falls silent is taken to use at least
// an equal part, since it may have been cut off and serve on.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package pool

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// Limit is what a customer may use over all nodes, in units a second.
type Limit struct {
	Rate, Burst float64
}

// Tolerance is what the platform lets all nodes together admit beyond a limit: in any
// window, a share of what the limit allows there, and a fixed amount.
type Tolerance struct {
	Window time.Duration
	Share  float64
	Fixed  float64
}

const (
	// toleranceShare is the part of the tolerance that is given out; the rest covers
	// requests that peers admit before their reports arrive.
	toleranceShare = 0.1
	// sizeFactor is the ratio of the bucket's level to a request's size from which on it is
	// admitted, and overdraft the part of the bucket that the level may be short of it.
	// Together they let small requests pass while a customer sends several times its limit:
	// a page or a short answer then doesn't wait behind the prompts of drafts, each of
	// which weighs as much as fifty of them.
	sizeFactor = 2
	overdraft  = 0.05
	// lateLevel is the part of the bucket that has to be left for a request that can no
	// longer be answered in time, such as one that was refused before. By the users'
	// sheets an answer in time is worth ten late ones.
	lateLevel = 0.5
	// startShare is the part of the burst that a new node believes to be left: its
	// predecessor and its peers may just have used the rest.
	startShare = 0.05
	// rateTime is the time constant of a peer's smoothed rate. Two reports may be only
	// milliseconds apart.
	rateTime = 400 * time.Millisecond
	// silentTime is the age of a report from which on a peer of a small fleet counts as
	// silent.
	silentTime = 1500 * time.Millisecond
	// goneTime is the age of a report from which on a peer no longer counts.
	goneTime = 15 * time.Second
	// reportTime is the usual time between two reports; what a node admitted since its
	// last one is not known if it ends.
	reportTime = 300 * time.Millisecond
	// leastRetry and mostRetry bound the time after which a caller is told to return.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// Totals are the units that a node has admitted since its start, by customer.
type Totals map[units.CustomerID]float64

type bucket struct {
	limit Limit
	// most is the most that the bucket holds.
	most  float64
	level float64
	last  time.Time
	used  float64
	// promised are the units of refused requests that were told when to come back.
	promised float64
	peers    map[units.VMID]*usage
}

type usage struct {
	total float64
	rate  float64
	// assumed is what was taken from the bucket for a silent peer since its last report.
	assumed float64
}

type peer struct {
	life int64
	at   time.Time
}

// Pool holds the buckets of all customers.
type Pool struct {
	tolerance Tolerance
	buckets   map[units.CustomerID]*bucket
	peers     map[units.VMID]*peer
}

// New returns a pool without limits.
func New(to Tolerance) *Pool {
	return &Pool{tolerance: to, buckets: map[units.CustomerID]*bucket{}, peers: map[units.VMID]*peer{}}
}

// capacity returns the most that a bucket holds.
func (to Tolerance) capacity(li Limit) float64 {
	extra := (li.Rate*to.Window.Seconds()+li.Burst)*to.Share + to.Fixed
	return li.Burst + extra*toleranceShare
}

// SetLimits replaces the limits. Customers without one are not limited.
func (po *Pool) SetLimits(now time.Time, limits map[units.CustomerID]Limit) {
	for id, li := range limits {
		bu := po.buckets[id]
		if bu == nil {
			po.buckets[id] = &bucket{
				limit: li, most: po.tolerance.capacity(li), level: li.Burst * startShare, last: now, peers: map[units.VMID]*usage{},
			}
			continue
		}
		bu.fill(now, po.peers)
		bu.limit, bu.most = li, po.tolerance.capacity(li)
		bu.level = min(bu.level, bu.most)
	}
	for id := range po.buckets {
		if _, ok := limits[id]; !ok {
			delete(po.buckets, id)
		}
	}
}

func (bu *bucket) fill(now time.Time, peers map[units.VMID]*peer) {
	gap := now.Sub(bu.last)
	if gap <= 0 {
		return
	}
	gained := bu.limit.Rate * gap.Seconds()
	bu.promised = max(0, bu.promised-gained)
	bu.level = min(bu.most, bu.level+gained-bu.silent(now, gap, peers))
	bu.last = now
}

// silent takes note of what silent peers are assumed to have used in the last gap.
func (bu *bucket) silent(now time.Time, gap time.Duration, peers map[units.VMID]*peer) float64 {
	total, limit := 0.0, silence(peers)
	for id, pe := range peers {
		age := now.Sub(pe.at)
		if age <= limit || age > goneTime {
			continue
		}
		us := bu.usage(id)
		part := max(us.rate, bu.equal(peers)) * min(gap, age-limit).Seconds()
		us.assumed += part
		total += part
	}
	return total
}

// silence is the age of a report from which on a peer counts as silent.
func silence(peers map[units.VMID]*peer) time.Duration { return watch.Silence(silentTime, len(peers)) }

// Peers returns the number of peers that were ever heard or expected.
func (po *Pool) Peers() int { return len(po.peers) }

func (bu *bucket) usage(id units.VMID) *usage {
	us := bu.peers[id]
	if us == nil {
		us = &usage{}
		bu.peers[id] = us
	}
	return us
}

// equal is a node's equal part of the limit.
func (bu *bucket) equal(peers map[units.VMID]*peer) float64 {
	return bu.limit.Rate / float64(len(peers)+1)
}

// Take admits a request of so many units, or tells when to come back. late is set for a
// request that can no longer be answered in time. The load that this answers: a customer
// that sends several times its limit for seconds, with callers that come back once. Taken
// in turn, those that come back would use up the limit late, and drive others to the same.
func (po *Pool) Take(now time.Time, cu units.CustomerID, amount float64, late bool) (ok bool, after time.Duration) {
	bu := po.buckets[cu]
	if bu == nil {
		return true, 0
	}
	bu.fill(now, po.peers)
	// A single request may be larger than the whole bucket.
	need := min(amount*sizeFactor, bu.most) - bu.most*overdraft
	if late {
		need = max(need, bu.most*lateLevel)
	}
	short := need - (bu.level - bu.unseen(now, po.peers))
	if short > 0 {
		// Callers come back one after the other, not all when the first one fits.
		wait := time.Duration((short + bu.promised) / max(bu.limit.Rate, 1) * float64(time.Second))
		bu.promised += amount
		return false, min(max(wait, leastRetry), mostRetry)
	}
	bu.level -= amount
	bu.used += amount
	return true, 0
}

// View is what this node believes of one customer's bucket.
type View struct {
	Limit
	// Level is what is left, Unseen what peers are taken to have used of it since their
	// last reports.
	Level, Unseen float64
}

// View returns the view of a customer's bucket, for logs.
func (po *Pool) View(now time.Time, cu units.CustomerID) View {
	bu := po.buckets[cu]
	if bu == nil {
		return View{}
	}
	bu.fill(now, po.peers)
	return View{Limit: bu.limit, Level: bu.level, Unseen: bu.unseen(now, po.peers)}
}

// Refund gives back what a request took that did not run.
func (po *Pool) Refund(cu units.CustomerID, amount float64) {
	if bu := po.buckets[cu]; bu != nil {
		bu.level = min(bu.most, bu.level+amount)
		bu.used -= amount
	}
}

// unseen estimates what peers have taken since their last reports, but for what was
// assumed of silent ones.
func (bu *bucket) unseen(now time.Time, peers map[units.VMID]*peer) float64 {
	total, limit := 0.0, silence(peers)
	for id, pe := range peers {
		age := now.Sub(pe.at)
		if us := bu.peers[id]; us != nil && age <= goneTime {
			total += us.rate * min(age, limit).Seconds()
		}
	}
	return total
}

// Used returns this node's totals.
func (po *Pool) Used() Totals {
	out := Totals{}
	for id, bu := range po.buckets {
		if bu.used != 0 {
			out[id] = bu.used
		}
	}
	return out
}

// Expect notes that there is a peer of which nothing was heard yet; until then it is
// taken to be cut off and to serve.
func (po *Pool) Expect(now time.Time, node units.VMID) {
	if po.peers[node] == nil {
		po.peers[node] = &peer{at: now.Add(-silence(po.peers))}
	}
}

// Report takes in the totals of a peer. life tells apart the starts of the peer, whose
// totals begin anew with each.
func (po *Pool) Report(now time.Time, node units.VMID, life int64, totals Totals) {
	for _, bu := range po.buckets {
		bu.fill(now, po.peers)
	}
	pe := po.peers[node]
	if pe == nil {
		pe = &peer{}
		po.peers[node] = pe
	}
	if pe.life == 0 {
		pe.life, pe.at = life, now
		for id, bu := range po.buckets {
			us := bu.usage(node)
			us.total, us.assumed = totals[id], 0
		}
		return
	}
	gap := now.Sub(pe.at)
	born := pe.life != life
	pe.life, pe.at = life, now
	for id, bu := range po.buckets {
		us := bu.usage(node)
		delta := totals[id] - us.total
		if born {
			// What the life before admitted after its last report is not known.
			delta = totals[id] + us.rate*reportTime.Seconds()
		}
		bu.level = min(bu.most, bu.level-delta+us.assumed)
		if gap > 0 {
			weight := 1 - math.Exp(-float64(gap)/float64(rateTime))
			us.rate += (max(0, delta)/gap.Seconds() - us.rate) * weight
		}
		us.total, us.assumed = totals[id], 0
	}
}
