package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client sees of a request.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
	took   time.Duration
	// complete is set if the whole answer has come.
	complete bool
}

// request is a client's request.
type request struct {
	method, path, body string
	deadline           time.Duration
	tokens             string
	more               map[string]string
}

func (rq *request) text(id string) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", rq.method, rq.path, host, id, apiKey, rq.deadline.Milliseconds())
	if rq.tokens != "" {
		fmt.Fprintf(&sb, "X-Model: m\r\nX-Token-Count: %s\r\nX-Prompt-Prefix: %s:100,%s:200\r\n", rq.tokens, "a"+id[len(id)-2:], id[1:])
	}
	for name, val := range rq.more {
		fmt.Fprintf(&sb, "%s: %s\r\n", name, val)
	}
	if rq.method != http.MethodGet {
		fmt.Fprintf(&sb, "Content-Length: %d\r\n", len(rq.body))
	}
	sb.WriteString("\r\n")
	sb.WriteString(rq.body)
	return sb.String()
}

// client sends requests one after the other on a connection that it keeps.
type client struct {
	addr string
	// link bounds what all clients with it send, nil for no bound.
	link *link
	cn   net.Conn
	rd   *bufio.Reader
}

func (cl *client) close() {
	if cl.cn != nil {
		_ = cl.cn.Close()
		cl.cn = nil
	}
}

// send sends a request and reads the whole answer. patience bounds the wait.
func (cl *client) send(rq *request, patience time.Duration) (an answer) {
	began := time.Now()
	an.id = newID()
	defer func() {
		an.took = time.Since(began)
		if an.err != nil {
			cl.close()
		}
	}()
	if cl.cn == nil {
		cn, err := net.DialTimeout("tcp", cl.addr, time.Second)
		if err != nil {
			an.err = err
			return an
		}
		cl.cn, cl.rd = cn, bufio.NewReader(cn)
	}
	_ = cl.cn.SetDeadline(time.Now().Add(patience))
	if err := cl.write(rq.text(an.id)); err != nil {
		an.err = err
		return an
	}
	resp, err := http.ReadResponse(cl.rd, &http.Request{Method: rq.method})
	if err != nil {
		an.err = err
		return an
	}
	an.status, an.header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	an.body, an.err, an.complete = string(raw), err, err == nil
	if resp.Close {
		cl.close()
	}
	return an
}

func (cl *client) write(text string) error {
	for len(text) > 0 {
		size := min(len(text), 32<<10)
		if cl.link != nil {
			cl.link.take(size)
		}
		if _, err := io.WriteString(cl.cn, text[:size]); err != nil {
			return err
		}
		text = text[size:]
	}
	return nil
}

// loop sends requests one after the other until ctx ends.
func (cl *client) loop(ctx context.Context, rq *request, think time.Duration, seen func(answer)) {
	defer cl.close()
	for ctx.Err() == nil {
		seen(cl.send(rq, rq.deadline+time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(think):
		}
	}
}
