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

// Plan returns the orders for a service, by zone, on demand before spot. Zones are those
// with a price; dry are those where no spot server is to be had at present.
func Plan(po Policy, sc *routes.Scaling, demand units.TokensPerSecond, dry Dry) []Order {
	zones := byPrice(sc)
	if len(zones) == 0 {
		return nil
	}
	base := max(po.LeastBase, ceil(demand, po.BaseRate), sc.Min*len(zones))
	full := max(base+po.LeastSpot, ceil(demand, po.FullRate))
	// What the dry zones can't give is made up for in part.
	missing := float64(full-base) * float64(len(dry)) / float64(len(zones))
	base += int(math.Round(missing * po.Substitute))
	room := map[units.ZoneID]int{}
	for _, zo := range zones {
		room[zo] = sc.Max
	}
	onDemand := spread(zones, room, base, sc.Min)
	spot := map[units.ZoneID]int{}
	if sc.SpotPrice > 0 && sc.SpotPrice < 1 {
		spot = spread(zones, room, full-base, 0)
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

func ceil(demand, rate units.TokensPerSecond) int {
	if rate <= 0 {
		return 0
	}
	return int(math.Ceil(float64(demand / rate)))
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

// spread deals servers out to the zones in turn, the cheapest first, after each has got
// its least number. It takes them from the room left in each zone.
func spread(zones []units.ZoneID, room map[units.ZoneID]int, count, least int) map[units.ZoneID]int {
	out := map[units.ZoneID]int{}
	for _, zo := range zones {
		give := min(least, room[zo])
		out[zo] += give
		room[zo] -= give
		count -= give
	}
	for count > 0 {
		gave := false
		for _, zo := range zones {
			if count > 0 && room[zo] > 0 {
				out[zo]++
				room[zo]--
				count--
				gave = true
			}
		}
		if !gave {
			break
		}
	}
	return out
}
