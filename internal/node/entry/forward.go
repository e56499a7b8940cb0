package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/relay"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/server"
)

const (
	// maxForwardTries bounds the peers that are asked to take one request.
	maxForwardTries = 8
	// acceptTimeout bounds the time in which a peer takes a request or declines it.
	acceptTimeout = 250 * time.Millisecond
	// maxCutOffers bounds the offers of a request to one peer that end with their connections, within
	// acceptTimeout. The pause before each is cutOfferPause longer.
	maxCutOffers  = 4
	cutOfferPause = 5 * time.Millisecond
	// maxForwarded bounds the requests of peers in progress, and maxForwardedBytes their bodies,
	// so that this node's own callers are served as before.
	maxForwarded      = 256
	maxForwardedBytes = 16 << 20
	// offerTimeout bounds the time from the start of an offer to its commit.
	offerTimeout = 2 * time.Second
	// forwardWaitStep is the interval at which a leaving node checks whether requests of peers are in
	// progress.
	forwardWaitStep = 50 * time.Millisecond
	// unusableRetryAfter is when the caller of a request that no peer takes may come back.
	unusableRetryAfter = 500 * time.Millisecond
)

// ForwardHandler returns a function that serves a request which a peer forwards, or an error if this
// node's configuration doesn't allow the request.
type ForwardHandler func(fw *relay.Forward) (ServeForwarded, error)

// ServeForwarded serves a request and writes the response to sink. It returns the final state.
type ServeForwarded func(ctx context.Context, sink relay.ServedSink) answer.State

// forwards sends requests through peers, and handles those that peers send through this node.
type forwards struct {
	no      *Node
	handler ForwardHandler

	mu    sync.Mutex
	nodes *detour.Nodes
	// inProgress and bytes are the requests of peers in progress and the sizes of their bodies.
	inProgress, bytes atomic.Int64
}

// choose returns a peer that may take a request of a service.
func (fo *forwards) choose(service units.TargetID, asked map[units.VMID]bool) (pulse.Peer, bool) {
	no := fo.no
	no.mu.Lock()
	var ids []units.VMID
	load, addrs := map[units.VMID]int{}, map[units.VMID]string{}
	for id, pe := range no.peers {
		if pe.lost || !pe.forwards || pe.unreached[service] {
			continue
		}
		ids, load[id], addrs[id] = append(ids, id), pe.load, pe.address
	}
	no.mu.Unlock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	id, ok := fo.nodes.Choose(time.Now(), service, ids, asked, func(id units.VMID) int { return load[id] })
	return pulse.Peer{Node: id, Address: addrs[id]}, ok
}

// Forward implements relay.Detours.
func (fo *forwards) Forward(ctx context.Context, fw *relay.Forward) (*relay.Reply, error) {
	const op = "entry.Forward"
	asked, last := map[units.VMID]bool{}, fault.New(op, KindForward, "none is known to")
	for range maxForwardTries {
		to, ok := fo.choose(fw.Service, asked)
		if !ok || ctx.Err() != nil || fw.Withheld != nil && fw.Withheld() {
			break
		}
		asked[to.Node] = true
		rp, err := fo.forwardTo(ctx, to, fw)
		if err == nil || fault.Is(err, KindForward) {
			return rp, relayError(op, relay.KindBroken, err)
		}
		last = err
		if fw.Back != nil && fw.Back() {
			return nil, relayError(op, relay.KindPathBack, last)
		}
	}
	return nil, relayError(op, relay.KindNoDetour, fault.New(op, KindForward, "no other node takes requests of %s: %s", fw.Service, last))
}

func relayError(op string, ki relay.Kind, err error) error { return fault.Wrap(op, ki, err) }

// forwardTo sends a request through one peer. The error is of KindDeclined or KindOfferCut if the peer has not
// taken it, and of KindForward if it may have run.
func (fo *forwards) forwardTo(callerCtx context.Context, to pulse.Peer, fw *relay.Forward) (*relay.Reply, error) {
	ctx, cancel := context.WithCancel(callerCtx)
	began := time.Now()
	fo.began(to.Node)
	done := sync.OnceFunc(func() {
		cancel()
		fo.ended(to.Node)
	})
	fs, declined, err := fo.offer(ctx, cancel, to, fw)
	// Several kept connections may have ended, and one that is ending may be kept until it has.
	for num := 1; num < maxCutOffers && fault.Is(err, KindOfferCut) && time.Since(began) < acceptTimeout && pause.For(ctx, time.Duration(num)*cutOfferPause); num++ {
		fs, declined, err = fo.offer(ctx, cancel, to, fw)
	}
	if callerCtx.Err() == nil && !fault.Is(err, KindWithheld) { // Otherwise it was not the peer that ended it.
		fo.noteOffer(to.Node, fw.Service, fw.Config, declined, err)
	}
	if declined != nil {
		fo.no.hearConfig(declined.Config)
	}
	if err != nil {
		done()
		return nil, err
	}
	rp, err := receiveReply(fs, done)
	if fault.Is(err, KindDeclined) {
		fo.noteOffer(to.Node, fw.Service, fw.Config, &pulse.Refusal{}, err)
	}
	if err != nil {
		done()
	}
	return rp, err
}

