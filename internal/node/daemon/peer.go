package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lycheepick/internal/edge/keys"
	"lycheepick/internal/edge/quota"
	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/member"
)

// peerServer implements the RPC service for peers and the operators' command line.
type peerServer struct {
	wire.DRPCPeerUnimplementedServer
	da *Daemon
}

// Gossip merges a peer's membership changes and returns those of this node.
func (ps *peerServer) Gossip(_ context.Context, in *wire.GossipMessage) (*wire.GossipMessage, error) {
	msg, err := mesh.FromWire(in)
	if err != nil {
		return nil, err
	}
	ps.da.gossipMu.Lock()
	out := ps.da.gossip.Receive(msg, time.Now())
	ps.da.gossipMu.Unlock()
	ps.da.sendUrgent()
	ps.da.publishMembers()
	return mesh.ToWire(&out), nil
}

// Probe tries to reach a node on behalf of a peer that can't.
func (ps *peerServer) Probe(ctx context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	plan := member.Outgoing{To: member.Member{Address: in.GetAddress()}, Message: member.Message{From: ps.da.settings.VM.ID}}
	_, err := ps.da.callGossip(ctx, &plan)
	return &wire.ProbeReply{Alive: err == nil}, nil
}

// Table returns the table in force if the peer's version is older, otherwise an empty reply.
func (ps *peerServer) Table(_ context.Context, in *wire.TableRequest) (*wire.TableReply, error) {
	return ps.da.tableReply(units.Version(in.GetNewerThan())), nil
}

// Borrow lends a peer part of this node's allowance for a row, or renews such a loan. A refusal
// is an empty reply.
func (ps *peerServer) Borrow(_ context.Context, in *wire.BorrowRequest) (*wire.BorrowReply, error) {
	rs := quota.Resource(in.GetResource())
	if id := in.GetRenew(); id != 0 {
		if !ps.da.quota.Renew(in.GetRow(), rs, id) {
			return &wire.BorrowReply{}, nil
		}
		return &wire.BorrowReply{Id: id}, nil
	}
	id, amount := ps.da.quota.Lend(in.GetRow(), rs, in.GetAmount())
	return &wire.BorrowReply{Id: id, Amount: amount}, nil
}

// Claim claims an idempotency key for a peer.
func (ps *peerServer) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	ke := intent.Key{Customer: units.CustomerID(in.GetCustomer()), Key: in.GetKey()}
	verdict, an, err := ps.da.ledger.Claim(ctx, ke, intent.ID(in.GetIntent()), in.GetFingerprint())
	if err != nil {
		return &wire.ClaimReply{Failed: claimKind(err)}, nil
	}
	return &wire.ClaimReply{Verdict: uint32(verdict), Answer: answerToWire(an)}, nil
}

func claimKind(err error) string {
	var ke *keys.Error
	if errors.As(err, &ke) {
		return string(ke.Kind)
	}
	return string(keys.KindUndecided)
}

// Settle records the outcome of a keyed request for a peer.
func (ps *peerServer) Settle(ctx context.Context, in *wire.SettleRequest) (*wire.SettleReply, error) {
	err := ps.da.ledger.Record(ctx, entryFromSettle(in))
	return &wire.SettleReply{Recorded: err == nil}, nil
}

// Handover stores an unfinished request for a peer. A node that is leaving refuses it.
func (ps *peerServer) Handover(_ context.Context, in *wire.Session) (*wire.HandoverReply, error) {
	if ps.da.leaving.Load() {
		return &wire.HandoverReply{}, nil
	}
	return &wire.HandoverReply{Taken: ps.da.sessions.put(sessionFromWire(in))}, nil
}

// Fetch returns a stored request to the peer at which its caller has reconnected, and deletes it.
func (ps *peerServer) Fetch(_ context.Context, in *wire.FetchRequest) (*wire.FetchReply, error) {
	cu, rq := units.CustomerID(in.GetCustomer()), units.RequestID(in.GetRequest())
	se, ok := ps.da.sessions.take(cu, rq)
	switch {
	case !ok && ps.da.server.IsStreaming(cu, rq):
		return &wire.FetchReply{Session: &wire.Session{Request: in.GetRequest()}}, nil
	case !ok:
		return &wire.FetchReply{}, nil
	}
	return &wire.FetchReply{Found: true, Session: sessionToWire(se)}, nil
}

// Status returns this node's state, its table version and the membership as it knows it.
func (ps *peerServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	out := &wire.StatusReply{
		Node: string(ps.da.settings.VM.ID), Version: Version, Ready: ps.da.Ready() == nil,
		InFlight: ps.da.flow.Counts.InFlight.Load(),
	}
	if in := ps.da.table.Load(); in != nil {
		out.TableVersion = uint64(in.Version)
		out.TableHash = in.Hash
	}
	ps.da.gossipMu.Lock()
	list := ps.da.gossip.View().List()
	ps.da.gossipMu.Unlock()
	for idx := range list {
		out.Members = append(out.Members, mesh.MemberToWire(&list[idx]))
	}
	return out, nil
}
