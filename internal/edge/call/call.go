// Package call makes one HTTP call to a backend server over a connection that the
// caller owns. It knows how much of the request can have reached the server, which a
// pooled client does not tell, and it ends the call when its context ends.
package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

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
	// userTimeout is how long sent bytes may stay unacknowledged before a connection
	// counts as dead, which a server that lost its power or path never tells.
	userTimeout = 3 * time.Second
)

// Options bound what a Caller uses. Zero values stand for the daemon's usual ones.
type Options struct {
	// Dial bounds the time to connect, Idle that for which a connection is kept.
	Dial, Idle time.Duration
	// Header bounds the bytes of an answer's head.
	Header int
	// Probe is the time between keep-alive probes of a connection on which nothing comes.
	Probe time.Duration
}

// probeCount is the number of probes without an answer after which a connection is dead.
const probeCount = 2

// Caller keeps idle connections to backend servers.
type Caller struct {
	opt  Options
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewCaller returns a Caller without connections.
func NewCaller() *Caller { return NewCallerWith(Options{}) }

// NewCallerWith returns a Caller without connections and with its own bounds.
func NewCallerWith(opt Options) *Caller {
	if opt.Dial <= 0 {
		opt.Dial = dialTimeout
	}
	if opt.Idle <= 0 {
		opt.Idle = idleTimeout
	}
	if opt.Header <= 0 {
		opt.Header = maxHeader
	}
	return &Caller{opt: opt, idle: map[string][]*conn{}}
}

type conn struct {
	net.Conn
	rd    *bufio.Reader
	until time.Time
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
	stop := context.AfterFunc(ctx, cn.abort)
	an := &Answer{cl: cl, cn: cn, addr: addr, stop: stop}
	if err := ctx.Err(); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	if err := send(cn, req); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindBroken, err)
	}
	if err := an.readHead(); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindBroken, err)
	}
	an.Body = newBody(&an.Header, cn.rd)
	return an, nil
}

// readHead reads the head of the answer and passes over interim ones.
func (an *Answer) readHead() error {
	for {
		an.Header.Reset()
		if err := an.Header.Read(an.cn.rd); err != nil {
			return err
		}
		if an.Header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// Next reads the answer after this one on the same connection, whose body it skips. It is
// for answers that belong to an earlier request. At most limit bytes are skipped.
func (an *Answer) Next(limit int) error {
	const op = "call.Next"
	if _, err := io.CopyN(io.Discard, an.Body, int64(limit)); !errors.Is(err, io.EOF) || !an.Body.ended() {
		return fault.New(op, KindBroken, "an answer to another request does not end")
	}
	if err := an.readHead(); err != nil {
		return fault.Wrap(op, KindBroken, err)
	}
	an.Body = newBody(&an.Header, an.cn.rd)
	return nil
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
	dl := net.Dialer{Timeout: cl.opt.Dial, Control: detectDeath}
	if cl.opt.Probe > 0 {
		dl.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: cl.opt.Probe, Interval: cl.opt.Probe, Count: probeCount}
	}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, rd: bufio.NewReaderSize(raw, cl.opt.Header)}, nil
}

// detectDeath makes a server that is gone without a word show as a broken connection.
func detectDeath(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

// abort resets the connection. After an ordinary close the kernel goes on sending what a cut
// link has held up, so that a request which was given up reaches its server seconds later.
func (cn *conn) abort() {
	if tc, ok := cn.Conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tc.SetLinger(0)
	}
	_ = cn.Close()
}

// isQuiet tells whether an idle connection is open and has nothing to read. Bytes that
// came after a whole answer belong to no request.
func (cn *conn) isQuiet() bool {
	if cn.rd.Buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (cl *Caller) takeIdle(addr string) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.idle[addr]
	for len(list) > 0 {
		cn := list[len(list)-1]
		list = list[:len(list)-1]
		cl.idle[addr] = list
		if time.Now().Before(cn.until) && cn.isQuiet() {
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
	cn.until = time.Now().Add(cl.opt.Idle)
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
	an.cn.abort()
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
