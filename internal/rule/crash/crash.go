// Package crash finds the requests, and the parts of prompts, under which backend servers crash, so
// that such requests are refused instead of being sent to one server after the other.
//
// A node sees only the requests that it lost itself, and when a server crashes it loses all that
// it had there. So nodes report to each other which requests they lost with which server, and
// what has completed since. From the same reports all nodes come to the same verdicts: a key, which
// is a request that comes again or a part, is blocked once the crashes under it outnumber the
// completions with it, and no other key explains these crashes better.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package crash

import (
	"cmp"
	"slices"
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/place"
)

// Key is what requests may have in common: a part of their prompts, or all of them if it is one
// request that comes again.
type Key uint64

// requestBit tells requests from parts.
const requestBit Key = 1 << 63

// PartKey returns the key of a part of a prompt.
func PartKey(id place.BlockID) Key { return Key(id) }

// RequestKey returns the key of a request by the hash of its caller, path and body.
func RequestKey(content uint64) Key { return Key(content) | requestBit }

// IsRequest reports whether the key is that of a request.
func (ke Key) IsRequest() bool { return ke&requestBit != 0 }

// Keys returns the keys of a request with this content and these parts.
func Keys(content uint64, parts []place.BlockID) []Key {
	out := make([]Key, 0, len(parts)+1)
	for _, id := range parts {
		out = append(out, PartKey(id))
	}
	if content != 0 {
		out = append(out, RequestKey(content))
	}
	return out
}

// Loss is an attempt that ended with its server.
type Loss struct {
	// Request identifies the attempt of the caller, and Content is the hash of its caller, path and
	// body, 0 if that doesn't count.
	Request uint32
	Content uint64
	At      time.Time
	// Parts are the parts of its prompt that other requests may have too, in order.
	Parts []place.BlockID
}

// MaxWriting is the longest time from the beginning of an answer to a crash that may be due to
// its request.
const MaxWriting = 2 * time.Second

const (
	// maxSound bounds the keys that are known to have been completed lately.
	maxSound = 4096
	// maxParts bounds the parts of a request that are kept.
	maxParts = 8
	// maxLosses bounds the requests kept for one crash, maxOpen the crashes that support no verdict,
	// and maxSupporting those that support one.
	maxLosses, maxOpen, maxSupporting = 64, 64, 8
	// maxVerdicts bounds the keys that are blocked, and maxSuspects those that are judged.
	maxVerdicts, maxSuspects = 16, 48
	// maxCompletions bounds the completions kept for a key.
	maxCompletions = 16
	// soundTime is the time after a completion with a part in which losses with it don't count: a
	// part that most requests have would be in the report of each crash.
	soundTime = time.Second
	// memory is how long a crash counts that supports no verdict, longMemory how long one counts that
	// does.
	memory, longMemory = 10 * time.Minute, time.Hour
	// reportTime is the time in which all nodes have reported what they lost in a crash.
	reportTime = 10 * time.Second
	// heardMargin is added to the time of a loss before an answer shows that the server lives on.
	// It covers the time that a report is under way.
	heardMargin = 300 * time.Millisecond
)

// Book holds what one node knows of crashes.
type Book struct {
	crashes   map[notice.Server]*record
	byKey     map[Key][]*record
	completed map[Key][]completion
	verdicts  map[Key]*verdict
	changes   []Change
	// crashedAt holds the times of all crashes as of the last judgement, in order.
	crashedAt []time.Time
	// atRisk holds the suspects that are close to being blocked as of the last judgement.
	atRisk []Key
	// changed is set if something is new since the last judgement, at judgedAt, and unsettledUntil
	// is when the latest crash begins to count.
	changed                  bool
	judgedAt, unsettledUntil time.Time
	// pause is the time to the next judgement.
	pause time.Duration
	// lastCompletion numbers the completions at this node.
	lastCompletion uint32
	node           uint32
	// sound and soundBefore hold the keys that this node has completed requests with since
	// rotatedAt, and in the soundTime before, with the times.
	sound, soundBefore map[Key]time.Time
	rotatedAt          time.Time
	// spent is the number of bytes of reports that are not refilled yet, as of refilledAt.
	spent      int
	refilledAt time.Time
	// heardFromPeersAt is the time of the latest report of a peer, and inTouchSince that of the first one
	// after a gap. Both are zero before.
	heardFromPeersAt, inTouchSince time.Time
	// lastSalt is that of the latest summary.
	lastSalt uint32
}

// record is what is known of one incarnation of a server.
type record struct {
	server notice.Server
	losses map[uint32]Loss
	// byKey holds the requests that were lost with a key.
	byKey map[Key][]uint32
	// heardAt is the latest time at which the server is known to have served, and heardNews that of
	// the latest loss which it survived, zero if there is none.
	heardAt, heardNews time.Time
}

// completion is an attempt with a key that its server completed.
type completion struct {
	id uint64
	at time.Time
}

// NewBook returns a book without crashes. node is a number by which the completions at this
// node differ from those at others.
func NewBook(node uint32) *Book {
	return &Book{
		crashes: map[notice.Server]*record{}, byKey: map[Key][]*record{}, completed: map[Key][]completion{},
		verdicts: map[Key]*verdict{}, node: node, sound: map[Key]time.Time{},
	}
}

// Lost records an attempt that its server broke off.
func (bo *Book) Lost(now time.Time, sv notice.Server, lo Loss) {
	bo.rotate(now)
	lo.Parts = slices.DeleteFunc(sample(lo.Parts), func(id place.BlockID) bool { return bo.isSound(PartKey(id)) })
	if bo.isSound(RequestKey(lo.Content)) {
		lo.Content = 0
	}
	bo.add(now, sv, lo)
}

