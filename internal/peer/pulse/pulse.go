// Package pulse implements the state exchange between nodes whose only shared storage is
// the platform's store. In each exchange both nodes report their load, admissions, clock
// and versions, and the caller receives the configuration and the server records that it
// lacks. An exchange is one drpc call with messages in CBOR, or in JSON with peers that know no other
// form.
package pulse

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/roll"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/usage"
	"lycheepick/internal/state/origin"
)

// Kind classifies why an exchange failed.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreachable means that no connection to the peer could be set up.
	KindUnreachable Kind = "unreachable"
	// KindFailed means that the exchange was interrupted or malformed.
	KindFailed Kind = "failed"
	// KindListen means that the listener failed.
	KindListen Kind = "listen"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Peer is a node with its peer address, which is host:port.
type Peer struct {
	Node    units.VMID `json:"node" cbor:"1,keyasint"`
	Address string     `json:"address" cbor:"2,keyasint"`
}

// Report is a node's own state, as of the time of the exchange. In CBOR the fields of messages have
// numbers, which stay and are not used again.
type Report struct {
	Peer
	// Incarnation is the node's start time in Unix nanoseconds.
	Incarnation int64 `json:"life" cbor:"3,keyasint"`
	// Wall is the node's wall clock in Unix nanoseconds.
	Wall int64 `json:"wall" cbor:"4,keyasint"`
	// HoldsLease is set if the node holds the lease for the platform's duties.
	HoldsLease bool `json:"holding,omitempty" cbor:"5,keyasint,omitempty"`
	// StoreTransitions counts the losses and recoveries of the store that the node has seen
	// since its start. When it grows, peers restart their own reads of the store.
	StoreTransitions int64 `json:"store_turns,omitempty" cbor:"6,keyasint,omitempty"`
	// Forwards is set by nodes that take requests of other nodes.
	Forwards bool `json:"forwards,omitempty" cbor:"7,keyasint,omitempty"`
	// Unreached are the services whose servers the node can't reach by its own network.
	Unreached []units.TargetID `json:"unreached,omitempty" cbor:"8,keyasint,omitempty"`
	// Config is the version of the configuration in force at the node, and ConfigAge the time
	// since it was last known to match the store. Nodes up to version 0.4 send no age.
	Config    units.Version `json:"config" cbor:"9,keyasint"`
	ConfigAge time.Duration `json:"config_age,omitempty" cbor:"10,keyasint,omitempty"`
	// Servers is the stream offset up to which the node has folded server records into
	// its list, and ServersAge the time since that list was last known to match the store.
	Servers units.Offset `json:"servers" cbor:"11,keyasint"`
	// StoreEra is the era of the store to which Servers belongs.
	StoreEra   units.Era     `json:"store_era,omitempty" cbor:"12,keyasint,omitempty"`
	ServersAge time.Duration `json:"agreed" cbor:"13,keyasint"`
	// SinceStoreOutage is the time since the end of a store outage in which server records
	// may have expired. It is set only while such records may still be missing.
	SinceStoreOutage time.Duration `json:"store_back,omitempty" cbor:"14,keyasint,omitempty"`
	// ListSteady is the time for which the list has matched the store without a gap, 0 if unknown.
	ListSteady time.Duration `json:"steady,omitempty" cbor:"15,keyasint,omitempty"`
	// Loads is the load that the node's own requests put on each server.
	Loads map[units.VMID]place.Load `json:"loads,omitempty" cbor:"16,keyasint,omitempty"`
	// SentPrefixes are the prompt prefix blocks that the node recently sent to each server.
	SentPrefixes map[units.VMID][]place.BlockID `json:"sent,omitempty" cbor:"17,keyasint,omitempty"`
	// Admitted are the totals of units that the node has admitted since its start.
	Admitted pool.Totals `json:"admitted,omitempty" cbor:"18,keyasint,omitempty"`
	// PeerAdmitted are the admissions that the node recently received from other nodes, for
	// customers close to their limits.
	PeerAdmitted map[units.CustomerID][]pool.RelayedUsage `json:"heard,omitempty" cbor:"19,keyasint,omitempty"`
	// Newcomers are the admissions of nodes that have started lately, as far as this node knows.
	Newcomers []pool.Newcomer `json:"newcomers,omitempty" cbor:"20,keyasint,omitempty"`
	// UsageWindows are the counts of requests that started to run, by usage window.
	UsageWindows usage.Windows `json:"began,omitempty" cbor:"21,keyasint,omitempty"`
	// Offered is the demand by callers since the node's start.
	Offered map[units.TargetID]Demand `json:"offered,omitempty" cbor:"22,keyasint,omitempty"`
	// ServerLimits are limits that servers have named, and IssuesPermits is set by nodes that
	// issue permits for them and keep the origins of streams.
	ServerLimits []permit.Observation `json:"server_limits,omitempty" cbor:"23,keyasint,omitempty"`
	// ServersLeaving are servers that have said in an answer that they leave.
	ServersLeaving []Departure `json:"servers_leaving,omitempty" cbor:"24,keyasint,omitempty"`
	// ServersResting are servers that have refused requests lately.
	ServersResting []Resting `json:"servers_resting,omitempty" cbor:"25,keyasint,omitempty"`
	IssuesPermits  bool      `json:"issues_permits,omitempty" cbor:"26,keyasint,omitempty"`
	// Versions are the software versions of services whose servers have had several.
	Versions map[units.TargetID]origin.Ages `json:"versions,omitempty" cbor:"27,keyasint,omitempty"`
	// Peers is a subset of the nodes with which this node exchanges state.
	Peers []Peer `json:"peers,omitempty" cbor:"28,keyasint,omitempty"`
	// Zone is the node's zone. Nodes up to version 0.4 send none.
	Zone units.ZoneID `json:"zone,omitempty" cbor:"44,keyasint,omitempty"`
	// ServerLoads are what the node has observed lately of the load and the pace of servers.
	ServerLoads []ServerLoad `json:"server_loads,omitempty" cbor:"41,keyasint,omitempty"`
	// Rollouts are the orders to move services to other software versions, and RolloutCounts what the node knows of
	// the versions' answers.
	Rollouts      map[units.TargetID]Rollout     `json:"rollouts,omitempty" cbor:"42,keyasint,omitempty"`
	RolloutCounts map[units.TargetID]roll.Report `json:"rollout_counts,omitempty" cbor:"43,keyasint,omitempty"`
}

