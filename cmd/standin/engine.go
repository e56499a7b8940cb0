package main

import (
	"context"
	"io"
	"time"

	"lycheepick/internal/fake/stand"
	"lycheepick/internal/rule/units"
)

const engineUsage = `standin engine runs a fake model engine.

usage: standin engine --listen ADDR [--model M] [--slots N] [--step D] [--prefill R]
                      [--kv-rate B] [--kv-token B]

  --listen ADDR   host:port to listen on
  --model M       model that it serves (default: small)
  --slots N       maximum batch size, in requests (default: 16)
  --step D        duration of a decode step (default: 5ms)
  --prefill R     prefill rate, in tokens per second (default: 20000)
  --kv-rate B     rate of KV cache imports, in bytes per second (default: 1e9)
  --kv-token B    size of the KV cache of one token, in bytes (default: 131072)

Admin: POST /admin/fault {"down","slow","refuse","speed"}, /admin/drain, /admin/exit;
GET /admin/stats.
`

type engineCmd struct {
	Listen  string        `arg:"--listen,required"`
	Model   string        `arg:"--model" default:"small"`
	Slots   int           `arg:"--slots" default:"16"`
	Step    time.Duration `arg:"--step" default:"5ms"`
	Prefill float64       `arg:"--prefill" default:"20000"`
	KVRate  float64       `arg:"--kv-rate" default:"1e9"`
	KVToken int64         `arg:"--kv-token" default:"131072"`
}

func (*engineCmd) Usage() string { return engineUsage }

func (en *engineCmd) Run(ctx context.Context, _ io.Writer) error {
	app := stand.NewEngine(stand.EngineConfig{
		Model: units.TargetID(en.Model), Slots: en.Slots, Step: en.Step,
		PrefillRate: units.TokensPerSecond(en.Prefill),
		KVRate:      units.BytesPerSecond(en.KVRate), KVPerToken: units.Bytes(en.KVToken),
	}).App()
	return stand.Serve(ctx, app, en.Listen, nil)
}
