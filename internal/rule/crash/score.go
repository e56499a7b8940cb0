package crash

import (
	"slices"
	"time"
)

const (
	// partScore and requestScore are the scores at which a part and a request are blocked, and
	// spareScore is what a score may have more, so that a few completions end a verdict. That of a
	// request may have freshSpareScore more within reportTime of a crash.
	partScore, requestScore, spareScore, freshSpareScore = 4, 3, 2, 5
	// contentLimit is the number of crashes under one request that count for a part of its prompt.
	contentLimit = 3
	// burstTime is the time in which fewer crashes count than block a key: servers that end together
	// have lost power or the network, and their requests have nothing to do with it.
	burstTime = 100 * time.Millisecond
	// ownShare is the least part of the crashes of a burst, one in so many, that a key has to be
	// under.
	ownShare = 3
)

// blockScore returns the score at which a key is blocked.
func (ke Key) blockScore() int {
	if ke.IsRequest() {
		return requestScore
	}
	return partScore
}

// maxScore returns the bound of a score. That of a request is higher at first, as some of its
// attempts may complete beside those that crash servers.
func (ke Key) maxScore() int {
	if ke.IsRequest() {
		return requestScore + freshSpareScore
	}
	return partScore + spareScore
}

// event is a crash under a key, with the number of different requests lost with the key, and its last place
// in them.
type event struct {
	record   *record
	at       time.Time
	lost     int
	place    int
	contents map[uint64]bool
}

// explanations holds the blocked keys that explain a crash.
type explanations map[*record][]Key

// leaves reports whether a lost request still counts for a key. It doesn't if another blocked key
// explains the crash. A blocked request still counts for its own parts, since several such requests
// may have the part in common that crashes servers.
func (ex explanations) leaves(re *record, lo *Loss, ke Key) bool {
	for _, by := range ex[re] {
		if by != ke && (ke.IsRequest() || !by.IsRequest() || by != RequestKey(lo.Content)) {
			return false
		}
	}
	return true
}

// byRequests returns the explanations by requests alone.
func (ex explanations) byRequests() explanations {
	out := explanations{}
	for re, keys := range ex {
		for _, ke := range keys {
			if ke.IsRequest() {
				out[re] = append(out[re], ke)
			}
		}
	}
	return out
}

// under returns the crashes under a key that count by now, in order, without those that other keys
// explain.
func (bo *Book) under(ke Key, explained explanations, now time.Time) []event {
	var out []event
	for _, re := range bo.byKey[ke] {
		ev := event{record: re, contents: map[uint64]bool{}}
		for _, id := range re.byKey[ke] {
			lo := re.losses[id]
			if !explained.leaves(re, &lo, ke) {
				continue
			}
			if lo.Content == 0 || !ev.contents[lo.Content] {
				ev.lost++
			}
			ev.contents[lo.Content] = true
			ev.place = max(ev.place, lo.place(ke))
			if ev.at.IsZero() || lo.At.Before(ev.at) {
				ev.at = lo.At
			}
		}
		if ev.lost > 0 && !ev.at.After(now) {
			out = append(out, ev)
		}
	}
	slices.SortFunc(out, func(one, two event) int { return one.at.Compare(two.at) })
	if !ke.IsRequest() {
		out = limitContents(out)
	}
	return out
}

// countContents returns the number of different requests that were lost in crashes.
func countContents(crashes []event) int {
	seen, unknown := map[uint64]bool{}, 0
	for _, ev := range crashes {
		for content := range ev.contents {
			if content == 0 {
				unknown++
			}
			seen[content] = true
		}
	}
	return len(seen) + max(0, unknown-1)
}

// limitContents leaves out crashes under a part in which only requests were lost that have counted
// contentLimit times already.
func limitContents(crashes []event) []event {
	counts := map[uint64]int{}
	return slices.DeleteFunc(crashes, func(ev event) bool {
		counted := false
		for content := range ev.contents {
			counts[content]++
			counted = counted || content == 0 || counts[content] <= contentLimit
		}
		return !counted
	})
}

// score returns the cumulative sum of a key: each crash under it adds one, each completion takes
// one away, and it is never below zero. It stands out by far for a key that crashes servers,
// even one that does not do so each time, and falls for one that only shares servers with it.
func (bo *Book) score(ke Key, explained explanations, now time.Time) int {
	return bo.scoreOf(ke, bo.under(ke, explained, now))
}

func (bo *Book) scoreOf(ke Key, crashes []event) int {
	score := 0
	bo.walk(ke, crashes, bo.completed[ke], func(_ *completion, at int) { score = at })
	return score
}

// needed returns the completions that lower the score.
func (bo *Book) needed(ke Key, crashes []event, completed []completion) []completion {
	var out []completion
	before := 0
	bo.walk(ke, crashes, completed, func(co *completion, score int) {
		if co != nil && before > 0 {
			out = append(out, *co)
		}
		before = score
	})
	return out
}

// uncleared returns the crashes since the score was last zero.
func (bo *Book) uncleared(ke Key, crashes []event) []event {
	first, next := 0, 0
	bo.walk(ke, crashes, bo.completed[ke], func(co *completion, score int) {
		if co == nil {
			next++
		}
		if score == 0 {
			first = next
		}
	})
	return crashes[first:]
}

// walk calls visit with the score after each crash and each completion, in the order of their
// times. The completion is nil for a crash.
func (bo *Book) walk(ke Key, crashes []event, completed []completion, visit func(co *completion, score int)) {
	score, next := 0, 0
	var last time.Time
	complete := func() {
		if completed[next].at.Sub(last) > reportTime {
			score = min(score, ke.blockScore()+spareScore)
		}
		score = max(0, score-1)
		visit(&completed[next], score)
		next++
	}
	var burst []time.Time
	for _, ev := range crashes {
		for next < len(completed) && completed[next].at.Before(ev.at) {
			complete()
		}
		for len(burst) > 0 && ev.at.Sub(burst[0]) > burstTime {
			burst = burst[1:]
		}
		if len(burst) < bo.burstLimit(ke, ev.at, crashes) {
			burst = append(burst, ev.at)
			score, last = min(ke.maxScore(), score+1), ev.at
		}
		visit(nil, score)
	}
	for next < len(completed) {
		complete()
	}
}

// burstLimit returns the number of crashes under a key that count within burstTime of one of
// them: fewer than block it, and one if many servers crashed then and most without the key.
func (bo *Book) burstLimit(ke Key, at time.Time, crashes []event) int {
	all := countNear(bo.crashedAt, at, func(crashedAt time.Time) time.Time { return crashedAt })
	own := countNear(crashes, at, func(ev event) time.Time { return ev.at })
	if all >= partScore && own*ownShare < all {
		return 1
	}
	return ke.blockScore() - 1
}

// countNear returns the number of elements within burstTime of a time. The list is in the order of times.
func countNear[T any](list []T, at time.Time, timeOf func(T) time.Time) int {
	compare := func(el T, ti time.Time) int { return timeOf(el).Compare(ti) }
	first, _ := slices.BinarySearchFunc(list, at.Add(-burstTime), compare)
	next, _ := slices.BinarySearchFunc(list, at.Add(burstTime+1), compare)
	return next - first
}