// Rollout is an order to move a service to a software version, and its phase.
type Rollout struct {
	Offset units.Offset          `json:"offset" cbor:"1,keyasint"`
	Era    units.Era             `json:"era,omitempty" cbor:"2,keyasint,omitempty"`
	Target units.SoftwareVersion `json:"target,omitempty" cbor:"3,keyasint,omitempty"`
	Phase  roll.Phase            `json:"phase,omitempty" cbor:"4,keyasint,omitempty"`
	// Duration is that from the order to its deadline, and Age the time since the order was first read or removed.
	Duration time.Duration `json:"duration,omitempty" cbor:"5,keyasint,omitempty"`
	Age      time.Duration `json:"age" cbor:"6,keyasint"`
	Removed  bool          `json:"removed,omitempty" cbor:"7,keyasint,omitempty"`
}

// LostStore reports whether the node's own reads of the store fail.
func (re *Report) LostStore() bool { return re.StoreTransitions%2 == 1 }

// Departure is a server that said some time ago that it leaves.
type Departure struct {
	notice.Server
	Age time.Duration `json:"age" cbor:"3,keyasint"`
}

// Resting is a server that refused a request some time ago and is to be avoided for Rest after that.
type Resting struct {
	notice.Server
	Rest  time.Duration `json:"rest" cbor:"3,keyasint"`
	Age   time.Duration `json:"age" cbor:"4,keyasint"`
	Named bool          `json:"named,omitempty" cbor:"5,keyasint,omitempty"`
}

