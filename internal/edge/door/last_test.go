package door_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/door"
)

// serveLarge starts a server with answers of a size.
func serveLarge(t *testing.T, size int) (sv *door.Server, dial func() net.Conn) {
	g := NewWithT(t)
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	limits := door.Limits{Header: 4096, Body: 4096, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	body := make([]byte, size)
	sv = &door.Server{Limits: func() door.Limits { return limits }, Handler: func(_ context.Context, _ *door.Request, an *door.Answer) {
		_ = an.Respond(&fasthttp.ResponseHeader{}, body)
	}}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- sv.Serve(ctx, ls) }()
	t.Cleanup(func() {
		stop()
		g.Expect(<-served).To(Succeed())
	})
	return sv, func() net.Conn {
		const held = 16 << 10
		cn, err := net.Dial("tcp", ls.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cn.(*net.TCPConn).SetReadBuffer(held)).To(Succeed())
		t.Cleanup(func() { _ = cn.Close() })
		g.Expect(cn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		return cn
	}
}

// readAnswer reads an answer and checks its status and, unless it is 0, its length.
func readAnswer(rd *bufio.Reader, status, size int) error {
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && (resp.StatusCode != status || size > 0 && len(raw) != size) {
		err = fmt.Errorf("status %d with %d bytes, want %d with %d", resp.StatusCode, len(raw), status, size)
	}
	return err
}

// callMany runs callers at once and checks that none fails.
func callMany(t *testing.T, dial func() net.Conn, call func(net.Conn) error) {
	const callers = 50
	failed := make(chan error, callers)
	for range callers {
		cn := dial()
		go func() { failed <- call(cn) }()
	}
	count := 0
	var last error
	for range callers {
		if err := <-failed; err != nil {
			count, last = count+1, err
		}
	}
	if count > 0 {
		t.Errorf("%d of %d callers got no whole answer: %v", count, callers, last)
	}
}

// TestCloseWaitsForSlowReaders guards against an answer that is cut since its caller had not read it when its
// server had nothing else to do.
func TestCloseWaitsForSlowReaders(t *testing.T) {
	g := NewWithT(t)
	const size = 16 << 20 // More than the kernels hold.
	sv, dial := serveLarge(t, size)
	cn := dial()
	_, err := io.WriteString(cn, get)
	g.Expect(err).NotTo(HaveOccurred())
	rd := bufio.NewReader(cn)
	_, err = rd.Peek(1)
	g.Expect(err).NotTo(HaveOccurred())
	idle := sv.Close()
	g.Consistently(idle, time.Second).ShouldNot(BeClosed())
	g.Expect(readAnswer(rd, http.StatusOK, size)).To(Succeed())
	g.Eventually(idle, time.Second).Should(BeClosed())
}

// TestAnswerOutlivesClose guards against a reset that takes the rest of an answer with it: the connection is closed
// after the answer while its caller sends another request, and reads slowly.
func TestAnswerOutlivesClose(t *testing.T) {
	for _, tt := range []struct {
		name string
		// sendsAfter is when the caller sends its next request, and readsAfter when it reads.
		sendsAfter, readsAfter time.Duration
	}{
		{"at once", 0, 100 * time.Millisecond},
		{"crossing", 5 * time.Millisecond, 100 * time.Millisecond},
		{"while it reads slowly", 400 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const size = 1 << 20 // The kernels hold it, but not the caller's alone.
			sv, dial := serveLarge(t, size)
			sv.Drain(t.Context())
			callMany(t, dial, func(cn net.Conn) error {
				_, _ = io.WriteString(cn, get)
				time.Sleep(tt.sendsAfter)
				_, _ = io.WriteString(cn, get)
				time.Sleep(tt.readsAfter - tt.sendsAfter)
				return readAnswer(bufio.NewReader(cn), http.StatusOK, size)
			})
		})
	}
}

// TestRefusalOutlivesClose guards against a reset that takes a refusal with it whose request is still coming.
func TestRefusalOutlivesClose(t *testing.T) {
	const parts, part = 20, 64 << 10
	sv, dial := serveLarge(t, 1)
	sv.Drain(t.Context())
	callMany(t, dial, func(cn net.Conn) error {
		_, _ = fmt.Fprintf(cn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", parts*part)
		for range parts {
			if _, err := io.WriteString(cn, strings.Repeat("a", part)); err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return readAnswer(bufio.NewReader(cn), http.StatusRequestEntityTooLarge, 0)
	})
}
