package door

import (
	"context"
	"net"
	"sync/atomic"
)

// Linger wraps a listener for servers that close the connection after rejecting a request
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
}

// Read implements net.Conn.
func (li *lingerConn) Read(buf []byte) (int, error) {
	num, err := li.Conn.Read(buf)
	li.bufferFilled.Store(err == nil && num == len(buf))
	return num, err
}

// Close implements net.Conn.
func (li *lingerConn) Close() error {
	if li.bufferFilled.Load() {
		li.lingerClose(context.Background(), rejectedLingerTimeout)
	}
	return li.Conn.Close()
}