// ServerLoad is what a node has observed of a server: what the server reported of itself AgeMS ago, with a pace in percent,
// and for how long a prompt sent WaitAgeMS ago had to wait. Slots is 0 without the former, WaitAgeMS without the latter.
type ServerLoad struct {
	notice.Server
	Running   int          `json:"running,omitempty" cbor:"3,keyasint,omitempty"`
	Waiting   int          `json:"waiting,omitempty" cbor:"4,keyasint,omitempty"`
	Slots     int          `json:"slots,omitempty" cbor:"5,keyasint,omitempty"`
	Pace      pace.Percent `json:"pace,omitempty" cbor:"6,keyasint,omitempty"`
	AgeMS     int64        `json:"age_ms,omitempty" cbor:"7,keyasint,omitempty"`
	WaitMS    int64        `json:"wait_ms,omitempty" cbor:"8,keyasint,omitempty"`
	WaitAgeMS int64        `json:"wait_age_ms,omitempty" cbor:"9,keyasint,omitempty"`
}

// Demand counts requests, their prompt tokens, and the requests that started late. Waited and Expected are the actual and the
// predicted waits of the Begun requests whose responses have begun, under admission by priority.
type Demand struct {
	Requests     int64        `json:"requests" cbor:"3,keyasint"`
	PromptTokens units.Tokens `json:"prompt" cbor:"4,keyasint"`
	Late         int64        `json:"late,omitempty" cbor:"5,keyasint,omitempty"`

	Waited   time.Duration `json:"waited,omitempty" cbor:"6,keyasint,omitempty"`
	Expected time.Duration `json:"expected,omitempty" cbor:"7,keyasint,omitempty"`
	Begun    int64         `json:"begun,omitempty" cbor:"8,keyasint,omitempty"`
}

// ConfigRequest tells whether and in which encoding a request asks for a newer configuration.
type ConfigRequest string

const (
	// ConfigPlain asks for the configuration as it is. Nodes up to version 0.3 send no field.
	ConfigPlain ConfigRequest = ""
	// ConfigNone asks for no configuration.
	ConfigNone ConfigRequest = "none"
	// ConfigDeflate asks for the configuration compressed with DEFLATE.
	ConfigDeflate ConfigRequest = "deflate"
)

// Request is the caller's message in an exchange.
type Request struct {
	Report
	// WantServers requests the server records that have changed from offset Report.Servers
	// on.
	WantServers bool          `json:"want_servers,omitempty" cbor:"29,keyasint,omitempty"`
	WantConfig  ConfigRequest `json:"want_config,omitempty" cbor:"30,keyasint,omitempty"`
	// Brief is set if the caller's report has no admissions and addresses of other nodes, and asks for a reply without
	// them. Older nodes ignore it.
	Brief bool `json:"brief,omitempty" cbor:"45,keyasint,omitempty"`
	// Crashes is what the caller knows of crashes.
	Crashes crash.Summary `json:"crashes,omitzero" cbor:"31,keyasint,omitzero"`
}

// Reply is the answer to a Request, with the replying node's own report.
type Reply struct {
	Report
	// RawConfig is the encoded configuration, and PackedConfig the same compressed with DEFLATE.
	// At most one is set, and only if the caller asks for it and its version is older.
	RawConfig    []byte `json:"raw_config,omitempty" cbor:"32,keyasint,omitempty"`
	PackedConfig []byte `json:"config_deflate,omitempty" cbor:"33,keyasint,omitempty"`
	// ConfigDeferred is set if the node has sent too many configurations lately to send one now.
	ConfigDeferred bool `json:"config_deferred,omitempty" cbor:"34,keyasint,omitempty"`
	// Records are the server records that the caller lacks, in order of their offsets.
	Records []stream.Keyed `json:"records,omitempty" cbor:"35,keyasint,omitempty"`
	// Complete is set if no change between the caller's offset and Report.Servers is
	// missing, and Snapshot if Records contains every server, so that servers not in it
	// have been removed.
	Complete bool `json:"whole,omitempty" cbor:"36,keyasint,omitempty"`
	Snapshot bool `json:"listing,omitempty" cbor:"37,keyasint,omitempty"`
	// HeldBack are the servers whose removals the node holds back, as their records may only have
	// expired. Verdicts is set by nodes that send it.
	HeldBack []units.VMID `json:"held_back,omitempty" cbor:"38,keyasint,omitempty"`
	Verdicts bool         `json:"verdicts,omitempty" cbor:"39,keyasint,omitempty"`
	// Crashes is what the caller lacks of crashes.
	Crashes crash.Report `json:"crashes,omitzero" cbor:"40,keyasint,omitzero"`
}

