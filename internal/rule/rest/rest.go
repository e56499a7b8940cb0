// Package rest keeps requests away from backend servers that refuse them.
//
// A server that turns a request away without executing it may name a time for which it wants nothing
// from this node. Until then it gets nothing. One that names no time is avoided for a backoff, while
// other servers can take the request: a server that refuses runs nothing, so that it would look the
// least loaded of all. After either time one request tries the server, and the others follow once it
// was not refused.
//
// A request that is given up on before its answer tells neither that the server refuses nor that it is
// well: a trial that ends so is followed by another one after a backoff. A server all of whose
// requests have ended so for a while is avoided like one that refuses and names no time.
//
// A server asks each node by itself, and may serve the others. They hear of it for a short time and avoid
// it as one that names no time, so that not each of hundreds of nodes has to be refused first.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package rest

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lycheepick/internal/rule/notice"
)

// State tells whether a server gets a request.
type State int

// The states, from the one that is preferred.
const (
	// Free servers have answered, and not refused, the latest request.
	Free State = iota
	// Due servers may be tried by one request.
	Due
	// Doubted servers have refused a request and named no time, have not answered for a while, or are
	// being tried. They get requests that no other server takes.
	Doubted
	// Warned servers have asked another node for a rest, and not this one. They get requests that no
	// other server takes, but no repeats.
	Warned
	// Resting servers get none: they have named a time, or are being tried after it.
	Resting
)

const (
	// MaxRest bounds the time that a server can ask for. It ends with the server's incarnation, or after
	// maxUnknownRest if the server doesn't state its start, since the next one with its id can't be told
	// from it.
	MaxRest        = 24 * time.Hour
	maxUnknownRest = 2 * time.Minute
	// forgetTime is how long servers are remembered that are sent nothing, and unlistedTime how long
	// those in a rest are that are not in the list of servers.
	forgetTime   = 2 * time.Minute
	unlistedTime = time.Hour
	// minBackoff is that after the first refusal without a time; it doubles with each trial that is
	// refused, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// TrialTime is the least time within which a server would have refused a trial. A server that takes
	// longer to refuse has twice the time that its latest refusal took, at most maxTrialTime.
	TrialTime    = 250 * time.Millisecond
	maxTrialTime = 2 * time.Second
	// silentTime is the time after which a server counts as silent whose requests are all given up on.
	silentTime = 900 * time.Millisecond
	// maxSpread bounds the time by which nodes that heard the same answer at once differ in when they
	// try the server, and spreadShare is its share of the time of rest.
	maxSpread   = 300 * time.Millisecond
	spreadShare = 8
	// toldTime bounds the time for which nodes avoid a server that has asked another one for a rest,
	// and toldBackoff is that for one which has refused another node more than once.
	toldTime    = 3 * time.Second
	toldBackoff = time.Second
	// returnSpread is the time over which the callers come back that were refused in a rest.
	returnSpread = 300 * time.Millisecond
	// returnWindow bounds the time after the end of the first rest at which they are asked to come back.
	returnWindow = time.Second
)

// record is a server that has refused requests, or answered none, since it last answered otherwise.
type record struct {
	// refusedAt is when the latest refusal came that set the times, zero for none, and until the end of
	// the backoff.
	refusedAt, until time.Time
	backoff          time.Duration
	// named is set if the latest refusal named a time, spread is what is added to it, and took is the time
	// from that request to the refusal.
	named        bool
	spread, took time.Duration
	// triedAt is when the trial in progress was sent, zero if there is none.
	triedAt time.Time
	// silentSince is when the first request was sent that was given up on.
	silentSince time.Time
}

// trialTime returns the time within which the server would have refused a trial.
func (rc *record) trialTime() time.Duration { return min(max(TrialTime, 2*rc.took), maxTrialTime) }

// isTried reports whether a trial is in progress that the server may still refuse.
func (rc *record) isTried(now time.Time) bool {
	return !rc.triedAt.IsZero() && now.Sub(rc.triedAt) < rc.trialTime()
}

