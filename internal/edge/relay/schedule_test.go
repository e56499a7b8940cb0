package relay_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"lycheepick/internal/edge/relay"
	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/state/routes"
)

// outcome is how a server of a schedule treats one send.
type outcome int

const (
	whole outcome = iota
	notSent
	refused
	unsigned
	fails
	broken // Before the answer or at any byte of it.
	outcomes
)

const streamEvents = 6

// script is an exchange whose servers behave as a schedule says. Those that can resume go on
// after the last event that they are told, the others begin anew.
type script struct {
	rt      *rapid.T
	stream  bool
	resumes bool
	sends   int
	runs    int
}

// Send implements relay.Exchange.
func (sc *script) Send(_ context.Context, at *relay.Attempt) (*relay.Reply, error) {
	sc.sends++
	out := outcome(rapid.IntRange(0, int(outcomes)-1).Draw(sc.rt, "outcome"))
	hd := &fasthttp.ResponseHeader{}
	rp := &relay.Reply{Status: fasthttp.StatusOK, Proper: true, Head: hd, Close: func() {}}
	if out == notSent {
		return nil, fault.New("test", relay.KindNotSent, "connection refused")
	}
	if out == refused {
		rp.Status, rp.Refused = fasthttp.StatusServiceUnavailable, true
		return rp, nil
	}
	sc.runs++
	if out == broken && rapid.Bool().Draw(sc.rt, "before the answer") {
		return nil, fault.New("test", relay.KindBroken, "the connection broke")
	}
	if out == fails {
		rp.Status = fasthttp.StatusInternalServerError
	}
	rp.Proper = out != unsigned
	hd.SetStatusCode(rp.Status)
	text := "answer"
	if sc.stream && rp.Status == fasthttp.StatusOK {
		text = eventsAfter("")
		if sc.resumes {
			text = eventsAfter(at.LastEvent)
		}
	}
	end := io.EOF
	if out == broken {
		end = io.ErrUnexpectedEOF
		text = text[:rapid.IntRange(0, len(text)-1).Draw(sc.rt, "bytes")]
	}
	rp.Body = &pieces{rt: sc.rt, text: text, end: end}
	return rp, nil
}

func eventsAfter(last string) string {
	from, _ := strconv.Atoi(last) // None is 0.
	var out strings.Builder
	for num := from + 1; num <= streamEvents; num++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", num, num)
	}
	return out.String()
}

// pieces gives a body in pieces of any size.
type pieces struct {
	rt   *rapid.T
	text string
	end  error
}

// Read implements io.Reader.
func (pi *pieces) Read(buf []byte) (int, error) {
	if pi.text == "" {
		return 0, pi.end
	}
	num := rapid.IntRange(1, min(len(pi.text), len(buf))).Draw(pi.rt, "piece")
	copy(buf, pi.text[:num])
	pi.text = pi.text[num:]
	return num, nil
}

// caller takes an answer and notes whether it was refused and ended.
type caller struct {
	sink
	started, refused, ended bool
}

// Start implements relay.Sink.
func (ca *caller) Start(hd *fasthttp.ResponseHeader) error {
	ca.started = true
	return ca.sink.Start(hd)
}

// Refuse implements relay.Sink.
func (ca *caller) Refuse(status int, reason string, after time.Duration) {
	ca.refused = status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if !ca.started { // Nothing more can be told once an answer has begun.
		ca.sink.Refuse(status, reason, after)
	}
}

// End implements relay.Sink.
func (ca *caller) End() error {
	ca.ended = true
	return nil
}

// TestStreamsKeepTheirOrder lets servers refuse, fail and break off at any byte, in any
// order: what the caller gets has no gap and nothing twice, an end is the true end, and a
// refusal is true.
func TestStreamsKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		repeat := rapid.SampledFrom([]routes.RetryPolicy{routes.AtMostOnce, routes.Idempotent, routes.Resumable}).Draw(rt, "repeat")
		sc, ca := &script{rt: rt, stream: true, resumes: repeat == routes.Resumable}, &caller{}
		rl := newRelay(rapid.IntRange(1, 4).Draw(rt, "servers"))
		rq := request(routes.Route{Stream: true, RetryPolicy: repeat})
		rq.LastEvent = rapid.SampledFrom([]string{"", "", "2"}).Draw(rt, "last event")
		if repeat != routes.Resumable {
			rq.LastEvent = ""
		}
		rl.Serve(context.Background(), rq, sc, ca)
		want := eventsAfter(rq.LastEvent)
		if ca.started && !strings.HasPrefix(want, ca.body) {
			rt.Fatalf("the caller got %q, want a beginning of %q", ca.body, want)
		}
		if ca.ended && ca.body != want {
			rt.Fatalf("the stream ended with %q, want %q", ca.body, want)
		}
		if ca.refused && sc.runs > 0 {
			rt.Fatalf("refused after %d runs", sc.runs)
		}
		if most := map[bool]int{true: 1, false: rq.Route.MaxAttempts}[repeat == routes.AtMostOnce]; sc.runs > most {
			rt.Fatalf("ran %d times, want %d or fewer", sc.runs, most)
		}
	})
}

// TestRetriesOfAllNodes lets servers fail at any rate: over all nodes, and any stretch of
// requests, repeats keep within the platform's fifth and a reserve for each node.
func TestRetriesOfAllNodes(t *testing.T) {
	const share, reserve = 0.2, 4
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(rt, "nodes")
		relays := make([]*relay.Relay, nodes)
		for num := range relays {
			relays[num] = newRelay(6)
		}
		// extra is the most by which any stretch that ends here is over the share.
		extra := 0.0
		for range rapid.IntRange(1, 120).Draw(rt, "requests") {
			sc := &script{rt: rt}
			rq := request(routes.Route{RetryPolicy: routes.Idempotent})
			rq.Customer = nil
			relays[rapid.IntRange(0, nodes-1).Draw(rt, "node")].Serve(context.Background(), rq, sc, &caller{})
			extra = max(0, extra+float64(max(0, sc.sends-1))-share)
			if extra > float64(reserve*nodes) {
				rt.Fatalf("repeats beyond the share: have %.1f, want %d or fewer", extra, reserve*nodes)
			}
		}
	})
}
