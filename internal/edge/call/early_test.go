package call_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

// TestAnswerBeforeRequestIsRead guards against a refusal that is lost since its server closes the connection
// before it has read the request, and so may break the send off.
func TestAnswerBeforeRequestIsRead(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	go func() {
		cn, err := ls.Accept()
		if err != nil {
			return
		}
		_, _ = cn.Read(make([]byte, 1))
		_, _ = io.WriteString(cn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		_ = cn.Close() // With bytes unread, which resets it.
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost("a")
	req.Header.SetMethod("POST")
	req.SetBodyRaw(make([]byte, 32<<20))
	an, err := call.NewCaller().DoIf(ctx, ls.Addr().String(), &req, call.Conditions{})
	if err != nil {
		t.Fatalf("have %v, want the answer", err)
	}
	defer an.Close()
	if have := string(an.Header.Peek("Retry-After")); an.Header.StatusCode() != 503 || have != "4" {
		t.Errorf("have status %d and Retry-After %q, want 503 and 4", an.Header.StatusCode(), have)
	}
}
