package replay

import (
	"time"

	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// engine is the state of one simulated engine. Times are relative to the start of the run.
type engine struct {
	Engine
	id         units.VMID
	speed      float64
	prefillEnd time.Duration // When the prefill queue will be empty.
	slots      []time.Duration
	cache      map[units.PrefixKey]int64
	useCount   int64
	uses       []cacheUse // Oldest first; outdated entries are skipped.
	mirror     *route.Cache
	leaving    bool
	dead       bool
	requests   int
	running    []*request
}

// cacheUse is one use of a prefix key, at a value of useCount.
type cacheUse struct {
	key units.PrefixKey
	at  int64
}

func engineName(idx int) string {
	const digits = "0123456789"
	return "engine-" + string([]byte{digits[idx/100%10], digits[idx/10%10], digits[idx%10]})
}

// load returns the load report at a time.
func (en *engine) load(now time.Duration) route.Load {
	lo := route.Load{
		Slots: en.Slots, PrefillRate: en.PrefillRate * units.TokensPerSecond(en.speed),
		Step: time.Duration(float64(en.Step) / en.speed), At: epoch.Add(now),
	}
	if wait := en.prefillEnd - now; wait > 0 {
		lo.QueuedTokens = units.Tokens(wait.Seconds() * float64(lo.PrefillRate))
	}
	for _, until := range en.slots {
		if until > now {
			lo.Running++
		}
	}
	return lo
}

// earliestSlot returns the index of the slot that is free first.
func (en *engine) earliestSlot() int {
	best := 0
	for idx, until := range en.slots {
		if until < en.slots[best] {
			best = idx
		}
	}
	return best
}

// cachedTokens returns the length of the longest cached prefix.
func (en *engine) cachedTokens(keys []units.PrefixKey) units.Tokens {
	for num := len(keys); num > 0; num-- {
		if _, ok := en.cache[keys[num-1]]; ok {
			return units.Tokens(num) * route.BlockTokens
		}
	}
	return 0
}

// store adds keys to the engine's cache and evicts the least recently used ones.
func (en *engine) store(keys []units.PrefixKey) {
	for _, key := range keys {
		en.useCount++
		en.cache[key] = en.useCount
		en.uses = append(en.uses, cacheUse{key: key, at: en.useCount})
	}
	en.mirror.Add(keys)
	for len(en.cache) > en.CacheBlocks {
		old := en.uses[0]
		en.uses = en.uses[1:]
		if en.cache[old.key] == old.at {
			delete(en.cache, old.key)
			en.mirror.Remove(old.key)
		}
	}
}