func (fo *forwards) began(id units.VMID) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.nodes.Began(id)
}

func (fo *forwards) ended(id units.VMID) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.nodes.Ended(id)
}

// noteOffer records whether a peer took a request. One that declined names peers that do.
func (fo *forwards) noteOffer(id units.VMID, service units.TargetID, config units.Version, declined *pulse.Refusal, err error) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		fo.nodes.Took(now, id, service)
	case declined == nil:
		fo.nodes.Silent(now, id, service)
	case declined.Config > 0 && declined.Config != config: // That tells of this request alone.
	default:
		fo.nodes.Declined(now, id, service)
		for _, hint := range declined.Try {
			fo.nodes.Took(now, hint, service)
		}
	}
}

// offer offers a request to a peer and commits it once the peer has taken it. refusal is set if
// the peer declined. An offer whose connection ends before acceptTimeout fails with KindOfferCut.
func (fo *forwards) offer(ctx context.Context, abort context.CancelFunc, to pulse.Peer, fw *relay.Forward) (fs *pulse.FrameStream, refusal *pulse.Refusal, err error) {
	const op = "entry.offer"
	tm := time.AfterFunc(acceptTimeout, abort)
	defer tm.Stop()
	declined := func(err error) error {
		if ctx.Err() == nil {
			return fault.Wrap(op, KindOfferCut, err)
		}
		return fault.Wrap(op, KindDeclined, err)
	}
	fs, err = fo.no.peerClient.Forward(ctx, to.Address)
	if err != nil {
		return nil, nil, declined(err)
	}
	now := time.Now()
	err = fs.SendJSON(pulse.FrameOffer, &pulse.Offer{
		ID: fw.ID, Config: fw.Config, Service: fw.Service, Header: fw.Header, BodyBytes: len(fw.Body), Waited: now.Sub(fw.Arrived), Left: fw.Deadline.Sub(now),
		Attempts: fw.Attempts, LastEvent: fw.LastEvent, Version: fw.Version, Counted: fw.Counted, AvoidsTarget: fw.AvoidsTarget,
	})
	if err == nil {
		err = fs.SendBody(fw.Body)
	}
	if err != nil {
		return nil, nil, declined(err)
	}
	fr, err := fs.Receive()
	if err != nil {
		return nil, nil, declined(err)
	}
	if fr.Kind != pulse.FrameAccept {
		refusal = &pulse.Refusal{}
		if err := fr.Decode(pulse.FrameRefusal, refusal); err != nil {
			return nil, nil, declined(err)
		}
		return nil, refusal, fault.New(op, KindDeclined, "%s declined: %s", to.Node, refusal.Reason)
	}
	if !tm.Stop() {
		return nil, nil, fault.New(op, KindDeclined, "%s took longer than %s", to.Node, acceptTimeout)
	}
	if fw.Withheld != nil && fw.Withheld() {
		return nil, nil, fault.New(op, KindWithheld, "the request is not sent any more")
	}
	return fs, nil, fault.Wrap(op, KindForward, fs.Send(pulse.FrameCommit, nil))
}

