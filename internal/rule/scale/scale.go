// Package scale decides how many backend servers of each kind to order in each zone.
//
// Demand rises and falls within a minute. Spot servers cost a fifth of the on-demand price,
// but a zone's spot servers are all reclaimed at once with seconds of notice, one zone after
// the other, and can't be ordered for a while after. So on-demand servers carry the necessary
// load while there are no spot servers; spot servers reduce latency and carry bursts.
//
// Nothing here does I/O or reads a clock.
package scale

import (
	"math"
	"sort"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// Policy holds the parameters of the decision, which come from the settings.
type Policy struct {
	// OnDemandRate is the demand that one on-demand server carries without spot servers, and
	// ServerRate the demand for each server of either kind.
	OnDemandRate units.TokensPerSecond `json:"base_rate"`
	ServerRate   units.TokensPerSecond `json:"full_rate"`
	// MinOnDemand and MinSpot are the fewest servers of each kind for a service.
	MinOnDemand int `json:"least_base"`
	MinSpot     int `json:"least_spot"`
	// PriorShare is the part of the customers' limits that is assumed as demand until enough
	// demand has been observed.
	PriorShare float64 `json:"prior_share"`
	// SubstituteRatio is the number of on-demand servers that replace each spot server that
	// can't be ordered.
	SubstituteRatio float64 `json:"substitute"`
}

// Order is a number of servers of one kind in one zone.
type Order struct {
	Zone  units.ZoneID
	Spot  bool
	Count int
}

const (
	// Surcharges spread servers over zones. onDemandSurcharge keeps on-demand servers in more
	// than one zone, since a zone may be cut off, and spotSurcharge is higher, since a zone
	// loses all its spot servers at once.
	onDemandSurcharge = 0.25
	spotSurcharge     = 0.5
)

// Need is the number of servers that a service needs.
type Need struct {
	// OnDemand is the number of on-demand servers, Total that of both kinds together.
	OnDemand, Total int
}

// scaleDownShare is the part of the demand that a number of servers is for, down to which the
// number is kept, so that a demand between two numbers doesn't start and stop servers in turn.
const scaleDownShare = 0.8

// Need returns the servers that a service needs for a demand, given what it needed before.
// prior is the demand assumed until enough has been observed, from PriorShare: all of it counts
// for the total, since spot servers are cheap, and half of it for on-demand servers. held is the
// number of servers whose capacity is held back by limits; others replace them in the total.
func (po Policy) Need(demand, prior units.TokensPerSecond, held float64, before Need) Need {
	onDemand := max(po.MinOnDemand, serversFor(before.OnDemand, max(demand, prior/2), po.OnDemandRate))
	carried := max(demand, prior) + units.TokensPerSecond(held)*po.ServerRate
	total := max(onDemand+po.MinSpot, serversFor(before.Total, carried, po.ServerRate))
	return Need{OnDemand: onDemand, Total: total}
}

// serversFor returns the number of servers for a demand, each of which carries rate. The
// number falls only when the demand is well below what the number before is for.
func serversFor(before int, demand, rate units.TokensPerSecond) int {
	if rate <= 0 {
		return 0
	}
	now := int(math.Ceil(float64(demand / rate)))
	if now >= before {
		return now
	}
	return max(now, min(before, int(math.Ceil(float64(demand/rate)/scaleDownShare))))
}

// Plan returns the orders for a service, by zone, on-demand before spot. Zones are those with
// a price; noSpot are those in which no spot server can be ordered at present.
func Plan(po Policy, sc *routes.Scaling, need Need, noSpot ZonesWithoutSpot) []Order {
	zones := zonesByPrice(sc)
	if len(zones) == 0 {
		return nil
	}
	spotPriced := sc.SpotPrice > 0 && sc.SpotPrice < 1
	minPerZone := sc.MinServers
	if spotPriced {
		minPerZone = 0 // Servers of either kind count towards a zone's minimum.
	}
	onDemandCount := max(need.OnDemand, minPerZone*len(zones))
	// Replace a part of the spot servers of zones without spot capacity.
	missing := float64(need.Total-onDemandCount) * float64(len(noSpot)) / float64(len(zones))
	onDemandCount += int(math.Round(missing * po.SubstituteRatio))
	room := map[units.ZoneID]int{}
	for _, zo := range zones {
		room[zo] = sc.MaxServers
	}
	onDemand := distribute(sc, zones, room, onDemandCount, minPerZone, onDemandSurcharge)
	spot := map[units.ZoneID]int{}
	if spotPriced {
		spot = distribute(sc, zones, room, max(need.Total-onDemandCount, 0), 0, spotSurcharge)
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

// ZonesWithoutSpot holds the zones without spot capacity. A zone is in it from the first
// notice of a reclaim, since an on-demand server takes longer to start than the notice lasts,
// until its spot servers are back.
type ZonesWithoutSpot map[units.ZoneID]bool

// Update updates a zone from its spot servers: how many are leaving, how many are in use and
// wanted, and whether the last order was refused.
func (zs ZonesWithoutSpot) Update(zone units.ZoneID, leaving, have, want int, refused bool) {
	switch {
	case refused || leaving > 0:
		zs[zone] = true
	case have >= want:
		delete(zs, zone)
	}
}

func zonesByPrice(sc *routes.Scaling) []units.ZoneID {
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

// distribute distributes servers over the zones after each got its minimum: each next one goes
// where it is cheapest, with a surcharge for each server already there. It deducts them from
// the room left in each zone.
func distribute(sc *routes.Scaling, zones []units.ZoneID, room map[units.ZoneID]int, count, minPerZone int, surcharge float64) map[units.ZoneID]int {
	out := map[units.ZoneID]int{}
	for _, zo := range zones {
		out[zo] = min(minPerZone, room[zo])
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
