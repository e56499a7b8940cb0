// Package crash finds the parts of prompts under which backend servers crash, so that requests with
// such a part are refused instead of being sent to one server after the other.
//
// A node sees only the requests that it lost itself, and when a server crashes it loses all that
// it had there. So nodes report to each other which requests they lost with which server, and
// which parts have completed since. From the same reports all nodes come to the same verdicts: a
// part is blocked once the crashes under it outnumber the completions with it, and no other part
// explains these crashes better.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package crash

import (
	"cmp"
	"slices"
	"time"

	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
)

// Loss is an attempt that ended with its server.
type Loss struct {
	// Request identifies the request.
	Request uint64
	At      time.Time
	// Parts are the parts of its prompt that other requests may have too, in order.
	Parts []place.BlockID
}

// MaxWriting is the longest time from the beginning of an answer to a crash that may be due to
// its request.
const MaxWriting = 2 * time.Second

const (
	// maxSound bounds the parts that are known to have been completed lately.
	maxSound = 4096
	// maxParts bounds the parts of a request that are kept.
	maxParts = 8
	// maxLosses bounds the requests kept for one crash, maxOpen the crashes that no verdict rests
	// on, and maxResting those that one does.
	maxLosses, maxOpen, maxResting = 64, 64, 8
	// maxVerdicts bounds the parts that are blocked.
	maxVerdicts = 32
	// maxCompletions bounds the completions kept for a part.
	maxCompletions = 16
	// soundTime is the time after a completion with a part in which losses with it don't count: a
	// part that most requests have would be in the report of each crash.
	soundTime = time.Second
	// memory is how long a crash counts that no verdict rests on, and longMemory how long a verdict
	// rests on it.
	memory, longMemory = 10 * time.Minute, time.Hour
	// reportTime is the time in which all nodes have reported what they lost in a crash.
	reportTime = 10 * time.Second
	// heardMargin is added to the time of a loss before an answer shows that the server lives on.
	// It covers the time that a report is under way.
	heardMargin = 300 * time.Millisecond
)

// Book holds what one node knows of crashes.
type Book struct {
	crashes   map[permit.Server]*record
	byPart    map[place.BlockID][]*record
	completed map[place.BlockID][]completion
	verdicts  map[place.BlockID]*verdict
	changes   []Change
	// crashedAt holds the times of all crashes as of the last judgement.
	crashedAt []time.Time
	// changed is set if something is new since the last judgement, at judgedAt, and unsettledUntil
	// is when the latest crash begins to count.
	changed                  bool
	judgedAt, unsettledUntil time.Time
	// lastCompletion numbers the completions at this node.
	lastCompletion uint32
	node           uint32
	// sound and soundBefore hold the parts that this node has completed requests with since
	// rotatedAt, and in the soundTime before.
	sound, soundBefore map[place.BlockID]struct{}
	rotatedAt          time.Time
	// spent is the number of bytes of reports that are not refilled yet, as of refilledAt.
	spent      int
	refilledAt time.Time
}

// record is what is known of one incarnation of a server.
type record struct {
	server permit.Server
	losses map[uint64]Loss
	// heardAt is the latest time at which the server is known to have served, and heardNews that of
	// the latest loss which it survived, zero if there is none.
	heardAt, heardNews time.Time
}

// completion is an attempt with a part that its server completed.
type completion struct {
	id uint64
	at time.Time
}

// NewBook returns a book without crashes. node is a number by which the completions at this
// node differ from those at others.
func NewBook(node uint32) *Book {
	return &Book{
		crashes: map[permit.Server]*record{}, byPart: map[place.BlockID][]*record{}, completed: map[place.BlockID][]completion{},
		verdicts: map[place.BlockID]*verdict{}, node: node, sound: map[place.BlockID]struct{}{},
	}
}

// Lost records an attempt that its server broke off.
func (bo *Book) Lost(now time.Time, sv permit.Server, lo Loss) {
	bo.rotate(now)
	lo.Parts = slices.DeleteFunc(sample(lo.Parts), func(id place.BlockID) bool {
		_, now := bo.sound[id]
		_, before := bo.soundBefore[id]
		return now || before
	})
	bo.add(now, sv, lo)
}

// rotate forgets which parts were completed longer ago than soundTime.
func (bo *Book) rotate(now time.Time) {
	age := now.Sub(bo.rotatedAt)
	if age < soundTime {
		return
	}
	bo.soundBefore = bo.sound
	if age > 2*soundTime {
		bo.soundBefore = nil
	}
	bo.sound, bo.rotatedAt = map[place.BlockID]struct{}{}, now
}

// sample returns the parts that are kept of a request. Of too many, different requests with the
// same part keep the same ones.
func sample(parts []place.BlockID) []place.BlockID {
	if len(parts) <= maxParts {
		return slices.Clone(parts)
	}
	out := slices.Clone(parts)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.Clone(out[:min(len(out), maxParts)])
}

func (bo *Book) record(sv permit.Server) *record {
	re := bo.crashes[sv]
	if re == nil {
		re = &record{server: sv, losses: map[uint64]Loss{}}
		bo.crashes[sv] = re
	}
	return re
}

