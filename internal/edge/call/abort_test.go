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

// TestGivenUpRequestIsReset replays links.toml --vary --seed 412605134822 of bvid-lycheepick:
// a request that was given up while the link to its server was cut reached the server 5 s
// later, when that was leaving. An ordinary close shows here as the end of the stream.
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
		t.Fatal("have an answer, want an error")
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection at the server: have %v, want a reset", err)
	}
}
