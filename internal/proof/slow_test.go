package proof_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// slowCaller reads an answer that is larger than what the kernels hold.
type slowCaller struct {
	cn   net.Conn
	rd   *bufio.Reader
	resp *http.Response
	size int
}

// slow sends a request and reads the header of its answer.
func (pr *procs) slow(args []string) error {
	const sent, held = 1300 << 10, 16 << 10
	const size = 6 * sent // Its answer has the control characters as JSON escapes.
	cn, err := net.Dial("tcp", pr.addr(args[0]))
	if err != nil {
		return err
	}
	pr.slowCaller = &slowCaller{cn: cn, size: size, rd: bufio.NewReader(cn)}
	if err := cn.(*net.TCPConn).SetReadBuffer(held); err != nil {
		return err
	}
	_ = cn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(cn, "POST /svc/notify/send HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", sent, strings.Repeat("\x01", sent)); err != nil {
		return err
	}
	pr.slowCaller.resp, err = http.ReadResponse(pr.slowCaller.rd, nil) //nolint:bodyclose // slowEnd closes it.
	return err
}

// slowEnd reads the rest after a time.
func (pr *procs) slowEnd(args []string) error {
	after, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(after)
	sc := pr.slowCaller
	defer func() { _ = sc.cn.Close() }()
	raw, err := io.ReadAll(sc.resp.Body)
	_ = sc.resp.Body.Close()
	if err != nil || len(raw) < sc.size || sc.resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, have %d bytes, want more than %d: %w", sc.resp.StatusCode, len(raw), sc.size, err)
	}
	return nil
}
