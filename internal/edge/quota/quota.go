// Package quota enforces the rate limits of the table's rows at one node, using the node's
// share of each limit as computed by package limit.
package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/internal/rule/limit"
	"lycheepick/internal/state/table"
)

// Resource is a limited quantity of a row. Its values are used between nodes.
type Resource uint32

// The resources.
const (
	// Requests counts requests a second.
	Requests Resource = iota
	// TokenRate counts prompt and generated tokens a second.
	TokenRate
)

// PeerClient borrows rate from peers.
type PeerClient interface {
	// Borrow requests a loan of amount units a second from any peer. The loan's amount is
	// 0 if none was granted.
	Borrow(ctx context.Context, row string, rs Resource, amount float64) limit.Loan
	// Renew requests an extension of a loan from its lender.
	Renew(ctx context.Context, row string, rs Resource, lo limit.Loan) bool
}

// Limiter enforces the limits of all rows. It is safe for concurrent use.
type Limiter struct {
	rows atomic.Pointer[map[table.RowKey]*row]
	byID atomic.Pointer[map[string]*row]

	mu    sync.Mutex
	index *table.Index
	seat  bool
}

type row struct {
	mu          sync.Mutex
	requests    *limit.Share
	tokens      *limit.Share
	inFlight    atomic.Int64
	maxInFlight int64
}

// New returns a limiter without rows, which admits nothing until SetTable.
func New() *Limiter {
	lm := &Limiter{}
	lm.rows.Store(&map[table.RowKey]*row{})
	lm.byID.Store(&map[string]*row{})
	return lm
}

// SetTable replaces the limits by those of a table. Rows that stay keep their state.
func (lm *Limiter) SetTable(ix *table.Index, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.index = ix
	lm.rebuild(now)
}

// SetSeat sets whether this node holds a seat. A node with a seat owns an equal part of
// each limit; one without can only borrow.
func (lm *Limiter) SetSeat(held bool, now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if lm.seat == held {
		return
	}
	lm.seat = held
	if lm.index != nil {
		lm.rebuild(now)
	}
}

func (lm *Limiter) rebuild(now time.Time) {
	old := *lm.rows.Load()
	rows := map[table.RowKey]*row{}
	byID := map[string]*row{}
	tab := lm.index.Table()
	for idx := range tab.Rows {
		ro := &tab.Rows[idx]
		key := ro.Key()
		cur := old[key]
		if cur == nil {
			cur = &row{requests: limit.NewShare(0, 1, now), tokens: limit.NewShare(0, minTokenBurst(ro), now)}
		}
		requests, tokens := ratesPerSeat(ro, tab.Seats)
		cur.rebase(requests, tokens, lm.seat, now)
		cur.setInFlight(inFlightPerSeat(ro, tab.Seats))
		rows[key] = cur
		byID[key.String()] = cur
	}
	lm.rows.Store(&rows)
	lm.byID.Store(&byID)
}

// minTokenBurst returns the minimum burst in tokens. It admits a typical request even at a
// node whose share of the rate is small.
func minTokenBurst(ro *table.Row) float64 {
	const usual = 2048
	return min(usual, float64(ro.TokensPerSecond))
}

// floorShare is the fraction of a seat's rate that a node without a seat borrows ahead of
// demand.
const floorShare = 0.1

func ratesPerSeat(ro *table.Row, seats int) (requests, tokens float64) {
	return ro.RequestsPerSecond / float64(seats), float64(ro.TokensPerSecond) / float64(seats)
}

// inFlightPerSeat returns the limit on a row's concurrent requests at one node, at least
// one.
func inFlightPerSeat(ro *table.Row, seats int) int64 {
	return int64(max(1, (ro.InFlight+seats-1)/seats))
}

// rebase sets the owned rates of a node with a seat, or the borrowing floors of one
// without.
func (ro *row) rebase(requests, tokens float64, seat bool, now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if seat {
		ro.requests.SetBase(requests, now)
		ro.tokens.SetBase(tokens, now)
		ro.requests.SetMinRate(0)
		ro.tokens.SetMinRate(0)
		return
	}
	ro.requests.SetBase(0, now)
	ro.tokens.SetBase(0, now)
	ro.requests.SetMinRate(requests * floorShare)
	ro.tokens.SetMinRate(tokens * floorShare)
}

