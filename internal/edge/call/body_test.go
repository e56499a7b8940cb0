package call_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

// answering starts a server that answers each request with a text and keeps its connections open. It returns
// its address and the number of its connections.
func answering(tb testing.TB, text string) (addr string, conns func() int) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ls.Close() })
	accepted := make(chan struct{}, 100)
	go func() {
		for cn, err := ls.Accept(); err == nil; cn, err = ls.Accept() {
			accepted <- struct{}{}
			go func() {
				defer func() { _ = cn.Close() }()
				rd := bufio.NewReader(cn)
				for {
					var req fasthttp.Request
					if req.Read(rd) != nil {
						return
					}
					if _, err := io.WriteString(cn, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ls.Addr().String(), func() int { return len(accepted) }
}

// ask sends a request and reads the whole answer.
func ask(ctx context.Context, ca *call.Caller, addr, method string) (body string, err error) {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + "/")
	an, err := ca.Do(ctx, addr, &req, false)
	if err != nil {
		return "", err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	return string(raw), err
}

// TestAnswersWithoutBody guards against calls that wait for a body which never comes: answers to HEAD and those of
// status 204 and 304 have none, whatever length they state. The connection serves the next call.
func TestAnswersWithoutBody(t *testing.T) {
	for _, tt := range []struct{ name, method, text string }{
		{"HEAD with a length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"},
		{"HEAD in chunks", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"HEAD without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{"204", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		{"204 in chunks", http.MethodPost, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n"},
		{"304 with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 800\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, ca := NewWithT(t), call.NewCaller()
			addr, conns := answering(t, tt.text)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			for range 2 {
				have, err := ask(ctx, ca, addr, tt.method)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(have).To(BeEmpty())
			}
			if tt.name != "HEAD without a length" { // Its connection may be closed after it.
				g.Expect(conns()).To(Equal(1))
			}
		})
	}
}
