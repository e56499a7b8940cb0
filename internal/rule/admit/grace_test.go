package admit_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/admit"
)

// TestOutlastsNode checks which requests a leaving node may take: those whose deadline, and not only their usual end,
// comes before the node stops.
func TestOutlastsNode(t *testing.T) {
	const second = time.Second
	now := time.Now()
	leaves := func(left time.Duration) *admit.Departure {
		return &admit.Departure{SignalAt: now, StopsAt: now.Add(left)}
	}
	for _, tt := range []struct {
		name      string
		departure *admit.Departure
		remaining time.Duration
		want      bool
	}{
		{"the node doesn't leave", nil, time.Hour, false},
		{"the deadline comes first", leaves(2 * second), second, false},
		{"both at once", leaves(second), second, true},
		{"the answer takes until the stop", leaves(second), second - 10*time.Millisecond, true},
		{"there is time for the answer", leaves(second), second - 50*time.Millisecond, false},
		{"the node stops first", leaves(second), second + time.Millisecond, true},
		{"long before the deadline", leaves(second), 6 * second, true},
		{"no grace", leaves(0), 8 * second, true},
		{"past the deadline", leaves(second), -second, false},
		{"past the stop", leaves(-second), second, true},
	} {
		if have := tt.departure.Outlasts(now.Add(tt.remaining)); have != tt.want {
			t.Errorf("%s: have %t, want %t", tt.name, have, tt.want)
		}
	}
}

// TestExpectedDuration checks the time within which nearly all requests of a route have ended.
func TestExpectedDuration(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name     string
		took     []time.Duration
		stream   bool
		from, to time.Duration
	}{
		{"short ones", []time.Duration{300 * ms, 300 * ms, 300 * ms}, false, 300 * ms, 450 * ms},
		{"one is late", []time.Duration{100 * ms, 100 * ms, 100 * ms, 100 * ms, 3 * time.Second}, false, 3 * time.Second, 6 * time.Second},
		{"not known", nil, false, time.Second, time.Second},
		{"streams that are not known", nil, true, 4 * time.Second, 4 * time.Second},
	} {
		var du admit.Durations
		for _, took := range tt.took {
			du.Observe(took)
		}
		if have := du.Expected(tt.stream); have < tt.from || have > tt.to {
			t.Errorf("%s: have %s, want %s to %s", tt.name, have, tt.from, tt.to)
		}
	}
}
