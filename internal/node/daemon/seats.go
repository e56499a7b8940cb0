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
	// claimPeriod is the interval between two claims while this node has no seat.
	claimPeriod = 250 * time.Millisecond
	// noSeatReadWait is how long a read of the log waits for a record while this node has no
	// seat.
	noSeatReadWait = 200 * time.Millisecond
	// seatTimeout is how long a node with a table stays unready without a seat. After that it
	// serves with the allowance that it can borrow.
	seatTimeout = 5 * time.Second
)

func (da *Daemon) instance() units.Instance {
	return units.Instance{VM: da.settings.VM.ID, Incarnation: da.settings.VM.Incarnation}
}

func (da *Daemon) startNanos() uint64 { return uint64(da.start.UnixNano()) }

// seatLoop tails the seat stream and claims or renews this node's seat.
func (da *Daemon) seatLoop(ctx context.Context) {
	var tried time.Time
	readWait := noSeatReadWait
	for ctx.Err() == nil {
		da.seatMu.Lock()
		next := da.seats.NextOffset()
		da.seatMu.Unlock()
		page, err := da.logService.Read(ctx, logsvc.StreamSeats, next, readWait)
		if err != nil {
			da.checkSeat(time.Now())
			sleep(ctx, jitter(logRetryDelay))
			continue
		}
		da.readSeats(&page)
		held := da.checkSeat(time.Now())
		due := claimPeriod
		readWait = noSeatReadWait
		if held {
			due = limit.SeatRenewInterval
		}
		if da.seatUsable.Load() {
			readWait = logReadWait
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

// checkSeat reports whether this node holds a seat at now: the log has assigned it one, and the
// claim is younger than limit.SeatTTL, after which another node may take it. The node uses the
// seat only after limit.LoanTime, when all loans of the seat's previous holder have ended.
func (da *Daemon) checkSeat(now time.Time) bool {
	da.seatMu.Lock()
	num, ok := da.seats.Holder(da.instance(), da.startNanos())
	held := ok && now.Sub(da.seatClaimedAt) < limit.SeatTTL
	if !held {
		da.seatHeldSince = time.Time{}
	} else if da.seatHeldSince.IsZero() {
		da.seatHeldSince = now
	}
	settled := held && now.Sub(da.seatHeldSince) >= limit.LoanTime
	da.seatMu.Unlock()
	in := da.table.Load()
	held = held && in != nil && num < in.Index.Table().Seats
	da.quota.SetSeat(held && settled, now)
	da.seatUsable.Store(held && settled)
	return held
}

func (da *Daemon) claimSeat(ctx context.Context) {
	in := da.table.Load()
	if in == nil {
		return
	}
	da.seatMu.Lock()
	start := int(xxhash.Sum64String(string(da.settings.VM.ID)) % uint64(in.Index.Table().Seats))
	num, ok := da.seats.Pick(da.settings.VM.ID, in.Index.Table().Seats, start, time.Now())
	da.seatMu.Unlock()
	if !ok {
		da.log.Warn("no_seat", zap.Int("seats", in.Index.Table().Seats))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := time.Now()
	rec := limit.SeatRecord{Op: limit.SeatClaim, Seat: num, Instance: da.instance(), ProcessIncarnation: da.startNanos()}
	if _, err := da.logService.Append(ctx, logsvc.StreamSeats, rec); err != nil {
		return
	}
	da.seatMu.Lock()
	da.seatClaimedAt = sent
	da.seatMu.Unlock()
}

// releaseSeat releases the seat when the node leaves.
func (da *Daemon) releaseSeat() {
	da.seatMu.Lock()
	num, ok := da.seats.Holder(da.instance(), da.startNanos())
	da.seatMu.Unlock()
	if !ok {
		return
	}
	da.quota.SetSeat(false, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	rec := limit.SeatRecord{Op: limit.SeatRelease, Seat: num, Instance: da.instance(), ProcessIncarnation: da.startNanos()}
	if _, err := da.logService.Append(ctx, logsvc.StreamSeats, rec); err != nil {
		da.log.Debug("seat_not_released", zap.Error(err))
	}
}

// borrowLoop borrows allowance from peers for the rows that need it.
func (da *Daemon) borrowLoop(ctx context.Context) {
	runEvery(ctx, borrowPeriod, func(ctx context.Context) { da.quota.Borrow(ctx, &loanClient{da: da}) })
}

const borrowTimeout = 300 * time.Millisecond

// loanClient requests loans from peers.
type loanClient struct{ da *Daemon }

// Borrow implements quota.PeerClient. It asks one random peer for a loan; the loan is empty if
// the peer is not alive or refuses.
func (as *loanClient) Borrow(ctx context.Context, row string, rs quota.Resource, amount float64) limit.Loan {
	as.da.gossipMu.Lock()
	peers := as.da.gossip.Sample(1, "")
	as.da.gossipMu.Unlock()
	if len(peers) == 0 || peers[0].State != member.Alive {
		return limit.Loan{}
	}
	re := as.call(ctx, peers[0].Address, &wire.BorrowRequest{Row: row, Resource: uint32(rs), Amount: amount})
	return limit.Loan{ID: re.GetId(), Amount: re.GetAmount(), Lender: peers[0].Address}
}

// Renew implements quota.PeerClient. It asks the lender to renew a loan and reports whether it did.
func (as *loanClient) Renew(ctx context.Context, row string, rs quota.Resource, lo limit.Loan) bool {
	re := as.call(ctx, lo.Lender, &wire.BorrowRequest{Row: row, Resource: uint32(rs), Renew: lo.ID})
	return re.GetId() == lo.ID
}

// call returns an empty reply if the peer does not answer in time.
func (as *loanClient) call(ctx context.Context, addr string, rq *wire.BorrowRequest) *wire.BorrowReply {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	re, err := as.da.peerPool.Peer(ctx, addr).Borrow(ctx, rq)
	if err != nil {
		return &wire.BorrowReply{}
	}
	return re
}
