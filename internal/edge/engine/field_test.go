package engine_test

import (
	"net/http"
	"testing"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// TestInvalidFieldOfEngineIsFailure guards against an answer at the OpenAI address that is passed on though the name of one of its fields is no
// token.
func TestInvalidFieldOfEngineIsFailure(t *testing.T) {
	none := func(*http.Request) string { return "" }
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\x01Note: 1", "Transfer-Encoding : chunked", " X-Note: 1"} {
		text := "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nok"
		ca := call.NewCaller()
		addr := refusingServer(t, text, none)
		_, err := engine.NewClient(ca).Start(t.Context(), addr, &engine.Prompt{Request: "r", Attempt: 1, Path: "/v1/completions", Body: []byte("{}")})
		if !fault.Is(err, engine.KindBroken) {
			t.Errorf("%q, of an engine: have %v, want %s", line, err, engine.KindBroken)
		}
		_, err = plain.NewClient(ca).Do(t.Context(), refusingServer(t, text, none), &plain.Request{ID: units.RequestID("r"), Attempt: 1, Method: "GET", Path: "/"})
		if !fault.Is(err, plain.KindBroken) {
			t.Errorf("%q, of a plain service: have %v, want %s", line, err, plain.KindBroken)
		}
	}
}
