package pulse

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// FrameKind tells what a frame of a forwarded request holds.
type FrameKind byte

// The kinds of frames. A node offers a request and sends its body; its peer accepts or declines
// it; the node commits, and only then may the peer send the request to a server. So a request
// whose commit was not sent has certainly not run.
const (
	// FrameOffer holds an Offer, FrameBody a part of a body.
	FrameOffer FrameKind = 'o'
	FrameBody  FrameKind = 'b'
	// FrameAccept is empty, as are FrameCommit and FrameEnd, the end of a whole response.
	FrameAccept FrameKind = 'a'
	FrameCommit FrameKind = 'c'
	FrameEnd    FrameKind = 'e'
	// FrameHead holds a Head, FrameRefusal a Refusal.
	FrameHead    FrameKind = 'h'
	FrameRefusal FrameKind = 'r'
)

// MaxFrameBytes is the most bytes of a body in one frame.
const MaxFrameBytes = 64 << 10

// Frame is one message of a forwarded request.
type Frame struct {
	Kind FrameKind
	Data []byte
}

// Offer is a request that a node asks a peer to send to a server.
type Offer struct {
	ID units.RequestID `json:"id"`
	// Config is the version of the configuration by which the node chose the service. Nodes up to
	// version 0.4 don't send it.
	Config  units.Version  `json:"config,omitempty"`
	Service units.TargetID `json:"service"`
	// Header is the client's request header as it was read.
	Header    []byte `json:"header"`
	BodyBytes int    `json:"body_bytes"`
	// Waited is the time since the request arrived, Left that to its deadline.
	Waited time.Duration `json:"waited"`
	Left   time.Duration `json:"left"`
	// Attempts is the number of servers that may run the request.
	Attempts int `json:"attempts"`
	// LastEvent is the last event that the caller has of a stream, and Version the software
	// version that the server must have, nil for any.
	LastEvent string                 `json:"last_event,omitempty"`
	Version   *units.SoftwareVersion `json:"version,omitempty"`
	// Counted is set if the request is in the node's demand.
	Counted bool `json:"counted,omitempty"`
	// AvoidsTarget is set if the request has failed at the target version of a rollout.
	AvoidsTarget bool `json:"avoids_target,omitempty"`
}

// Head is the header of a server's response, and the server.
type Head struct {
	// Header is the response header in HTTP's form.
	Header []byte     `json:"header"`
	Server units.VMID `json:"server"`
	// Start is the server's start time in Unix milliseconds. Nodes up to version 0.4 don't send it.
	Start   int64                 `json:"start,omitempty"`
	Version units.SoftwareVersion `json:"version"`
}

// Refusal ends a request that has no response.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfter is when the caller may come back, 0 if that isn't known.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// NotRun is set if the request has not run.
	NotRun bool `json:"not_run"`
	// Try names nodes that may take a request that the peer declined.
	Try []units.VMID `json:"try,omitempty"`
	// Config is the version in force at a peer that declined since it doesn't allow the request. Nodes
	// up to version 0.4 don't send it.
	Config units.Version `json:"config,omitempty"`
	// Leaving is set if the peer took a request and has not run it since it is leaving. Nodes up to version 0.4
	// don't send it.
	Leaving bool `json:"leaving,omitempty"`
}

// frameEncoding implements drpc.Encoding for frames.
type frameEncoding struct{ traffic *Traffic }

// Marshal implements drpc.Encoding.
func (en frameEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	fr := msg.(*Frame)
	en.traffic.Sent.Add(int64(1 + len(fr.Data)))
	return append(append(make([]byte, 0, 1+len(fr.Data)), byte(fr.Kind)), fr.Data...), nil
}

// Unmarshal implements drpc.Encoding.
func (en frameEncoding) Unmarshal(raw []byte, msg drpc.Message) error {
	if len(raw) == 0 {
		return fault.New("pulse.Unmarshal", KindFailed, "empty frame")
	}
	en.traffic.Received.Add(int64(len(raw)))
	fr := msg.(*Frame)
	fr.Kind, fr.Data = FrameKind(raw[0]), append([]byte(nil), raw[1:]...)
	return nil
}

