package crash

import (
	"slices"
	"time"

	"lycheepick/internal/rule/place"
)

const (
	// blockScore is the score at which a part is blocked, and maxScore the highest one, so that a
	// few completions end a verdict.
	blockScore, maxScore = 4, 6
	// blockCrashes is the number of crashes that nothing else explains at which a part is blocked,
	// and keepCrashes that from which on it stays so.
	blockCrashes, keepCrashes = 3, 2
	// settleTime is the age from which on a crash counts. By then the other nodes have reported what
	// they lost in it, and whether the server lives on.
	settleTime = 1200 * time.Millisecond
	// burstTime is the time in which fewer crashes than blockScore count: servers that end together
	// have lost power or the network, and their requests have nothing to do with it.
	burstTime = 100 * time.Millisecond
	// ownShare is the least part of the crashes of a burst, one in so many, that a part has to be
	// under.
	ownShare = 3
	// judgePeriod is the shortest time between two judgements, prunePeriod the longest.
	judgePeriod, prunePeriod = 100 * time.Millisecond, time.Minute
	// lossWeight is the weight against a part of each request that was lost with it: a part that
	// crashes servers needs one request for each crash.
	lossWeight = 0.25
	// minTrialDelay and maxTrialDelay bound the time after a crash at which one request may try a
	// blocked part again, and trialTimeout is that after which it counts as lost.
	minTrialDelay, maxTrialDelay = 30 * time.Second, 30 * time.Minute
	trialTimeout                 = 20 * time.Second
)

// verdict is the state of a blocked part.
type verdict struct {
	since   time.Time
	crashes int
	// trialAt is when one request may try the part, and triedAt when one last did at this node.
	trialAt, triedAt time.Time
}

// Change is a part that has been blocked, or is not blocked any more.
type Change struct {
	Part    place.BlockID
	Blocked bool
	Crashes int
}

// event is a crash under a part, with the number of requests lost with the part, and the part's
// last place in their prompts.
type event struct {
	record *record
	at     time.Time
	lost   int
	place  int
}

// under returns the crashes under a part that count by now, in order, without those in explained.
func (bo *Book) under(part place.BlockID, explained map[*record]bool, now time.Time) []event {
	var out []event
	for _, re := range bo.byPart[part] {
		if explained[re] {
			continue
		}
		ev := event{record: re}
		for _, lo := range re.losses {
			if at := slices.Index(lo.Parts, part); at >= 0 {
				ev.lost++
				ev.place = max(ev.place, at)
				if ev.at.IsZero() || lo.At.Before(ev.at) {
					ev.at = lo.At
				}
			}
		}
		if ev.lost > 0 && !ev.at.After(now) {
			out = append(out, ev)
		}
	}
	slices.SortFunc(out, func(one, two event) int { return one.at.Compare(two.at) })
	return out
}

// score returns the cumulative sum of a part: each crash under it adds one, each completion takes
// one away, and it is never below zero. It stands out by far for a part that crashes servers,
// even one that does not do so each time, and falls for one that only shares servers with it.
func (bo *Book) score(part place.BlockID, explained map[*record]bool, now time.Time) int {
	return bo.scoreOf(bo.under(part, explained, now), bo.completed[part])
}

func (bo *Book) scoreOf(crashes []event, completed []completion) int {
	score := 0
	bo.walk(crashes, completed, func(_ *completion, at int) { score = at })
	return score
}

// needed returns the completions that lower the score.
func (bo *Book) needed(crashes []event, completed []completion) []completion {
	var out []completion
	before := 0
	bo.walk(crashes, completed, func(co *completion, score int) {
		if co != nil && before > 0 {
			out = append(out, *co)
		}
		before = score
	})
	return out
}

// walk calls visit with the score after each crash and each completion, in the order of their
// times. The completion is nil for a crash.
func (bo *Book) walk(crashes []event, completed []completion, visit func(co *completion, score int)) {
	score, next := 0, 0
	complete := func() {
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
		if len(burst) < bo.burstLimit(ev.at, crashes) {
			burst = append(burst, ev.at)
			score = min(maxScore, score+1)
		}
		visit(nil, score)
	}
	for next < len(completed) {
		complete()
	}
}

