package main

import (
	"context"
	"fmt"
	"image/color"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"lycheepick/internal/bench/crowd"
)

const crowdUsage = `measure crowd replays loads through the decisions of a whole fleet of nodes: placement,
limits, refusals, retries and the exchange between nodes. It compares them with a naive
fleet.

usage: measure crowd [--nodes N] [--servers N] [--load NAME] [--seed N] [--seeds N]
                     [--for D] [--plots DIR]

  --nodes N     nodes in the fleet (default: 8)
  --servers N   backend servers (default: 12)
  --load NAME   run only this load, such as "hot customer" (default: all)
  --seed N      first seed (default: 1)
  --seeds N     number of consecutive seeds (default: 3)
  --for D       virtual time during which requests arrive (default: 16s)
  --plots DIR   also write an SVG for each load: the share of requests in time by second
`

type crowdCmd struct {
	Nodes   int           `arg:"--nodes" default:"8"`
	Servers int           `arg:"--servers" default:"12"`
	Load    string        `arg:"--load"`
	Seed    uint64        `arg:"--seed" default:"1"`
	Seeds   int           `arg:"--seeds" default:"3"`
	For     time.Duration `arg:"--for" default:"16s"`
	Plots   string        `arg:"--plots"`
}

func (*crowdCmd) Usage() string { return crowdUsage }

// Run implements cline.Command.
func (cc *crowdCmd) Run(_ context.Context, out io.Writer) error {
	if cc.Nodes < 1 || cc.Servers < 2 || cc.Seeds < 1 || cc.For < time.Second {
		return errors.New("want at least 1 node, 2 servers, 1 seed and 1 s")
	}
	found := false
	_, _ = fmt.Fprintf(out, "%d nodes, %d servers, %s, seeds %d to %d.\n\n", cc.Nodes, cc.Servers, cc.For, cc.Seed, cc.Seed+uint64(cc.Seeds)-1)
	_, _ = fmt.Fprintln(out, "| load | seed | decisions | requests | in time | late | refused | lost | read, of what is needed once | first customer, of what is allowed |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, lo := range crowd.Loads() {
		if cc.Load != "" && cc.Load != lo.Name {
			continue
		}
		found = true
		if err := cc.replayLoad(out, lo); err != nil {
			return err
		}
	}
	if !found {
		return errors.Errorf("unknown load %q", cc.Load)
	}
	return nil
}

// replayLoad replays one load with all seeds, and plots the results of the first seed.
func (cc *crowdCmd) replayLoad(out io.Writer, lo crowd.Load) error {
	for num := range cc.Seeds {
		se := crowd.Setup{Nodes: cc.Nodes, Servers: cc.Servers, Load: lo, Duration: cc.For, Seed: cc.Seed + uint64(num)}
		ours := crowd.Run(se)
		se.Naive = true
		naive := crowd.Run(se)
		printRow(out, lo.Name, se.Seed, "ours", &ours)
		printRow(out, lo.Name, se.Seed, "naive", &naive)
		if num == 0 && cc.Plots != "" {
			if err := cc.draw(lo.Name, &ours, &naive); err != nil {
				return err
			}
		}
	}
	return nil
}

func printRow(out io.Writer, load string, seed uint64, variant string, re *crowd.Result) {
	share := func(count int) float64 { return 100 * float64(count) / float64(max(1, re.Requests)) }
	_, _ = fmt.Fprintf(out, "| %s | %d | %s | %d | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.2f | %.2f |\n", load, seed, variant, re.Requests,
		share(re.InTime), share(re.Late), share(re.Refused), share(re.Lost), float64(re.PrefilledTokens)/float64(re.UniqueTokens), re.LimitRatio)
}

const plotWidth, plotHeight = 16 * vg.Centimeter, 8 * vg.Centimeter

// draw plots the share of requests in time by the second of their arrival, as an SVG file.
func (cc *crowdCmd) draw(load string, ours, naive *crowd.Result) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s, %d nodes, %d servers", load, cc.Nodes, cc.Servers)
	pl.X.Label.Text, pl.Y.Label.Text = "second of arrival", "share in time"
	pl.Y.Min, pl.Y.Max = 0, 1
	pl.Legend.Left = true
	for _, cu := range []struct {
		name  string
		re    *crowd.Result
		color color.Color
	}{
		{"ours", ours, color.RGBA{B: 200, A: 255}},
		{"naive", naive, color.RGBA{R: 200, A: 255}},
	} {
		line, err := plotter.NewLine(inTimePerSecond(cu.re))
		if err != nil {
			return errors.Wrap(err, "draw")
		}
		line.Color = cu.color
		pl.Add(line)
		pl.Legend.Add(cu.name, line)
	}
	name := fmt.Sprintf("crowd-%d-%s.svg", cc.Nodes, strings.ReplaceAll(load, " ", "-"))
	return errors.Wrap(pl.Save(plotWidth, plotHeight, filepath.Join(cc.Plots, name)), "draw")
}

func inTimePerSecond(re *crowd.Result) plotter.XYs {
	var out plotter.XYs
	for num, se := range re.Seconds {
		if se.Requests > 0 {
			out = append(out, plotter.XY{X: float64(num), Y: float64(se.InTime) / float64(se.Requests)})
		}
	}
	return out
}
