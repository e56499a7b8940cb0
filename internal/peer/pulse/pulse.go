// Package pulse is the exchange between nodes that share nothing but the platform's
// store: each tells its peers its work, its admissions, its clock and which versions it
// has, and gets what it lacks. The exchange is a drpc call whose messages are JSON.
package pulse

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/usage"
)

// Kind tells why an exchange failed.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreachable marks a peer that can't be connected to.
	KindUnreachable Kind = "unreachable"
	// KindFailed marks an exchange that broke off.
	KindFailed Kind = "failed"
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Peer is a node and where it answers peers.
type Peer struct {
	Node    units.VMID `json:"node"`
	Address string     `json:"address"`
}

// Report is what a node says of itself.
type Report struct {
	Peer
	// Life is the Unix nanosecond of the node's start.
	Life int64 `json:"life"`
	// Wall is the node's own time of day in Unix nanoseconds.
	Wall int64 `json:"wall"`
	// Holding is set if the node holds the duties.
	Holding bool `json:"holding,omitempty"`
	// StoreTurns counts how often the node has lost the store and reached it again.
	StoreTurns int64 `json:"store_turns,omitempty"`
	// Config is the version in force at the node.
	Config units.Version `json:"config"`
	// Servers is the offset up to which the node has folded the list of servers, and
	// Agreed the time since that list agreed with the store.
	Servers units.Offset  `json:"servers"`
	Agreed  time.Duration `json:"agreed"`
	// StoreBack is the time since the store came back from an outage in which entries of
	// servers may have lapsed, while they may not be back yet.
	StoreBack time.Duration `json:"store_back,omitempty"`
	// Loads are the node's own requests at each server.
	Loads map[units.VMID]place.Load `json:"loads,omitempty"`
	// Sent are the shared parts of prompts that the node has lately sent to each server.
	Sent map[units.VMID][]place.BlockID `json:"sent,omitempty"`
	// Admitted are the units that the node has admitted since its start.
	Admitted pool.Totals `json:"admitted,omitempty"`
	// Heard is what the node has lately heard of others' admissions, for customers that are
	// near their limits.
	Heard map[units.CustomerID][]pool.RelayedUsage `json:"heard,omitempty"`
	// Began are the requests that began to run, by window.
	Began usage.Windows `json:"began,omitempty"`
	// Offered is the work that callers have brought since the node's start.
	Offered map[units.TargetID]Work `json:"offered,omitempty"`
	// Peers are some of the nodes that this node exchanges with.
	Peers []Peer `json:"peers,omitempty"`
}

// Work counts requests, their prompt tokens, and those that began late.
type Work struct {
	Requests int64        `json:"requests"`
	Prompt   units.Tokens `json:"prompt"`
	Late     int64        `json:"late,omitempty"`
}

// Question is one side of an exchange.
type Question struct {
	Report
	// WantServers asks for the records of servers that have changed from Report.Servers on.
	WantServers bool `json:"want_servers,omitempty"`
}

// Reply is the other side.
type Reply struct {
	Report
	// RawConfig is the configuration if the asker's is older.
	RawConfig []byte `json:"raw_config,omitempty"`
	// Records are the records of servers that say something new to the asker, in order.
	Records []stream.Keyed `json:"records,omitempty"`
	// Whole is set if nothing is missing between the asker's offset and Report.Servers, and
	// Listing if Records name all servers, so that those not named are gone.
	Whole   bool `json:"whole,omitempty"`
	Listing bool `json:"listing,omitempty"`
}

const (
	method = "/pulse/exchange"
	// dialTime and callTime bound an exchange; peers are milliseconds away.
	dialTime = 500 * time.Millisecond
	callTime = time.Second
	// idleTime is how long a connection to a peer is kept without use.
	idleTime = 10 * time.Second
	// mostIdle bounds the kept connections, so that a node of a large fleet does not
	// hold one to every other.
	mostIdle    = 32
	mostPerPeer = 1
)

type jsonEncoding struct{}

// Marshal implements drpc.Encoding.
func (jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) { return json.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (jsonEncoding) Unmarshal(raw []byte, msg drpc.Message) error { return json.Unmarshal(raw, msg) }

// Client calls peers.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTime, Capacity: mostIdle, KeyCapacity: mostPerPeer,
	})}
}

// Exchange asks the peer at addr.
func (cl *Client) Exchange(ctx context.Context, addr string, qu *Question) (*Reply, error) {
	const op = "pulse.Exchange"
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	cn := cl.pool.Get(ctx, addr, dial)
	var out Reply
	if err := cn.Invoke(ctx, method, jsonEncoding{}, qu, &out); err != nil {
		return nil, fault.Wrap(op, KindFailed, err)
	}
	return &out, nil
}

func dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dl := net.Dialer{Timeout: dialTime}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap("pulse.dial", KindUnreachable, err)
	}
	return drpcconn.New(raw), nil
}

// Close closes the kept connections.
func (cl *Client) Close() { _ = cl.pool.Close() }

// Answer answers one question of a peer.
type Answer func(qu *Question) *Reply

// HandleRPC implements drpc.Handler.
func (an Answer) HandleRPC(st drpc.Stream, rpc string) error {
	const op = "pulse.HandleRPC"
	if rpc != method {
		return fault.New(op, KindFailed, "method %.40q is not known", rpc)
	}
	var qu Question
	if err := st.MsgRecv(&qu, jsonEncoding{}); err != nil {
		return fault.Wrap(op, KindFailed, err)
	}
	return fault.Wrap(op, KindFailed, st.MsgSend(an(&qu), jsonEncoding{}))
}

// Serve answers peers on ls until ctx ends.
func Serve(ctx context.Context, ls net.Listener, an Answer) error {
	const op = "pulse.Serve"
	srv := drpcserver.New(an)
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		cn, err := ls.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Wrap(op, KindListen, err)
		}
		wg.Go(func() {
			// The end of a connection is the peer's matter.
			_ = srv.ServeOne(ctx, cn)
			_ = cn.Close()
		})
	}
}
