// Package call is an HTTP client for backend servers. Unlike fasthttp's pooled client it
// reports whether any byte of a failed request can have reached the server, and it closes
// the connection when the context ends.
package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"lycheepick/internal/rule/fault"
)

// Kind classifies failed calls by whether the request was sent.
type Kind string

// The kinds of error of this package.
const (
	// KindNotSent marks a call of which no byte can have reached the server.
	KindNotSent Kind = "not_sent"
	// KindBroken marks a call that was at least partly sent and has no complete response.
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
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection. It detects servers that lost power or their network path.
	userTimeout = 3 * time.Second
	// earlyHeadTime bounds the wait for an answer on a connection that takes no more of the request.
	earlyHeadTime = 250 * time.Millisecond
)

// Options configure a Caller. Zero values select the defaults.
type Options struct {
	// DialTimeout bounds connecting, IdleTimeout how long an idle connection is kept.
	DialTimeout, IdleTimeout time.Duration
	// MaxHeader is the maximum size of a response header in bytes.
	MaxHeader int
	// KeepAliveInterval is the time between TCP keep-alive probes of a silent connection.
	// Zero leaves the keep-alive settings at Go's defaults.
	KeepAliveInterval time.Duration
	// Dial opens a connection, nil for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// keepAliveCount is the number of unanswered probes after which a connection is closed.
const keepAliveCount = 2

// Caller makes calls and pools idle connections by server address. It is safe for
// concurrent use.
type Caller struct {
	opt  Options
	mu   sync.Mutex
	idle map[string][]*conn
	// sweeping is set while a call of closeExpired is due.
	sweeping bool
	// listening holds a token for each answer that is waited for after the end of its call.
	listening chan struct{}
}

// NewCaller returns a Caller with the default options.
func NewCaller() *Caller { return NewCallerWith(Options{}) }

// NewCallerWith returns a Caller with the given options.
func NewCallerWith(opt Options) *Caller {
	if opt.DialTimeout <= 0 {
		opt.DialTimeout = dialTimeout
	}
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = idleTimeout
	}
	if opt.MaxHeader <= 0 {
		opt.MaxHeader = maxHeader
	}
	return &Caller{opt: opt, idle: map[string][]*conn{}, listening: make(chan struct{}, maxListening)}
}

type conn struct {
	net.Conn
	rd      *bufio.Reader
	expires time.Time
	// used is set once a request has been sent, and carried holds the tags of the latest ones.
	used    bool
	carried []string

	mu sync.Mutex
	// phase decides what the end of the call's context does to the connection.
	phase phase
}

// maxCarried is the number of tags that a connection keeps. It is closed after that many tagged
// requests.
const maxCarried = 256

// Answer is a response whose body is still to be read. It must be closed after use.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body is the decoded body, without chunk framing.
	Body *Body
	// SentAt is when the request had been handed to the kernel.
	SentAt time.Time
	// First is set if this is the first answer on its connection, to the first request: no other one
	// can be meant.
	First bool

	cl        *Caller
	cn        *conn
	addr      string
	stopAbort func() bool
	// isHead is set for HEAD requests, whose answers have no body, and upgrades for requests for another protocol.
	isHead, upgrades bool
	// cut is set if the server closed the connection before it had read the request.
	cut bool
}

// Do sends req to addr and reads the response header. With fresh it opens a new
// connection: the server may close an idle one at any time, so that a failure there does
// not show whether the request was received. When ctx ends, the connection is reset and
// reads of the body fail.
func (cl *Caller) Do(ctx context.Context, addr string, req *fasthttp.Request, fresh bool) (*Answer, error) {
	return cl.DoIf(ctx, addr, req, Conditions{Fresh: fresh})
}

// Conditions are the conditions under which a request is sent. If it isn't, the error is of
// KindNotSent.
type Conditions struct {
	// Fresh asks for a new connection, Open for one that is open already.
	Fresh, Open bool
	// Dial ends once a new connection isn't waited for any more, nil for never.
	Dial context.Context
	// Tag identifies the request, if it isn't empty: it isn't sent on a connection that has carried
	// it before, where a server may repeat its earlier answer.
	Tag string
	// Proceed reports whether the request may still be sent once there is a connection, which
	// may take as long as the dial timeout. Nil always does.
	Proceed func() bool
	// Late hears answers whose head comes after the end of the call's context, nil for none.
	Late *Late
}

