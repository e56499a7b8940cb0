package daemon

import (
	"context"
	"time"

	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// Each replica has a steward: the first live node in rendezvous order. The steward asks
// the replica for its load often, hears of every request that is about to go there, and
// so knows its present state. Two stewards, or none, cost accuracy and nothing else.

// reserveTime bounds a question to a steward; a node that gets no answer goes by what
// it knows itself.
const reserveTime = 50 * time.Millisecond

// stewardOf returns the steward of a replica, nil if there is no live node.
func (da *Daemon) stewardOf(id units.VMID) *member.Member {
	return da.fleet.Snapshot().Steward(id)
}

// Ask implements flow.Stewards: it asks the steward of a replica for its state and
// tells it of the request.
func (da *Daemon) Ask(ctx context.Context, re *route.Server, as *route.Request) (route.ServerState, bool) {
	st := da.stewardOf(re.VM)
	if st == nil {
		return route.ServerState{}, false
	}
	fresh := as.PromptTokens
	if isSelf(da, st) {
		return da.reserve(re.Instance, route.SamplePrefix(as.Prefix), fresh)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTime)
	defer cancel()
	marks := route.SamplePrefix(as.Prefix)
	rq := &wire.ReserveRequest{
		Replica: string(re.VM), Incarnation: uint64(re.Incarnation), Tokens: int64(fresh),
		Stride: uint32(marks.Stride), Prefix: marksToWire(marks.Keys),
	}
	out, err := da.pool.Peer(ctx, st.Address).Reserve(ctx, rq)
	if err != nil || !out.GetKnown() {
		return route.ServerState{}, false
	}
	return stateFromWire(out), true
}

// reserve answers for a replica that this node is the steward of, or takes itself for.
func (da *Daemon) reserve(id units.Instance, prefix route.PrefixSample, tokens units.Tokens) (route.ServerState, bool) {
	re := da.fleet.Snapshot().Replica(id.VM)
	if re == nil || re.Instance != id {
		return route.ServerState{}, false
	}
	now := time.Now()
	st := route.CurrentState(now, re, prefix)
	st.Ticket = re.Dispatches.Dispatched(now, max(0, tokens-st.Cached))
	re.Cache.Add(prefix.Keys)
	return st, true
}

// Reserve answers a peer that asks about a replica.
func (ps *peerServer) Reserve(_ context.Context, in *wire.ReserveRequest) (*wire.ReserveReply, error) {
	id := units.Instance{VM: units.VMID(in.GetReplica()), Incarnation: units.Incarnation(in.GetIncarnation())}
	prefix := route.PrefixSample{Stride: int(in.GetStride()), Keys: make([]units.PrefixKey, len(in.GetPrefix()))}
	for idx, key := range in.GetPrefix() {
		prefix.Keys[idx] = units.PrefixKey(key)
	}
	st, ok := ps.da.reserve(id, prefix, units.Tokens(in.GetTokens()))
	if !ok {
		return &wire.ReserveReply{}, nil
	}
	return stateToWire(&st), nil
}

func marksToWire(keys []units.PrefixKey) []uint64 {
	out := make([]uint64, len(keys))
	for idx, key := range keys {
		out[idx] = uint64(key)
	}
	return out
}

func stateToWire(st *route.ServerState) *wire.ReserveReply {
	return &wire.ReserveReply{
		Known: true, Running: int32(st.Load.Running), Queued: int32(st.Load.Queued), Slots: int32(st.Load.Slots),
		QueuedTokens: int64(st.Load.QueuedTokens), PrefillRate: float64(st.Load.PrefillRate),
		StepUs: st.Load.Step.Microseconds(), CachedTokens: int64(st.Cached), Usable: st.Usable,
	}
}

func stateFromWire(in *wire.ReserveReply) route.ServerState {
	return route.ServerState{
		Load: route.Load{
			Running: int(in.GetRunning()), Queued: int(in.GetQueued()), Slots: int(in.GetSlots()),
			QueuedTokens: units.Tokens(in.GetQueuedTokens()), PrefillRate: units.TokensPerSecond(in.GetPrefillRate()),
			Step: time.Duration(in.GetStepUs()) * time.Microsecond, At: time.Now(),
		},
		Cached: units.Tokens(in.GetCachedTokens()), Usable: in.GetUsable(),
	}
}
