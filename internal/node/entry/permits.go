package entry

import (
	"context"
	"time"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
)

// askPermits asks the node that issues a server's permits for some. If that node names another
// issuer, it asks that one.
func (no *Node) askPermits(ctx context.Context, rq permit.Request) (permit.Grant, error) {
	const op = "entry.askPermits"
	to := no.permitIssuer(rq.Server)
	if to.Node == no.settings.VM.ID {
		return no.issuePermits(rq), nil
	}
	re, err := no.askIssuer(ctx, to, &rq)
	if err == nil && re.Issuer.Node != "" && re.Issuer.Node != no.settings.VM.ID {
		re, err = no.askIssuer(ctx, re.Issuer, &rq)
	}
	if err != nil {
		return permit.Grant{}, err
	}
	if re.Issuer.Node != "" {
		return permit.Grant{}, fault.New(op, KindIssuer, "%s takes %s for the issuer of the permits of %s", to.Node, re.Issuer.Node, rq.ID)
	}
	return re.Grant, nil
}

func (no *Node) askIssuer(ctx context.Context, to pulse.Peer, rq *permit.Request) (*pulse.PermitReply, error) {
	re, err := no.peerClient.AskPermits(ctx, to.Address, rq)
	if err != nil && ctx.Err() == nil {
		no.mu.Lock()
		no.members.CallFailed(time.Now(), to.Node)
		no.mu.Unlock()
	}
	return re, fault.Wrap("entry.askIssuer", KindIssuer, err)
}

// permitIssuer returns the node that issues a server's permits.
func (no *Node) permitIssuer(sv notice.Server) pulse.Peer {
	no.mu.Lock()
	defer no.mu.Unlock()
	id := no.members.Issuer(time.Now(), sv)
	if pe := no.peers[id]; pe != nil {
		return pulse.Peer{Node: id, Address: pe.address}
	}
	return pulse.Peer{Node: no.settings.VM.ID, Address: no.settings.Listen.Peers}
}

// issuePermits issues permits of a server.
func (no *Node) issuePermits(rq permit.Request) permit.Grant {
	now := time.Now()
	no.mu.Lock()
	share := no.members.Share(now)
	no.mu.Unlock()
	return no.relay.IssuePermits(now, rq, share)
}

// Permits implements pulse.Handler.
func (no *Node) Permits(rq *permit.Request) *pulse.PermitReply {
	if to := no.permitIssuer(rq.Server); to.Node != no.settings.VM.ID {
		no.suspect(to.Node)
		return &pulse.PermitReply{Issuer: to}
	}
	return &pulse.PermitReply{Grant: no.issuePermits(*rq)}
}

// suspect calls a peer in the next round, which a node may have passed over since it doesn't
// answer.
func (no *Node) suspect(id units.VMID) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.members.Suspect(id)
}
