package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const sharedPart, guiltyPart, otherPart place.BlockID = 1, 2, 3

// reportCrashes lets a relay learn from a peer of four crashes under guiltyPart, the last of them
// this long ago.
func reportCrashes(rl *relay.Relay, age time.Duration) {
	bo := crash.NewBook(1)
	now := time.Now()
	for num := range 4 {
		at := now.Add(-age - time.Duration(3-num)*time.Second)
		bo.Lost(now, notice.Server{ID: units.VMID(rune('p' + num))}, crash.Loss{Request: uint32(num), At: at, Parts: []place.BlockID{sharedPart, guiltyPart}})
	}
	bo.Judge(now)
	rl.ApplyCrashReport(now, bo.Report(now.Add(4*time.Second), crash.Summary{}))
	time.Sleep(110 * time.Millisecond) // The relay judges at most so often.
}

// crashingServers is an exchange whose servers crash under each request, before the response or,
// with stream, after its first event.
type crashingServers struct {
	stream bool
	sends  int
	// connecting and sent are called before and after a request is sent.
	connecting, sent func()
}

// Send implements relay.Exchange.
func (cs *crashingServers) Send(_ context.Context, at *relay.Attempt) (*relay.Reply, error) {
	if cs.connecting != nil {
		cs.connecting()
	}
	if at.Blocked() {
		return nil, fault.New("test", relay.KindBlocked, "blocked")
	}
	cs.sends++
	if cs.sent != nil {
		cs.sent()
	}
	if !cs.stream {
		return nil, fault.Wrap("test", relay.KindBroken, io.EOF)
	}
	hd := &fasthttp.ResponseHeader{}
	hd.SetNoDefaultContentType(true)
	hd.SetStatusCode(fasthttp.StatusOK)
	return &relay.Reply{
		Status: fasthttp.StatusOK, Authentic: true, Head: hd, SentAt: time.Now(),
		Body: strings.NewReader("id: 1\n\ncut"), Close: func() {},
	}, nil
}

func crashRequest(ro routes.Route, parts ...place.BlockID) *relay.Request {
	rq := request(ro)
	rq.Customer = nil
	for _, id := range append(parts, 99) {
		rq.PrefixBlocks = append(rq.PrefixBlocks, place.Block{ID: id, Tokens: 100})
	}
	return rq
}

// TestBlockedPartIsNotSent guards against requests with a part that crashes servers which reach one
// more of them: at the first attempt, while connecting, as retries and as resumptions.
func TestBlockedPartIsNotSent(t *testing.T) {
	plain, stream := routes.Route{RetryPolicy: routes.Idempotent}, routes.Route{Stream: true, RetryPolicy: routes.Resumable}
	const before, connecting, sent = "before", "connecting", "sent"
	for _, tt := range []struct {
		name      string
		route     routes.Route
		lastEvent string
		parts     []place.BlockID
		// when is when the part is blocked, age that of its last crash.
		when          string
		age           time.Duration
		sends, status int
	}{
		{"first attempt", plain, "", []place.BlockID{sharedPart, guiltyPart}, before, 2 * time.Second, 0, 503},
		{"first part of the prompt", plain, "", []place.BlockID{guiltyPart, otherPart}, before, 2 * time.Second, 0, 503},
		{"stream that the caller resumes", stream, "4", []place.BlockID{sharedPart, guiltyPart}, before, 2 * time.Second, 0, 503},
		{"blocked while connecting", plain, "", []place.BlockID{sharedPart, guiltyPart}, connecting, 2 * time.Second, 0, 503},
		{"retry", plain, "", []place.BlockID{sharedPart, guiltyPart}, sent, 2 * time.Second, 1, 502},
		{"stream that this node resumes", stream, "", []place.BlockID{sharedPart, guiltyPart}, sent, 2 * time.Second, 1, 502},
		{"trial after a time", plain, "", []place.BlockID{sharedPart, guiltyPart}, before, 40 * time.Second, 1, 502},
		{"sound request with the same first part", plain, "", []place.BlockID{sharedPart, otherPart}, before, 2 * time.Second, 2, 502},
		{"part that only this request has", plain, "", nil, before, 2 * time.Second, 2, 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rl, si, ex := newRelay(3), &sink{}, &crashingServers{stream: tt.route.Stream}
			block := func() { reportCrashes(rl, tt.age) }
			switch tt.when {
			case before:
				block()
			case connecting:
				ex.connecting = block
			default:
				ex.sent = block
			}
			rq := crashRequest(tt.route, tt.parts...)
			rq.LastEvent = tt.lastEvent
			began := time.Now()
			rl.Serve(context.Background(), rq, ex, si)
			if ex.sends != tt.sends || si.status != tt.status {
				t.Errorf("have %d sends and status %d, want %d and %d", ex.sends, si.status, tt.sends, tt.status)
			}
			if tt.when == sent && rl.Counts.Retries.Load() > 0 {
				t.Error("have a retry of a blocked request, want none")
			}
			if tt.status == 503 && (si.after < time.Second || time.Since(began) > 500*time.Millisecond) {
				t.Errorf("have a retry after %s, after %s, want it at once and of a second or more", si.after, time.Since(began))
			}
		})
	}
}

// TestRepeatedRequestIsNotSent guards against a request that crashes servers, comes again with another
// id, and reaches one more of them.
func TestRepeatedRequestIsNotSent(t *testing.T) {
	const guiltyContent, otherContent = 42, 43
	for _, tt := range []struct {
		name          string
		content       uint64
		sends, status int
	}{
		{"the same request", guiltyContent, 0, 503},
		{"another request with the same prompt", otherContent, 2, 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			rl, si, ex := newRelay(3), &sink{}, &crashingServers{}
			for num := range 3 { // One attempt may crash two servers.
				rq := crashRequest(routes.Route{RetryPolicy: routes.Idempotent}, sharedPart)
				rq.ID, rq.Content = units.RequestID(rune('a'+num)), guiltyContent
				rl.Serve(context.Background(), rq, ex, &sink{})
				time.Sleep(150 * time.Millisecond) // Crashes at one moment don't count.
			}
			time.Sleep(1500 * time.Millisecond)
			ex.sends = 0
			rq := crashRequest(routes.Route{RetryPolicy: routes.Idempotent}, sharedPart)
			rq.ID, rq.Content = "z", tt.content
			rl.Serve(context.Background(), rq, ex, si)
			if ex.sends != tt.sends || si.status != tt.status {
				t.Errorf("have %d sends and status %d, want %d and %d", ex.sends, si.status, tt.sends, tt.status)
			}
		})
	}
}