func (ro *row) setInFlight(maxInFlight int64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.maxInFlight = maxInFlight
}

// Take admits a request that is expected to use the given tokens, or returns the time to
// retry after. The caller must call settle with the tokens used when the request has ended.
func (lm *Limiter) Take(key table.RowKey, tokens float64) (settle func(used float64), after time.Duration, ok bool) {
	ro := (*lm.rows.Load())[key]
	if ro == nil {
		return nil, time.Second, false
	}
	now := time.Now()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.inFlight.Load() >= ro.maxInFlight {
		return nil, time.Second, false
	}
	if ok, wait := ro.requests.Take(now, 1); !ok {
		return nil, wait, false
	}
	if tokens > 0 {
		if ok, wait := ro.tokens.Take(now, tokens); !ok {
			ro.requests.Refund(now, 1)
			return nil, wait, false
		}
	}
	ro.inFlight.Add(1)
	var once sync.Once
	return func(used float64) { once.Do(func() { ro.settle(tokens - used) }) }, 0, true
}

func (ro *row) settle(unused float64) {
	ro.inFlight.Add(-1)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if unused != 0 {
		ro.tokens.Refund(time.Now(), unused)
	}
}

func (ro *row) share(rs Resource) *limit.Share {
	if rs == TokenRate {
		return ro.tokens
	}
	return ro.requests
}

// Lend grants a peer a loan of up to amount units a second; lent is 0 if there is none to
// spare.
func (lm *Limiter) Lend(row string, rs Resource, amount float64) (id uint64, lent float64) {
	ro := (*lm.byID.Load())[row]
	if ro == nil {
		return 0, 0
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.share(rs).Lend(time.Now(), amount)
}

// Renew extends a loan that this node has lent to a peer. It returns false if the row or
// loan is unknown or the rate is needed here.
func (lm *Limiter) Renew(row string, rs Resource, id uint64) bool {
	ro := (*lm.byID.Load())[row]
	if ro == nil {
		return false
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.share(rs).Renew(time.Now(), id)
}

// Borrow renews loans, and borrows for rows whose demand exceeds their rate. It is called
// a few times a second.
func (lm *Limiter) Borrow(ctx context.Context, as PeerClient) {
	budget := maxMessages
	for id, ro := range *lm.byID.Load() { // Map order is random, so no row is favoured.
		for _, rs := range []Resource{Requests, TokenRate} {
			ro.renew(ctx, id, rs, as, &budget)
			for range limit.AsksPerRound {
				ro.borrow(ctx, id, rs, as, &budget)
			}
		}
	}
}

// maxMessages bounds the messages of one call of Borrow, so that a node's cost does not
// grow with the number of rows that need to borrow.
const maxMessages = 12

func (ro *row) renew(ctx context.Context, id string, rs Resource, as PeerClient, budget *int) {
	asked := time.Now()
	ro.mu.Lock()
	due := ro.share(rs).DueLoans(asked)
	ro.mu.Unlock()
	for _, lo := range due[:min(len(due), max(0, *budget))] {
		*budget--
		if !as.Renew(ctx, id, rs, lo) {
			continue
		}
		ro.mu.Lock()
		ro.share(rs).Renewed(asked, time.Now(), lo)
		ro.mu.Unlock()
	}
}

func (ro *row) borrow(ctx context.Context, id string, rs Resource, as PeerClient, budget *int) {
	if *budget <= 0 {
		return
	}
	asked := time.Now()
	ro.mu.Lock()
	want := ro.share(rs).Shortfall(asked)
	ro.mu.Unlock()
	if want <= 0 {
		return
	}
	*budget--
	lo := as.Borrow(ctx, id, rs, want)
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.share(rs).Borrowed(asked, time.Now(), lo)
}
