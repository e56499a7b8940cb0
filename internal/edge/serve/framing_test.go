package serve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/serve"
)

// TestFraming sends requests whose body could be seen to end at two places.
func TestFraming(t *testing.T) {
	sv := serve.New(context.Background(), nil, &flow.Flow{}, serve.Limits{Body: 1 << 20, Header: 8 << 10, Connections: 16})
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ls.Addr().String()
	_ = ls.Close()
	go func() { _ = sv.Listen(addr) }()
	t.Cleanup(func() { _ = sv.Shutdown(time.Second) })
	const head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
	for _, text := range []string{
		head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	} {
		if have := firstLine(t, addr, text); !strings.Contains(have, " 400 ") {
			t.Errorf("have %q, want 400", have)
		}
	}
}

func firstLine(t *testing.T, addr, text string) string {
	t.Helper()
	var cn net.Conn
	var err error
	for range 200 { // The server listens in a goroutine of its own.
		if cn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(cn, text); err != nil {
		t.Fatal(err)
	}
	line, _ := bufio.NewReader(cn).ReadString('\n')
	return line
}
