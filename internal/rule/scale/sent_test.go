package scale_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/scale"
)

// TestOrderIsDue guards against orders that are sent again while their servers start, or are met, since each
// call to the platform has its price, and against orders that are not renewed once servers were reclaimed.
func TestOrderIsDue(t *testing.T) {
	const boot = 4 * time.Second
	at := time.Unix(1000, 0)
	accepted, met, refused := scale.Sent{Count: 2, At: at, Accepted: true}, scale.Sent{Count: 2, At: at, Accepted: true, Met: true}, scale.Sent{Count: 2, At: at}
	for _, tt := range []struct {
		name       string
		last       scale.Sent
		want, have int
		age        time.Duration
		due        bool
	}{
		{"first order", scale.Sent{}, 2, 0, 0, true},
		{"servers to take away", scale.Sent{}, 0, 1, 0, true},
		{"nothing to order", scale.Sent{}, 0, 0, 0, false},
		{"another number", accepted, 3, 0, 100 * time.Millisecond, true},
		{"refused a moment ago", refused, 2, 0, time.Second, false},
		{"refused, another number", refused, 3, 0, time.Second, false},
		{"refused a while ago", refused, 2, 0, 2 * time.Second, true},
		{"servers start", accepted, 2, 1, 5 * time.Second, false},
		{"servers don't start", accepted, 2, 1, 6 * time.Second, true},
		{"servers serve", accepted, 2, 2, 20 * time.Second, false},
		{"servers have served for long", accepted, 2, 2, 30 * time.Second, true},
		{"servers were reclaimed", met, 2, 0, 2 * time.Second, true},
		{"servers were reclaimed after a moment", met, 2, 0, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if due := tt.last.Seen(tt.want, tt.have).IsDue(at.Add(tt.age), tt.want, tt.have, boot); due != tt.due {
				t.Errorf("have due %t, want %t", due, tt.due)
			}
		})
	}
}
