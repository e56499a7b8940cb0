package door

import (
	"net"
	"sync/atomic"
)

// Linger returns a listener for servers that close a connection as soon as they have
// refused a request: its connections are closed once the caller has sent the rest, so that
// no reset takes the answer away.
func Linger(ls net.Listener) net.Listener { return &lingerer{Listener: ls} }

type lingerer struct{ net.Listener }

// Accept implements net.Listener.
func (li *lingerer) Accept() (net.Conn, error) {
	cn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingering{link: link{Conn: cn}}, nil
}

type lingering struct {
	link
	// more is set if the last read filled its buffer, so that more bytes may be there.
	more atomic.Bool
}

// Read implements net.Conn.
func (li *lingering) Read(buf []byte) (int, error) {
	num, err := li.Conn.Read(buf)
	li.more.Store(err == nil && num == len(buf))
	return num, err
}

// Close implements net.Conn.
func (li *lingering) Close() error {
	if li.more.Load() {
		li.hangUp(refusedTime)
	}
	return li.Conn.Close()
}
