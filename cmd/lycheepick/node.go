package main

import (
	"context"
	"fmt"
	"io"

	"lycheepick/internal/node/admin"
	"lycheepick/internal/state/member"
)

const nodeUsage = `lycheepick node shows the status of the nodes and of the backend servers.

usage: lycheepick node status --node ADDR --secret-file FILE

  --node ADDR   peer address of any node

It prints a line for each node, with the status that the node itself reports, and a line
for each backend server, with the status known to the node at ADDR.

exit status: 0 done, 2 bad usage, 3 node unreachable
`

type nodeCmd struct {
	Status *nodeStatus `arg:"subcommand:status"`
}

func (*nodeCmd) Usage() string { return nodeUsage }

func (*nodeCmd) Run(context.Context, io.Writer) error {
	return usageError("lycheepick.Run", "node: missing subcommand: status")
}

type nodeStatus struct{ sharedOptions }

func (*nodeStatus) Usage() string { return nodeUsage }

func (ns *nodeStatus) Run(ctx context.Context, out io.Writer) error {
	pool, err := ns.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	nodes, err := admin.NodeStatuses(ctx, pool, ns.Node)
	if err != nil {
		return err
	}
	for _, st := range nodes {
		_, _ = fmt.Fprintf(out, "node=%s zone=%s address=%s state=%s reachable=%t ready=%t table_version=%d in_flight=%d\n",
			st.Node, st.Zone, st.Address, st.State, st.Err == nil, st.Ready, st.Version, st.InFlight)
	}
	_, list, err := admin.Status(ctx, pool, ns.Node)
	if err != nil {
		return err
	}
	for _, me := range list {
		if me.Role != member.RoleNode {
			_, _ = fmt.Fprintf(out, "server=%s role=%s target=%s zone=%s class=%s address=%s state=%s incarnation=%d\n",
				me.VM, me.Role, me.Target, me.Zone, me.Class, me.Address, me.State, me.Incarnation)
		}
	}
	return nil
}
