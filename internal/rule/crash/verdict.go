package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minContents is the number of different requests that have to be lost with a part.
	minContents = 2
	// keepPart and keepRequest are the numbers of crashes that nothing else explains from which on a
	// part and a request stay blocked. One less than the score is needed at first.
	keepPart, keepRequest = 2, 1
	// certainScore is the score from which on a request is blocked even if other keys explain its
	// crashes: where several crash all servers at once, they share most of the crashes.
	certainScore = requestScore + 1
	// settleTime is the age from which on a crash counts. By then the other nodes have reported what
	// they lost in it, and whether the server lives on.
	settleTime = 1200 * time.Millisecond
	// touchGap is the time without reports from which on a node is out of touch. It blocks nothing more
	// then, and for as long after: it lacks what others lost and completed. After reportTime it
	// goes by what it knows, since its peers may be gone.
	touchGap = 600 * time.Millisecond
	// judgePeriod is the shortest time between two judgements, prunePeriod the longest. Each suspect
	// adds suspectPause to the shortest one, so that many of them don't take up a processor.
	judgePeriod, prunePeriod = 100 * time.Millisecond, time.Minute
	suspectPause             = 10 * time.Millisecond
	// lossWeight is the weight against a key of each request that was lost with it: one that crashes
	// servers needs one request for each crash.
	lossWeight = 0.25
	// minTrialDelay and maxTrialDelay bound the time after a crash at which one request may try a
	// blocked key again, and trialTimeout is that after which it counts as lost.
	minTrialDelay, maxTrialDelay = 30 * time.Second, 30 * time.Minute
	trialTimeout                 = 20 * time.Second
)

// keepCrashes returns the number of crashes that keep a key blocked.
func (ke Key) keepCrashes() int {
	if ke.IsRequest() {
		return keepRequest
	}
	return keepPart
}

// verdict is the state of a blocked key.
type verdict struct {
	since   time.Time
	crashes int
	// trialAt is when one request may try the key, and triedAt when one last did at this node.
	trialAt, triedAt time.Time
}

// Change is a key that has been blocked, or is not blocked any more.
type Change struct {
	Key     Key
	Blocked bool
	Crashes int
}

// Judge updates the verdicts, if there is something new. Of the keys whose score is high enough,
// the one that explains most crashes is blocked first; the crashes that it explains no longer
// count for the others.
func (bo *Book) Judge(now time.Time) {
	since := now.Sub(bo.judgedAt)
	if since < max(judgePeriod, bo.pause) || (!bo.changed && bo.judgedAt.After(bo.unsettledUntil) && since < prunePeriod) {
		return
	}
	bo.judgedAt, bo.changed = now, false
	bo.prune(now)
	settled := now.Add(-settleTime)
	bo.crashedAt = bo.crashedAt[:0]
	for _, re := range bo.crashes {
		if at := re.first(); !at.IsZero() {
			bo.crashedAt = append(bo.crashedAt, at)
		}
	}
	slices.SortFunc(bo.crashedAt, time.Time.Compare)
	suspects := bo.suspects()
	bo.atRisk = slices.DeleteFunc(slices.Clone(suspects), func(id Key) bool { return !bo.isAtRisk(now, id) })
	bo.pause = time.Duration(len(suspects)) * suspectPause
	bo.apply(now, bo.guilty(suspects, settled))
}

// isAtRisk reports whether a key that servers have crashed under lately is about to be blocked.
func (bo *Book) isAtRisk(now time.Time, ke Key) bool {
	list := bo.under(ke, nil, now)
	return len(list) > 0 && now.Sub(list[len(list)-1].at) <= reportTime && bo.scoreOf(ke, list) >= ke.blockScore()-1
}

