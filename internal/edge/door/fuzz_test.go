package door

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// parsedRequests sends raw bytes to a server in writes of piece bytes and returns the
// requests that it parsed.
func parsedRequests(tb testing.TB, raw []byte, piece int) string {
	tb.Helper()
	var out strings.Builder
	sv := &Server{
		Limits: func() Limits {
			return Limits{Header: 512, Body: 256, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		},
		Handler: func(_ context.Context, rq *Request, an *Answer) {
			fmt.Fprintf(&out, "%s %s %q\n", rq.Header.Method(), rq.Header.RequestURI(), rq.Body)
			an.Refuse(503, "", 0)
		},
	}
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	caller, err := net.Dial("tcp", ls.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	callee, err := ls.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sv.serveConn(context.Background(), &conn{Conn: callee})
	}()
	for len(raw) > 0 {
		num := min(piece, len(raw))
		if _, err := caller.Write(raw[:num]); err != nil {
			break // The server has closed the connection.
		}
		raw = raw[num:]
	}
	_ = caller.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, caller) // The responses, up to EOF or a connection reset.
	<-done
	return out.String()
}

// FuzzRequests checks that the requests parsed from arbitrary bytes don't depend on how
// the bytes are split into writes, and that their number is plausible for the input size.
func FuzzRequests(f *testing.F) {
	const head = "POST /a HTTP/1.1\r\nHost: b\r\n"
	for _, text := range []string{
		head + "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: b\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: b\r\n\r\n",
		head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		head + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na",
		head + "Content-Length: 300\r\n\r\n",
		head + "X: " + strings.Repeat("y", 4000) + "\r\n\r\n",
		"GET /b HTTP/1.0\r\n\r\n", "\r\n\r\n", "\x16\x03",
	} {
		f.Add([]byte(text), uint8(7))
	}
	f.Fuzz(func(t *testing.T, raw []byte, piece uint8) {
		one, two := parsedRequests(t, raw, len(raw)+1), parsedRequests(t, raw, int(piece)%64+1)
		if one != two {
			t.Errorf("whole: %q\nin pieces: %q", one, two)
		}
		if bytes.Count([]byte(one), []byte("\n")) > len(raw)/10+1 {
			t.Errorf("%d bytes gave %q", len(raw), one)
		}
	})
}
