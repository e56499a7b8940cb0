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

// peerServer answers peers and the operators' command line.
type peerServer struct {
	wire.DRPCPeerUnimplementedServer
	da *Daemon
}

// Gossip merges a peer's changes and returns this node's.
func (ps *peerServer) Gossip(_ context.Context, in *wire.GossipMessage) (*wire.GossipMessage, error) {
	msg, err := mesh.FromWire(in)
	if err != nil {
		return nil, err
	}
	ps.da.gossipMu.Lock()
	out := ps.da.gossip.Receive(msg, time.Now())
	ps.da.gossipMu.Unlock()
	ps.da.sendUrgent()
	ps.da.membersChanged()
	return mesh.ToWire(&out), nil
}

// Probe tries to reach a node for a peer that could not.
func (ps *peerServer) Probe(ctx context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	plan := member.Outgoing{To: member.Member{Address: in.GetAddress()}, Message: member.Message{From: ps.da.set.VM.ID}}
	_, err := ps.da.callGossip(ctx, &plan)
	return &wire.ProbeReply{Alive: err == nil}, nil
}

// Table returns the version in force if the peer's is older.
func (ps *peerServer) Table(_ context.Context, in *wire.TableRequest) (*wire.TableReply, error) {
	return ps.da.tableReply(units.Version(in.GetNewerThan())), nil
}

// Borrow lends a part of a row's allowance.
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

// Claim claims a key for a peer.
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

// Settle records the end of a keyed request for a peer.
func (ps *peerServer) Settle(ctx context.Context, in *wire.SettleRequest) (*wire.SettleReply, error) {
	err := ps.da.ledger.Record(ctx, settledEntry(in))
	return &wire.SettleReply{Recorded: err == nil}, nil
}

// Handover keeps a request of a peer that leaves.
func (ps *peerServer) Handover(_ context.Context, in *wire.Session) (*wire.HandoverReply, error) {
	if ps.da.leaving.Load() {
		return &wire.HandoverReply{}, nil
	}
	return &wire.HandoverReply{Taken: ps.da.sessions.put(sessionFromWire(in))}, nil
}

// Fetch gives a kept request to the peer that its caller came to.
func (ps *peerServer) Fetch(_ context.Context, in *wire.FetchRequest) (*wire.FetchReply, error) {
	se, ok := ps.da.sessions.take(units.CustomerID(in.GetCustomer()), units.RequestID(in.GetRequest()))
	if !ok {
		return &wire.FetchReply{}, nil
	}
	return &wire.FetchReply{Found: true, Session: sessionToWire(se)}, nil
}

// Status reports what this node knows.
func (ps *peerServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	out := &wire.StatusReply{
		Node: string(ps.da.set.VM.ID), Version: Version, Ready: ps.da.Ready() == nil,
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
