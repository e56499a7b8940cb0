package stand

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/fault"
)

// Balancer is a fake of the platform's load balancer. It distributes TCP connections round
// robin over the ready nodes.
type Balancer struct {
	nodes []string
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

// NewBalancer returns a load balancer for nodes, which are given by their caller addresses
// as host:port.
func NewBalancer(nodes []string) *Balancer {
	ba := &Balancer{nodes: nodes}
	ba.ready.Store(&[]string{})
	return ba
}

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// Serve accepts connections on addr and proxies them to ready nodes until ctx ends.
func (ba *Balancer) Serve(ctx context.Context, addr string) error {
	const op = "stand.Serve"
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap(op, KindListen, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	go ba.checkNodes(ctx)
	for {
		cn, err := ls.Accept()
		if err != nil {
			return nil
		}
		go ba.proxy(cn)
	}
}

// checkNodes polls the readiness of the nodes until ctx ends.
func (ba *Balancer) checkNodes(ctx context.Context) {
	for ctx.Err() == nil {
		var list []string
		for _, node := range ba.nodes {
			code, _, err := fasthttp.GetTimeout(nil, "http://"+node+"/readyz", checkTimeout)
			if err == nil && code == fasthttp.StatusOK {
				list = append(list, node)
			}
		}
		ba.ready.Store(&list)
		pause.For(ctx, checkInterval)
	}
}

// proxy connects cn to the next ready node. It closes cn if none is ready.
func (ba *Balancer) proxy(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	list := *ba.ready.Load()
	if len(list) == 0 {
		return
	}
	up, err := net.Dial("tcp", list[ba.next.Add(1)%uint64(len(list))])
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() { _ = up.Close() }()
	wg.Go(func() {
		_, _ = io.Copy(up, cn)
		_ = up.Close()
	})
	_, _ = io.Copy(cn, up)
	_ = cn.Close()
}
