package entry

import (
	"context"

	"lycheepick/internal/rule/units"
)

// order is the number of servers last ordered for a service in a zone.
type order struct {
	Service units.TargetID `json:"service"`
	Zone    units.ZoneID   `json:"zone"`
	Spot    bool           `json:"spot,omitempty"`
	Count   int            `json:"count"`
}

type orders struct{ last []order }

func (or *orders) take(list []order) { or.last = list }

func (or *orders) list() []order { return or.last }

func (no *Node) orderServers(context.Context) {}