// receiveReply reads the header of the response. The reply's Close calls done. The error is of KindDeclined if the
// peer is leaving and has not run the request.
func receiveReply(fs *pulse.FrameStream, done func()) (*relay.Reply, error) {
	const op = "entry.receiveReply"
	fr, err := fs.Receive()
	if err != nil {
		return nil, fault.Wrap(op, KindForward, err)
	}
	if fr.Kind == pulse.FrameRefusal {
		var re pulse.Refusal
		if err := fr.Decode(pulse.FrameRefusal, &re); err != nil {
			return nil, fault.Wrap(op, KindForward, err)
		}
		if re.NotRun && re.Leaving {
			return nil, fault.New(op, KindDeclined, "the peer has not run it: %s", re.Reason)
		}
		return &relay.Reply{Close: done, Refusal: &relay.Refusal{Status: re.Status, Reason: re.Reason, RetryAfter: re.RetryAfter, NotRun: re.NotRun}}, nil
	}
	var head pulse.Head
	if err := fr.Decode(pulse.FrameHead, &head); err != nil {
		return nil, fault.Wrap(op, KindForward, err)
	}
	hd := &fasthttp.ResponseHeader{}
	hd.SetNoDefaultContentType(true)
	if err := call.ReadHead(hd, bufio.NewReaderSize(bytes.NewReader(head.Header), len(head.Header)+1)); err != nil {
		return nil, fault.Wrap(op, KindForward, err)
	}
	if status := hd.StatusCode(); status < fasthttp.StatusOK || answer.ImpliesNotRun(status) {
		// The peer refuses with a frame of its own, so that this proves nothing.
		return nil, fault.New(op, KindForward, "a response with status %d", status)
	}
	rp := &relay.Reply{Status: hd.StatusCode(), Authentic: true, Head: hd, Body: &frameReader{fs: fs}, Close: done, SentAt: time.Now()}
	rp.Server.ID, rp.Server.StartUnixMS, rp.Server.Version = head.Server, head.Start, head.Version
	return rp, nil
}

// frameReader reads the body of a response. It ends with io.EOF only if the whole body has come.
type frameReader struct {
	fs   *pulse.FrameStream
	rest []byte
	err  error
}

// Read implements io.Reader.
func (fr *frameReader) Read(buf []byte) (int, error) {
	const op = "entry.Read"
	for len(fr.rest) == 0 && fr.err == nil {
		next, err := fr.fs.Receive()
		switch {
		case err != nil: // Not wrapped, since it may be io.EOF.
			fr.err = fault.New(op, KindForward, "%v: %s", io.ErrUnexpectedEOF, err)
		case next.Kind == pulse.FrameBody:
			fr.rest = next.Data
		case next.Kind == pulse.FrameEnd:
			fr.err = io.EOF
		default:
			fr.err = fault.New(op, KindForward, "the peer broke off: %.200s", next.Data)
		}
	}
	num := copy(buf, fr.rest)
	fr.rest = fr.rest[num:]
	if num > 0 {
		return num, nil
	}
	return 0, fr.err
}

// Forward implements pulse.Forwarder.
func (no *Node) Forward(ctx context.Context, fs *pulse.FrameStream) {
	defer fs.Close()
	tm := time.AfterFunc(offerTimeout, fs.Close)
	defer tm.Stop()
	serve, declined, release := no.forwards.take(fs)
	defer release()
	if declined != nil {
		_ = fs.SendJSON(pulse.FrameRefusal, declined)
		return
	}
	if fs.Send(pulse.FrameAccept, nil) != nil {
		return
	}
	if fr, err := fs.Receive(); err != nil || fr.Kind != pulse.FrameCommit || !tm.Stop() {
		return
	}
	sink := &forwardSink{fs: fs}
	state := serve(ctx, sink)
	sink.finish(state, no.leaving.Load())
}

// wait returns when no request of a peer is in progress, or when ctx ends.
func (fo *forwards) wait(ctx context.Context) {
	for fo.inProgress.Load() > 0 && pause.For(ctx, forwardWaitStep) {
	}
}

// take reads an offered request and returns how to serve it, or why this node doesn't take it.
func (fo *forwards) take(fs *pulse.FrameStream) (serve ServeForwarded, declined *pulse.Refusal, release func()) {
	size := int64(0)
	release = func() {
		fo.inProgress.Add(-1)
		fo.bytes.Add(-size)
	}
	count := fo.inProgress.Add(1)
	decline := func(err error, hints ...units.VMID) (ServeForwarded, *pulse.Refusal, func()) {
		return nil, &pulse.Refusal{
			Status: fasthttp.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: unusableRetryAfter, NotRun: true, Try: hints,
		}, release
	}
	fr, err := fs.Receive()
	if err != nil {
		return decline(err)
	}
	var of pulse.Offer
	if err := fr.Decode(pulse.FrameOffer, &of); err != nil {
		return decline(err)
	}
	size = int64(max(0, of.BodyBytes))
	total := fo.bytes.Add(size)
	fo.no.hearConfig(of.Config)
	if err := fo.admits(&of, count, total); err != nil {
		return decline(err, fo.hints(of.Service)...)
	}
	body, err := receiveBody(fs, of.BodyBytes)
	if err != nil {
		return decline(err)
	}
	now := time.Now()
	serve, err = fo.handler(&relay.Forward{
		ID: of.ID, Config: of.Config, Service: of.Service, Header: of.Header, Body: body, Arrived: now.Add(-of.Waited), Deadline: now.Add(of.Left),
		Attempts: of.Attempts, LastEvent: of.LastEvent, Version: of.Version, Counted: of.Counted, AvoidsTarget: of.AvoidsTarget,
	})
	if err != nil {
		_, declined, _ = decline(err)
		declined.Config = fo.no.config.Load().version()
		return nil, declined, release
	}
	return serve, nil, release
}

