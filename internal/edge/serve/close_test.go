package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/serve"
)

// largeNode has metrics of a size.
type largeNode struct {
	serve.Node
	size int
}

// Metrics implements serve.Node.
func (ln *largeNode) Metrics() (body []byte, contentType string) {
	return make([]byte, ln.size), "text/plain"
}

// TestAnswerOutlivesClose guards against a reset that takes the rest of an answer with it: the connection is closed
// after the answer while its caller sends another request, and reads slowly.
func TestAnswerOutlivesClose(t *testing.T) {
	const size, callers, held = 1 << 20, 50, 16 << 10 // The kernels hold the answer, but not the caller's alone.
	sv := serve.New(context.Background(), &largeNode{size: size}, &flow.Flow{}, serve.Limits{Body: 1 << 20, Header: 8 << 10, Connections: 2 * callers})
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ls.Addr().String()
	_ = ls.Close()
	go func() { _ = sv.Listen(addr) }()
	t.Cleanup(func() { _ = sv.Shutdown(time.Second) })
	firstLine(t, addr, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") // It listens.
	for _, sendsAfter := range []time.Duration{0, 5 * time.Millisecond, 400 * time.Millisecond} {
		failed := make(chan error, callers)
		for range callers {
			go func() { failed <- callAndSendMore(addr, size, held, sendsAfter) }()
		}
		count := 0
		var last error
		for range callers {
			if err := <-failed; err != nil {
				count, last = count+1, err
			}
		}
		if count > 0 {
			t.Errorf("next request after %s: %d of %d callers got no whole answer: %v", sendsAfter, count, callers, last)
		}
	}
}

func callAndSendMore(addr string, size, held int, sendsAfter time.Duration) error {
	cn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(time.Now().Add(20 * time.Second))
	if err := cn.(*net.TCPConn).SetReadBuffer(held); err != nil {
		return err
	}
	_, _ = io.WriteString(cn, "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	time.Sleep(sendsAfter)
	_, _ = io.WriteString(cn, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && len(raw) != size {
		err = fmt.Errorf("have %d bytes, want %d", len(raw), size)
	}
	return err
}
