package admit_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/admit"
)

func TestHopeless(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name string
		pr   admit.Prospect
		want bool
	}{
		{"in time", admit.Prospect{First: 100 * ms, Target: 400 * ms, Left: 6000 * ms}, false},
		{"a little late", admit.Prospect{First: 500 * ms, Target: 400 * ms, Left: 6000 * ms}, false},
		{"much too late", admit.Prospect{First: 1500 * ms, Target: 400 * ms, Left: 6000 * ms}, true},
		{"much too late, with places free", admit.Prospect{First: 1500 * ms, Target: 400 * ms, Left: 6000 * ms, Idle: true}, false},
		{"after the deadline", admit.Prospect{First: 300 * ms, Target: 400 * ms, Left: 350 * ms}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			have, after := admit.Hopeless(tt.pr)
			if have != tt.want {
				t.Fatalf("hopeless: have %t, want %t", have, tt.want)
			}
			if have && (after <= 0 || after > tt.pr.Left/3+100*ms) {
				t.Errorf("retry after: have %s, want up to a third of %s", after, tt.pr.Left)
			}
		})
	}
}
