package entry

import (
	"testing"

	"lycheepick/internal/rule/scale"
)

// TestRefusedSpotServersDisplaceOthers guards against servers on demand that are given back, as they start, for spot servers that were ordered
// and are not to be had.
func TestRefusedSpotServersDisplaceOthers(t *testing.T) {
	onDemand, spot := orderKey{service: "app", zone: "za"}, orderKey{service: "app", zone: "za", spot: true}
	type number struct{ planned, want, running, have int }
	for _, tt := range []struct {
		name                   string
		onDemand, spot         number
		wantOnDemand, wantSpot int
	}{
		{"within the zone", number{15, 28, 28, 19}, number{14, 18, 18, 0}, 28, 18},
		{"spot servers were refused", number{15, 28, 28, 19}, number{14, 27, 27, 0}, 28, 18},
		{"spot servers serve", number{15, 28, 28, 19}, number{14, 27, 27, 27}, 19, 27},
		{"servers on demand grow", number{30, 30, 20, 20}, number{10, 27, 27, 27}, 20, 27},
		{"servers on demand grow, and spot servers were refused", number{30, 30, 20, 20}, number{10, 27, 27, 0}, 30, 16},
	} {
		groups := fitZones(
			[]scale.Group[orderKey]{{Key: onDemand, Want: tt.onDemand.want, Have: tt.onDemand.running}, {Key: spot, Want: tt.spot.want, Have: tt.spot.running}},
			map[orderKey]int{onDemand: tt.onDemand.planned, spot: tt.spot.planned}, map[orderKey]int{onDemand: tt.onDemand.have, spot: tt.spot.have}, 46,
		)
		if groups[0].Want != tt.wantOnDemand || groups[1].Want != tt.wantSpot {
			t.Errorf("%s: have %d on demand and %d spot, want %d and %d", tt.name, groups[0].Want, groups[1].Want, tt.wantOnDemand, tt.wantSpot)
		}
	}
}
