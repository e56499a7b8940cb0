package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"lycheepick/internal/fake/stand"
	"lycheepick/internal/rule/units"
)

const loadUsage = `standin load generates an open-loop load and checks every answer.

usage: standin load --to ADDR --key KEY [--rate R] [--for D] [--streamed S] [--plain S]
                    [--tokens N] [--prompt B] [--prefixes N] [--seed N] [--direct]

  --to ADDR       host:port of a node, the balancer, or with --direct an engine
  --key KEY       API key
  --model M       model (default: small)
  --service S     plain service (default: notify)
  --rate R        requests per second (default: 20)
  --for D         duration (default: 10s)
  --streamed S    share of streamed model requests, 0 to 1 (default: 0.5)
  --plain S       share of requests to the plain service, 0 to 1 (default: 0.2)
  --tokens N      tokens in each answer (default: 32)
  --prompt B      length of each prompt, in bytes (default: 2048)
  --prefixes N    number of distinct prompt prefixes (default: 8)
  --deadline D    value of X-Deadline, which is sent only if this is set
  --seed N        seed of the random choices (default: 1)
  --direct        send the requests that a node would send to an engine, for comparison
  --allow-unknown exit 0 even if outcomes were unknown

exit status: 0 each answer was complete and correct, or failed as not_run; 1 otherwise
`

type loadCmd struct {
	To           string        `arg:"--to,required"`
	Key          string        `arg:"--key"`
	Model        string        `arg:"--model" default:"small"`
	Service      string        `arg:"--service" default:"notify"`
	Rate         float64       `arg:"--rate" default:"20"`
	For          time.Duration `arg:"--for" default:"10s"`
	Streamed     float64       `arg:"--streamed" default:"0.5"`
	Plain        float64       `arg:"--plain" default:"0.2"`
	Tokens       int           `arg:"--tokens" default:"32"`
	Prompt       int           `arg:"--prompt" default:"2048"`
	Prefixes     int           `arg:"--prefixes" default:"8"`
	Deadline     time.Duration `arg:"--deadline"`
	Seed         uint64        `arg:"--seed" default:"1"`
	Direct       bool          `arg:"--direct"`
	AllowUnknown bool          `arg:"--allow-unknown"`
}

func (*loadCmd) Usage() string { return loadUsage }

func (lo *loadCmd) Run(ctx context.Context, out io.Writer) error {
	re := stand.Load(ctx, stand.LoadConfig{
		Address: lo.To, APIKey: lo.Key, Model: units.TargetID(lo.Model), Service: units.TargetID(lo.Service),
		Rate: lo.Rate, Duration: lo.For, StreamedShare: lo.Streamed, PlainShare: lo.Plain, AnswerTokens: lo.Tokens,
		PromptBytes: lo.Prompt, Prefixes: lo.Prefixes, Seed: lo.Seed, Deadline: lo.Deadline, Direct: lo.Direct,
	})
	_, _ = fmt.Fprint(out, re.Summary())
	if re.Wrong > 0 {
		return errors.Errorf("%d wrong answers", re.Wrong)
	}
	if re.Unknown > 0 && !lo.AllowUnknown {
		return errors.Errorf("%d unknown outcomes", re.Unknown)
	}
	return nil
}
