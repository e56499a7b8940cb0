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

// Balancer is a stand-in of the platform's balancer: it passes connections on to the
// nodes that are ready, in turn.
type Balancer struct {
	nodes []string
	ready atomic.Pointer[[]string]
	turn  atomic.Uint64
}

// NewBalancer returns a balancer before nodes, given by their caller addresses.
func NewBalancer(nodes []string) *Balancer {
	ba := &Balancer{nodes: nodes}
	ba.ready.Store(&[]string{})
	return ba
}

const (
	checkEvery = 200 * time.Millisecond
	checkTime  = 500 * time.Millisecond
)

// Serve passes connections on until ctx ends.
func (ba *Balancer) Serve(ctx context.Context, addr string) error {
	const op = "stand.Serve"
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap(op, KindListen, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	go ba.check(ctx)
	for {
		cn, err := ls.Accept()
		if err != nil {
			return nil
		}
		go ba.pass(cn)
	}
}

func (ba *Balancer) check(ctx context.Context) {
	for ctx.Err() == nil {
		var list []string
		for _, node := range ba.nodes {
			code, _, err := fasthttp.GetTimeout(nil, "http://"+node+"/readyz", checkTime)
			if err == nil && code == fasthttp.StatusOK {
				list = append(list, node)
			}
		}
		ba.ready.Store(&list)
		pause.For(ctx, checkEvery)
	}
}

func (ba *Balancer) pass(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	list := *ba.ready.Load()
	if len(list) == 0 {
		return
	}
	up, err := net.Dial("tcp", list[ba.turn.Add(1)%uint64(len(list))])
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