// PermitReply answers a permit.Request. If another node issues the server's permits, Issuer is
// that node and there is no grant.
type PermitReply struct {
	permit.Grant
	Issuer Peer `json:"issuer"`
}

// OriginsRequest hands over the origins of streams that began, or asks for one.
type OriginsRequest struct {
	Records []origin.Record `json:"records,omitempty"`
	// Archive asks the peer to write the records to the platform's store too.
	Archive bool            `json:"archive,omitempty"`
	Find    units.RequestID `json:"find,omitempty"`
}

// OriginsReply answers an OriginsRequest. Origin is nil if the stream is not known, and Archived is
// set if the peer writes the records to the platform's store.
type OriginsReply struct {
	Origin   *origin.Origin `json:"origin,omitempty"`
	Archived bool           `json:"archived,omitempty"`
}

const (
	exchangeMethod = "/pulse/exchange"
	// compactMethod is exchangeMethod with messages in CBOR.
	compactMethod = "/pulse/exchange.cbor"
	permitsMethod = "/pulse/permits"
	originsMethod = "/pulse/origins"
	// waitingTimeout bounds the calls that a caller's request waits for.
	waitingTimeout = 150 * time.Millisecond
	// dialTimeout and callTimeout bound an exchange; round trips to peers take milliseconds.
	dialTimeout = 500 * time.Millisecond
	callTimeout = time.Second
	// writeTimeout bounds one write to a peer that called. It is longer than a node waits for its
	// own callers to read.
	writeTimeout = 8 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections, so that a node of a large fleet does not
	// keep one to every other node.
	maxIdleConns   = 32
	maxIdlePerPeer = 1
)

// Client calls peers and keeps idle connections for reuse.
type Client struct {
	pool     *drpcpool.Pool[string, drpcpool.Conn]
	forwards *drpcpool.Pool[string, drpcpool.Conn]
	encoding jsonEncoding
	compact  cborEncoding
	// jsonOnly holds the addresses of peers that know no CBOR, with the times at which that was seen.
	jsonOnly sync.Map
}

// NewClient returns a client without connections that counts its messages in tr.
func NewClient(tr *Traffic) *Client {
	return &Client{encoding: jsonEncoding{tr}, compact: newCBOR(tr), forwards: newForwardPool(), pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdlePerPeer,
	})}
}

// Exchange sends a report and a request to the peer at addr, which is host:port.
func (cl *Client) Exchange(ctx context.Context, addr string, rq *Request) (*Reply, error) {
	const op = "pulse.Exchange"
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cn := cl.pool.Get(ctx, addr, dial)
	if !cl.isJSONOnly(addr) {
		out, err := invokeExchange(ctx, cn, compactMethod, cl.compact, rq)
		if err == nil || !isUnknownMethod(err) {
			return out, fault.Wrap(op, KindFailed, err)
		}
		cl.jsonOnly.Store(addr, time.Now())
	}
	out, err := invokeExchange(ctx, cn, exchangeMethod, cl.encoding, rq)
	return out, fault.Wrap(op, KindFailed, err)
}

func invokeExchange(ctx context.Context, cn drpc.Conn, method string, en drpc.Encoding, rq *Request) (*Reply, error) {
	var out Reply
	if err := cn.Invoke(ctx, method, en, rq, &out); err != nil {
		return nil, err
	}
	return &out, nil
}

// jsonOnlyTime is how long a peer is called with JSON messages after it did not know CBOR. A newer build
// may have taken its place then.
const jsonOnlyTime = 30 * time.Second

// isJSONOnly reports whether the peer at an address knows no CBOR.
func (cl *Client) isJSONOnly(addr string) bool {
	at, ok := cl.jsonOnly.Load(addr)
	if ok && time.Since(at.(time.Time)) > jsonOnlyTime {
		cl.jsonOnly.Delete(addr)
		return false
	}
	return ok
}

