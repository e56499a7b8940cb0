package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

const pathUsage = `measure path sends the same requests through a node and straight to an engine, in turns
within one run.

usage: measure path --node ADDR --engine ADDR --key KEY [--for D] [--rate R]

  --node ADDR     the caller address of a node
  --engine ADDR   an engine
  --key KEY       an API key
  --for D         time of each part (default: 5s)
  --rate R        requests a second of the part at half load; 0 takes half of what 64
                  callers reached
`

type pathCmd struct {
	Node   string        `arg:"--node,required"`
	Engine string        `arg:"--engine,required"`
	Key    string        `arg:"--key,required"`
	For    time.Duration `arg:"--for" default:"5s"`
	Rate   float64       `arg:"--rate"`
}

func (*pathCmd) Usage() string { return pathUsage }

func (pc *pathCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| callers | way | requests/s | p50 | p95 | p99 | allocations a request in the node |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	reached := 0.0
	for _, callers := range []int{1, 8, 64} {
		for _, way := range []string{"engine", "node"} {
			rate, hist, allocs, err := pc.closed(ctx, way, callers)
			if err != nil {
				return err
			}
			printPath(out, fmt.Sprint(callers), way, rate, hist, allocs)
			reached = rate
		}
	}
	rate := pc.Rate
	if rate == 0 {
		rate = reached / 2
	}
	for _, way := range []string{"engine", "node"} {
		hist, allocs, err := pc.open(ctx, way, rate)
		if err != nil {
			return err
		}
		printPath(out, fmt.Sprintf("open, %.0f/s", rate), way, rate, hist, allocs)
	}
	return nil
}

func printPath(out io.Writer, callers, way string, rate float64, hist *hdrhistogram.Histogram, allocs float64) {
	us := func(qu float64) float64 { return float64(hist.ValueAtQuantile(qu)) / 1000 }
	_, _ = fmt.Fprintf(out, "| %s | %s | %.0f | %.2f ms | %.2f ms | %.2f ms | %.0f |\n", callers, way, rate, us(50), us(95), us(99), allocs)
}

// prober sends one kind of request one way.
type prober struct {
	ca   *call.Caller
	addr string
	body []byte
	key  string
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func (pc *pathCmd) prober(way string) *prober {
	addr := pc.Node
	if way == "engine" {
		addr = pc.Engine
	}
	body, _ := json.Marshal(map[string]any{
		"model": "small", "max_tokens": 1, "stream": way == "engine",
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("word ", 100)}},
	})
	const highest, digits = 60_000_000, 3
	return &prober{ca: call.NewCaller(), addr: addr, body: body, key: pc.Key, hist: hdrhistogram.New(1, highest, digits)}
}

func (pr *prober) once(ctx context.Context) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + pr.addr + "/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+pr.key)
	req.SetBodyRaw(pr.body)
	began := time.Now()
	an, err := pr.ca.Do(ctx, pr.addr, req, false)
	if err != nil {
		return err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	if err != nil || an.Header.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d: %.200s", an.Header.StatusCode(), raw)
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.hist.RecordValue(max(1, time.Since(began).Microseconds()))
}

// closed lets callers send one request after the other.
func (pc *pathCmd) closed(ctx context.Context, way string, callers int) (rate float64, hist *hdrhistogram.Histogram, allocs float64, err error) {
	pr := pc.prober(way)
	before := pc.allocations()
	until := time.Now().Add(pc.For)
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				if err := pr.once(ctx); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err = <-errs:
	default:
	}
	count := float64(pr.hist.TotalCount())
	return count / pc.For.Seconds(), pr.hist, (pc.allocations() - before) / max(1, count), err
}

// open sends requests at a steady rate, whether or not earlier ones have ended.
func (pc *pathCmd) open(ctx context.Context, way string, rate float64) (*hdrhistogram.Histogram, float64, error) {
	pr := pc.prober(way)
	before := pc.allocations()
	gap := time.Duration(float64(time.Second) / rate)
	errs := make(chan error, 1)
	var wg sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < pc.For && ctx.Err() == nil; at += gap {
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() {
			if err := pr.once(ctx); err != nil {
				select {
				case errs <- err:
				default:
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return nil, 0, err
	default:
	}
	return pr.hist, (pc.allocations() - before) / max(1, float64(pr.hist.TotalCount())), nil
}

// allocations reads the node's total from its metrics.
func (pc *pathCmd) allocations() float64 {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+pc.Node+"/metrics", time.Second)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		var val float64
		if rest, ok := strings.CutPrefix(line, "lycheepick_allocations "); ok {
			_, _ = fmt.Sscan(rest, &val)
			return val
		}
	}
	return 0
}
