package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

// Cost is the policy of the daemon: the cheapest replica that is predicted to meet
// the latency target, with the prefix's own replica ahead among those of like price.
type Cost struct {
	// Margin is the share of the target that a prediction may use up.
	Margin float64
	// Band is the ratio to the least cost within which affinity decides.
	Band float64
}

// NewCost returns the policy with the daemon's values.
func NewCost() Cost { return Cost{Margin: 0.6, Band: 1.3} }

type candidate struct {
	re  *Replica
	est Estimate
}

// Choose implements Policy.
func (co Cost) Choose(now time.Time, ask *Ask, replicas []*Replica) (Choice, bool) {
	list := usable(ask, replicas)
	if len(list) == 0 {
		return Choice{}, false
	}
	all := make([]candidate, len(list))
	for idx, re := range list {
		all[idx] = candidate{re: re, est: Predict(now, ask, re)}
	}
	fit := co.meeting(ask, all)
	if len(fit) == 0 {
		return soonest(all), true
	}
	return co.closest(ask, fit).choice(), true
}

// meeting returns the candidates that are predicted to meet both targets.
func (co Cost) meeting(ask *Ask, all []candidate) []candidate {
	limit := time.Duration(float64(ask.FirstToken) * co.Margin)
	out := make([]candidate, 0, len(all))
	for _, ca := range all {
		if ca.est.FirstToken > limit {
			continue
		}
		if ask.BetweenTokens > 0 && ca.re.Load.Step > ask.BetweenTokens {
			continue
		}
		out = append(out, ca)
	}
	return out
}

// closest picks, among the candidates with a free slot and within the band of the least
// cost, the one that holds most of the prefix, and by rendezvous rank among equals. The
// slots are the bound on affinity: a hot prefix fills its own replica and spills over.
func (co Cost) closest(ask *Ask, fit []candidate) candidate {
	least := math.Inf(1)
	for idx := range fit {
		if fit[idx].est.Open {
			least = min(least, fit[idx].est.Cost)
		}
	}
	home := homeKey(ask.Prefix)
	var best *candidate
	var bestRank uint64
	for idx := range fit {
		ca := &fit[idx]
		if !ca.est.Open || ca.est.Cost > least*co.Band {
			continue
		}
		rank := affinity(home, ca.re.VM)
		if best == nil || ca.est.Cached > best.est.Cached || (ca.est.Cached == best.est.Cached && rank > bestRank) {
			best, bestRank = ca, rank
		}
	}
	if best == nil {
		return lightest(fit)
	}
	return *best
}

func (ca candidate) choice() Choice {
	return Choice{Replica: ca.re, FirstToken: ca.est.FirstToken, Cached: ca.est.Cached}
}

func lightest(list []candidate) candidate {
	best := list[0]
	for _, ca := range list[1:] {
		if ca.est.FirstToken < best.est.FirstToken {
			best = ca
		}
	}
	return best
}

func soonest(list []candidate) Choice {
	ch := lightest(list).choice()
	ch.Late = true
	return ch
}

// homeBlocks is the number of leading blocks whose key picks a prefix's own replica.
const homeBlocks = 8

func homeKey(prefix []units.PrefixKey) units.PrefixKey {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[min(len(prefix), homeBlocks)-1]
}

func affinity(key units.PrefixKey, id units.VMID) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(key))
	di := xxhash.New()
	_, _ = di.Write(buf[:])
	_, _ = di.WriteString(string(id))
	return di.Sum64()
}

// Keys returns the prefix keys of a prompt, one for each whole block of text.
func Keys(prompt []byte) []units.PrefixKey {
	const blockBytes = int(BlockTokens) * BytesPerToken
	di := xxhash.New()
	out := make([]units.PrefixKey, 0, len(prompt)/blockBytes)
	for len(prompt) >= blockBytes {
		_, _ = di.Write(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		out = append(out, units.PrefixKey(di.Sum64()))
	}
	return out
}

// BytesPerToken is the usual length of a token of text.
const BytesPerToken = 4
