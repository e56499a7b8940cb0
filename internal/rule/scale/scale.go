// Package scale decides how many backend servers to order of each kind in each zone.
//
// The load that it answers: demand that rises and falls within a minute, spot servers at
// a fifth of the price that are reclaimed a zone at a time with seconds of notice, one
// zone after the other, and none to be had for a while after. Servers on demand carry
// what has to be served while all spot servers are away; spot servers make answers
// quicker and carry bursts.
//
// Nothing here does I/O or reads a clock.
package scale

import (
	"math"
	"sort"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// Policy holds the weights of the decision. Settings give them.
type Policy struct {
	// BaseRate is the demand that one server on demand carries while there is no spot
	// server, and FullRate the demand for each server of either kind.
	BaseRate units.TokensPerSecond `json:"base_rate"`
	FullRate units.TokensPerSecond `json:"full_rate"`
	// LeastBase and LeastSpot bound the orders of a service from below.
	LeastBase int `json:"least_base"`
	LeastSpot int `json:"least_spot"`
	// PriorShare is the part of the customers' limits that is taken as the demand until
	// enough of it has been seen.
	PriorShare float64 `json:"prior_share"`
	// Substitute is the number of servers on demand that stand in for each spot server
	// that is not to be had.
	Substitute float64 `json:"substitute"`
}

// Order is a number of servers of one kind in one zone.
type Order struct {
	Zone  units.ZoneID
	Spot  bool
	Count int
}

const (
	// baseSurcharge keeps servers on demand in more than one zone, since a zone may be
	// cut off; spotSurcharge keeps spot servers apart, since a zone loses all at once.
	baseSurcharge = 0.25
	spotSurcharge = 0.5
)

// Need is the number of servers that a service needs.
type Need struct {
	// Base is the number on demand, Full that of both kinds together.
	Base, Full int
}

// holdShare is the part of the demand for which a number of servers is right down to which
// it is kept, so that a demand between two numbers doesn't start and stop servers in turn.
const holdShare = 0.8

// Need returns what a service needs for a demand, after it needed before. prior is the
// demand that may come before enough of it was seen: it calls for spot servers, which are
// cheap, and half of it for servers on demand.
func (po Policy) Need(demand, prior units.TokensPerSecond, before Need) Need {
	base := max(po.LeastBase, keep(before.Base, max(demand, prior/2), po.BaseRate))
	full := max(base+po.LeastSpot, keep(before.Full, max(demand, prior), po.FullRate))
	return Need{Base: base, Full: full}
}

// keep returns the number of servers for a demand at a rate each; it falls only when the
// demand is well below what the number before is for.
func keep(before int, demand, rate units.TokensPerSecond) int {
	if rate <= 0 {
		return 0
	}
	now := int(math.Ceil(float64(demand / rate)))
	if now >= before {
		return now
	}
	return max(now, min(before, int(math.Ceil(float64(demand/rate)/holdShare))))
}

// Plan returns the orders for a service, by zone, on demand before spot. Zones are those
// with a price; dry are those where no spot server is to be had at present.
func Plan(po Policy, sc *routes.Scaling, need Need, dry Dry) []Order {
	zones := byPrice(sc)
	if len(zones) == 0 {
		return nil
	}
	isSpot := sc.SpotPrice > 0 && sc.SpotPrice < 1
	least := sc.MinServers
	if isSpot {
		least = 0 // Servers of either kind make up the least number of a zone.
	}
	base := max(need.Base, least*len(zones))
	// What the dry zones can't give is made up for in part.
	missing := float64(need.Full-base) * float64(len(dry)) / float64(len(zones))
	base += int(math.Round(missing * po.Substitute))
	room := map[units.ZoneID]int{}
	for _, zo := range zones {
		room[zo] = sc.MaxServers
	}
	onDemand := spread(sc, zones, room, base, least, baseSurcharge)
	spot := map[units.ZoneID]int{}
	if isSpot {
		spot = spread(sc, zones, room, max(need.Full-base, 0), 0, spotSurcharge)
		for _, zo := range zones {
			spot[zo] = max(spot[zo], sc.MinServers-onDemand[zo])
		}
	}
	out := make([]Order, 0, 2*len(zones))
	for _, zo := range zones {
		out = append(out, Order{Zone: zo, Count: onDemand[zo]})
	}
	for _, zo := range zones {
		out = append(out, Order{Zone: zo, Spot: true, Count: spot[zo]})
	}
	return out
}

// Dry holds the zones where spot servers are gone and not to be had. A zone is dry from
// the first notice of a reclaim, since a server on demand takes longer to start than the
// notice lasts, until its spot servers are back.
type Dry map[units.ZoneID]bool

// Note takes in what is seen of the spot servers of a zone: how many are leaving, how many
// are in use and wanted, and whether the last order was refused.
func (dr Dry) Note(zone units.ZoneID, leaving, have, want int, refused bool) {
	switch {
	case refused || leaving > 0:
		dr[zone] = true
	case have >= want:
		delete(dr, zone)
	}
}

func byPrice(sc *routes.Scaling) []units.ZoneID {
	out := make([]units.ZoneID, 0, len(sc.ZonePrices))
	for zo := range sc.ZonePrices {
		out = append(out, zo)
	}
	sort.Slice(out, func(one, two int) bool {
		if sc.ZonePrices[out[one]] != sc.ZonePrices[out[two]] {
			return sc.ZonePrices[out[one]] < sc.ZonePrices[out[two]]
		}
		return out[one] < out[two]
	})
	return out
}

// spread deals servers out to the zones after each has got its least number: each next one
// goes where it is cheapest, with a surcharge for each that is there already. It takes
// them from the room left in each zone.
func spread(sc *routes.Scaling, zones []units.ZoneID, room map[units.ZoneID]int, count, least int, surcharge float64) map[units.ZoneID]int {
	out := map[units.ZoneID]int{}
	for _, zo := range zones {
		out[zo] = min(least, room[zo])
		room[zo] -= out[zo]
		count -= out[zo]
	}
	for ; count > 0; count-- {
		best, bestPrice := units.ZoneID(""), math.Inf(1)
		for _, zo := range zones {
			price := sc.ZonePrices[zo] * (1 + surcharge*float64(out[zo]))
			if room[zo] > 0 && price < bestPrice {
				best, bestPrice = zo, price
			}
		}
		if math.IsInf(bestPrice, 1) {
			break
		}
		out[best]++
		room[best]--
	}
	return out
}
