package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/state/routes"
)

// endSink is a sink that knows whether the response ended as complete.
type endSink struct {
	sink
	ended bool
}

func (es *endSink) Respond(hd *fasthttp.ResponseHeader, body []byte) error {
	es.ended = true
	return es.sink.Respond(hd, body)
}

func (es *endSink) End() error {
	es.ended = true
	return nil
}

// typedReply is the response of a server with a status, a type and a body.
func typedReply(status int, kind, body string) func() *relay.Reply {
	return func() *relay.Reply {
		rp := streamReply(body)
		rp.Status = status
		rp.Head.SetStatusCode(status)
		if kind != "" {
			rp.Head.SetContentType(kind)
		}
		return rp
	}
}

// TestBrokenStreamGoesOnWithError guards against an error, or a whole answer, in the middle of a stream that
// another server goes on with, and against a stream that ends there as if it were complete.
func TestBrokenStreamGoesOnWithError(t *testing.T) {
	const stream, begun = "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const rest = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	refused := func() *relay.Reply { return &relay.Reply{Status: 503, Refused: true, Close: func() {}} }
	for _, tt := range []struct {
		name string
		next func() *relay.Reply
		// want is what the caller has got in the end, and whole whether it ended as complete.
		want  string
		whole bool
	}{
		{"the rest", typedReply(200, stream, rest), begun + rest, true},
		{"the rest without a type", typedReply(200, "", rest), begun + rest, true},
		{"a refusal", refused, begun, false},
		{"500", typedReply(500, "text/plain", "failed"), begun, false},
		{"404", typedReply(404, "text/plain", "failed\n\n"), begun, false},
		{"200 with JSON", typedReply(200, "application/json", "{\"error\":1}\n\n"), begun, false},
		{"JSON as a stream", typedReply(200, stream, "{\"error\":1}\n\n"), begun, false},
		{"an event with an error", typedReply(200, stream, "data: {\"error\":1}\n\n"), begun, false},
		{"200 with nothing", typedReply(200, "", ""), begun, false},
		{"a stream of nothing", typedReply(200, stream, ""), begun, false},
		{"a comment", typedReply(200, stream, ": busy\n\n"), begun + ": busy\n\n", false},
		{"the stream from its beginning", typedReply(200, stream, begun+rest), begun, false},
		{"an event that comes again", typedReply(200, stream, "id: 2\ndata: b\n\n"+rest), begun, false},
		{"a head after an event", typedReply(200, stream, "id: 3\ndata: c\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed\n\n"), begun + "id: 3\ndata: c\n\n", false},
		{"a head of lower case", typedReply(200, stream, "id: 3\ndata: c\n\nhttp/1.1 500\ncontent-type: text/plain\n\n"), begun + "id: 3\ndata: c\n\n", false},
		{"an event without end", typedReply(200, stream, "id: 3\ndata: "+strings.Repeat("c", 2<<20)), begun, false},
	} {
		si := &endSink{}
		ex := &exchange{replies: []*relay.Reply{typedReply(200, stream, begun+"id: 3\nda")(), tt.next()}}
		newRelay(2).Serve(t.Context(), request(routes.Route{Stream: true, RetryPolicy: routes.Resumable, MaxAttempts: 2}), ex, si)
		if si.body != tt.want || si.ended != tt.whole || ex.sends < 2 {
			t.Errorf("%s: have %.80q, ended as complete: %t, %d sends; want %q, %t", tt.name, si.body, si.ended, ex.sends, tt.want, tt.whole)
		}
	}
}

// FuzzEvents checks that nothing but events in order reaches the caller, whatever a server sends.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", "id: 3\n\n")
	f.Add("id: 1\n\nHTTP/1.1 500 x\r\n\r\n\n\n", "{\"error\":1}\n\n")
	f.Add("0", "id:1\nid:0\n\n")
	f.Add(":\n\nid:9\nx-weight-versions: 2\n\n", "id: 9\n\nid: 10\n\n")
	f.Fuzz(func(t *testing.T, one, two string) {
		si := &endSink{}
		ex := &exchange{replies: []*relay.Reply{streamReply(one), streamReply(two)}}
		newRelay(2).Serve(t.Context(), request(routes.Route{Stream: true, RetryPolicy: routes.Resumable, MaxAttempts: 2}), ex, si)
		last := ""
		if si.status != fasthttp.StatusOK {
			return
		}
		for _, ev := range strings.Split(strings.TrimSuffix(si.body, "\n\n"), "\n\n") {
			for _, line := range strings.Split(ev, "\n") {
				id, ok := strings.CutPrefix(line, "id:")
				if name, _, _ := strings.Cut(line, ":"); strings.ContainsAny(name, " {}/ABCDEFGHIJKLMNOPQRSTUVWXYZ") {
					t.Fatalf("have the line %q in a stream", line)
				}
				if !ok {
					continue
				}
				var num, before uint64
				if have, _ := fmt.Sscan(strings.TrimSpace(id), &num); have == 1 && last != "" {
					if have, _ := fmt.Sscan(last, &before); have == 1 && num < before {
						t.Fatalf("have event %d after %d", num, before)
					}
				}
				last = strings.TrimSpace(id)
			}
		}
	})
}
