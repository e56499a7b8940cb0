// Package call makes one HTTP call to a backend server over a connection that the
// caller owns. It knows how much of the request can have reached the server, which a
// pooled client does not tell, and it ends the call when its context ends.
package call

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
)

// Kind tells what is known of a call that failed.
type Kind string

// The kinds of error of this package.
const (
	// KindNotSent marks a call of which no byte can have reached the server.
	KindNotSent Kind = "not_sent"
	// KindBroken marks a call that was sent, in part or whole, and not answered whole.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
	idlePerServer = 64
	bufferBytes   = 16 << 10
	maxHeader     = 32 << 10
)

// Caller keeps idle connections to backend servers.
type Caller struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewCaller returns a Caller without connections.
func NewCaller() *Caller { return &Caller{idle: map[string][]*conn{}} }

type conn struct {
	net.Conn
	rd    *bufio.Reader
	since time.Time
}

// Answer is the head of an answer and its body as it arrives. Close it after use.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body is the stream of body bytes, without chunk framing.
	Body *Body

	cl   *Caller
	cn   *conn
	addr string
	stop func() bool
}

// Do sends req to addr and reads the head of the answer. With fresh, no idle
// connection is used, so that a failure before the first byte is certain to be one.
// When ctx ends, the connection is closed and reads fail.
func (cl *Caller) Do(ctx context.Context, addr string, req *fasthttp.Request, fresh bool) (*Answer, error) {
	const op = "call.Do"
	cn, err := cl.connect(ctx, addr, fresh)
	if err != nil {
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	an := &Answer{cl: cl, cn: cn, addr: addr, stop: stop}
	if err := ctx.Err(); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	if err := send(cn, req); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindBroken, err)
	}
	if err := an.Header.Read(cn.rd); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindBroken, err)
	}
	an.Body = newBody(&an.Header, cn.rd)
	return an, nil
}

// writers are used again, since a buffer for each request would be most of its garbage.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

func send(cn *conn, req *fasthttp.Request) error {
	wr := writers.Get().(*bufio.Writer)
	defer writers.Put(wr)
	defer wr.Reset(nil)
	wr.Reset(cn)
	if err := req.Write(wr); err != nil {
		return err
	}
	return wr.Flush()
}

func (cl *Caller) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if cn := cl.takeIdle(addr); cn != nil {
			return cn, nil
		}
	}
	dl := net.Dialer{Timeout: dialTimeout}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, rd: bufio.NewReaderSize(raw, maxHeader)}, nil
}

func (cl *Caller) takeIdle(addr string) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.idle[addr]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		cl.idle[addr] = list
		if time.Since(cn.since) < idleTimeout {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

func (cl *Caller) putIdle(addr string, cn *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[addr]) >= idlePerServer {
		_ = cn.Close()
		return
	}
	cn.since = time.Now()
	cl.idle[addr] = append(cl.idle[addr], cn)
}

// Close ends the call. The connection is kept only if the body was read to its end.
func (an *Answer) Close() {
	if an.cn == nil {
		return
	}
	if !an.Body.ended() || an.Header.ConnectionClose() {
		an.discard()
		return
	}
	_ = an.cn.SetReadDeadline(time.Time{})
	if an.stop() { // Otherwise the context has ended and the connection is closed.
		an.cl.putIdle(an.addr, an.cn)
	}
	an.cn = nil
}

// LimitRead makes reads of the body fail after du.
func (an *Answer) LimitRead(du time.Duration) {
	_ = an.cn.SetReadDeadline(time.Now().Add(du))
}

func (an *Answer) discard() {
	an.stop()
	_ = an.cn.Close()
	an.cn = nil
}

// Forget closes the idle connections to addr.
func (cl *Caller) Forget(addr string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, cn := range cl.idle[addr] {
		_ = cn.Close()
	}
	delete(cl.idle, addr)
}
