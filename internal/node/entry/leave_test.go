package entry

import (
	"testing"
	"time"
)

// TestRotationCountsChecks checks when a leaving node takes the balancer to send no new connections: after two
// checks that are a period apart, whatever other checks there are.
func TestRotationCountsChecks(t *testing.T) {
	for _, tt := range []struct {
		name   string
		checks []time.Duration
		want   bool
	}{
		{"none", nil, false},
		{"one", []time.Duration{0}, false},
		{"two", []time.Duration{0, time.Second}, true},
		{"two early ones", []time.Duration{0, 300 * time.Millisecond}, false},
		{"several balancers", []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 950 * time.Millisecond}, true},
		{"more than needed", []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}, true},
	} {
		ro, start := newRotation(), time.Now()
		for _, after := range tt.checks {
			ro.checked(start.Add(after))
		}
		have := false
		select {
		case <-ro.out:
			have = true
		default:
		}
		if have != tt.want {
			t.Errorf("%s: have %t, want %t", tt.name, have, tt.want)
		}
	}
}
