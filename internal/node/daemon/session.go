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

// copies is the number of peers that keep a session.
const copies = 2

// sessions keeps the requests that peers handed to this node.
type sessions struct {
	mu   sync.Mutex
	most int
	byID map[units.RequestID]*serve.Session
}

func newSessions(most int) *sessions {
	return &sessions{most: most, byID: map[units.RequestID]*serve.Session{}}
}

func (ss *sessions) put(se *serve.Session) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if len(ss.byID) >= ss.most {
		return false
	}
	ss.byID[se.Request] = se
	return true
}

// take removes a session of a customer and returns it.
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

// StoreSession implements serve.Node.
func (da *Daemon) StoreSession(ctx context.Context, se *serve.Session) error {
	const op = "daemon.Keep"
	kept := 0
	for _, me := range da.sessionHomes(se.Request) {
		re, err := da.pool.Peer(ctx, me.Address).Handover(ctx, sessionToWire(se))
		if err == nil && re.GetTaken() {
			kept++
		}
		if kept == copies {
			break
		}
	}
	if kept == 0 {
		return fault.New(op, KindSession, "no peer took request %s", se.Request)
	}
	return nil
}

// FetchSession implements serve.Node. The peers are asked in the order in which they were
// given the session, and for a session that the caller named one more, since a node
// may have come or gone since. Copies that are left are dropped.
func (da *Daemon) FetchSession(ctx context.Context, cu units.CustomerID, rq units.RequestID, named bool) (*serve.Session, bool) {
	look := 1
	if named {
		look = copies + 1
	}
	homes := da.sessionHomes(rq)
	if se, ok := da.sessions.take(cu, rq); ok {
		da.spawn(func(ctx context.Context) { da.dropCopies(ctx, homes, cu, rq) })
		return se, true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	for idx, me := range homes[:min(look, len(homes))] {
		if se, ok := da.fetch(ctx, &me, cu, rq); ok {
			da.spawn(func(ctx context.Context) { da.dropCopies(ctx, homes[idx+1:], cu, rq) })
			return se, true
		}
	}
	return nil, false
}

// sessionHomes returns the peers that may keep a session.
func (da *Daemon) sessionHomes(rq units.RequestID) []member.Member {
	var out []member.Member
	for _, me := range da.home("session-" + string(rq)) {
		if !isSelf(da, &me) && len(out) <= copies {
			out = append(out, me)
		}
	}
	return out
}

func (da *Daemon) fetch(ctx context.Context, me *member.Member, cu units.CustomerID, rq units.RequestID) (*serve.Session, bool) {
	re, err := da.pool.Peer(ctx, me.Address).Fetch(ctx, &wire.FetchRequest{Request: string(rq), Customer: string(cu)})
	if err != nil || !re.GetFound() {
		return nil, false
	}
	return sessionFromWire(re.GetSession()), true
}

func (da *Daemon) dropCopies(ctx context.Context, homes []member.Member, cu units.CustomerID, rq units.RequestID) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	for _, me := range homes {
		da.fetch(ctx, &me, cu, rq)
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