// FrameStream carries the frames of one forwarded request.
type FrameStream struct {
	stream   drpc.Stream
	encoding frameEncoding
}

// Context ends when the other side has closed the stream.
func (fs *FrameStream) Context() context.Context { return fs.stream.Context() }

// Send sends a frame with raw data.
func (fs *FrameStream) Send(ki FrameKind, data []byte) error {
	err := fs.stream.MsgSend(&Frame{Kind: ki, Data: data}, fs.encoding)
	return fault.Wrap("pulse.Send", KindFailed, err)
}

// SendJSON sends a frame with a message.
func (fs *FrameStream) SendJSON(ki FrameKind, msg any) error {
	raw, err := json.Marshal(msg)
	if err != nil {
		return fault.Wrap("pulse.SendJSON", KindFailed, err)
	}
	return fs.Send(ki, raw)
}

// SendBody sends a body in frames.
func (fs *FrameStream) SendBody(body []byte) error {
	for len(body) > 0 {
		size := min(len(body), MaxFrameBytes)
		if err := fs.Send(FrameBody, body[:size]); err != nil {
			return err
		}
		body = body[size:]
	}
	return nil
}

// Receive returns the next frame.
func (fs *FrameStream) Receive() (*Frame, error) {
	var out Frame
	err := fs.stream.MsgRecv(&out, fs.encoding)
	return &out, fault.Wrap("pulse.Receive", KindFailed, err)
}

// Decode decodes the message of a frame, which has to be of a kind.
func (fr *Frame) Decode(ki FrameKind, msg any) error {
	const op = "pulse.Decode"
	if fr.Kind != ki {
		return fault.New(op, KindFailed, "frame of kind %q, want %q", fr.Kind, ki)
	}
	return fault.Wrap(op, KindFailed, bound.JSON(fr.Data, bound.Message, msg))
}

// Close ends the stream.
func (fs *FrameStream) Close() { _ = fs.stream.Close() }

const (
	forwardMethod = "/pulse/forward"
	// forwardDialTimeout bounds a connection that a caller's request waits for.
	forwardDialTimeout = 200 * time.Millisecond
	// A peer that is gone is noticed after forwardKeepAliveCount probes without an answer.
	forwardKeepAlive      = time.Second
	forwardKeepAliveCount = 2
	// maxForwardConns bounds the idle connections for forwarded requests.
	maxForwardConns        = 64
	maxForwardConnsPerPeer = 16
)

func newForwardPool() *drpcpool.Pool[string, drpcpool.Conn] {
	return drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxForwardConns, KeyCapacity: maxForwardConnsPerPeer,
	})
}

// Forward opens a stream for one request to the peer at addr. It is aborted when ctx ends.
func (cl *Client) Forward(ctx context.Context, addr string) (*FrameStream, error) {
	en := frameEncoding{cl.encoding.traffic}
	st, err := cl.forwards.Get(ctx, addr, dialForward).NewStream(ctx, forwardMethod, en)
	if err != nil {
		return nil, fault.Wrap("pulse.Forward", KindUnreachable, err)
	}
	return &FrameStream{stream: st, encoding: en}, nil
}

func dialForward(ctx context.Context, addr string) (drpcpool.Conn, error) {
	dl := net.Dialer{Timeout: forwardDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: forwardKeepAlive, Interval: forwardKeepAlive, Count: forwardKeepAliveCount,
	}}
	raw, err := dl.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.Wrap("pulse.dialForward", KindUnreachable, err)
	}
	return drpcconn.New(raw), nil
}

// Forwarder handles requests that peers forward.
type Forwarder interface {
	// Forward handles one request. ctx ends when the peer aborts it.
	Forward(ctx context.Context, fs *FrameStream)
}