// burstLimit returns the number of crashes under a part that count within burstTime of one of
// them: fewer than block a part, and one if many servers crashed then and most without the part.
func (bo *Book) burstLimit(at time.Time, crashes []event) int {
	all, own := 0, 0
	for _, crashedAt := range bo.crashedAt {
		if crashedAt.Sub(at).Abs() <= burstTime {
			all++
		}
	}
	for _, ev := range crashes {
		if ev.at.Sub(at).Abs() <= burstTime {
			own++
		}
	}
	if all >= blockScore && own*ownShare < all {
		return 1
	}
	return blockScore - 1
}

// Judge updates the verdicts, if there is something new. Of the parts whose score is high enough,
// the one that explains most crashes is blocked first; the crashes that it explains no longer
// count for the others.
func (bo *Book) Judge(now time.Time) {
	since := now.Sub(bo.judgedAt)
	if since < judgePeriod || (!bo.changed && now.After(bo.unsettledUntil) && since < prunePeriod) {
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
	explained, guilty := map[*record]bool{}, map[place.BlockID]int{}
	var suspects []place.BlockID
	for id, list := range bo.byPart {
		if len(list) >= blockScore {
			suspects = append(suspects, id)
		}
	}
	for len(suspects) > 0 && len(guilty) < maxVerdicts {
		part, crashes := bo.worst(suspects, explained, settled)
		if crashes == nil {
			break
		}
		guilty[part] = len(crashes)
		for _, ev := range crashes {
			explained[ev.record] = true
		}
	}
	bo.apply(now, guilty)
}

// worst returns the part that explains most crashes of those that nothing explains yet, nil if no
// score is high enough. What was lost or completed with a part besides counts against it. Of
// equals it is the one that comes later in the prompts, which fewer requests have.
func (bo *Book) worst(suspects []place.BlockID, explained map[*record]bool, settled time.Time) (best place.BlockID, crashes []event) {
	var bestValue float64
	bestPlace := 0
	for _, id := range suspects {
		list := bo.under(id, explained, settled)
		if !bo.isGuilty(id, list, settled) {
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

// isGuilty reports whether a part is blocked by its score, if enough of its crashes are left that
// nothing else explains. Not all have to be: with several guilty parts, many crashes are under two
// of them.
func (bo *Book) isGuilty(id place.BlockID, unexplained []event, settled time.Time) bool {
	need := blockCrashes
	if bo.verdicts[id] != nil {
		need = keepCrashes
	}
	return len(unexplained) >= need && bo.scoreOf(unexplained, bo.completed[id]) >= need && bo.score(id, nil, settled) >= blockScore
}

func (bo *Book) apply(now time.Time, guilty map[place.BlockID]int) {
	for id, ve := range bo.verdicts {
		if guilty[id] == 0 {
			delete(bo.verdicts, id)
			bo.changes = append(bo.changes, Change{Part: id, Crashes: ve.crashes})
		}
	}
	for id, count := range guilty {
		ve := bo.verdicts[id]
		if ve == nil {
			ve = &verdict{since: now}
			bo.verdicts[id] = ve
			bo.changes = append(bo.changes, Change{Part: id, Blocked: true, Crashes: count})
		}
		ve.crashes, ve.trialAt = count, trialTime(bo.under(id, nil, now))
	}
}

// trialTime returns when one request may try a blocked part again. The delay grows with the time
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
	Part       place.BlockID
	RetryAfter time.Duration
}

// Blocked returns whether a request with these parts is refused.
func (bo *Book) Blocked(now time.Time, parts []place.BlockID) (Block, bool) {
	bo.Judge(now)
	if len(bo.verdicts) == 0 {
		return Block{}, false
	}
	for _, id := range parts {
		if ve := bo.verdicts[id]; ve != nil {
			return Block{Part: id, RetryAfter: max(minRetryAfter, ve.trialAt.Sub(now))}, true
		}
	}
	return Block{}, false
}

// minRetryAfter is the shortest time after which a refused request may come back.
const minRetryAfter = time.Second

// Try reports whether a request with these parts may try the one of them that is blocked. Only one
// node may call it for a part.
func (bo *Book) Try(now time.Time, parts []place.BlockID) bool {
	var blocked []*verdict
	for _, id := range parts {
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