// DoIf is Do under conditions.
func (cl *Caller) DoIf(ctx context.Context, addr string, req *fasthttp.Request, co Conditions) (*Answer, error) {
	const op = "call.Do"
	cn, err := cl.connect(ctx, addr, co)
	if err != nil {
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	cn.setPhase(co.Late.phase())
	stop := context.AfterFunc(ctx, cn.contextEnded)
	an := &Answer{cl: cl, cn: cn, addr: addr, stopAbort: stop, isHead: req.Header.IsHead(), upgrades: req.Header.ConnectionUpgrade()}
	if err := ctx.Err(); err != nil {
		an.discard()
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	if co.Proceed != nil && !co.Proceed() {
		an.discard()
		return nil, fault.New(op, KindNotSent, "no longer wanted at %s", addr)
	}
	an.First = !cn.used
	cn.carry(co.Tag)
	err = send(cn, req)
	an.SentAt = time.Now()
	switch {
	case err == nil:
		err = an.readHead()
	case ctx.Err() == nil:
		err = an.readEarlyHead(err)
	}
	if err != nil {
		an.giveUp(ctx, co.Late)
		return nil, fault.Wrap(op, KindBroken, err)
	}
	an.Body = an.newBody()
	if cn.setPhase(receives); ctx.Err() != nil {
		cn.abort()
	}
	return an, nil
}

// Probe opens a connection to addr and keeps it for the next call.
func (cl *Caller) Probe(ctx context.Context, addr string) error {
	cn, err := cl.connect(ctx, addr, Conditions{Fresh: true})
	if err != nil {
		return fault.Wrap("call.Probe", KindNotSent, err)
	}
	cl.putIdle(addr, cn)
	return nil
}

// readEarlyHead reads the header of an answer that the server gave before it closed the connection, on
// which the request could not be sent whole. Without one it returns the error of the send.
func (an *Answer) readEarlyHead(sendErr error) error {
	an.cut = true
	if an.cn.SetReadDeadline(time.Now().Add(earlyHeadTime)) != nil || an.readHead() != nil {
		return sendErr
	}
	return an.cn.SetReadDeadline(time.Time{})
}

// Next discards the body, of at most limit bytes, and reads the next response on the same
// connection. It is used if a response turns out to belong to an earlier request.
func (an *Answer) Next(limit int) error {
	const op = "call.Next"
	if _, err := io.CopyN(io.Discard, an.Body, int64(limit)); !errors.Is(err, io.EOF) || !an.Body.ended() {
		return fault.New(op, KindBroken, "an answer to another request does not end")
	}
	if err := an.readHead(); err != nil {
		return fault.Wrap(op, KindBroken, err)
	}
	an.Body, an.First = an.newBody(), false
	return nil
}

// carry records that a request is sent on the connection.
func (cn *conn) carry(tag string) {
	cn.used = true
	if tag != "" {
		cn.carried = append(cn.carried, tag)
	}
}

// writers pools the write buffers, which would be most of the garbage of a request.
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

func (cl *Caller) connect(ctx context.Context, addr string, co Conditions) (*conn, error) {
	if !co.Fresh {
		if cn := cl.takeIdle(addr, co.Tag); cn != nil {
			return cn, nil
		}
	}
	if co.Open {
		return nil, errors.Errorf("no connection to %s is open", addr)
	}
	if co.Dial != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(co.Dial, cancel)()
	}
	raw, err := cl.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, rd: bufio.NewReaderSize(raw, cl.opt.MaxHeader)}, nil
}

