package door

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestIdleConnectionIsClosedWithRequestUnread guards against a request that has arrived, and whose connection is closed
// before the server reads it.
func TestIdleConnectionIsClosedWithRequestUnread(t *testing.T) {
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ls.Close() })
	sv := &Server{}
	pair := func() (caller net.Conn, cn *conn) {
		caller, err := net.Dial("tcp", ls.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = caller.Close() })
		accepted, err := ls.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = accepted.Close() })
		g.Expect(caller.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		cn = &conn{Conn: accepted}
		g.Expect(sv.setIdle(cn, true)).To(BeTrue())
		return caller, cn
	}
	silent, _ := pair()
	asks, asked := pair()
	_, err = io.WriteString(asks, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(asked.unread, "5s", "1ms").Should(BeNumerically(">", 0))
	sv.closeIdle()
	_, err = silent.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF), "a connection without a request is closed")
	g.Expect(asked.awaitRequest(time.Second)).To(BeTrue(), "one with a request is read")
}