// Book holds the servers that refuse requests of one node.
type Book struct {
	rnd   *rand.Rand
	rests *notice.Table[notice.Rest]
	// told holds what all nodes have heard of servers that refuse.
	told    *notice.Table[notice.Rest]
	refused map[notice.Server]*record
}

// NewBook returns a book without refusals. Nodes have different seeds.
func NewBook(seed uint64) *Book {
	return &Book{rnd: rand.New(rand.NewPCG(seed, 0)), rests: notice.NewRests(), told: notice.NewRests(), refused: map[notice.Server]*record{}}
}

// Refused records that a server turned away a request sent at sentAt, and the time that it named, 0 for
// none. It returns true if that is news: refusals of requests that were sent before the latest one was
// heard, and name no longer time, are not.
func (bo *Book) Refused(now, sentAt time.Time, sv notice.Server, rest time.Duration) bool {
	rc := bo.refused[sv]
	if rc == nil {
		rc = &record{}
		bo.refused[sv] = rc
	}
	longer := rest > 0 && bo.rests.Observe(now, now, sv, notice.Rest{For: min(rest, longest(sv)), Named: true})
	if longer {
		rc.named = true
		bo.told.Observe(now, now, sv, notice.Rest{For: min(rest, toldTime), Named: true})
		rc.spread = time.Duration(bo.rnd.Int64N(int64(min(rest/spreadShare, maxSpread)) + 1))
	}
	if !rc.refusedAt.IsZero() && sentAt.Before(rc.refusedAt) {
		return longer
	}
	if rc.backoff > 0 { // The server has refused a trial, too.
		bo.told.Observe(now, now, sv, notice.Rest{For: toldBackoff})
	}
	rc.backoff = min(max(minBackoff, 2*rc.backoff), maxBackoff)
	rc.named, rc.took = rest > 0, now.Sub(sentAt)
	rc.refusedAt, rc.until, rc.triedAt = now, now.Add(rc.backoff), time.Time{}
	if rc.named {
		rc.until = now
	}
	return true
}

// longest returns the longest time that a server can ask for.
func longest(sv notice.Server) time.Duration {
	if sv.StartUnixMS == 0 {
		return maxUnknownRest
	}
	return MaxRest
}

// GaveUp records that a request sent at sentAt ended before the server had answered it. That tells
// nothing of the server, so that a trial has to be followed by another one.
func (bo *Book) GaveUp(now, sentAt time.Time, sv notice.Server) {
	rc := bo.refused[sv]
	if rc == nil {
		bo.refused[sv] = &record{silentSince: sentAt}
		return
	}
	if rc.triedAt.IsZero() || !rc.triedAt.Equal(sentAt) {
		return
	}
	rc.backoff = min(max(TrialTime, 2*rc.backoff), maxBackoff)
	rc.until, rc.triedAt = now.Add(rc.backoff), time.Time{}
}

// Forgive forgets the servers that have refused nothing, since it was not theirs that they gave no answers.
func (bo *Book) Forgive() {
	maps.DeleteFunc(bo.refused, func(_ notice.Server, rc *record) bool { return rc.refusedAt.IsZero() })
}

// Answered records that a server did not turn away a request sent at sentAt. The answer to a request
// from before the latest refusal tells nothing.
func (bo *Book) Answered(now, sentAt time.Time, sv notice.Server) {
	rc := bo.refused[sv]
	if rc != nil && !sentAt.Before(rc.refusedAt) && bo.Left(now, sv) <= 0 {
		delete(bo.refused, sv)
	}
}

// State returns whether a server gets a request now, and when it last refused one, the zero time for
// never. Of Doubted servers the one that did so first is the most likely to have recovered.
func (bo *Book) State(now time.Time, sv notice.Server) (State, time.Time) {
	if rc := bo.refused[sv]; rc != nil {
		if st := bo.state(now, sv, rc); st != Free || !rc.refusedAt.IsZero() {
			return st, rc.refusedAt
		}
	}
	// Without a time, since all nodes would prefer the same server by its age.
	told := bo.told.Get(sv)
	switch {
	case bo.told.Age(now, sv) >= told.For:
		return Free, time.Time{}
	case told.Named:
		return Warned, time.Time{}
	}
	return Doubted, time.Time{}
}

