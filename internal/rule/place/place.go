// Package place chooses the backend server of each request among the servers of one service,
// from this node's own dispatches, its peers' reports and recent failures.
//
// Prompts have thousands of tokens and share leading blocks, one of which may be in most
// requests; traffic comes in bursts, and servers disappear a zone at a time. A prompt goes to
// a server that already has its prefix in the KV cache, unless that server's prefill queue is
// so long that computing the prefix again elsewhere is sooner. Rendezvous hashing makes all
// nodes prefer the same servers for a prefix without communication.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package place

import (
	"time"

	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// BlockID identifies a block of a prompt's prefix that requests may share. It is a hash,
// short because nodes tell each other which blocks they have sent where.
type BlockID uint32

// Block is one block of a prompt's prefix, with its own number of tokens.
type Block struct {
	ID     BlockID
	Tokens units.Tokens
}

// Request is what Choose needs to know of a request.
type Request struct {
	// Blocks are the prompt's blocks in order; the last one is unique to the request.
	Blocks []Block
	Prompt units.Tokens
	Zone   units.ZoneID
	// Avoid lists servers at which this request has already failed.
	Avoid []units.VMID
	// Gate tells whether a server takes the request under the limit that it names. Nil lets it
	// go to any.
	Gate func(*server.Server) permit.Gate
	// Rest tells whether a server refuses requests and when it last did, nil if none does. With Try a server that is due
	// for a trial counts as free; without it only gets what no other takes.
	Rest func(*server.Server) (rest.State, time.Time)
	Try  bool
	// Version is the software version that the server must have, nil for any.
	Version *units.SoftwareVersion
	// Allow tells whether the request may go to a server, nil for any.
	Allow func(*server.Server) bool
	// Key differs from node to node, or from request to request. It decides between servers that are as good as each
	// other; with 0 the first of the list is chosen.
	Key uint64
	// Leave tells whether the request may leave its zone, and TargetLeft what is left of its target for the first token. Both are for
	// spilling between zones; without it, Leave is spill.Undecided.
	Leave      spill.Leave
	TargetLeft time.Duration
	// own is what the zone's own servers have cached of the prompt.
	own ownZone
	// EventGap is the target for the pauses of the answer, 0 if it is no stream.
	EventGap time.Duration
}

// Load is the work that one node has at a server.
type Load struct {
	// Running is the number of requests that were dispatched and have not ended.
	Running int `cbor:"1,keyasint,omitempty"`
	// PendingPrefill is the number of prompt tokens of requests without a first token.
	PendingPrefill units.Tokens `json:"Unread" cbor:"2,keyasint,omitempty"`
}

// Choice is a server with the predictions for the request there.
type Choice struct {
	Server server.Server
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Uncached is the number of prompt tokens that the server has to compute.
	Uncached units.Tokens
	// Usual is the time that the server usually takes to the first byte, besides that for the prompt.
	Usual time.Duration
	// SpareCapacity is set if under half of the slots of all servers are in use and few prompts wait.
	SpareCapacity bool
	// Held is the server that would have been chosen with a permit that can be asked for, nil if
	// there is none.
	Held *server.Server
}

const (
	// initialPrefillRate is assumed until responses give a better estimate; the users' data
	// sheets name 92 to 110 tokens per millisecond.
	initialPrefillRate units.TokensPerSecond = 80_000
	// rateWeight is the weight of one sample in the smoothed prefill rate.
	rateWeight = 0.1
	// minRateSample is the fewest uncached tokens from which a response gives a rate sample.
	minRateSample units.Tokens = 1500
	// baseLatency is part of each prediction: one decode step and the network round trip.
	baseLatency = 12 * time.Millisecond
	// fullBatchPenalty is added to the prediction for a full batch, in proportion for less.
	fullBatchPenalty = 40 * time.Millisecond
	// cacheMissWeight charges uncached tokens in addition to their own prefill time, since
	// they delay the requests behind this one.
	cacheMissWeight = 0.7
	// otherZonePenalty is the penalty for a server in another zone, to which traffic is
	// charged.
	otherZonePenalty = 3 * time.Millisecond
	// preferenceStepPenalty is the penalty for each rank of a preferred server after the
	// first, notPreferredPenalty that for all other servers.
	preferenceStepPenalty = 40 * time.Millisecond
	notPreferredPenalty   = 80 * time.Millisecond
	// maxSpreadPenalty is about what one running request adds at a server, which reports of other nodes
	// may lag behind.
	maxSpreadPenalty = time.Millisecond
	// maxSpareQueue is the time that servers need on average for the prompts that wait, from which on there is
	// no spare capacity: long prompts wait for each other while most slots are free.
	maxSpareQueue = 100 * time.Millisecond
	// errorPenalty is the penalty for a server all of whose responses are errors.
	errorPenalty = 2 * time.Second
	// errorWeight is the weight of one response in the smoothed error rate.
	errorWeight = 0.12
	// unresponsiveTimeout is the least time without any response to a request after which new
	// requests avoid the server. One that usually takes long has UsualFactor times its usual time.
	unresponsiveTimeout = 900 * time.Millisecond
	// UsualFactor is the ratio to a server's usual time to the first byte from which a response is late.
	UsualFactor = 2
	// usualWeight is the weight of one response in that time.
	usualWeight = 0.2
	// unresponsiveBackoff is how long an unresponsive server is avoided before it gets
	// requests again.
	unresponsiveBackoff = 2 * time.Second
	// peerReportTTL is how long a peer's report counts in a small fleet of nodes.
	peerReportTTL = 2 * time.Second
	// maxKnownBlocks bounds the blocks remembered for a server.
	maxKnownBlocks = 2048
	// blockAnnounceTime is how long peers are told of a block dispatched to a server. It
	// covers two exchanges.
	blockAnnounceTime = 700 * time.Millisecond
)

type serverState struct {
	server.Server
	ownLoad       Load
	peers         []peerLoad // One a node.
	blocks        map[BlockID]time.Time
	health        retry.Health
	errorRate     float64
	lastResponse  time.Time
	awaitingFirst map[Ticket]dispatch
	avoidUntil    time.Time
	// usual is the smoothed time until the server begins an answer, besides that which the prompt takes,
	// 0 before the first one.
	usual time.Duration
	pace  pace.Server
	// hash is that of the id.
	hash uint64
}

type peerLoad struct {
	node units.VMID
	Load
	at time.Time
}

type dispatch struct {
	at         time.Time
	uncached   units.Tokens
	queueEmpty bool
	// plain is set for requests without a prompt, and predicted is the time to the first token.
	plain     bool
	predicted time.Duration
}

// Ticket identifies one dispatch of a Fleet.
type Ticket uint64

// Fleet is the known state of the servers of one service.
type Fleet struct {
	prefillRate units.TokensPerSecond
	servers     []*serverState
	byID        map[units.VMID]*serverState
	// open and versions are the servers that don't drain, and the software versions of all.
	open       []units.VMID
	versions   []units.SoftwareVersion
	lastTicket Ticket
	// answered is set once any server has begun an answer.
	answered bool
	// peerCount is the number of peers that report.
	peerCount    int
	recentBlocks []sentBlock
	// loadedBy holds the servers at which each peer has reported load.
	loadedBy map[units.VMID][]units.VMID
	adaptive
}

// sentBlock is a block that this node has dispatched to a server.
type sentBlock struct {
	at     time.Time
	server units.VMID
	block  BlockID
}

// NewFleet returns a fleet without servers, with the initial prefill rate.
func NewFleet() *Fleet {
	return &Fleet{prefillRate: initialPrefillRate, byID: map[units.VMID]*serverState{}, loadedBy: map[units.VMID][]units.VMID{}}
}

// Choose picks the server with the lowest cost: the predicted time to the first token plus
// penalties. Servers that have not answered in time may just be slow, as long as no server of the service
// has answered at all: one is chosen if there is no other. ok is false if none is usable, or all usable ones are to be avoided or
// need a permit.
func (fl *Fleet) Choose(now time.Time, rq *Request) (ch Choice, ok bool) {
	preferred := fl.preferred(now, rq)
	// best is the best server that takes the request now, first the best one of all.
	var best, first candidate
	var spare capacity
	adapts, dr := fl.isAdaptive(), draw{}
	if adapts {
		dr.hash = fl.hash(rq)
	}
	for _, st := range fl.servers {
		usable := fl.usable(now, st)
		if !usable && !fl.mayBeSlow(now, st) {
			continue
		}
		if rq.Version != nil && st.Version != *rq.Version || !rq.allows(st) {
			continue
		}
		gate := rq.gate(st)
		if gate == permit.Closed {
			continue
		}
		state, refusedAt := rq.rest(st)
		if state == rest.Resting {
			continue
		}
		lo, queued := fl.totalLoad(now, st)
		if usable && gate == permit.Open && state < rest.Doubted {
			spare.add(st.Slots, lo.Running, queued)
		}
		if rq.avoids(st.ID) {
			continue
		}
		latency, uncached := fl.predict(now, st, lo, rq)
		score := latency + fl.prefillTime(uncached, cacheMissWeight) + time.Duration(st.errorRate*float64(errorPenalty))
		score += fl.zonePenalty(now, rq, st, latency, uncached)
		score += preferred.penalty(st) + rq.spreadPenalty(st.ID)
		ca := candidate{
			server: st, silent: !usable, state: state, refusedAt: refusedAt, score: score, penalty: score - latency,
			load: lo, queued: queued, uncached: uncached, latency: latency + fl.prefillTime(max(0, queued-lo.PendingPrefill), 1),
		}
		if ca.before(&first) {
			first = ca
		}
		if gate != permit.Open {
			continue
		}
		if ca.before(&best) {
			best = ca
		}
		if adapts {
			dr.add(&ca)
		}
	}
	ch = fl.choice(now, rq, &first, &best, &dr)
	ch.SpareCapacity = spare.isLeft() && fl.prefillTime(spare.meanQueue(), 1) < maxSpareQueue
	return ch, best.server != nil
}

// choice returns the choice of the best server that takes the request now, or of one that is drawn. first is the best of all.
func (fl *Fleet) choice(now time.Time, rq *Request, first, best *candidate, dr *draw) (ch Choice) {
	if first.server != best.server {
		sv := first.server.Server
		ch.Held = &sv
	}
	if best.server == nil {
		return ch
	}
	win := *best
	if fl.isAdaptive() {
		win = fl.contest(now, rq, win, dr)
	}
	ch.Server, ch.FirstToken, ch.Uncached, ch.Usual = win.server.Server, win.latency, win.uncached, win.server.usual
	return ch
}

// capacity adds up what is in use of the servers that take requests.
type capacity struct {
	servers, slots, inUse int
	queued                units.Tokens
}

func (ca *capacity) add(slots, inUse int, queued units.Tokens) {
	ca.servers++
	ca.slots += max(slots, 1)
	ca.inUse += inUse
	ca.queued += queued
}

// isLeft reports whether under half of the slots are in use.
func (ca *capacity) isLeft() bool { return ca.inUse*2 < ca.slots }

// meanQueue returns the prompt tokens that wait at a server on average.
func (ca *capacity) meanQueue() units.Tokens { return ca.queued / units.Tokens(max(ca.servers, 1)) }

// candidate is a server with its score, of which the lowest is best.
type candidate struct {
	server *serverState
	// silent is set if the server has not answered in time.
	silent bool
	state  rest.State
	// refusedAt is when the server last refused a request.
	refusedAt time.Time
	score     time.Duration
	// latency is the predicted time to the first token, and penalty the part of the score besides.
	latency, penalty time.Duration
	load             Load
	queued, uncached units.Tokens
	// measured and reported are predictions without and with what the server reports of itself, in adaptive services.
	measured, reported time.Duration
	// busy is the cost of the requests in progress there: for a request without a prompt that they are there, for a prompt that
	// it holds up their streams.
	busy time.Duration
}

// before reports whether a server is better than another one, which may be none.
func (ca *candidate) before(other *candidate) bool {
	switch {
	case other.server == nil:
		return true
	case ca.silent != other.silent:
		return other.silent
	case ca.state != other.state:
		return ca.state < other.state
	case ca.state == rest.Doubted && !ca.refusedAt.Equal(other.refusedAt):
		return ca.refusedAt.Before(other.refusedAt)
	}
	return ca.score < other.score
}

// rest returns whether the server refuses requests.
func (rq *Request) rest(st *serverState) (rest.State, time.Time) {
	if rq.Rest == nil {
		return rest.Free, time.Time{}
	}
	state, refusedAt := rq.Rest(&st.Server)
	switch {
	case state == rest.Due && rq.Try:
		return rest.Free, refusedAt
	case state == rest.Warned && len(rq.Avoid) > 0:
		return rest.Resting, refusedAt
	}
	return state, refusedAt
}

// gate returns whether the server takes the request under the limit that it names.
func (rq *Request) gate(st *serverState) permit.Gate {
	if rq.Gate == nil {
		return permit.Open
	}
	return rq.Gate(&st.Server)
}

// allows reports whether the request may go to a server.
func (rq *Request) allows(st *serverState) bool { return rq.Allow == nil || rq.Allow(&st.Server) }

// predict estimates the time to the first token at a server, and the number of prompt tokens
// that it has to compute.
func (fl *Fleet) predict(now time.Time, st *serverState, lo Load, rq *Request) (first time.Duration, uncached units.Tokens) {
	uncached = max(0, rq.Prompt-st.cached(rq.Blocks))
	return fl.usualFirst() + fl.prefillTime(lo.PendingPrefill+uncached, 1) + fl.batchPenalty(now, st, lo), uncached
}

// batchPenalty returns the part of a prediction for the requests in progress at a server, and for its start.
func (fl *Fleet) batchPenalty(now time.Time, st *serverState, lo Load) time.Duration {
	slots := max(st.Slots, 1)
	out := fullBatchPenalty * time.Duration(lo.Running) / time.Duration(slots)
	if over := lo.Running + 1 - slots; over > 0 {
		out += fullBatchPenalty * time.Duration(over)
	}
	if st.WarmupLeft > now.Sub(st.ReadAt) {
		out += fullBatchPenalty
	}
	return out
}

func (fl *Fleet) prefillTime(tokens units.Tokens, weight float64) time.Duration {
	return time.Duration(float64(tokens) / float64(fl.prefillRate) * weight * float64(time.Second))
}

// cached returns the number of leading prompt tokens that the server probably has in its KV
// cache.
func (st *serverState) cached(blocks []Block) units.Tokens {
	var total units.Tokens
	for _, bl := range blocks {
		if _, known := st.blocks[bl.ID]; !known {
			break
		}
		total += bl.Tokens
	}
	return total
}

func (rq *Request) avoids(id units.VMID) bool {
	for _, av := range rq.Avoid {
		if av == id {
			return true
		}
	}
	return false
}

// usable tells whether a server gets new requests.
func (fl *Fleet) usable(now time.Time, st *serverState) bool {
	if st.Draining {
		return false
	}
	if !st.health.Usable() && st.health.Probed(now, true) != retry.Returned {
		return false
	}
	return !fl.unresponsive(now, st)
}

// mayBeSlow tells whether a server that is not usable has done no more than to take long for the first
// answers of all.
func (fl *Fleet) mayBeSlow(now time.Time, st *serverState) bool {
	return !fl.answered && !st.Draining && st.health.Usable() && fl.unresponsive(now, st)
}

// responded records that a server has begun an answer.
func (fl *Fleet) responded(now time.Time, st *serverState) {
	fl.answered, st.lastResponse, st.avoidUntil = true, now, time.Time{}
}

// unresponsive tells whether a server is avoided because it has not responded in time. It
// starts the backoff of a server that has just exceeded the timeout.
func (fl *Fleet) unresponsive(now time.Time, st *serverState) bool {
	if now.Before(st.avoidUntil) {
		return true
	}
	for _, di := range st.awaitingFirst {
		timeout := max(unresponsiveTimeout, UsualFactor*st.usual) + fl.prefillTime(di.uncached, 2)
		if now.Sub(di.at) > timeout && st.lastResponse.Before(di.at) {
			st.avoidUntil = now.Add(unresponsiveBackoff)
			st.lastResponse = now
			return true
		}
	}
	return false
}
