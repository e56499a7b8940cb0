package admit_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/admit"
)

func TestShouldRefuse(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name string
		pr   admit.Prediction
		want bool
	}{
		{"in time", admit.Prediction{FirstToken: 100 * ms, Target: 400 * ms, Remaining: 6000 * ms}, false},
		{"a little late", admit.Prediction{FirstToken: 500 * ms, Target: 400 * ms, Remaining: 6000 * ms}, false},
		{"much too late", admit.Prediction{FirstToken: 1500 * ms, Target: 400 * ms, Remaining: 6000 * ms}, true},
		{"much too late, with spare capacity", admit.Prediction{FirstToken: 1500 * ms, Target: 400 * ms, Remaining: 6000 * ms, SpareCapacity: true}, false},
		{"after the deadline", admit.Prediction{FirstToken: 300 * ms, Target: 400 * ms, Remaining: 350 * ms}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			have, after := admit.ShouldRefuse(tt.pr)
			if have != tt.want {
				t.Fatalf("refused: have %t, want %t", have, tt.want)
			}
			if have && (after <= 0 || after > tt.pr.Remaining/3+100*ms) {
				t.Errorf("retry after: have %s, want up to a third of %s", after, tt.pr.Remaining)
			}
		})
	}
}
