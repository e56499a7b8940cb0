package call_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"lycheepick/internal/edge/call"
)

// dropReceived makes the kernel drop what arrives on a connection, as if its path were cut.
func dropReceived(t *testing.T, tc *net.TCPConn) {
	raw, err := tc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
}

// TestSilentConnectionIsNotUsed guards against a request that goes out on a kept connection whose keep-alive
// probes go unanswered.
func TestSilentConnectionIsNotUsed(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	go func() {
		_ = (&fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}).Serve(ls)
	}()
	var opened []*net.TCPConn
	dl := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 5}}
	ca := call.NewCallerWith(call.Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		cn, err := dl.DialContext(ctx, "tcp", addr)
		if err == nil {
			opened = append(opened, cn.(*net.TCPConn))
		}
		return cn, err
	}})
	send := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var req fasthttp.Request
		req.SetRequestURI("/")
		req.Header.SetHost("a")
		an, err := ca.Do(ctx, ls.Addr().String(), &req, false)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = an.Body.Read(make([]byte, 1))
		an.Close()
	}
	send()
	time.Sleep(1500 * time.Millisecond)
	send()
	if len(opened) != 1 {
		t.Fatalf("have %d connections, want one whose probes are answered", len(opened))
	}
	dropReceived(t, opened[0])
	time.Sleep(2500 * time.Millisecond)
	send()
	if len(opened) != 2 {
		t.Errorf("have %d connections, want a new one", len(opened))
	}
}
