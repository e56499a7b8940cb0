package main

import (
	"context"
	"io"

	"lycheepick/internal/fake/stand"
)

const balancerUsage = `standin balancer is a stand-in of the platform's balancer.

usage: standin balancer --listen ADDR NODE...

  --listen ADDR   host:port to listen on
  NODE            the caller address of a node

Connections go to the nodes whose /readyz answers 200, in turn.
`

type balancerCmd struct {
	Listen string   `arg:"--listen,required"`
	Nodes  []string `arg:"positional,required"`
}

func (*balancerCmd) Usage() string { return balancerUsage }

func (ba *balancerCmd) Run(ctx context.Context, _ io.Writer) error {
	return stand.NewBalancer(ba.Nodes).Serve(ctx, ba.Listen)
}
