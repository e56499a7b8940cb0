package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

// CostPolicy is the policy of the daemon: the cheapest server that is predicted to meet the
// latency targets, with prefix affinity among those of similar cost.
type CostPolicy struct {
	// Margin is the part of the first-token target that a prediction may use.
	Margin float64
	// Band is the ratio to the lowest cost within which affinity decides.
	Band float64
}

// NewCostPolicy returns the policy with the daemon's parameters.
func NewCostPolicy() CostPolicy { return CostPolicy{Margin: 0.6, Band: 1.3} }

type candidate struct {
	sv  *Server
	est Estimate
}

// Choose implements Policy.
func (co CostPolicy) Choose(now time.Time, rq *Request, servers []*Server) (Choice, bool) {
	list := usable(rq, servers)
	if len(list) == 0 {
		return Choice{}, false
	}
	all := make([]candidate, len(list))
	for idx, sv := range list {
		all[idx] = candidate{sv: sv, est: Predict(now, rq, sv)}
	}
	fitting := co.meetsTargets(rq, all)
	if len(fitting) == 0 {
		return earliestLate(all), true
	}
	return co.bestAffinity(rq, fitting).choice(), true
}

// meetsTargets returns the candidates that are predicted to meet both targets.
func (co CostPolicy) meetsTargets(rq *Request, all []candidate) []candidate {
	limit := time.Duration(float64(rq.FirstToken) * co.Margin)
	out := make([]candidate, 0, len(all))
	for _, ca := range all {
		if ca.est.FirstToken > limit {
			continue
		}
		if rq.BetweenTokens > 0 && ca.sv.Load.Step > rq.BetweenTokens {
			continue
		}
		out = append(out, ca)
	}
	return out
}

// bestAffinity picks, among the candidates with a free slot and within the band of the lowest
// cost, the one with most of the prefix cached, and by rendezvous rank among equals. Slots
// bound the affinity: a hot prefix fills its preferred server and spills over.
func (co CostPolicy) bestAffinity(rq *Request, fit []candidate) candidate {
	minCost := math.Inf(1)
	for idx := range fit {
		if fit[idx].est.HasFreeSlot {
			minCost = min(minCost, fit[idx].est.Cost)
		}
	}
	key := affinityKey(rq.Prefix)
	var best *candidate
	var bestRank uint64
	for idx := range fit {
		ca := &fit[idx]
		if !ca.est.HasFreeSlot || ca.est.Cost > minCost*co.Band {
			continue
		}
		rank := rendezvousRank(key, ca.sv.VM)
		if best == nil || ca.est.Cached > best.est.Cached || (ca.est.Cached == best.est.Cached && rank > bestRank) {
			best, bestRank = ca, rank
		}
	}
	if best == nil {
		return earliest(fit)
	}
	return *best
}

func (ca candidate) choice() Choice {
	return Choice{Server: ca.sv, FirstToken: ca.est.FirstToken, Cached: ca.est.Cached}
}

func earliest(list []candidate) candidate {
	best := list[0]
	for _, ca := range list[1:] {
		if ca.est.FirstToken < best.est.FirstToken {
			best = ca
		}
	}
	return best
}

func earliestLate(list []candidate) Choice {
	ch := earliest(list).choice()
	ch.Late = true
	return ch
}

// affinityBlocks is the number of leading blocks whose key selects the preferred server.
const affinityBlocks = 8

func affinityKey(prefix []units.PrefixKey) units.PrefixKey {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[min(len(prefix), affinityBlocks)-1]
}

func rendezvousRank(key units.PrefixKey, id units.VMID) uint64 {
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
