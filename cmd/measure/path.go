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

const pathUsage = `measure path sends the same requests through a node and directly to an engine,
alternating within one run.

usage: measure path --node ADDR --engine ADDR --key KEY [--for D] [--rate R]

  --node ADDR     caller address of a node
  --engine ADDR   address of an engine
  --key KEY       API key
  --for D         duration of each measurement (default: 5s)
  --rate R        requests per second of the open-loop measurements; 0 means half of the
                  rate that 64 callers reached through the node
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
	closedLoopRate := 0.0
	for _, callers := range []int{1, 8, 64} {
		for _, target := range []string{"engine", "node"} {
			rate, hist, allocs, err := pc.closedLoop(ctx, target, callers)
			if err != nil {
				return err
			}
			printPath(out, fmt.Sprint(callers), target, rate, hist, allocs)
			closedLoopRate = rate
		}
	}
	targetRate := pc.Rate
	if targetRate == 0 {
		targetRate = closedLoopRate / 2
	}
	for _, target := range []string{"engine", "node"} {
		hist, allocs, err := pc.openLoop(ctx, target, targetRate)
		if err != nil {
			return err
		}
		printPath(out, fmt.Sprintf("open, %.0f/s", targetRate), target, targetRate, hist, allocs)
	}
	return nil
}

func printPath(out io.Writer, callers, target string, rate float64, hist *hdrhistogram.Histogram, allocs float64) {
	ms := func(qu float64) float64 { return float64(hist.ValueAtQuantile(qu)) / 1000 }
	_, _ = fmt.Fprintf(out, "| %s | %s | %.0f | %.2f ms | %.2f ms | %.2f ms | %.0f |\n", callers, target, rate, ms(50), ms(95), ms(99), allocs)
}

// client sends one request repeatedly to a node or an engine and records the latencies.
type client struct {
	ca   *call.Caller
	addr string
	body []byte
	key  string
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func (pc *pathCmd) newClient(target string) *client {
	addr := pc.Node
	if target == "engine" {
		addr = pc.Engine
	}
	body, _ := json.Marshal(map[string]any{
		"model": "small", "max_tokens": 1, "stream": target == "engine",
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("word ", 100)}},
	})
	const highest, digits = 60_000_000, 3
	return &client{ca: call.NewCaller(), addr: addr, body: body, key: pc.Key, hist: hdrhistogram.New(1, highest, digits)}
}

func (cl *client) send(ctx context.Context) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + cl.addr + "/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+cl.key)
	req.SetBodyRaw(cl.body)
	began := time.Now()
	an, err := cl.ca.Do(ctx, cl.addr, req, false)
	if err != nil {
		return err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	if err != nil || an.Header.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d: %.200s", an.Header.StatusCode(), raw)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.hist.RecordValue(max(1, time.Since(began).Microseconds()))
}

// closedLoop runs callers that each send one request after the other. rate is in requests
// per second, hist in microseconds; allocs is the node's allocations per request.
func (pc *pathCmd) closedLoop(ctx context.Context, target string, callers int) (rate float64, hist *hdrhistogram.Histogram, allocs float64, err error) {
	cl := pc.newClient(target)
	before := pc.allocations()
	until := time.Now().Add(pc.For)
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				if err := cl.send(ctx); err != nil {
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
	count := float64(cl.hist.TotalCount())
	return count / pc.For.Seconds(), cl.hist, (pc.allocations() - before) / max(1, count), err
}

// openLoop sends requests at a constant rate, whether or not earlier ones have ended. It
// returns the latencies in microseconds and the node's allocations per request.
func (pc *pathCmd) openLoop(ctx context.Context, target string, rate float64) (*hdrhistogram.Histogram, float64, error) {
	cl := pc.newClient(target)
	before := pc.allocations()
	gap := time.Duration(float64(time.Second) / rate)
	errs := make(chan error, 1)
	var wg sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < pc.For && ctx.Err() == nil; at += gap {
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() {
			if err := cl.send(ctx); err != nil {
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
	return cl.hist, (pc.allocations() - before) / max(1, float64(cl.hist.TotalCount())), nil
}

// allocations returns the node's total number of allocations, or 0 if its metrics can't be
// read.
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
