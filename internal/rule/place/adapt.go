package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/units"
)

const (
	// minShare is the share of the requests of a server that it keeps whatever it reports of itself, as 1 in so many.
	minShare = 10
	// stallShare is the part of a pause target that prompts may take between two events of a stream.
	stallShare = 0.75
	// maxStallCost is what the cost of a prompt for streams approaches, so that it doesn't outweigh a queue of a quarter of
	// a second, and the server with fewer streams is still the better one.
	maxStallCost = 250 * time.Millisecond
	// gapExpiry is how long the pause target of a stream counts after its dispatch, gapWeight the weight of a dispatch in
	// the share of streams.
	gapExpiry = 10 * time.Second
	gapWeight = 1.0 / 64
	// sampleExpiry is how long after a better sample usual times are not taken from others: from long prompts, whose own time is
	// less certain, and from servers that report another pace than the usual one.
	sampleExpiry = 5 * time.Second
	// minGain is the least gain by measured times for which a prompt leaves the server that is best by load and cached prefixes:
	// smaller differences are noise, and would spread prefixes over servers and zones.
	minGain = 20 * time.Millisecond
	// maxRateRatio bounds one sample of the prefill rate, as a ratio to the rate so far.
	maxRateRatio = 4
)

// adaptive is what a fleet learns of a service whose servers differ in speed. It is used if the configuration is
// contended or the servers report their pace.
type adaptive struct {
	contended, paced bool
	// first is the usual time to the first token besides that for the prompt, answer that to the answer of a request
	// without a prompt.
	first, answer pace.Time
	// smallAt is when the first token of a short prompt last came, usualAt when an answer of a server at its usual pace did.
	smallAt, usualAt time.Time
	errors           pace.Errors
	waits            pace.Waits
	gaps             gaps
}

// gaps is the pause target of the streams of a service.
type gaps struct {
	// target is the smallest one of late, last seen at seenAt, and share the part of the requests that have any.
	target time.Duration
	seenAt time.Time
	share  float64
}

func (ga *gaps) add(now time.Time, target time.Duration) {
	ga.share -= ga.share * gapWeight
	if target <= 0 {
		return
	}
	ga.share += gapWeight
	if ga.target == 0 || target <= ga.target || now.Sub(ga.seenAt) > gapExpiry {
		ga.target, ga.seenAt = target, now
	}
}

// SetContended sets whether the configuration is contended, so that what is measured of the servers is used.
func (fl *Fleet) SetContended(contended bool) {
	fl.beginAdaptive(contended)
	fl.contended = contended
}

// beginAdaptive prepares for the first use of what is measured. The prefill rate so far includes all of the usual time.
func (fl *Fleet) beginAdaptive(begins bool) {
	if begins && !fl.isAdaptive() {
		fl.prefillRate = initialPrefillRate
	}
}

// isAdaptive reports whether what is measured and reported of the servers is used.
func (fl *Fleet) isAdaptive() bool { return fl.contended || fl.paced }

// Paced reports whether a server of the service has reported its pace.
func (fl *Fleet) Paced() bool { return fl.paced }

// PredictionError returns the mean difference between the predicted and the measured time to the first token, 0 if the
// service is not adaptive.
func (fl *Fleet) PredictionError() time.Duration {
	if !fl.isAdaptive() {
		return 0
	}
	return fl.errors.Mean()
}

// UsualTimes returns the usual time to the first token besides that for the prompt, and that to an answer without a prompt,
// 0 if they are not known.
func (fl *Fleet) UsualTimes() (first, answer time.Duration) {
	return fl.first.Usual(), fl.answer.Usual()
}

func (fl *Fleet) setPaced(lo *pace.Load) {
	if lo.Pace != 0 {
		fl.beginAdaptive(true)
		fl.paced = true
	}
}

// SetLoad records what a server reports of itself in an answer to this node.
func (fl *Fleet) SetLoad(now time.Time, sv notice.Server, lo pace.Load) {
	st := fl.byID[sv.ID]
	if st == nil || st.StartUnixMS != sv.StartUnixMS {
		return
	}
	if fl.setPaced(&lo); fl.isAdaptive() {
		st.pace.SetLoad(now, lo)
	}
}

// Observations appends this node's own observations of the servers, for its peers.
func (fl *Fleet) Observations(now time.Time, out []pace.Observation) []pace.Observation {
	if !fl.isAdaptive() {
		return out
	}
	for _, st := range fl.servers {
		if ob, ok := st.pace.Observation(now); ok {
			ob.Server = notice.Server{ID: st.ID, StartUnixMS: st.StartUnixMS}
			out = append(out, ob)
		}
	}
	return out
}

// MergeObservations records what a peer has observed of the servers, as of a time.
func (fl *Fleet) MergeObservations(asOf time.Time, list []pace.Observation) {
	for idx := range list {
		ob := &list[idx]
		st := fl.byID[ob.ID]
		if st == nil || st.StartUnixMS != ob.StartUnixMS {
			continue
		}
		if ob.LoadAge < pace.Expiry && ob.Check() == nil {
			fl.setPaced(&ob.Load)
		}
		if fl.isAdaptive() {
			st.pace.Merge(asOf, ob)
		}
	}
}

