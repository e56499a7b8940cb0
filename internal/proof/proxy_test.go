package proof_test

import (
	"io"
	"net"
	"sync"
)

// proxy forwards TCP connections to target. While it is down it closes them.
type proxy struct {
	ls     net.Listener
	target string
	mu     sync.Mutex
	down   bool
	conns  map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	px := &proxy{ls: ls, target: to, conns: map[net.Conn]bool{}}
	go px.accept()
	return px, nil
}

func (px *proxy) addr() string { return px.ls.Addr().String() }

func (px *proxy) accept() {
	for {
		cn, err := px.ls.Accept()
		if err != nil {
			return
		}
		go px.forward(cn)
	}
}

func (px *proxy) forward(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	if !px.track(cn) {
		return
	}
	defer px.untrack(cn)
	upstream, err := net.Dial("tcp", px.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	if !px.track(upstream) {
		return
	}
	defer px.untrack(upstream)
	go func() {
		_, _ = io.Copy(upstream, cn)
		_ = upstream.Close()
	}()
	_, _ = io.Copy(cn, upstream)
}

func (px *proxy) track(cn net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.down {
		return false
	}
	px.conns[cn] = true
	return true
}

func (px *proxy) untrack(cn net.Conn) {
	px.mu.Lock()
	defer px.mu.Unlock()
	delete(px.conns, cn)
}

func (px *proxy) setDown(down bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.down = down
	for cn := range px.conns {
		if down {
			_ = cn.Close()
		}
	}
}

func (px *proxy) close() {
	px.setDown(true)
	_ = px.ls.Close()
}