// suspects returns the keys under which there are enough crashes, or one less, those with most of
// them if they are many.
func (bo *Book) suspects() []Key {
	var out []Key
	for id, list := range bo.byKey {
		if len(list) >= id.blockScore()-1 {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(one, two Key) int {
		return cmp.Or(cmp.Compare(len(bo.byKey[two]), len(bo.byKey[one])), cmp.Compare(one, two))
	})
	return out[:min(len(out), maxSuspects)]
}

// guilty returns the keys to block, with the number of crashes that each explains.
func (bo *Book) guilty(suspects []Key, settled time.Time) map[Key]int {
	for {
		out, explained := bo.explain(suspects, settled)
		spare, found := bo.spare(out, explained, settled)
		if !found {
			bo.addCertain(out, suspects, settled)
			return out
		}
		suspects = slices.DeleteFunc(suspects, func(id Key) bool { return id == spare })
	}
}

// addCertain adds the requests under which so many servers have crashed that they are blocked even
// though other keys explain these crashes.
func (bo *Book) addCertain(guilty map[Key]int, suspects []Key, settled time.Time) {
	for _, id := range suspects {
		if id.IsRequest() && guilty[id] == 0 && len(guilty) < maxVerdicts && bo.score(id, nil, settled) >= certainScore {
			guilty[id] = len(bo.under(id, nil, settled))
		}
	}
}

// explain picks one key after the other, each for crashes that those before it don't explain.
func (bo *Book) explain(suspects []Key, settled time.Time) (map[Key]int, explanations) {
	out, explained := map[Key]int{}, explanations{}
	left := slices.Clone(suspects)
	for len(out) < maxVerdicts {
		worst, crashes := bo.worst(left, explained, settled)
		if crashes == nil {
			break
		}
		out[worst] = len(crashes)
		left = slices.DeleteFunc(left, func(id Key) bool { return id == worst })
		for _, ev := range bo.under(worst, nil, settled) {
			explained[ev.record] = append(explained[ev.record], worst)
		}
	}
	return out, explained
}

// spare returns a part that would not be blocked after all the other keys: it was picked before
// them for crashes that they explain.
func (bo *Book) spare(guilty map[Key]int, explained explanations, settled time.Time) (Key, bool) {
	for _, id := range slices.Sorted(maps.Keys(guilty)) {
		if !id.IsRequest() && !bo.isGuilty(id, bo.under(id, explained, settled), explained, settled) {
			return id, true
		}
	}
	return 0, false
}

// worst returns the key that explains most crashes of those that nothing explains yet, nil if no
// score is high enough. What was lost or completed with a key besides counts against it. Of
// equals it is the request, or the part that comes later in the prompts, which fewer requests have.
func (bo *Book) worst(suspects []Key, explained explanations, settled time.Time) (best Key, crashes []event) {
	var bestValue float64
	bestPlace := 0
	for _, id := range suspects {
		list := bo.under(id, explained, settled)
		if !bo.isGuilty(id, list, explained, settled) {
			continue
		}
		value, at := float64(len(list)-len(bo.completed[id])), 0
		for _, ev := range list {
			value -= lossWeight * float64(ev.lost)
			at = max(at, ev.place)
		}
		if crashes == nil || value > bestValue || (value == bestValue && (at > bestPlace || at == bestPlace && id < best)) {
			best, bestValue, bestPlace, crashes = id, value, at, list
		}
	}
	return best, crashes
}

// isGuilty reports whether a key is blocked by its score, if enough of its crashes are left that
// nothing else explains. Not all have to be: with several guilty keys, many crashes are under two
// of them. A part is not blocked for one request alone, which may be what crashes servers.
func (bo *Book) isGuilty(id Key, unexplained []event, explained explanations, settled time.Time) bool {
	need := id.blockScore() - 1
	if bo.verdicts[id] != nil {
		need = id.keepCrashes()
	}
	if len(unexplained) < need || bo.scoreOf(id, unexplained) < need || bo.score(id, nil, settled) < id.blockScore() {
		return false
	}
	if id.IsRequest() {
		return true
	}
	if countContents(bo.uncleared(id, unexplained)) >= minContents && hasWitness(bo.uncleared(id, bo.under(id, nil, settled))) {
		return true
	}
	return countContents(bo.uncleared(id, bo.under(id, explained.byRequests(), settled))) > minContents
}

// hasWitness reports whether one request that came again doesn't explain all crashes under a part.
// Others that were lost beside it had to be sent again, and were easily lost once more.
func hasWitness(list []event) bool {
	crashes, repeated := map[uint64]int{}, map[uint64]bool{}
	for _, ev := range list {
		for content := range ev.contents {
			if crashes[content]++; crashes[content] >= requestScore {
				repeated[content] = true
			}
		}
	}
	if len(repeated) != 1 {
		return true
	}
	beside := map[uint64]bool{}
	for _, ev := range list {
		for content := range repeated {
			if ev.contents[content] {
				maps.Copy(beside, ev.contents)
			}
		}
	}
	for content := range crashes {
		if !beside[content] {
			return true
		}
	}
	return false
}

func (bo *Book) apply(now time.Time, guilty map[Key]int) {
	for id, ve := range bo.verdicts {
		if guilty[id] == 0 {
			delete(bo.verdicts, id)
			bo.changes = append(bo.changes, Change{Key: id, Crashes: ve.crashes})
		}
	}
	for id, count := range guilty {
		ve := bo.verdicts[id]
		if ve == nil && !bo.inTouch(now) {
			bo.changed = true // It is judged again.
			continue
		}
		if ve == nil {
			ve = &verdict{since: now}
			bo.verdicts[id] = ve
			bo.changes = append(bo.changes, Change{Key: id, Blocked: true, Crashes: count})
		}
		ve.crashes, ve.trialAt = count, trialTime(bo.under(id, nil, now))
	}
}

// inTouch reports whether this node knows what its peers know.
func (bo *Book) inTouch(now time.Time) bool {
	silence := now.Sub(bo.heardFromPeersAt)
	if bo.heardFromPeersAt.IsZero() || silence > reportTime {
		return true
	}
	return silence <= touchGap && now.Sub(bo.inTouchSince) >= touchGap
}

// trialTime returns when one request may try a blocked key again. The delay grows with the time
// over which servers have crashed under it.
func trialTime(crashes []event) time.Time {
	first, last := crashes[0].at, crashes[len(crashes)-1].at
	return last.Add(min(max(minTrialDelay, 3*last.Sub(first)), maxTrialDelay))
}

// Changes returns the verdicts that have changed since the last call.
func (bo *Book) Changes() []Change {
	out := bo.changes
	bo.changes = nil
	return out
}

// Block is why a request is refused, and when it may come back.
type Block struct {
	Key        Key
	RetryAfter time.Duration
}

// Blocked returns whether a request with these keys is refused.
func (bo *Book) Blocked(now time.Time, keys []Key) (Block, bool) {
	bo.Judge(now)
	if len(bo.verdicts) == 0 {
		return Block{}, false
	}
	for _, id := range keys {
		if ve := bo.verdicts[id]; ve != nil {
			return Block{Key: id, RetryAfter: max(minRetryAfter, ve.trialAt.Sub(now))}, true
		}
	}
	return Block{}, false
}

// minRetryAfter is the shortest time after which a refused request may come back.
const minRetryAfter = time.Second

// Try reports whether a request with these keys may try the one of them that is blocked. Only one
// node may call it for a key.
func (bo *Book) Try(now time.Time, keys []Key) bool {
	var blocked []*verdict
	for _, id := range keys {
		if ve := bo.verdicts[id]; ve != nil {
			blocked = append(blocked, ve)
		}
	}
	if len(blocked) != 1 || now.Before(blocked[0].trialAt) || now.Sub(blocked[0].triedAt) < trialTimeout {
		return false
	}
	blocked[0].triedAt = now
	return true
}
