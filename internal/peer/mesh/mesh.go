// Package mesh is the transport between nodes: an authenticated drpc server and a bounded
// pool of connections to peers.
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

// Kind classifies why a call to a peer failed.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreachable means that no connection to the peer could be set up.
	KindUnreachable Kind = "unreachable"
	// KindForbidden means that the peer has a different shared secret.
	KindForbidden Kind = "forbidden"
	// KindFailed means that the call was interrupted, rejected by the peer or malformed.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	dialTimeout = time.Second
	// maxIdleConns bounds the idle connections, so that a node of a large fleet does
	// not keep one to every other node.
	maxIdleConns   = 48
	maxIdlePerPeer = 4
	idleTimeout    = 30 * time.Second
	maxServedConns = 512
)

// Pool is a client of all peers that keeps idle connections for reuse.
type Pool struct {
	secret []byte
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool without connections. Both sides of each new connection
// authenticate with secret.
func NewPool(secret []byte) *Pool {
	return &Pool{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdlePerPeer,
	})}
}

// Peer returns a client of the node at addr, which is host:port. It connects on first use.
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
	if err := clientHandshake(raw, po.secret); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Close closes the idle connections.
func (po *Pool) Close() { _ = po.pool.Close() }

// Serve accepts connections of peers on ls until ctx ends, then closes ls, waits until
// the open connections have ended, and returns nil. Connections above the limit are closed at once.
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
	slots := make(chan struct{}, maxServedConns)
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
			serveConn(ctx, srv, cn, secret)
		})
	}
}

// serveConn authenticates a connection and serves its calls.
func serveConn(ctx context.Context, srv *drpcserver.Server, cn net.Conn, secret []byte) {
	defer func() { _ = cn.Close() }()
	if err := serverHandshake(cn, secret); err != nil {
		return
	}
	_ = srv.ServeOne(ctx, cn)
}
