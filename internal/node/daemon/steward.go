package daemon

import (
	"context"
	"time"

	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// Each backend server has an owner node: the first live node in rendezvous order. The owner polls
// the server's load often and is told of every request that is about to be sent there, so it
// knows the current load. Two owners, or none, cost accuracy but not correctness.

// reserveTimeout bounds a request to an owner node; without an answer, a node uses the load that
// it knows itself.
const reserveTimeout = 50 * time.Millisecond

// ownerOf returns the owner node of a server, nil if there is no live node.
func (da *Daemon) ownerOf(id units.VMID) *member.Member {
	return da.fleet.Snapshot().OwnerNode(id)
}

// Reserve implements flow.Owners. It tells the owner node of a server that a request is about to be
// sent there, and returns the server's state. It returns false if there is no owner, or the owner
// does not answer or does not know the server.
func (da *Daemon) Reserve(ctx context.Context, re *route.Server, as *route.Request) (route.ServerState, bool) {
	ow := da.ownerOf(re.VM)
	if ow == nil {
		return route.ServerState{}, false
	}
	fresh := as.PromptTokens
	if isSelf(da, ow) {
		return da.reserve(re.Instance, route.SamplePrefix(as.Prefix), fresh)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	sample := route.SamplePrefix(as.Prefix)
	rq := &wire.ReserveRequest{
		Replica: string(re.VM), Incarnation: uint64(re.Incarnation), Tokens: int64(fresh),
		Stride: uint32(sample.Stride), Prefix: prefixToWire(sample.Keys),
	}
	out, err := da.peerPool.Peer(ctx, ow.Address).Reserve(ctx, rq)
	if err != nil || !out.GetKnown() {
		return route.ServerState{}, false
	}
	return stateFromWire(out), true
}

// reserve counts a request towards a server's load and returns the server's state. This node is
// the server's owner, or is taken for it by a peer whose membership differs.
func (da *Daemon) reserve(id units.Instance, prefix route.PrefixSample, tokens units.Tokens) (route.ServerState, bool) {
	re := da.fleet.Snapshot().Server(id.VM)
	if re == nil || re.Instance != id {
		return route.ServerState{}, false
	}
	now := time.Now()
	st := route.CurrentState(now, re, prefix)
	st.Ticket = re.Dispatches.Dispatched(now, max(0, tokens-st.Cached))
	re.Cache.Add(prefix.Keys)
	return st, true
}

// Reserve answers a peer that is about to send a request to a server.
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

func prefixToWire(keys []units.PrefixKey) []uint64 {
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
