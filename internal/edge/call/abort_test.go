package call_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

// TestGivenUpRequestIsReset checks that cancelling a request resets the connection. After
// an ordinary close, which the server would see as EOF, a request cancelled while the
// network link was down reached a draining server 5 s later. Found with links.toml
// --vary --seed 412605134822 of bvid-lycheepick.
func TestGivenUpRequestIsReset(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	end := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		cn, err := ls.Accept()
		if err != nil {
			end <- err
			return
		}
		defer func() { _ = cn.Close() }()
		buf := make([]byte, 1)
		_, _ = cn.Read(buf)
		cancel()
		_ = cn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.Copy(io.Discard, cn)
		end <- err
	}()
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost("a")
	if _, err := call.NewCaller().Do(ctx, ls.Addr().String(), &req, false); err == nil {
		t.Fatal("have a response, want an error")
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read error at the server: have %v, want a connection reset", err)
	}
}
