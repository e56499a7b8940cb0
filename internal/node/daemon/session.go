package daemon

import (
	"context"
	"sync"
	"time"

	"lycheepick/internal/edge/serve"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

const (
	// sessionCopies is the number of peers that store a session.
	sessionCopies = 2
	// sessionPollPeriod is the pause before a session of a request that still runs is asked
	// for again.
	sessionPollPeriod = 20 * time.Millisecond
)

// sessions stores the unfinished requests that peers have handed over to this node: a peer is
// leaving, or the connection of a streaming caller has broken.
type sessions struct {
	mu       sync.Mutex
	maxCount int
	byID     map[units.RequestID]*serve.Session
}

func newSessions(maxCount int) *sessions {
	return &sessions{maxCount: maxCount, byID: map[units.RequestID]*serve.Session{}}
}

func (ss *sessions) put(se *serve.Session) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if len(ss.byID) >= ss.maxCount {
		return false
	}
	ss.byID[se.Request] = se
	return true
}

// take removes and returns a session, if it belongs to the customer.
func (ss *sessions) take(cu units.CustomerID, rq units.RequestID) (*serve.Session, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	se, ok := ss.byID[rq]
	if !ok || se.Customer != cu {
		return nil, false
	}
	delete(ss.byID, rq)
	return se, true
}

func (ss *sessions) expire(now time.Time) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for id, se := range ss.byID {
		if now.After(se.Deadline) {
			delete(ss.byID, id)
		}
	}
}

// StoreSession implements serve.Node. It returns a KindSession error if no peer accepts the session.
func (da *Daemon) StoreSession(ctx context.Context, se *serve.Session) error {
	const op = "daemon.Keep"
	kept := 0
	for _, me := range da.sessionPeers(se.Request) {
		re, err := da.peerPool.Peer(ctx, me.Address).Handover(ctx, sessionToWire(se))
		if err == nil && re.GetTaken() {
			kept++
		}
		if kept == sessionCopies {
			break
		}
	}
	if kept == 0 {
		return fault.New(op, KindSession, "no peer took request %s", se.Request)
	}
	return nil
}

// FetchSession implements serve.Node. It asks the peers in the order in which they were offered the
// session. If the caller named the session, it asks one peer more, since a node may have joined
// or left in the meantime, and while the request is still running it asks again: the caller may
// reconnect before the node has noticed that it was gone, or has handed the session over.
func (da *Daemon) FetchSession(ctx context.Context, cu units.CustomerID, rq units.RequestID, named bool) (*serve.Session, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	count := 1
	if named {
		count = sessionCopies + 1
	}
	// A node that has stopped running the request has stored the session before, perhaps at a
	// peer that was asked earlier in the round; the next round finds it there.
	for stopped := false; ; {
		se, running := da.findSession(ctx, cu, rq, count)
		if se != nil || !named || stopped || ctx.Err() != nil {
			return se, se != nil
		}
		stopped = !running
		if running {
			sleep(ctx, sessionPollPeriod)
		}
	}
}

// findSession takes a session from this node or from the first count peers, and drops the
// remaining copies. running is true if there is none and one of them still runs the request.
func (da *Daemon) findSession(ctx context.Context, cu units.CustomerID, rq units.RequestID, count int) (se *serve.Session, running bool) {
	peers := da.sessionPeers(rq)
	running = da.server.IsStreaming(cu, rq)
	if se, ok := da.sessions.take(cu, rq); ok {
		da.spawn(func(ctx context.Context) { da.dropCopies(ctx, peers, cu, rq) })
		return se, false
	}
	for idx, me := range peers[:min(count, len(peers))] {
		se, runs := da.fetchSession(ctx, &me, cu, rq)
		if se != nil {
			da.spawn(func(ctx context.Context) { da.dropCopies(ctx, peers[idx+1:], cu, rq) })
			return se, false
		}
		running = running || runs
	}
	return nil, running
}

// sessionPeers returns the peers that may store a session, in order: sessionCopies and one more.
func (da *Daemon) sessionPeers(rq units.RequestID) []member.Member {
	var out []member.Member
	for _, me := range da.rankNodes("session-" + string(rq)) {
		if !isSelf(da, &me) && len(out) <= sessionCopies {
			out = append(out, me)
		}
	}
	return out
}

// fetchSession takes a session from a peer. It returns nil if the peer has none, and whether
// the peer still runs the request.
func (da *Daemon) fetchSession(ctx context.Context, me *member.Member, cu units.CustomerID, rq units.RequestID) (se *serve.Session, running bool) {
	re, err := da.peerPool.Peer(ctx, me.Address).Fetch(ctx, &wire.FetchRequest{Request: string(rq), Customer: string(cu)})
	if err != nil || !re.GetFound() {
		return nil, err == nil && re.GetSession() != nil
	}
	return sessionFromWire(re.GetSession()), false
}

func (da *Daemon) dropCopies(ctx context.Context, peers []member.Member, cu units.CustomerID, rq units.RequestID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, me := range peers {
		da.fetchSession(ctx, &me, cu, rq)
	}
}

func sessionToWire(se *serve.Session) *wire.Session {
	return &wire.Session{
		Request: string(se.Request), Customer: string(se.Customer),
		Target: string(se.Row.Target), Kind: string(se.Row.Kind), Path: se.Path, Body: se.Body, Tokens: se.Tokens,
		DeadlineUnixMs: se.Deadline.UnixMilli(), PromptTokens: int64(se.PromptTokens),
	}
}

func sessionFromWire(in *wire.Session) *serve.Session {
	cu := units.CustomerID(in.GetCustomer())
	return &serve.Session{
		Request: units.RequestID(in.GetRequest()), Customer: cu,
		Row:  table.RowKey{Customer: cu, Target: units.TargetID(in.GetTarget()), Kind: units.RequestKind(in.GetKind())},
		Path: in.GetPath(), Body: in.GetBody(), Tokens: in.GetTokens(),
		PromptTokens: units.Tokens(in.GetPromptTokens()), Deadline: time.UnixMilli(in.GetDeadlineUnixMs()),
	}
}
