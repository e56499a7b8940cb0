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
	// aloneTime is the time without any report after which a node is cut off from its peers:
	// three rounds of exchanges.
	aloneTime = 900 * time.Millisecond
	// smallFleet is the number of nodes up to which each hears of all others in a round. In
	// larger fleets what is left for a node that is cut off is bounded to its part, as if as
	// many nodes as in a small fleet shared the bucket.
	smallFleet = 9
	// goneTime is the age of a report from which on a peer no longer counts.
	goneTime = 15 * time.Second
	// reportGaps is the number of usual gaps between two reports of a pair for which a node is
	// taken to have gone on as before if it ends: what it admitted since its last report is
	// not known.
	reportGaps = 2
	// relayLevel is the part of the bucket under which nodes also tell what they have heard of
	// others: word of a customer that sends several times its limit then takes a tenth of a
	// second to all of a large fleet, and not the second or more until each pair talks.
	relayLevel = 0.6
	// relayDemand is the part of the limit that peers have to use besides: word of a customer
	// within its limit isn't worth its bytes.
	relayDemand = 0.9
	// relayTime is the age up to which that is told.
	relayTime = 800 * time.Millisecond
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
	// at is when the total held, in which life of the peer.
	at   time.Time
	life int64
}

// peer is when something was last heard from a peer itself.
type peer struct {
	at time.Time
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
		bu.cap(now, po.peers)
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
	bu.level += gained - bu.silent(now, gap, peers)
	bu.cap(now, peers)
	bu.last = now
}

// cap bounds what is left, which is the level less what peers have used between two
// reports. Bounding the level itself would lose what flows in meanwhile: in a large fleet
// that is more than a second's worth.
func (bu *bucket) cap(now time.Time, peers map[units.VMID]*peer) {
	most := bu.most
	if nodes := len(peers) + 1; nodes > smallFleet {
		most = bu.limit.Burst // All of the tolerance is for what is heard late.
		if isAlone(now, peers) {
			most *= smallFleet / float64(nodes)
		}
	}
	bu.level = min(bu.level, most+bu.since(now, peers, min(silence(now, peers), reportGaps*watch.MeanGap(len(peers)))))
}

// silent takes note of what silent peers are assumed to have used in the last gap.
func (bu *bucket) silent(now time.Time, gap time.Duration, peers map[units.VMID]*peer) float64 {
	total, limit := 0.0, silence(now, peers)
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

// silence is the age of a report from which on a peer counts as silent. In a large fleet a
// pair seldom talks, but a node that hears nothing at all is cut off itself.
func silence(now time.Time, peers map[units.VMID]*peer) time.Duration {
	if isAlone(now, peers) {
		return silentTime
	}
	return watch.SilenceTimeout(silentTime, len(peers))
}

// isAlone tells whether nothing was heard of any peer for a while.
func isAlone(now time.Time, peers map[units.VMID]*peer) bool {
	for _, pe := range peers {
		if now.Sub(pe.at) <= aloneTime {
			return false
		}
	}
	return true
}

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
		bu.level += amount // The next fill bounds it.
		bu.used -= amount
	}
}

// unseen estimates what peers have taken since their last reports, but for what was
// assumed of silent ones.
func (bu *bucket) unseen(now time.Time, peers map[units.VMID]*peer) float64 {
	return bu.since(now, peers, silence(now, peers))
}

// since estimates what peers have taken since their last reports, each for up to a time.
func (bu *bucket) since(now time.Time, peers map[units.VMID]*peer, most time.Duration) float64 {
	total := 0.0
	for id, pe := range peers {
		if us := bu.peers[id]; us != nil && now.Sub(pe.at) <= goneTime {
			total += us.rate * min(now.Sub(us.at), most).Seconds()
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
		po.peers[node] = &peer{at: now.Add(-silence(now, po.peers))}
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
	pe.at = now
	for id, bu := range po.buckets {
		bu.learn(bu.usage(node), now, life, totals[id], len(po.peers))
	}
}

// learn takes in that a peer's total held at a time. The next fill bounds the level.
func (bu *bucket) learn(us *usage, at time.Time, life int64, total float64, peers int) {
	delta := total - us.total
	switch us.life {
	case life:
	case 0: // What it admitted before is not this node's matter, and at what rate not known yet.
		delta, us.rate = 0, bu.limit.Rate/float64(peers+1)
	default: // What the life before admitted after its last report is not known.
		delta = total + us.rate*(reportGaps*watch.MeanGap(peers)).Seconds()
	}
	bu.level += us.assumed - delta
	if gap := at.Sub(us.at); gap > 0 && us.life != 0 {
		weight := 1 - math.Exp(-float64(gap)/float64(rateTime))
		us.rate += (max(0, delta)/gap.Seconds() - us.rate) * weight
	}
	us.total, us.assumed, us.at, us.life = total, 0, at, life
}

// Heard is what one node tells of another's admissions for one customer.
type Heard struct {
	Node  units.VMID    `json:"node"`
	Life  int64         `json:"life"`
	Total float64       `json:"total"`
	Age   time.Duration `json:"age"`
}

// Relay returns what this node has lately heard of its peers, for the customers that are
// near their limits.
func (po *Pool) Relay(now time.Time) map[units.CustomerID][]Heard {
	var out map[units.CustomerID][]Heard
	for cu, bu := range po.buckets {
		if bu.level-bu.unseen(now, po.peers) >= bu.most*relayLevel || bu.demand() < bu.limit.Rate*relayDemand {
			continue
		}
		for id, us := range bu.peers {
			if age := now.Sub(us.at); us.total != 0 && age <= relayTime {
				if out == nil {
					out = map[units.CustomerID][]Heard{}
				}
				out[cu] = append(out[cu], Heard{Node: id, Life: us.life, Total: us.total, Age: age})
			}
		}
	}
	return out
}

// demand is what peers admit together, in units a second.
func (bu *bucket) demand() float64 {
	total := 0.0
	for _, us := range bu.peers {
		total += us.rate
	}
	return total
}

// Told takes in what a peer has heard of others. Only what is later than this node's own
// knowledge counts.
func (po *Pool) Told(now time.Time, heard map[units.CustomerID][]Heard) {
	for cu, list := range heard {
		bu := po.buckets[cu]
		if bu == nil {
			continue
		}
		bu.fill(now, po.peers)
		for _, he := range list {
			us, at := bu.usage(he.Node), now.Add(-he.Age)
			if po.peers[he.Node] != nil && at.After(us.at) && he.Life >= us.life {
				bu.learn(us, at, he.Life, he.Total, len(po.peers))
			}
		}
	}
}
