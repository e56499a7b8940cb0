package main

import (
	"context"
	"io"

	"lycheepick/internal/fake/stand"
)

const balancerUsage = `standin balancer runs a fake of the platform's load balancer.

usage: standin balancer --listen ADDR NODE...

  --listen ADDR   host:port to listen on
  NODE            caller address of a node

It distributes TCP connections round robin over the nodes whose /readyz answers 200.
`

type balancerCmd struct {
	Listen string   `arg:"--listen,required"`
	Nodes  []string `arg:"positional,required"`
}

func (*balancerCmd) Usage() string { return balancerUsage }

func (ba *balancerCmd) Run(ctx context.Context, _ io.Writer) error {
	return stand.NewBalancer(ba.Nodes).Serve(ctx, ba.Listen)
}
