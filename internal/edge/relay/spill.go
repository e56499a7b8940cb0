package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
)

const (
	// spillPeriod is the interval at which the fraction of a service is derived anew, as its requests arrive.
	spillPeriod = 100 * time.Millisecond
	// A change of spillLogStep of the fraction is logged, and its end, at most once in spillLogPeriod.
	spillLogStep   = 0.1
	spillLogPeriod = time.Second
	// spillSalt keeps the requests that may leave a zone from being those that other decisions by the same hash choose.
	spillSalt = "zone "
)

// spilling is what a service spills to other zones. book is nil until spilling is on.
type spilling struct {
	book *spill.Book
	// offered is what callers have offered to this node.
	offered  spill.Offered
	logged   float64
	loggedAt time.Time
}

// SetSpill turns spilling between zones on or off. Without it a server in another zone has a constant penalty.
func (rl *Relay) SetSpill(on bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.setSpill(on)
}

func (rl *Relay) setSpill(on bool) {
	if on == rl.spills.Load() {
		return
	}
	rl.spills.Store(on)
	for _, se := range rl.fleets {
		se.spilling = spilling{}
	}
}

// Spilled returns the largest fraction of requests that may leave the zone over all services.
func (rl *Relay) Spilled() (fraction float64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, se := range rl.fleets {
		if se.spilling.book != nil {
			fraction = max(fraction, se.spilling.book.Fraction())
		}
	}
	return fraction
}

// noteOffered counts a request and the prompt tokens that servers have to read for it.
func (rl *Relay) noteOffered(id units.TargetID, fresh units.Tokens) {
	rl.Meter.RecordDemand(id, fresh)
	if !rl.spills.Load() {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	sp := &rl.service(id).spilling
	sp.offered.Requests++
	sp.offered.Prompts += max(0, fresh)
}

// noteZone records what has been offered to a peer. The caller holds mu.
func (rl *Relay) noteZone(now time.Time, id units.TargetID, se *service, node units.VMID, inc int64, rep *LoadReport) {
	if rl.spills.Load() && node != ownNode {
		rl.spillBook(se).Report(now, node, inc, rep.Zone, rep.Offered[id])
	}
}

func (rl *Relay) spillBook(se *service) *spill.Book {
	if se.spilling.book == nil {
		se.spilling.book = spill.NewBook(rl.Zone)
	}
	return se.spilling.book
}

// setLeave decides whether a request may leave its zone.
func (rl *Relay) setLeave(now time.Time, rq *Request, ask *place.Request) {
	if !rl.spills.Load() {
		ask.Leave = spill.Undecided
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(rq.Service)
	bo := rl.spillBook(se)
	if now.Sub(bo.UpdatedAt()) >= spillPeriod {
		bo.Report(now, ownNode, 0, rl.Zone, se.spilling.offered)
		bo.Update(now, se.fleet.Capacity(now), se.fleet.Speed(now))
		rl.logSpill(now, rq.Service, &se.spilling)
	}
	ask.Leave = bo.Decide(xxhash.Sum64String(spillSalt + string(rq.ID)))
	ask.TargetLeft = rq.Route.TargetLatency - now.Sub(rq.Arrived)
}

// ownNode stands for this node among its peers.
const ownNode units.VMID = ""

// logSpill logs a fraction that has changed much. The caller holds mu.
func (rl *Relay) logSpill(now time.Time, id units.TargetID, sp *spilling) {
	fraction := sp.book.Fraction()
	ended := fraction == 0 && sp.logged > 0
	if !ended && math.Abs(fraction-sp.logged) < spillLogStep || now.Sub(sp.loggedAt) < spillLogPeriod {
		return
	}
	st := sp.book.State()
	rl.Log.Info("zone_spill", zap.String("service", string(id)), zap.String("zone", string(rl.Zone)), zap.Float64("fraction", fraction),
		zap.Float64("before", sp.logged), zap.Float64("demand", st.Demand), zap.Float64("capacity", st.Capacity), zap.Float64("spare", st.Spare))
	sp.logged, sp.loggedAt = fraction, now
}
