package door

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// scarceListener runs out of file descriptors at a number of connections.
type scarceListener struct {
	net.Listener
	most, open, accepted atomic.Int64
}

// scarceConn gives its descriptor back.
type scarceConn struct {
	net.Conn
	sl     *scarceListener
	closed atomic.Bool
}

// Close implements net.Conn.
func (sc *scarceConn) Close() error {
	if !sc.closed.Swap(true) {
		sc.sl.open.Add(-1)
	}
	return sc.Conn.Close()
}

// Accept implements net.Listener.
func (sl *scarceListener) Accept() (net.Conn, error) {
	if sl.open.Load() >= sl.most.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	cn, err := sl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sl.open.Add(1)
	sl.accepted.Add(1)
	return &scarceConn{Conn: cn, sl: sl}, nil
}

// TestIdleConnectionsKeepCallersOut guards against a server that accepts nobody while its file descriptors are held by idle connections.
func TestIdleConnectionsKeepCallersOut(t *testing.T) {
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	sl := &scarceListener{Listener: ls}
	sl.most.Store(40)
	var failed atomic.Int64
	sv := &Server{Limits: func() Limits { return Limits{IdleTimeout: time.Minute} }, AcceptFailed: func(error) { failed.Add(1) }}
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { _ = sv.Serve(ctx, sl) })
	const callers = 100 // Each keeps its connection open.
	for num := range int64(callers) {
		cn, err := net.Dial("tcp", ls.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = cn.Close() }()
		g.Eventually(sl.accepted.Load, "2s", "1ms").Should(Equal(num+1), "accepted callers")
	}
	g.Expect(failed.Load()).To(BeNumerically(">", 0))
}
