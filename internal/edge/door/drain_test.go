package door_test

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

	"lycheepick/internal/edge/door"
)

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// serve starts a server whose requests take as long as takes.
func serve(t *testing.T, takes time.Duration) (sv *door.Server, dial func() net.Conn) {
	sv, dial, _ = serveUntil(t, takes)
	return sv, dial
}

// serveUntil starts a server that stop ends.
func serveUntil(t *testing.T, takes time.Duration) (sv *door.Server, dial func() net.Conn, stop context.CancelFunc) {
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	limits := door.Limits{Header: 4096, Body: 4096, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	sv = &door.Server{Limits: func() door.Limits { return limits }, Handler: func(_ context.Context, _ *door.Request, an *door.Answer) {
		time.Sleep(takes)
		_ = an.Respond(&fasthttp.ResponseHeader{}, []byte("whole"))
	}}
	served := make(chan error, 1)
	go func() { served <- sv.Serve(ctx, ls) }()
	t.Cleanup(func() {
		stop()
		g.Expect(<-served).To(Succeed())
	})
	dial = func() net.Conn {
		cn, err := net.Dial("tcp", ls.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = cn.Close() })
		g.Expect(cn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return cn
	}
	return sv, dial, stop
}

// exchange sends a request on a connection, reads the answer and reports whether the server closes after it.
func exchange(g *WithT, cn net.Conn) (closes bool) {
	_, err := io.WriteString(cn, get)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("whole"))
	return resp.Close
}

// TestDrainClosesIdleConnections guards against kept connections that bring their callers' next requests to a
// server that leaves, though the balancer would send them elsewhere.
func TestDrainClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	sv, dial := serve(t, 0)
	cn := dial()
	g.Expect(exchange(g, cn)).To(BeFalse())
	began := time.Now()
	sv.Drain(t.Context())
	_, err := cn.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	g.Expect(exchange(g, dial())).To(BeTrue(), "a new connection is served, and closed after its response")
}

// TestDrainServesWhatIsOnItsWay guards against a connection that is closed with a request unread.
func TestDrainServesWhatIsOnItsWay(t *testing.T) {
	g := NewWithT(t)
	sv, dial := serve(t, 0)
	var conns []net.Conn
	for range 50 {
		cn := dial()
		exchange(g, cn)
		conns = append(conns, cn)
	}
	go sv.Drain(t.Context())
	for _, cn := range conns {
		exchange(g, cn)
	}
}

// TestDeliveredCountsWhatHasArrived checks that a caller's machine that takes no more bytes is seen.
func TestDeliveredCountsWhatHasArrived(t *testing.T) {
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	limits := door.Limits{Header: 4096, Body: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	const size = 64 << 20 // More than the kernels hold.
	delivered := make(chan int, 1)
	sv := &door.Server{Limits: func() door.Limits { return limits }, Handler: func(_ context.Context, _ *door.Request, an *door.Answer) {
		_ = an.Respond(&fasthttp.ResponseHeader{}, make([]byte, size))
		delivered <- int(an.Delivered())
	}}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- sv.Serve(ctx, ls) }()
	cn, err := net.Dial("tcp", ls.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(cn, get)
	g.Expect(err).NotTo(HaveOccurred())
	var have int
	g.Eventually(delivered, 15*time.Second).Should(Receive(&have)) // The write gives up after 5 s.
	g.Expect(have).To(And(BeNumerically(">", 0), BeNumerically("<", size)))
	_ = cn.Close()
	stop()
	g.Expect(<-served).To(Succeed())
}

// TestDrainLeavesBusyConnectionsOpen guards against connections that have a request in progress as the server begins
// to drain and are kept after it: they bring their callers' next requests.
func TestDrainLeavesBusyConnectionsOpen(t *testing.T) {
	t.Run("the response begins later", func(t *testing.T) {
		g := NewWithT(t)
		sv, dial := serve(t, 300*time.Millisecond)
		cn := dial()
		time.AfterFunc(50*time.Millisecond, func() { sv.Drain(t.Context()) })
		g.Expect(exchange(g, cn)).To(BeTrue(), "it says that it closes")
	})
	t.Run("the response has begun", func(t *testing.T) {
		g := NewWithT(t)
		sv, dial := serve(t, 0)
		goOn := make(chan struct{})
		sv.Handler = func(_ context.Context, _ *door.Request, an *door.Answer) {
			_ = an.Start(&fasthttp.ResponseHeader{})
			<-goOn
			_ = an.Part([]byte("whole"))
			_ = an.End()
		}
		cn := dial()
		time.AfterFunc(50*time.Millisecond, func() {
			sv.Drain(t.Context())
			close(goOn)
		})
		g.Expect(exchange(g, cn)).To(BeFalse())
		began := time.Now()
		_, err := cn.Read(make([]byte, 1))
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
}
