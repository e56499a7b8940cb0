package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lycheepick/internal/edge/quota"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/limit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

const (
	// claimEvery is the time between two claims while this node has no seat.
	claimEvery = 250 * time.Millisecond
	// unseatedWait is how long a read waits while this node has no seat.
	unseatedWait = 200 * time.Millisecond
	// seatPatience is how long a node with a table stays unready for want of a seat.
	// After it, it serves with what it can borrow.
	seatPatience = 5 * time.Second
)

func (da *Daemon) instance() units.Instance {
	return units.Instance{VM: da.set.VM.ID, Incarnation: da.set.VM.Incarnation}
}

func (da *Daemon) life() uint64 { return uint64(da.start.UnixNano()) }

// seatLoop follows the stream of seats, and claims or renews this node's seat.
func (da *Daemon) seatLoop(ctx context.Context) {
	var tried time.Time
	patience := unseatedWait
	for ctx.Err() == nil {
		da.seatMu.Lock()
		next := da.seats.Next()
		da.seatMu.Unlock()
		page, err := da.logs.Read(ctx, logsvc.StreamSeats, next, patience)
		if err != nil {
			da.checkSeat(time.Now())
			wait(ctx, jitter(logBackoff))
			continue
		}
		da.readSeats(&page)
		held := da.checkSeat(time.Now())
		due := claimEvery
		patience = unseatedWait
		if held {
			due = limit.SeatRenewInterval
		}
		if da.seated.Load() {
			patience = logWait
		}
		if len(page.Records) == 0 && time.Since(tried) >= due && !da.leaving.Load() {
			tried = time.Now()
			da.claimSeat(ctx)
		}
	}
}

func (da *Daemon) readSeats(page *logsvc.Page) {
	da.seatMu.Lock()
	defer da.seatMu.Unlock()
	for _, rec := range page.Records {
		var sr limit.SeatRecord
		if err := json.Unmarshal(rec.Body, &sr); err != nil {
			sr = limit.SeatRecord{}
		}
		da.seats.Read(rec.Offset, rec.At, sr)
	}
}

// checkSeat tells whether this node holds a seat at now: the log gave it one, and not
// so long ago that another may have it since. It uses the seat only once all loans that
// the seat's last holder may have given have ended.
func (da *Daemon) checkSeat(now time.Time) bool {
	da.seatMu.Lock()
	num, ok := da.seats.Holder(da.instance(), da.life())
	held := ok && now.Sub(da.seatAt) < limit.SeatTTL
	if !held {
		da.seatedAt = time.Time{}
	} else if da.seatedAt.IsZero() {
		da.seatedAt = now
	}
	settled := held && now.Sub(da.seatedAt) >= limit.LoanTime
	da.seatMu.Unlock()
	in := da.table.Load()
	held = held && in != nil && num < in.Index.Table().Seats
	da.quota.SetSeat(held && settled, now)
	da.seated.Store(held && settled)
	return held
}

func (da *Daemon) claimSeat(ctx context.Context) {
	in := da.table.Load()
	if in == nil {
		return
	}
	da.seatMu.Lock()
	start := int(xxhash.Sum64String(string(da.set.VM.ID)) % uint64(in.Index.Table().Seats))
	num, ok := da.seats.Pick(da.set.VM.ID, in.Index.Table().Seats, start, time.Now())
	da.seatMu.Unlock()
	if !ok {
		da.log.Warn("no_seat", zap.Int("seats", in.Index.Table().Seats))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	sent := time.Now()
	rec := limit.SeatRecord{Op: limit.SeatClaim, Seat: num, Instance: da.instance(), ProcessIncarnation: da.life()}
	if _, err := da.logs.Append(ctx, logsvc.StreamSeats, rec); err != nil {
		return
	}
	da.seatMu.Lock()
	da.seatAt = sent
	da.seatMu.Unlock()
}

// releaseSeat gives the seat up when the node leaves.
func (da *Daemon) releaseSeat() {
	da.seatMu.Lock()
	num, ok := da.seats.Holder(da.instance(), da.life())
	da.seatMu.Unlock()
	if !ok {
		return
	}
	da.quota.SetSeat(false, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), peerTime)
	defer cancel()
	rec := limit.SeatRecord{Op: limit.SeatRelease, Seat: num, Instance: da.instance(), ProcessIncarnation: da.life()}
	if _, err := da.logs.Append(ctx, logsvc.StreamSeats, rec); err != nil {
		da.log.Debug("seat_not_released", zap.Error(err))
	}
}

// borrowLoop asks peers for what the rows lack.
func (da *Daemon) borrowLoop(ctx context.Context) {
	every(ctx, borrowEvery, func(ctx context.Context) { da.quota.Borrow(ctx, &asker{da: da}) })
}

const askTime = 300 * time.Millisecond

// asker asks peers for loans.
type asker struct{ da *Daemon }

// Borrow implements quota.Asker: it asks one random peer.
func (as *asker) Borrow(ctx context.Context, row string, rs quota.Resource, amount float64) limit.Loan {
	as.da.gossipMu.Lock()
	peers := as.da.gossip.Sample(1, "")
	as.da.gossipMu.Unlock()
	if len(peers) == 0 || peers[0].State != member.Alive {
		return limit.Loan{}
	}
	re := as.call(ctx, peers[0].Address, &wire.BorrowRequest{Row: row, Resource: uint32(rs), Amount: amount})
	return limit.Loan{ID: re.GetId(), Amount: re.GetAmount(), Lender: peers[0].Address}
}

// Renew implements quota.Asker.
func (as *asker) Renew(ctx context.Context, row string, rs quota.Resource, lo limit.Loan) bool {
	re := as.call(ctx, lo.Lender, &wire.BorrowRequest{Row: row, Resource: uint32(rs), Renew: lo.ID})
	return re.GetId() == lo.ID
}

// call returns an empty answer if the peer gives none.
func (as *asker) call(ctx context.Context, addr string, rq *wire.BorrowRequest) *wire.BorrowReply {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	re, err := as.da.pool.Peer(ctx, addr).Borrow(ctx, rq)
	if err != nil {
		return &wire.BorrowReply{}
	}
	return re
}
