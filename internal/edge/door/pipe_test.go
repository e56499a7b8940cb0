package door_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// readWhole reads a whole response, and returns whether the connection closes after it.
func readWhole(g *WithT, rd *bufio.Reader) (closes bool) {
	resp, err := http.ReadResponse(rd, nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(string(body)).To(Equal("whole"))
	return resp.Close
}

// TestDrainAnswersPipelinedRequests guards against a request that has been read behind another one, and whose
// connection is closed after the response to the first.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	for _, tt := range []struct {
		name string
		// send is what of the second request is sent before the server drains. The rest comes after.
		send string
	}{
		{"whole", get},
		{"in part", get[:20]},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			sv, dial := serve(t, 300*time.Millisecond)
			cn := dial()
			_, err := io.WriteString(cn, get+tt.send)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
			go sv.Drain(t.Context())
			time.Sleep(50 * time.Millisecond)
			closed := sv.Close() // No more requests are taken once this one has ended.
			_, err = io.WriteString(cn, strings.TrimPrefix(get, tt.send))
			g.Expect(err).NotTo(HaveOccurred())
			rd := bufio.NewReader(cn)
			g.Expect(readWhole(g, rd)).To(BeFalse(), "another request has been read")
			g.Expect(readWhole(g, rd)).To(BeTrue())
			g.Eventually(closed, time.Second).Should(BeClosed())
		})
	}
}

// TestCloseAnswersHalfRequests guards against a body that is half in when the server takes no more requests, and
// whose rest comes before the server ends.
func TestCloseAnswersHalfRequests(t *testing.T) {
	g := NewWithT(t)
	sv, dial := serve(t, 0)
	const half = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n12"
	var conns []net.Conn
	for range 20 {
		cn := dial()
		_, err := io.WriteString(cn, half)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, cn)
	}
	time.Sleep(100 * time.Millisecond)
	closed := sv.Close()
	for _, cn := range conns {
		g.Consistently(closed, 2*time.Millisecond).ShouldNot(BeClosed())
		_, err := io.WriteString(cn, "34")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(readWhole(g, bufio.NewReader(cn))).To(BeTrue())
	}
	g.Eventually(closed, time.Second).Should(BeClosed())
}

// TestEndDoesNotWaitForHalfRequests guards against a server that goes on after its context has ended, until the rest of a
// request comes: its process would be killed. The caller is told that the request has not run.
func TestEndDoesNotWaitForHalfRequests(t *testing.T) {
	for _, half := range []string{"POST / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n12"} {
		g := NewWithT(t)
		sv, dial, stop := serveUntil(t, 0)
		cn := dial()
		_, err := io.WriteString(cn, half)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		sv.Close()
		began := time.Now()
		stop()
		resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(resp.Body.Close()).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	}
}