func (cl *Caller) dial(ctx context.Context, addr string) (net.Conn, error) {
	if cl.opt.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, cl.opt.DialTimeout)
		defer cancel()
		return cl.opt.Dial(ctx, addr)
	}
	dl := net.Dialer{Timeout: cl.opt.DialTimeout, Control: setUserTimeout}
	if cl.opt.KeepAliveInterval > 0 {
		dl.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: cl.opt.KeepAliveInterval, Interval: cl.opt.KeepAliveInterval, Count: keepAliveCount}
	}
	return dl.DialContext(ctx, "tcp", addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT before the connection is opened.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}

// abort resets the connection. After an ordinary close the kernel keeps retransmitting
// unacknowledged data, so a cancelled request could still reach the server seconds later,
// when an interrupted network link recovers.
func (cn *conn) abort() {
	if tc, ok := cn.Conn.(*net.TCPConn); ok {
		// Fails only if the connection is closed already.
		_ = tc.SetLinger(0)
	}
	_ = cn.Close()
}

// prober is a connection that reports itself whether keep-alive probes have gone unanswered.
type prober interface{ Unanswered() bool }

// isReusable reports whether an idle connection is open, has no unread bytes and answers its keep-alive
// probes. Bytes received after a complete response belong to no request. What is sent on a connection that
// is silent may reach the server long after the request has been given up.
func (cn *conn) isReusable() bool {
	if cn.rd.Buffered() > 0 {
		return false
	}
	if pr, ok := cn.Conn.(prober); ok && pr.Unanswered() {
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
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
		if info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); ierr == nil && info.Probes > 0 {
			open = false
		}
		return true
	})
	return err == nil && open
}

func (cl *Caller) takeIdle(addr, tag string) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for idx := len(cl.idle[addr]) - 1; idx >= 0; idx-- {
		list := cl.idle[addr]
		cn := list[idx]
		if tag != "" && slices.Contains(cn.carried, tag) {
			continue
		}
		cl.idle[addr] = slices.Delete(list, idx, idx+1)
		if time.Now().Before(cn.expires) && cn.isReusable() {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

func (cl *Caller) putIdle(addr string, cn *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[addr]) >= idlePerServer || len(cn.carried) >= maxCarried {
		_ = cn.Close()
		return
	}
	cn.expires = time.Now().Add(cl.opt.IdleTimeout)
	cl.idle[addr] = append(cl.idle[addr], cn)
	cl.sweepLater()
}

// minSweepInterval is the least interval between two calls of closeExpired.
const minSweepInterval = 100 * time.Millisecond

// sweepLater makes closeExpired run after a while. The caller holds mu.
func (cl *Caller) sweepLater() {
	if !cl.sweeping {
		cl.sweeping = true
		time.AfterFunc(max(cl.opt.IdleTimeout/2, minSweepInterval), cl.closeExpired)
	}
}

// closeExpired closes the idle connections that have expired. Without it those to servers that are gone would
// stay open, since no call takes them any more.
func (cl *Caller) closeExpired() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.sweeping = false
	now := time.Now()
	for addr, list := range cl.idle {
		count := 0 // Connections are in the order in which they expire.
		for count < len(list) && !now.Before(list[count].expires) {
			_ = list[count].Close()
			count++
		}
		if cl.idle[addr] = slices.Delete(list, 0, count); len(cl.idle[addr]) == 0 {
			delete(cl.idle, addr)
		}
	}
	if len(cl.idle) > 0 {
		cl.sweepLater()
	}
}

// Close ends the call. The connection is reused only if the body was read completely.
func (an *Answer) Close() {
	if an.cn == nil {
		return
	}
	if !an.Body.ended() || an.cut || an.Header.ConnectionClose() {
		an.discard()
		return
	}
	_ = an.cn.SetReadDeadline(time.Time{})
	if an.stopAbort() { // Otherwise the context has ended and the connection was aborted.
		an.cl.putIdle(an.addr, an.cn)
	}
	an.cn = nil
}

// SetReadTimeout makes reads of the body fail once du has passed.
func (an *Answer) SetReadTimeout(du time.Duration) {
	_ = an.cn.SetReadDeadline(time.Now().Add(du))
}

func (an *Answer) discard() {
	an.stopAbort()
	an.cn.abort()
	an.cn = nil
}
