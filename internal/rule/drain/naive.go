package drain

import "lycheepick/internal/rule/units"

// RestartAll returns the tokens that the baseline computes again: the context of every
// request.
func RestartAll(requests []Running) units.Tokens {
	total := units.Tokens(0)
	for _, ru := range requests {
		total += ru.Context
	}
	return total
}

// Optimum returns the fewest tokens that have to be computed again if requests of these sizes
// are moved, with at most budget tokens in all. It tries every subset, so it is for small cases
// only.
func Optimum(sizes []units.Tokens, budget units.Tokens) units.Tokens {
	best, all := units.Tokens(0), units.Tokens(0)
	for _, size := range sizes {
		all += size
	}
	for set := range 1 << len(sizes) {
		used := units.Tokens(0)
		for idx, size := range sizes {
			if set>>idx&1 == 1 {
				used += size
			}
		}
		if used <= budget {
			best = max(best, used)
		}
	}
	return all - best
}
