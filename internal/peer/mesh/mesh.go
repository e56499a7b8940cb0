// Package mesh carries the protocol between nodes: an authenticated drpc server, and a
// bounded pool of connections to peers.
package mesh

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/fault"
)

// Kind tells why a peer could not be called.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreachable marks a peer that can't be connected to.
	KindUnreachable Kind = "unreachable"
	// KindForbidden marks a peer with another secret.
	KindForbidden Kind = "forbidden"
	// KindFailed marks a call that broke off or that the peer refused.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	dialTimeout = time.Second
	// poolCapacity bounds the idle connections, so that no node of a large fleet
	// holds one to every other.
	poolCapacity    = 48
	poolPerPeer     = 4
	poolExpiration  = 30 * time.Second
	maxServedAtOnce = 512
)

// Pool calls peers.
type Pool struct {
	secret []byte
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool whose connections are authenticated by secret.
func NewPool(secret []byte) *Pool {
	return &Pool{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: poolExpiration, Capacity: poolCapacity, KeyCapacity: poolPerPeer,
	})}
}

// Peer returns a client of the node at addr. It connects when it is first used.
func (po *Pool) Peer(ctx context.Context, addr string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(po.pool.Get(ctx, addr, po.dial))
}

func (po *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	const op = "mesh.dial"
	dl := net.Dialer{Timeout: dialTimeout}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap(op, KindUnreachable, err)
	}
	if err := greet(raw, po.secret); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Close closes the idle connections.
func (po *Pool) Close() { _ = po.pool.Close() }

// Serve answers peers on ls until ctx ends.
func Serve(ctx context.Context, ls net.Listener, secret []byte, impl wire.DRPCPeerServer) error {
	const op = "mesh.Serve"
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, impl); err != nil {
		return fault.Wrap(op, KindFailed, err)
	}
	srv := drpcserver.New(mux)
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxServedAtOnce)
	for {
		cn, err := ls.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(op, KindFailed, err)
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = cn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			serveOne(ctx, srv, cn, secret)
		})
	}
}

func serveOne(ctx context.Context, srv *drpcserver.Server, cn net.Conn, secret []byte) {
	defer func() { _ = cn.Close() }()
	if err := welcome(cn, secret); err != nil {
		return
	}
	_ = srv.ServeOne(ctx, cn)
}