func (bo *Book) state(now time.Time, sv notice.Server, rc *record) State {
	switch {
	case bo.Left(now, sv) > 0:
		return Resting
	case !rc.triedAt.IsZero() && !rc.isTried(now):
		return Free
	case rc.refusedAt.IsZero() && now.Sub(rc.silentSince) < silentTime:
		return Free
	case rc.triedAt.IsZero() && !now.Before(rc.until):
		return Due
	case rc.named:
		return Resting
	}
	return Doubted
}

// Merge records what a peer has heard, as of a time.
func (bo *Book) Merge(now, asOf time.Time, list []notice.Heard[notice.Rest]) {
	for idx := range list {
		list[idx].Value.For = min(list[idx].Value.For, toldTime)
	}
	bo.told.Merge(now, asOf, list)
}

// Heard returns what to report to a peer. It forgets what has ended.
func (bo *Book) Heard(now time.Time) []notice.Heard[notice.Rest] {
	bo.told.Retain(now, func(notice.Server) bool { return true })
	return bo.told.Heard(now)
}

// Empty reports whether no server has refused a request of any node lately.
func (bo *Book) Empty() bool { return len(bo.refused) == 0 && bo.told.Len() == 0 }

// Left returns for how much longer a server wants nothing, at most 0 for not at all.
func (bo *Book) Left(now time.Time, sv notice.Server) time.Duration {
	val := bo.rests.Get(sv)
	if val.For == 0 {
		return 0
	}
	left := val.For - bo.rests.Age(now, sv)
	if rc := bo.refused[sv]; rc != nil {
		left += rc.spread
	}
	return left
}

// RetryAfter returns when a request may come back that none of these servers takes, 0 if one of them
// has not refused any lately. That is when a quarter of the rests are over, since one server alone can't take
// all callers that come back.
func (bo *Book) RetryAfter(now time.Time, list []notice.Server) time.Duration {
	lefts := make([]time.Duration, 0, len(list))
	for _, sv := range list {
		left := max(bo.Left(now, sv), bo.told.Get(sv).For-bo.told.Age(now, sv))
		if rc := bo.refused[sv]; rc != nil && rc.named {
			left = max(left, rc.until.Sub(now), rc.triedAt.Add(rc.trialTime()).Sub(now))
		}
		if left <= 0 {
			return 0
		}
		lefts = append(lefts, left)
	}
	if len(lefts) == 0 {
		return 0
	}
	slices.Sort(lefts)
	back := lefts[len(lefts)/4]
	return min(back, lefts[0]+returnWindow) + time.Duration(bo.rnd.Int64N(int64(returnSpread)))
}

// Sent records that a request is sent to a server. It returns true if it is a trial.
func (bo *Book) Sent(now time.Time, sv notice.Server) bool {
	rc := bo.refused[sv]
	if rc == nil || bo.state(now, sv, rc) != Due {
		return false
	}
	rc.triedAt = now
	return true
}

// NotSent records that a trial of a server didn't reach it.
func (bo *Book) NotSent(sv notice.Server) {
	if rc := bo.refused[sv]; rc != nil {
		rc.triedAt = time.Time{}
	}
}

// Trying reports whether a server that has named a time is being tried.
func (bo *Book) Trying(now time.Time, sv notice.Server) bool {
	rc := bo.refused[sv]
	return rc != nil && !rc.refusedAt.IsZero() && bo.Left(now, sv) <= 0 && rc.isTried(now)
}

// Retain forgets the refusals of servers that are not listed, or that have been sent nothing for long.
func (bo *Book) Retain(now time.Time, listed func(notice.Server) bool) {
	for sv, rc := range bo.refused {
		since, rests := now.Sub(later(rc.refusedAt, rc.silentSince)), bo.Left(now, sv) > 0
		if !listed(sv) && (!rests || since > unlistedTime) || !rests && since > forgetTime {
			delete(bo.refused, sv)
		}
	}
	bo.told.Retain(now, listed)
	bo.rests.Retain(now, func(sv notice.Server) bool { return bo.refused[sv] != nil })
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