// usualFirst returns the usual time to the first token, besides that for the prompt.
func (fl *Fleet) usualFirst() time.Duration {
	if usual := fl.first.Usual(); usual > 0 && fl.isAdaptive() {
		return usual
	}
	return baseLatency
}

// learn takes the samples of an answer that has begun. Usual times and ratios are taken while the server reports its usual
// pace, if any does: a server must not make itself look fast, or others slow, by a false pace.
func (fl *Fleet) learn(now time.Time, st *serverState, di *dispatch) {
	took := now.Sub(di.at)
	fl.errors.Add(di.predicted, took)
	isUsual := st.pace.IsUsual(now)
	if isUsual {
		fl.usualAt = now
	}
	isSample := isUsual || now.Sub(fl.usualAt) > sampleExpiry
	if di.plain {
		if isSample {
			fl.learnAnswer(now, st, took)
		}
		return
	}
	if usual := fl.first.Usual(); usual > 0 {
		wait := took - scale(usual+fl.prefillTime(di.uncached, 1), st.pace.Ratio())
		st.pace.SetWait(di.at, wait)
		fl.waits.Add(now, wait)
	}
	if isSample && di.queueEmpty {
		fl.learnFirst(now, st, di.uncached, took)
	}
}

// learnAnswer takes the samples of an answer without a prompt.
func (fl *Fleet) learnAnswer(now time.Time, st *serverState, took time.Duration) {
	if usual := fl.answer.Usual(); usual > 0 && took <= pace.MaxRatio*usual {
		st.pace.AddRatio(float64(took) / float64(usual))
	}
	fl.answer.Add(now, took)
}

// learnFirst takes the samples of the first token of a prompt that has found no queue which this node knew of.
func (fl *Fleet) learnFirst(now time.Time, st *serverState, uncached units.Tokens, took time.Duration) {
	prompt, usual := fl.prefillTime(uncached, 1), fl.first.Usual()
	// While requests wait, here or everywhere, the time that they take tells nothing of a server.
	if usual > 0 && fl.waits.Median(now) <= (usual+prompt)/4 && took <= pace.MaxRatio*(usual+prompt) {
		st.pace.AddRatio(float64(took) / float64(usual+prompt))
		// The ratio of the server, which follows from the rate, is left out: the two would drift together.
		fl.learnRate(uncached, took-usual)
	}
	if uncached < minRateSample {
		fl.smallAt = now
	}
	if now.Sub(fl.smallAt) < sampleExpiry && uncached >= minRateSample {
		return
	}
	fl.first.Add(now, took-prompt)
}

// learnRate takes a sample of the prefill rate from the time that a prompt alone has taken.
func (fl *Fleet) learnRate(uncached units.Tokens, took time.Duration) {
	if uncached < minRateSample || took <= 0 {
		return
	}
	have := float64(fl.prefillRate)
	sample := bound.Clamp(float64(uncached)/took.Seconds(), have/maxRateRatio, have*maxRateRatio)
	fl.prefillRate = units.TokensPerSecond(have*(1-rateWeight) + sample*rateWeight)
}

func scale(du time.Duration, by float64) time.Duration { return time.Duration(float64(du) * by) }

// stallCost returns the cost of a prompt for the streams in progress at a server: each is held up for the part of the
// prompt beyond what its pause target leaves, besides the prompts that already wait.
func (fl *Fleet) stallCost(lo Load, queued, uncached units.Tokens) time.Duration {
	ga := &fl.gaps
	if ga.target == 0 || uncached == 0 || lo.Running == 0 {
		return 0
	}
	limit, queue := scale(ga.target, stallShare), fl.prefillTime(queued, 1)
	beyond := max(0, queue+fl.prefillTime(uncached, 1)-limit) - max(0, queue-limit)
	cost := scale(beyond, ga.share*float64(lo.Running))
	return scale(maxStallCost, float64(cost)/float64(cost+maxStallCost))
}

// isPlain reports whether a request has no prompt.
func (rq *Request) isPlain() bool { return rq.Prompt == 0 && len(rq.Blocks) == 0 }

// hash returns a hash of the request: the last block of a prompt is its own.
func (fl *Fleet) hash(rq *Request) uint64 {
	key := rq.Key
	if len(rq.Blocks) > 0 {
		key += uint64(rq.Blocks[len(rq.Blocks)-1].ID) << 20
	}
	if key == 0 {
		key = uint64(fl.lastTicket) + 1
	}
	return mix(key)
}

// mix spreads the bits of a key, by the finalizer of splitmix64.
func mix(key uint64) uint64 {
	key = (key ^ key>>30) * 0xbf58476d1ce4e5b9
	key = (key ^ key>>27) * 0x94d049bb133111eb
	return key ^ key>>31
}

func hashID(id units.VMID) uint64 { return xxhash.Sum64String(string(id)) }

// maxDrawn is the number of servers that are drawn for a request.
const maxDrawn = 3

