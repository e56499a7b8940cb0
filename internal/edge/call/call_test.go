package call_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/rule/fault"
)

func TestCall(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "call")
}

// scriptedServer sends the given responses, one per request, on each connection and closes
// it after the last. conns counts the connections.
func scriptedServer(answers ...string) (addr string, conns *int) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(ls.Close)
	count := 0
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			count++
			rd := bufio.NewReader(cn)
			for _, text := range answers {
				var req fasthttp.Request
				if req.Read(rd) != nil {
					break
				}
				_, _ = io.WriteString(cn, text)
			}
			_ = cn.Close()
		}
	}()
	return ls.Addr().String(), &count
}

// endlessServer answers with begin, then with repeat for this many times or until the caller closes,
// and resets the connection. closed is closed after that.
func endlessServer(begin, repeat string, times int) (addr string, closed <-chan struct{}) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(ls.Close)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cn, err := ls.Accept()
		if err != nil {
			return
		}
		var req fasthttp.Request
		_ = req.Read(bufio.NewReader(cn))
		_, err = io.WriteString(cn, begin)
		for num := 0; num < times && err == nil; num++ {
			_, err = io.WriteString(cn, repeat)
		}
		time.Sleep(20 * time.Millisecond)
		_ = cn.(*net.TCPConn).SetLinger(0)
		_ = cn.Close()
	}()
	return ls.Addr().String(), done
}

func fetch(ctx context.Context, ca *call.Caller, addr string) (string, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + addr + "/")
	an, err := ca.Do(ctx, addr, req, false)
	if err != nil {
		return "", err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	return string(raw), err
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

var _ = ginkgo.Describe("A call", func() {
	ctx := context.Background()

	ginkgo.DescribeTable("distinguishes complete from truncated bodies",
		func(answer, want string, whole bool) {
			addr, _ := scriptedServer(answer)
			have, err := fetch(ctx, call.NewCaller(), addr)
			gomega.Expect(have).To(gomega.Equal(want))
			gomega.Expect(err == nil).To(gomega.Equal(whole))
		},
		ginkgo.Entry("with a length", head+"Content-Length: 5\r\n\r\nhello", "hello", true),
		ginkgo.Entry("shorter than its length", head+"Content-Length: 9\r\n\r\nhello", "hello", false),
		ginkgo.Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello", true),
		ginkgo.Entry("without the last chunk", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n", "hello", false),
		ginkgo.Entry("cut within a chunk", head+"Transfer-Encoding: chunked\r\n\r\n9\r\nhel", "hel", false),
		ginkgo.Entry("ended by its connection", head+"\r\nhello", "hello", true),
		ginkgo.Entry("empty", head+"Content-Length: 0\r\n\r\n", "", true),
	)

	ginkgo.It("takes a body that is reset for truncated, if only the connection ends it", func() {
		addr, _ := endlessServer(head+"\r\nhello", "", 0)
		_, err := fetch(ctx, call.NewCaller(), addr)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.DescribeTable("closes the connection if an answer's head does not end",
		func(begin, repeat string) {
			addr, closed := endlessServer(begin, repeat, 1<<30)
			limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := fetch(limited, call.NewCaller(), addr)
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Eventually(closed, "5s").Should(gomega.BeClosed())
		},
		ginkgo.Entry("a header", "HTTP/1.1 200 OK\r\nX-Long: ", "endless "),
		ginkgo.Entry("headers", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
		ginkgo.Entry("a status line", "HTTP/1.1 200 ", "endless "),
		ginkgo.Entry("interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	ginkgo.It("reuses a connection only after a complete body", func() {
		ca := call.NewCaller()
		addr, conns := scriptedServer(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", head+"Content-Length: 2\r\n\r\nho", head+"Content-Length: 9\r\n\r\nx")
		for _, want := range []string{"hi", "ho"} {
			gomega.Expect(fetch(ctx, ca, addr)).To(gomega.Equal(want))
		}
		gomega.Expect(*conns).To(gomega.Equal(1))
		_, err := fetch(ctx, ca, addr)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(fetch(ctx, ca, addr)).To(gomega.Equal("hi"))
		gomega.Expect(*conns).To(gomega.Equal(2))
	})

	ginkgo.It("returns KindNotSent if the connection is refused", func() {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		addr := ls.Addr().String()
		gomega.Expect(ls.Close()).To(gomega.Succeed())
		_, err = fetch(ctx, call.NewCaller(), addr)
		gomega.Expect(fault.Is(err, call.KindNotSent)).To(gomega.BeTrue())
	})

	ginkgo.It("returns KindBroken if the server closes without a response", func() {
		addr, _ := scriptedServer("")
		_, err := fetch(ctx, call.NewCaller(), addr)
		gomega.Expect(fault.Is(err, call.KindBroken)).To(gomega.BeTrue())
	})

	ginkgo.It("fails reads after its context is cancelled", func() {
		addr, _ := scriptedServer(head+"Content-Length: 9\r\n\r\nhel", "")
		ctx, cancel := context.WithCancel(ctx)
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + addr + "/")
		an, err := call.NewCaller().Do(ctx, addr, req, true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer an.Close()
		cancel()
		_, err = io.ReadAll(an.Body)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

// TestRequestIsNotSentAfterAll checks that a request which must not be sent once its connection
// stands leaves no byte at the server.
func TestRequestIsNotSentAfterAll(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost("a")
	_, err = call.NewCaller().DoIf(ctx, ls.Addr().String(), &req, call.Conditions{Proceed: func() bool { return false }})
	if !fault.Is(err, call.KindNotSent) {
		t.Errorf("have %v, want an error of kind %s", err, call.KindNotSent)
	}
	cn, err := ls.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cn.Close() }()
	if have, _ := io.ReadAll(cn); len(have) > 0 {
		t.Errorf("the server got %q, want nothing", have)
	}
}
