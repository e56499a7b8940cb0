package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// refusingServer answers the first request on a connection with first, and the others with a refusal
// that has the given headers.
func refusingServer(t *testing.T, first string, headers func(rq *http.Request) string) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	serve := func(cn net.Conn) {
		defer func() { _ = cn.Close() }()
		rd := bufio.NewReader(cn)
		for num := 0; ; num++ {
			rq, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, rq.Body)
			if num == 0 && first != "" {
				_, _ = io.WriteString(cn, first)
				continue
			}
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 503 Service Unavailable\r\nX-Refused: full\r\n%sContent-Length: 0\r\n\r\n", headers(rq))
		}
	}
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go serve(cn)
		}
	}()
	return ls.Addr().String()
}

// TestRefusalHasToNameTheAttempt guards against a refusal that proves that a request did not run, though
// it may be an earlier one that the server wrote once more on a kept connection.
func TestRefusalHasToNameTheAttempt(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	none := func(*http.Request) string { return "" }
	own := func(rq *http.Request) string {
		return "X-Request-Id: " + rq.Header.Get("X-Request-Id") + "\r\nX-Attempt: " + rq.Header.Get("X-Attempt") + "\r\n"
	}
	for _, tt := range []struct {
		name    string
		first   string
		headers func(rq *http.Request) string
		proof   bool
	}{
		{"the first on its connection", "", none, true},
		{"it names the attempt", whole, own, true},
		{"it names nobody", whole, none, false},
		{"it names an earlier attempt", whole, func(rq *http.Request) string {
			return "X-Request-Id: " + rq.Header.Get("X-Request-Id") + "\r\nX-Attempt: 0\r\n"
		}, false},
		{"it names another request", whole, func(*http.Request) string { return "X-Request-Id: other\r\nX-Attempt: 3\r\n" }, false},
	} {
		addr := refusingServer(t, tt.first, tt.headers)
		ca := call.NewCaller()
		if tt.first != "" { // Leaves a kept connection.
			an, err := ca.Do(t.Context(), addr, get(addr), true)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(an.Body)
			an.Close()
		}
		_, err := engine.NewClient(ca).Start(t.Context(), addr, &engine.Prompt{Request: "r", Attempt: 3, Path: "/v1/completions", Body: []byte("{}")})
		if have := fault.Is(err, engine.KindRefused); have != tt.proof || !have && !fault.Is(err, engine.KindBroken) {
			t.Errorf("%s, of an engine: have %v, want a proof: %t", tt.name, err, tt.proof)
		}
		_, err = plain.NewClient(ca).Do(t.Context(), addr, &plain.Request{ID: units.RequestID("r"), Attempt: 3, Method: "GET", Path: "/", Idempotent: true})
		if have := fault.Is(err, plain.KindRefused); tt.first != "" && have != tt.proof {
			t.Errorf("%s, of a plain service: have %v, want a proof: %t", tt.name, err, tt.proof)
		}
	}
}

func get(addr string) *fasthttp.Request {
	var req fasthttp.Request
	req.SetRequestURI("http://" + addr + "/")
	return &req
}
