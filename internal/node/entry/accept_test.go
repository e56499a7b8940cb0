package entry

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// gateListener accepts nothing while its gate is closed.
type gateListener struct {
	net.Listener
	gate chan struct{} // Holds an item while connections are accepted.
}

// Accept implements net.Listener.
func (gl *gateListener) Accept() (net.Conn, error) {
	cn, err := gl.Listener.Accept()
	gl.gate <- <-gl.gate
	return cn, err
}

// TestReadyNodeTakesNoConnection guards against a node that says it is ready while its callers' listener accepts nothing, and one that doesn't
// say so again after that.
func TestReadyNodeTakesNoConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	no := newForwardNode()
	no.settings.Listen.Callers = ls.Addr().String()
	gl := &gateListener{Listener: ls, gate: make(chan struct{}, 1)}
	gl.gate <- struct{}{}
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	g.Expect(no.isReady()).To(BeFalse(), "before the listener is served")
	wg.Go(func() { _ = no.door.Serve(ctx, gl) })
	wg.Go(func() { no.watchAccepts(ctx) })
	g.Eventually(no.isReady, "5s", "10ms").Should(BeTrue(), "without callers")
	g.Consistently(no.isReady, "2s", "50ms").Should(BeTrue(), "without callers")
	<-gl.gate
	g.Eventually(no.isReady, "5s", "10ms").Should(BeFalse(), "while nothing is accepted")
	gl.gate <- struct{}{}
	g.Eventually(no.isReady, "5s", "10ms").Should(BeTrue(), "once connections are accepted again")
}