// unknownMethod begins the error that a peer returns for a method which its build doesn't have.
const unknownMethod = "unknown method"

func isUnknownMethod(err error) bool { return strings.Contains(err.Error(), unknownMethod) }

// AskPermits asks the peer at addr for permits.
func (cl *Client) AskPermits(ctx context.Context, addr string, rq *permit.Request) (*PermitReply, error) {
	const op = "pulse.AskPermits"
	ctx, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	var out PermitReply
	if err := cl.pool.Get(ctx, addr, dial).Invoke(ctx, permitsMethod, cl.encoding, rq, &out); err != nil {
		return nil, fault.Wrap(op, KindFailed, err)
	}
	return &out, nil
}

// Origins hands over the origins of streams to the peer at addr, or asks it for one.
func (cl *Client) Origins(ctx context.Context, addr string, rq *OriginsRequest) (*OriginsReply, error) {
	const op = "pulse.Origins"
	ctx, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	var out OriginsReply
	if err := cl.pool.Get(ctx, addr, dial).Invoke(ctx, originsMethod, cl.encoding, rq, &out); err != nil {
		return nil, fault.Wrap(op, KindFailed, err)
	}
	return &out, nil
}

func dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dl := net.Dialer{Timeout: dialTimeout}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap("pulse.dial", KindUnreachable, err)
	}
	return drpcconn.New(raw), nil
}

// Close closes the idle connections.
func (cl *Client) Close() {
	_ = cl.pool.Close()
	_ = cl.forwards.Close()
}

// Handler handles the calls of peers, which may be concurrent.
type Handler interface {
	// Exchange handles one exchange that a peer started.
	Exchange(rq *Request) *Reply
	// Permits answers a peer's request for permits.
	Permits(rq *permit.Request) *PermitReply
	// Origins keeps the origins of streams for a peer, or returns one to it.
	Origins(rq *OriginsRequest) *OriginsReply
}

// handler adapts a Handler to drpc.
type handler struct {
	handle   Handler
	encoding jsonEncoding
	compact  cborEncoding
}

// HandleRPC implements drpc.Handler.
func (ha handler) HandleRPC(st drpc.Stream, rpc string) error {
	const op = "pulse.HandleRPC"
	switch rpc {
	case compactMethod:
		return fault.Wrap(op, KindFailed, answer(st, ha.compact, ha.handle.Exchange))
	case exchangeMethod:
		return fault.Wrap(op, KindFailed, answer(st, ha.encoding, ha.handle.Exchange))
	case permitsMethod:
		return fault.Wrap(op, KindFailed, answer(st, ha.encoding, ha.handle.Permits))
	case originsMethod:
		return fault.Wrap(op, KindFailed, answer(st, ha.encoding, ha.handle.Origins))
	case forwardMethod:
		if fw, ok := ha.handle.(Forwarder); ok {
			fw.Forward(st.Context(), &FrameStream{stream: st, encoding: frameEncoding{ha.encoding.traffic}})
			return nil
		}
	}
	return fault.New(op, KindFailed, unknownMethod+" %.40q", rpc)
}

// answer reads the message of a call and sends the reply of handle.
func answer[Rq, Re any](st drpc.Stream, en drpc.Encoding, handle func(*Rq) *Re) error {
	var rq Rq
	if err := st.MsgRecv(&rq, en); err != nil {
		return err
	}
	return st.MsgSend(handle(&rq), en)
}

// boundedConn is a connection whose writes end if the peer takes nothing for writeTimeout.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (bc *boundedConn) Write(raw []byte) (int, error) {
	if err := bc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return bc.Conn.Write(raw)
}

// Serve accepts connections of peers on ls until ctx ends, then closes ls, waits until
// the open connections have ended, and returns nil. It counts its messages in tr.
func Serve(ctx context.Context, ls net.Listener, ha Handler, tr *Traffic) error {
	const op = "pulse.Serve"
	srv := drpcserver.New(handler{ha, jsonEncoding{tr}, newCBOR(tr)})
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
			// The error only tells how the peer ended the connection.
			_ = srv.ServeOne(ctx, &boundedConn{cn})
			_ = cn.Close()
		})
	}
}
