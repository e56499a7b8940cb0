package replay

import (
	"time"

	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// engine is the state of one replica.
type engine struct {
	Engine
	id       units.VMID
	speed    float64
	prefill  time.Duration // When the queue of prompts is empty.
	slots    []time.Duration
	cache    map[units.PrefixKey]int64
	clock    int64
	order    []use // Uses of the cache in order of time.
	mirror   *route.Cache
	leaving  bool
	dead     bool
	requests int
	running  []*request
}

// use is one use of a prefix key.
type use struct {
	key units.PrefixKey
	at  int64
}

func engineName(idx int) string {
	const digits = "0123456789"
	return "engine-" + string([]byte{digits[idx/100%10], digits[idx/10%10], digits[idx%10]})
}

func (en *engine) load(now time.Duration) route.Load {
	lo := route.Load{
		Slots: en.Slots, PrefillRate: en.PrefillRate * units.TokensPerSecond(en.speed),
		Step: time.Duration(float64(en.Step) / en.speed), At: epoch.Add(now),
	}
	if wait := en.prefill - now; wait > 0 {
		lo.QueuedTokens = units.Tokens(wait.Seconds() * float64(lo.PrefillRate))
	}
	for _, until := range en.slots {
		if until > now {
			lo.Running++
		}
	}
	return lo
}

func (en *engine) earliest() int {
	best := 0
	for idx, until := range en.slots {
		if until < en.slots[best] {
			best = idx
		}
	}
	return best
}

func (en *engine) match(keys []units.PrefixKey) units.Tokens {
	for num := len(keys); num > 0; num-- {
		if _, ok := en.cache[keys[num-1]]; ok {
			return units.Tokens(num) * route.BlockTokens
		}
	}
	return 0
}

// hold adds keys to the engine's cache and drops the ones used longest ago.
func (en *engine) hold(keys []units.PrefixKey) {
	for _, key := range keys {
		en.clock++
		en.cache[key] = en.clock
		en.order = append(en.order, use{key: key, at: en.clock})
	}
	en.mirror.Add(keys)
	for len(en.cache) > en.CacheBlocks {
		old := en.order[0]
		en.order = en.order[1:]
		if en.cache[old.key] == old.at {
			delete(en.cache, old.key)
			en.mirror.Remove(old.key)
		}
	}
}
