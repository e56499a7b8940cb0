package door

import (
	"context"
	"net"
	"sync/atomic"
)

// Linger wraps a listener for servers that close the connection after a response, or after rejecting a request
// that they have not read completely. Close first reads what the caller still sends, since
// a TCP reset could discard the response before the caller has read it.
func Linger(ls net.Listener) net.Listener { return &lingerListener{Listener: ls} }

type lingerListener struct{ net.Listener }

// Accept implements net.Listener.
func (li *lingerListener) Accept() (net.Conn, error) {
	cn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{conn: conn{Conn: cn}}, nil
}

type lingerConn struct {
	conn
	// bufferFilled is set if the last read filled its buffer, so more bytes may be pending.
	bufferFilled atomic.Bool
	// answered is set if something was written after the last read had begun.
	answered atomic.Bool
}

// Write implements net.Conn.
func (li *lingerConn) Write(buf []byte) (int, error) {
	li.answered.Store(true)
	return li.conn.Write(buf)
}

// Read implements net.Conn.
func (li *lingerConn) Read(buf []byte) (int, error) {
	li.answered.Store(false)
	num, err := li.Conn.Read(buf)
	li.bufferFilled.Store(err == nil && num == len(buf))
	return num, err
}

// Close implements net.Conn.
func (li *lingerConn) Close() error {
	switch {
	case li.bufferFilled.Load():
		li.lingerClose(context.Background(), rejectedLingerTimeout)
	case li.answered.Load():
		li.lingerClose(context.Background(), lingerTimeout)
	}
	return li.Conn.Close()
}
