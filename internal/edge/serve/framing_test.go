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

// TestFraming checks that requests with ambiguous body lengths and with too large a header
// are rejected, and that the caller receives the response.
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
	for _, tt := range []struct{ name, text, want string }{
		{"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		// Its rest arrives after the response, which a connection reset would discard.
		{"a huge header", head + "X-A: " + strings.Repeat("a", 1<<20) + "\r\n\r\n", "431"},
	} {
		if have := firstLine(t, addr, tt.text); !strings.Contains(have, " "+tt.want+" ") {
			t.Errorf("%s: have %q, want %s", tt.name, have, tt.want)
		}
	}
}

func firstLine(t *testing.T, addr, text string) string {
	t.Helper()
	var cn net.Conn
	var err error
	for range 200 { // The server may not be listening yet.
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
	for len(text) > 0 { // In parts, as they would arrive over a network.
		num := min(len(text), 64<<10)
		if _, err := io.WriteString(cn, text[:num]); err != nil {
			return "broken: " + err.Error()
		}
		text = text[num:]
		time.Sleep(time.Millisecond)
	}
	line, _ := bufio.NewReader(cn).ReadString('\n')
	return line
}
