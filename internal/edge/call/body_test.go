package call_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
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

// endless starts a server that answers with a text and then repeats another one until the caller closes.
func endless(tb testing.TB, begin, repeat string) (addr string) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ls.Close() })
	go func() {
		for cn, err := ls.Accept(); err == nil; cn, err = ls.Accept() {
			go func() {
				defer func() { _ = cn.Close() }()
				var req fasthttp.Request
				_ = req.Read(bufio.NewReader(cn))
				_, err := io.WriteString(cn, begin)
				for more := []byte(repeat); err == nil; { // Not as a string, which each write would copy.
					_, err = cn.Write(more)
				}
			}()
		}
	}()
	return ls.Addr().String()
}

// TestBytesWithoutEndAreBounded guards against servers that send interim responses or a trailer without end: 64 calls
// at once fail long before their deadline, with 64 MiB allocated at most.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const calls, memory, chunked = 64, 64 << 20, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
	for _, tt := range []struct{ name, begin, repeat string }{
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a trailer's field", chunked + "X-Sum: ", strings.Repeat("x", 4096)},
		{"trailer fields", chunked, "X-Sum: " + strings.Repeat("x", 1000) + "\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, addr := NewWithT(t), endless(t, tt.begin, tt.repeat)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg conc.WaitGroup
			errs := make([]error, calls)
			for num := range calls {
				wg.Go(func() { _, errs[num] = ask(ctx, call.NewCaller(), addr, http.MethodGet) })
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			g.Expect(errs).To(HaveEach(HaveOccurred()))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the calls end before their deadline")
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", memory), "bytes allocated")
		})
	}
}

// TestTrailerBelongsToWholeAnswer guards against an answer with a trailer that is taken for one that broke off.
func TestTrailerBelongsToWholeAnswer(t *testing.T) {
	g, ca := NewWithT(t), call.NewCaller()
	addr, conns := answering(t, "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 7\r\nX-More: 1\r\n\r\n")
	for range 2 {
		have, err := ask(t.Context(), ca, addr, http.MethodGet)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(have).To(Equal("hi"))
	}
	g.Expect(conns()).To(Equal(1))
}
