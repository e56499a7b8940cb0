package admin

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

const statusTimeout = 2 * time.Second

// NodeStatus is the status of one node, or in Err why the node could not be queried.
type NodeStatus struct {
	Node     units.VMID
	Address  string
	Zone     units.ZoneID
	State    member.State
	Ready    bool
	Version  units.Version
	InFlight int64
	// Took is the time from the start of WaitInForce until the node had the version.
	Took time.Duration
	Err  error
}

// Status queries the node at addr for its status and for the members that it knows.
func Status(ctx context.Context, pool *mesh.Pool, addr string) (*wire.StatusReply, []member.Member, error) {
	const op = "admin.Status"
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	re, err := pool.Peer(ctx, addr).Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, nil, fault.Wrap(op, KindUnreachable, err)
	}
	var list []member.Member
	for _, wm := range re.GetMembers() {
		me, err := mesh.MemberFromWire(wm)
		if err != nil {
			return nil, nil, fault.Wrap(op, KindUnreachable, err)
		}
		list = append(list, me)
	}
	return re, list, nil
}

// NodeStatuses queries every node that the node at addr knows and that is not gone.
func NodeStatuses(ctx context.Context, pool *mesh.Pool, addr string) ([]NodeStatus, error) {
	_, list, err := Status(ctx, pool, addr)
	if err != nil {
		return nil, err
	}
	var nodes []member.Member
	for _, me := range list {
		if me.Role == member.RoleNode && me.State != member.Gone {
			nodes = append(nodes, me)
		}
	}
	return iter.Map(nodes, func(me *member.Member) NodeStatus {
		ns := NodeStatus{Node: me.VM, Address: me.Address, Zone: me.Zone, State: me.State}
		re, _, err := Status(ctx, pool, me.Address)
		if err != nil {
			ns.Err = err
			return ns
		}
		ns.Ready = re.GetReady()
		ns.Version = units.Version(re.GetTableVersion())
		ns.InFlight = re.GetInFlight()
		return ns
	}), nil
}

const inForcePollPeriod = 50 * time.Millisecond

// WaitInForce waits until every live node has at least the given version in force. It returns the
// last status of each node. The KindNotInForce error when ctx ends names no nodes; the statuses
// show which ones lack the version.
func WaitInForce(ctx context.Context, pool *mesh.Pool, addr string, version units.Version) ([]NodeStatus, error) {
	const op = "admin.WaitInForce"
	began := time.Now()
	took := map[units.VMID]time.Duration{}
	for {
		list, err := NodeStatuses(ctx, pool, addr)
		if err != nil && ctx.Err() == nil {
			return nil, err
		}
		missing := 0
		for idx := range list {
			ns := &list[idx]
			if ns.Err != nil || ns.Version < version {
				missing++
				continue
			}
			if _, ok := took[ns.Node]; !ok {
				took[ns.Node] = time.Since(began)
			}
			ns.Took = took[ns.Node]
		}
		if missing == 0 && len(list) > 0 {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, fault.New(op, KindNotInForce, "%d of %d nodes do not have version %d yet", missing, len(list), version)
		case <-time.After(inForcePollPeriod):
		}
	}
}
