package main

import (
	"context"
	"io"

	"lycheepick/internal/fake/stand"
)

const plainUsage = `standin plain runs a fake plain service.

usage: standin plain --listen ADDR [--name S]

  --listen ADDR   host:port to listen on
  --name S        name of the service (default: notify)

Admin: POST /admin/fault {"down","slow","refuse","lose_answers","lose_next"}, /admin/drain;
GET /admin/runs returns the number of executions for each request body.
`

type plainCmd struct {
	Listen string `arg:"--listen,required"`
	Name   string `arg:"--name" default:"notify"`
}

func (*plainCmd) Usage() string { return plainUsage }

func (pl *plainCmd) Run(ctx context.Context, _ io.Writer) error {
	return stand.Serve(ctx, stand.NewPlain(pl.Name).App(), pl.Listen, nil)
}
