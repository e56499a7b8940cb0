package place

import (
	"time"

	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
)

// stayPenalty is the penalty, besides that of the transfer, for a server in another zone if the request stays in its own. 15 ms in all were
// measured to be better than the 3 ms of the transfer where zones have room. With more, prompts wait in their zone for what
// idle servers elsewhere could read at once.
const stayPenalty = 12 * time.Millisecond

// ownZone is the least that a usable server of the request's zone has to compute of its prompt, as of a time.
type ownZone struct {
	at       time.Time
	known    bool
	uncached units.Tokens
}

// keepsToOwn reports whether the servers preferred for a prompt are those of its own zone: it stays there, and a server reads the parts that it
// shares with others in less time than a stay is worth. The longer parts have to be read once for all zones, not once in each.
func (fl *Fleet) keepsToOwn(rq *Request) bool {
	return rq.Leave == spill.Stays && fl.prefillTime(rq.Prompt-rq.Blocks[len(rq.Blocks)-1].Tokens, 1) <= stayPenalty
}

// zonePenalty returns the penalty of a server for its zone. A request that stays in its zone leaves it if no server there is usable, if its
// target can only be met elsewhere, or if a part of its prompt is cached elsewhere whose computation takes longer than the transfer.
func (fl *Fleet) zonePenalty(now time.Time, rq *Request, st *serverState, latency time.Duration, uncached units.Tokens) (out time.Duration) {
	isAway := st.Zone != rq.Zone
	if isAway {
		out = otherZonePenalty
	}
	if rq.Leave != spill.Stays {
		return out
	}
	if latency > rq.TargetLeft { // As much for all servers if none meets the target.
		out += stayPenalty
	}
	if isAway && fl.prefillTime(fl.ownUncached(now, rq)-uncached, 1) <= otherZonePenalty {
		out += stayPenalty
	}
	return out
}

// ownUncached returns the least number of prompt tokens that a usable server of the request's zone has to compute.
func (fl *Fleet) ownUncached(now time.Time, rq *Request) units.Tokens {
	if rq.own.known && rq.own.at.Equal(now) {
		return rq.own.uncached
	}
	rq.own = ownZone{at: now, known: true, uncached: rq.Prompt}
	for _, st := range fl.servers {
		if st.Zone == rq.Zone && fl.usable(now, st) {
			rq.own.uncached = min(rq.own.uncached, max(0, rq.Prompt-st.cached(rq.Blocks)))
		}
	}
	return rq.own.uncached
}

// Capacity returns what the usable servers of each zone can run.
func (fl *Fleet) Capacity(now time.Time) map[units.ZoneID]spill.Capacity {
	out := map[units.ZoneID]spill.Capacity{}
	for _, st := range fl.servers {
		if fl.usable(now, st) {
			ca := out[st.Zone]
			ca.Servers, ca.Slots = ca.Servers+1, ca.Slots+max(st.Slots, 1)
			out[st.Zone] = ca
		}
	}
	return out
}

// Speed returns that of one server: a request takes as long as at the server that is fastest, where the least waits.
func (fl *Fleet) Speed(now time.Time) spill.Speed {
	out := spill.Speed{Prompts: fl.prefillRate}
	for _, st := range fl.servers {
		if st.usual > 0 && (out.Request == 0 || st.usual < out.Request) && fl.usable(now, st) {
			out.Request = st.usual
		}
	}
	return out
}
