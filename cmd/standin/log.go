package main

import (
	"context"
	"io"
	"time"

	"lycheepick/internal/fake/stand"
)

const logUsage = `standin log runs a fake of the platform's log service.

usage: standin log --listen ADDR [--retention D]

  --listen ADDR   host:port to listen on
  --retention D   how long records are kept (default: 24h)

Admin: POST /admin/fault {"down","slow","lose_answers","lose_next"}; GET /admin/appends.
`

type logCmd struct {
	Listen    string        `arg:"--listen,required"`
	Retention time.Duration `arg:"--retention" default:"24h"`
}

func (*logCmd) Usage() string { return logUsage }

func (lo *logCmd) Run(ctx context.Context, _ io.Writer) error {
	return stand.Serve(ctx, stand.NewLog(lo.Retention).App(), lo.Listen, nil)
}