// draw holds the servers that are drawn for a request by its hash, first drawn first, so that nodes with the same stale
// figures choose different servers.
type draw struct {
	hash  uint64
	count int
	ranks [maxDrawn]uint64
	list  [maxDrawn]candidate
}

// add adds a server if its rank is among the highest of those that can take the request equally well.
func (dr *draw) add(ca *candidate) {
	rank := mix(dr.hash ^ ca.server.hash)
	if dr.count > 0 && !ca.isLike(&dr.list[0]) {
		if !ca.before(&dr.list[0]) {
			return
		}
		dr.count = 0
	}
	pos := dr.count
	for pos > 0 && dr.ranks[pos-1] < rank {
		pos--
	}
	if pos == maxDrawn {
		return
	}
	dr.count = min(dr.count+1, maxDrawn)
	copy(dr.list[pos+1:dr.count], dr.list[pos:])
	copy(dr.ranks[pos+1:dr.count], dr.ranks[pos:])
	dr.list[pos], dr.ranks[pos] = *ca, rank
}

// isLike reports whether two servers differ only in their scores.
func (ca *candidate) isLike(other *candidate) bool {
	return ca.silent == other.silent && ca.state == other.state && (ca.state != rest.Doubted || ca.refusedAt.Equal(other.refusedAt))
}

// cost returns the score of a server with a prediction.
func (ca *candidate) cost(prediction time.Duration) time.Duration {
	return prediction + ca.penalty + ca.busy
}

// contest returns the server for a request among the best one by load and those that are drawn. Measured times decide first;
// what servers report of themselves then decides only between the result and one drawn server, and not for one request in
// minShare. A server that reports false figures thus loses at most nine tenths of its requests, and gains at most those for
// which it is drawn, which is its equal share.
func (fl *Fleet) contest(now time.Time, rq *Request, best candidate, dr *draw) candidate {
	drawn := dr.list[:dr.count]
	if len(drawn) == 0 || !best.isLike(&drawn[0]) {
		fl.estimate(now, rq, &best)
		best.latency = best.reported
		return best
	}
	for idx := range drawn {
		fl.estimate(now, rq, &drawn[idx])
	}
	fl.estimate(now, rq, &best)
	win, others := &best, drawn
	if rq.isPlain() {
		// Without caches there is nothing to keep to. The others that are drawn are left for the second step.
		if others = drawn[min(1, len(drawn)-1):]; drawn[0].cost(drawn[0].measured) <= best.cost(best.measured) {
			win = &drawn[0]
		}
	} else {
		for idx := range drawn {
			gain := win.cost(win.measured) - drawn[idx].cost(drawn[idx].measured)
			if gain > minGain || gain > 0 && win != &best {
				win = &drawn[idx]
			}
		}
	}
	other := &others[0]
	if other.server == win.server { // The next one drawn, or the first.
		other = &drawn[(dr.count-len(others)+1)%dr.count]
	}
	skips := mix(dr.hash)%minShare == 0
	win.latency = win.reported
	switch {
	case skips && (other.server == win.server || other.cost(other.reported) < win.cost(win.reported)):
		// Also at the only server, so that its figures don't get all requests rejected.
		win.latency = win.measured
	case other.server == win.server || other.cost(other.reported) >= win.cost(win.reported):
	default:
		win = other
		win.latency = win.reported
	}
	return *win
}

// estimate predicts the time to the first token at a server: by what nodes have measured, and also by what the server
// reports of itself.
func (fl *Fleet) estimate(now time.Time, rq *Request, ca *candidate) {
	st, slots := ca.server, max(ca.server.Slots, 1)
	over, ratio, factor := max(0, ca.load.Running+1-slots), st.pace.Ratio(), st.pace.Factor(now)
	if rq.isPlain() {
		usual := fl.answer.Usual()
		if usual == 0 {
			usual = baseLatency
		}
		queue := 1 + float64(over)/float64(slots)
		ca.busy = fullBatchPenalty * time.Duration(ca.load.Running) / time.Duration(slots) // No part of the prediction.
		ca.measured = scale(usual, ratio*queue)
		ca.reported = scale(usual, ratio*factor*max(queue, st.pace.QueueFactor(now)))
		return
	}
	ca.busy = fl.stallCost(ca.load, ca.queued, ca.uncached)
	batch := fl.batchPenalty(now, st, ca.load)
	work := scale(fl.usualFirst()+fl.prefillTime(ca.uncached, 1), ratio)
	queue, wait := fl.prefillTime(ca.queued, 1), max(st.pace.Wait(now, fl.waits.Median(now)), fl.overdue(now, st))
	ca.measured = work + max(queue, wait) + batch
	ca.reported = scale(work, factor) + max(scale(queue, factor), wait) + batch // A measured wait includes the pace.
}

// overdue returns what is expected to be left of the longest wait of this node's own requests at a server that have no first
// token yet: half of what they have waited so far.
func (fl *Fleet) overdue(now time.Time, st *serverState) (out time.Duration) {
	for _, di := range st.awaitingFirst {
		out = max(out, (now.Sub(di.at)-scale(fl.usualFirst()+fl.prefillTime(di.uncached, 1), st.pace.Ratio()))/2)
	}
	return out
}