func (bo *Book) add(now time.Time, sv permit.Server, lo Loss) {
	if len(lo.Parts) == 0 || now.Sub(lo.At) > longMemory {
		return
	}
	re := bo.record(sv)
	if _, known := re.losses[lo.Request]; known || len(re.losses) >= maxLosses || re.survived(lo.At) {
		return
	}
	re.losses[lo.Request] = lo
	bo.index(re, lo)
	bo.changed = true
	if at := lo.At.Add(settleTime + judgePeriod); at.After(bo.unsettledUntil) {
		bo.unsettledUntil = at
	}
}

// survived reports whether the server is known to have served after a loss.
func (re *record) survived(lostAt time.Time) bool { return re.heardAt.After(lostAt.Add(heardMargin)) }

// Heard records that a server served at a time. A server that goes on after it broke off a
// request has not crashed.
func (bo *Book) Heard(at time.Time, sv permit.Server) {
	re := bo.crashes[sv]
	if re == nil || !at.After(re.heardAt) {
		return
	}
	re.heardAt = at
	for id, lo := range re.losses {
		if re.survived(lo.At) {
			bo.unindex(re)
			delete(re.losses, id)
			re.heardNews, bo.changed = lo.At, true
		}
	}
	for _, lo := range re.losses {
		bo.index(re, lo)
	}
}

// Completed records that a server completed a request. Parts that no crash is under are left out.
func (bo *Book) Completed(now time.Time, parts []place.BlockID) {
	bo.rotate(now)
	for _, id := range parts {
		if len(bo.sound) < maxSound {
			bo.sound[id] = struct{}{}
		}
		if bo.byPart[id] == nil || bo.score(id, nil, now) == 0 {
			continue
		}
		bo.lastCompletion++
		bo.complete(now, id, completion{id: uint64(bo.node)<<32 | uint64(bo.lastCompletion), at: now})
	}
}

// complete adds a completion. Those are left out that find the score at zero, so that all nodes
// keep the same few.
func (bo *Book) complete(now time.Time, part place.BlockID, co completion) {
	list := bo.completed[part]
	if slices.ContainsFunc(list, func(have completion) bool { return have.id == co.id }) {
		return
	}
	list = append(list, co)
	slices.SortFunc(list, func(one, two completion) int {
		return cmp.Or(one.at.Compare(two.at), cmp.Compare(one.id, two.id))
	})
	list = bo.needed(bo.under(part, nil, now), list)
	bo.completed[part] = list[max(0, len(list)-maxCompletions):]
	bo.changed = true
}

// prune forgets what is too old or too much. Of the crashes that a verdict rests on, the latest
// are kept.
func (bo *Book) prune(now time.Time) {
	resting := map[*record]bool{}
	for id := range bo.verdicts {
		list := bo.under(id, nil, now)
		for _, ev := range list[max(0, len(list)-maxResting):] {
			resting[ev.record] = true
		}
	}
	var open []*record
	for _, re := range bo.crashes {
		age := now.Sub(re.latest())
		switch {
		case resting[re] && age <= longMemory:
		case age > memory || (age > reportTime && bo.explained(re)):
			bo.forget(re)
		default:
			open = append(open, re)
		}
	}
	slices.SortFunc(open, func(one, two *record) int { return two.latest().Compare(one.latest()) })
	for _, re := range open[min(len(open), maxOpen):] {
		bo.forget(re)
	}
}

func (bo *Book) forget(re *record) {
	bo.unindex(re)
	delete(bo.crashes, re.server)
}

// explained reports whether a request that was lost in a crash has a blocked part.
func (bo *Book) explained(re *record) bool {
	for _, lo := range re.losses {
		for _, id := range lo.Parts {
			if bo.verdicts[id] != nil {
				return true
			}
		}
	}
	return false
}

// latest returns the time of the latest loss, or that at which the server is known to have served.
func (re *record) latest() time.Time {
	at := re.heardAt
	for _, lo := range re.losses {
		if lo.At.After(at) {
			at = lo.At
		}
	}
	return at
}

// first returns the time of the first loss, zero if there is none.
func (re *record) first() time.Time {
	var at time.Time
	for _, lo := range re.losses {
		if at.IsZero() || lo.At.Before(at) {
			at = lo.At
		}
	}
	return at
}

// index enters a loss in byPart.
func (bo *Book) index(re *record, lo Loss) {
	for _, id := range lo.Parts {
		if !slices.Contains(bo.byPart[id], re) {
			bo.byPart[id] = append(bo.byPart[id], re)
		}
	}
}

// unindex removes a record from byPart, and forgets the completions with parts that no crash is
// under any more.
func (bo *Book) unindex(re *record) {
	for _, lo := range re.losses {
		for _, id := range lo.Parts {
			list := slices.DeleteFunc(bo.byPart[id], func(have *record) bool { return have == re })
			if bo.byPart[id] = list; len(list) == 0 {
				delete(bo.byPart, id)
				delete(bo.completed, id)
			}
		}
	}
}
