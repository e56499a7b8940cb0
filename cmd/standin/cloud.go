package main

import (
	"context"
	"io"
	"time"

	"lycheepick/internal/fake/stand"
)

const cloudUsage = `standin cloud runs a fake of the platform's VM list and cloud API.

usage: standin cloud --listen ADDR [--lag D]

  --listen ADDR   host:port to listen on
  --lag D         delay until a change appears in the VM list (default: 0s)

Admin: POST /admin/vms [VM...], /admin/remove ["id"...], /admin/prices [PRICE...],
/admin/reclaim {"zone","vms","in","exit"}, /admin/fault {"down","slow"}.
`

type cloudCmd struct {
	Listen string        `arg:"--listen,required"`
	Lag    time.Duration `arg:"--lag" default:"0s"`
}

func (*cloudCmd) Usage() string { return cloudUsage }

func (cl *cloudCmd) Run(ctx context.Context, _ io.Writer) error {
	return stand.Serve(ctx, stand.NewCloud(cl.Lag).App(), cl.Listen, nil)
}