// isSound reports whether this node has completed a request with a key lately.
func (bo *Book) isSound(ke Key) bool {
	return !bo.soundAt(ke).IsZero()
}

// soundAt returns when this node lately completed a request with a key, zero if it didn't.
func (bo *Book) soundAt(ke Key) time.Time {
	if at, ok := bo.sound[ke]; ok {
		return at
	}
	return bo.soundBefore[ke]
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
	bo.sound, bo.rotatedAt = map[Key]time.Time{}, now
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

func (bo *Book) record(sv notice.Server) *record {
	re := bo.crashes[sv]
	if re == nil {
		re = &record{server: sv, losses: map[uint32]Loss{}, byKey: map[Key][]uint32{}}
		bo.crashes[sv] = re
	}
	return re
}

func (bo *Book) add(now time.Time, sv notice.Server, lo Loss) {
	if (lo.Content == 0 && len(lo.Parts) == 0) || now.Sub(lo.At) > longMemory {
		return
	}
	re := bo.record(sv)
	if _, known := re.losses[lo.Request]; known || len(re.losses) >= maxLosses || re.survived(lo.At) {
		return
	}
	re.losses[lo.Request] = lo
	bo.index(re, lo)
	bo.changed = true
	for _, id := range lo.keys() {
		if at := bo.soundAt(id); at.After(lo.At) {
			bo.completeOwn(now, id, at)
		}
	}
	if at := lo.At.Add(settleTime); at.After(bo.unsettledUntil) {
		bo.unsettledUntil = at
	}
}

// survived reports whether the server is known to have served after a loss.
func (re *record) survived(lostAt time.Time) bool { return re.heardAt.After(lostAt.Add(heardMargin)) }

// Heard records that a server served at a time. A server that goes on after it broke off a
// request has not crashed.
func (bo *Book) Heard(at time.Time, sv notice.Server) {
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

// Completed records that a server completed a request. Keys that no crash is under are left out.
func (bo *Book) Completed(now time.Time, keys []Key) {
	bo.rotate(now)
	for _, id := range keys {
		if _, known := bo.sound[id]; known || len(bo.sound) < maxSound {
			bo.sound[id] = now
		}
		if bo.byKey[id] != nil && bo.score(id, nil, now) > 0 {
			bo.completeOwn(now, id, now)
		}
	}
}

// completeOwn adds a completion at this node, unless it is known.
func (bo *Book) completeOwn(now time.Time, ke Key, at time.Time) {
	for _, co := range bo.completed[ke] {
		if co.id>>32 == uint64(bo.node) && co.at.Equal(at) {
			return
		}
	}
	bo.lastCompletion++
	bo.complete(now, ke, completion{id: uint64(bo.node)<<32 | uint64(bo.lastCompletion), at: at})
}

// complete adds a completion. Those are left out that find the score at zero, so that all nodes
// keep the same few.
func (bo *Book) complete(now time.Time, ke Key, co completion) {
	list := bo.completed[ke]
	if slices.ContainsFunc(list, func(have completion) bool { return have.id == co.id }) {
		return
	}
	list = append(list, co)
	slices.SortFunc(list, func(one, two completion) int {
		return cmp.Or(one.at.Compare(two.at), cmp.Compare(one.id, two.id))
	})
	list = bo.needed(ke, bo.under(ke, nil, now), list)
	bo.completed[ke] = list[max(0, len(list)-maxCompletions):]
	bo.changed = true
}

// prune forgets what is too old or too much. Of the crashes that support a verdict, the latest
// are kept.
func (bo *Book) prune(now time.Time) {
	supporting := map[*record]bool{}
	for id := range bo.verdicts {
		list := bo.under(id, nil, now)
		for _, ev := range list[max(0, len(list)-maxSupporting):] {
			supporting[ev.record] = true
		}
	}
	var open []*record
	for _, re := range bo.crashes {
		age := now.Sub(re.latest())
		switch {
		case supporting[re] && age <= longMemory:
		case age > memory || (age > reportTime && bo.explained(re)):
			bo.forget(re)
		default:
			open = append(open, re)
		}
	}
	slices.SortFunc(open, func(one, two *record) int { return two.compare(one) })
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
		for _, ke := range lo.keys() {
			if bo.verdicts[ke] != nil {
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

// keys returns the keys of a lost request.
func (lo *Loss) keys() []Key { return Keys(lo.Content, lo.Parts) }

// place returns the place of a key in a lost request: that of a part in its prompt, and after all
// of them for the request itself. It is -1 if the request doesn't have the key.
func (lo *Loss) place(ke Key) int {
	if ke.IsRequest() {
		if lo.Content != 0 && RequestKey(lo.Content) == ke {
			return len(lo.Parts)
		}
		return -1
	}
	return slices.Index(lo.Parts, place.BlockID(ke))
}

// index enters a loss in byKey.
func (bo *Book) index(re *record, lo Loss) {
	for _, id := range lo.keys() {
		if len(re.byKey[id]) == 0 {
			bo.byKey[id] = append(bo.byKey[id], re)
		}
		re.byKey[id] = append(re.byKey[id], lo.Request)
	}
}

// unindex removes a record from byKey, and forgets the completions with keys that no crash is
// under any more.
func (bo *Book) unindex(re *record) {
	for id := range re.byKey {
		list := slices.DeleteFunc(bo.byKey[id], func(have *record) bool { return have == re })
		if bo.byKey[id] = list; len(list) == 0 {
			delete(bo.byKey, id)
			delete(bo.completed, id)
		}
	}
	clear(re.byKey)
}
