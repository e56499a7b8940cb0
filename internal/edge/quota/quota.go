// Package quota applies the limits of the table's rows at one node, with the part of
// each limit that package limit gives it.
package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/internal/rule/limit"
	"lycheepick/internal/state/table"
)

// Resource names a limited quantity of a row.
type Resource uint32

// The resources.
const (
	// Requests counts requests a second.
	Requests Resource = iota
	// TokenRate counts prompt and generated tokens a second.
	TokenRate
)

// Asker asks peers for allowance of a row.
type Asker interface {
	// Borrow asks any peer for a loan; its amount is 0 if none was given.
	Borrow(ctx context.Context, row string, rs Resource, amount float64) limit.Loan
	// Renew asks the lender of a loan for more time.
	Renew(ctx context.Context, row string, rs Resource, lo limit.Loan) bool
}

// Book holds the shares of all rows. It is safe for concurrent use.
type Book struct {
	rows atomic.Pointer[map[table.RowKey]*row]
	byID atomic.Pointer[map[string]*row]

	mu    sync.Mutex
	index *table.Index
	seat  bool
}

type row struct {
	mu       sync.Mutex
	requests *limit.Share
	tokens   *limit.Share
	inFlight atomic.Int64
	most     int64
}

// New returns a book without rows.
func New() *Book {
	bo := &Book{}
	bo.rows.Store(&map[table.RowKey]*row{})
	bo.byID.Store(&map[string]*row{})
	return bo
}

// SetTable takes over the limits of a table.
func (bo *Book) SetTable(ix *table.Index, now time.Time) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.index = ix
	bo.rebuild(now)
}

// SetSeat tells whether this node holds a seat, and so owns a part of each limit.
func (bo *Book) SetSeat(held bool, now time.Time) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if bo.seat == held {
		return
	}
	bo.seat = held
	if bo.index != nil {
		bo.rebuild(now)
	}
}

func (bo *Book) rebuild(now time.Time) {
	old := *bo.rows.Load()
	rows := map[table.RowKey]*row{}
	byID := map[string]*row{}
	tab := bo.index.Table()
	for idx := range tab.Rows {
		ro := &tab.Rows[idx]
		key := ro.Key()
		cur := old[key]
		if cur == nil {
			cur = &row{requests: limit.NewShare(0, 1, now), tokens: limit.NewShare(0, leastTokens(ro), now)}
		}
		requests, tokens := parts(ro, tab.Seats)
		cur.rebase(requests, tokens, bo.seat, now)
		cur.setInFlight(inFlightPart(ro, tab.Seats))
		rows[key] = cur
		byID[key.String()] = cur
	}
	bo.rows.Store(&rows)
	bo.byID.Store(&byID)
}

// leastTokens lets one usual request pass at a node whose part of the rate is small.
func leastTokens(ro *table.Row) float64 {
	const usual = 2048
	return min(usual, float64(ro.TokensPerSecond))
}

// floorShare is the part of a seat's rate that a node without a seat borrows in advance.
const floorShare = 0.1

func parts(ro *table.Row, seats int) (requests, tokens float64) {
	return ro.RequestsPerSecond / float64(seats), float64(ro.TokensPerSecond) / float64(seats)
}

// inFlightPart is this node's part of a row's requests in progress, at least one.
func inFlightPart(ro *table.Row, seats int) int64 {
	return int64(max(1, (ro.InFlight+seats-1)/seats))
}

// rebase sets the owned rates of a node with a seat, or the floors of one without.
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

func (ro *row) setInFlight(most int64) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.most = most
}

// Take admits a request that is expected to use so many tokens, or tells when to come
// back. The caller calls the returned settle once with the tokens used.
func (bo *Book) Take(key table.RowKey, tokens float64) (settle func(used float64), after time.Duration, ok bool) {
	ro := (*bo.rows.Load())[key]
	if ro == nil {
		return nil, time.Second, false
	}
	now := time.Now()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.inFlight.Load() >= ro.most {
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

// Lend answers a peer that asks for a loan.
func (bo *Book) Lend(row string, rs Resource, amount float64) (id uint64, lent float64) {
	ro := (*bo.byID.Load())[row]
	if ro == nil {
		return 0, 0
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.share(rs).Lend(time.Now(), amount)
}

// Renew answers a peer that asks for more time for a loan.
func (bo *Book) Renew(row string, rs Resource, id uint64) bool {
	ro := (*bo.byID.Load())[row]
	if ro == nil {
		return false
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.share(rs).Renew(time.Now(), id)
}

// Borrow renews loans and asks for what the rows lack. A node calls it a few times a
// second.
func (bo *Book) Borrow(ctx context.Context, as Asker) {
	budget := questions
	for id, ro := range *bo.byID.Load() { // The order of a map is random, which is fair.
		for _, rs := range []Resource{Requests, TokenRate} {
			ro.renew(ctx, id, rs, as, &budget)
			for range limit.AsksPerRound {
				ro.borrow(ctx, id, rs, as, &budget)
			}
		}
	}
}

// questions bounds the messages of one call of Borrow, and with it what limits cost a
// node however many rows lack allowance.
const questions = 12

func (ro *row) renew(ctx context.Context, id string, rs Resource, as Asker, budget *int) {
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

func (ro *row) borrow(ctx context.Context, id string, rs Resource, as Asker, budget *int) {
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