// admits returns an error if this node can't take a request. count and total are the requests of
// peers in progress and the bytes of their bodies, this one included.
func (fo *forwards) admits(of *pulse.Offer, count, total int64) error {
	const op = "entry.admits"
	switch {
	case fo.handler == nil || !fo.no.canServe():
		return fault.New(op, KindForward, "this node serves no requests")
	case fo.no.relay.IsCut(of.Service):
		return fault.New(op, KindForward, "this node doesn't reach the servers of %s", of.Service)
	case count > maxForwarded || total > maxForwardedBytes:
		return fault.New(op, KindForward, "this node serves %d requests of other nodes", count)
	case of.BodyBytes < 0 || units.Bytes(of.BodyBytes) > fo.no.limits().Body:
		return fault.New(op, KindForward, "a body of %d bytes is too large", of.BodyBytes)
	}
	return nil
}

func (fo *forwards) hints(service units.TargetID) []units.VMID {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.nodes.Hints(time.Now(), service)
}

func receiveBody(fs *pulse.FrameStream, size int) ([]byte, error) {
	const op = "entry.receiveBody"
	var body []byte
	for len(body) < size {
		fr, err := fs.Receive()
		if err != nil {
			return nil, fault.Wrap(op, KindForward, err)
		}
		if fr.Kind != pulse.FrameBody || len(fr.Data) == 0 || len(body)+len(fr.Data) > size {
			return nil, fault.New(op, KindForward, "%d bytes of %d, then a frame of kind %q", len(body), size, fr.Kind)
		}
		body = append(body, fr.Data...)
	}
	return body, nil
}

// forwardSink sends a response to the peer that forwarded the request. It implements
// relay.ServedSink.
type forwardSink struct {
	fs      *pulse.FrameStream
	served  server.Server
	status  int
	started bool
	refusal *pulse.Refusal
}

// Served implements relay.ServedSink.
func (si *forwardSink) Served(sv *server.Server) { si.served = *sv }

// Respond implements relay.Sink.
func (si *forwardSink) Respond(hd *fasthttp.ResponseHeader, body []byte) error {
	hd.SetContentLength(len(body))
	if err := si.Start(hd); err != nil {
		return err
	}
	if err := si.Part(body); err != nil {
		return err
	}
	return si.End()
}

// Start implements relay.Sink.
func (si *forwardSink) Start(hd *fasthttp.ResponseHeader) error {
	si.started, si.status = true, hd.StatusCode()
	return si.fs.SendJSON(pulse.FrameHead, &pulse.Head{
		Header: hd.Header(), Server: si.served.ID, Start: si.served.StartUnixMS, Version: si.served.Version,
	})
}

// Part implements relay.Sink.
func (si *forwardSink) Part(part []byte) error { return si.fs.SendBody(part) }

// End implements relay.Sink.
func (si *forwardSink) End() error { return si.fs.Send(pulse.FrameEnd, nil) }

// Refuse implements relay.Sink. The refusal is sent with the final state.
func (si *forwardSink) Refuse(status int, reason string, after time.Duration) {
	si.status, si.refusal = status, &pulse.Refusal{Status: status, Reason: reason, RetryAfter: after}
}

// Started implements relay.Sink.
func (si *forwardSink) Started() bool { return si.started }

// Status implements relay.Sink.
func (si *forwardSink) Status() int { return si.status }

// finish ends a request that has no whole response. leaving tells whether this node is leaving.
func (si *forwardSink) finish(st answer.State, leaving bool) {
	if si.refusal == nil {
		return
	}
	si.refusal.NotRun = st == answer.NotRun
	si.refusal.Leaving = leaving && si.refusal.NotRun
	// The error is ignored: the peer is gone.
	_ = si.fs.SendJSON(pulse.FrameRefusal, si.refusal)
}
