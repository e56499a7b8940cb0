package clock_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/clock"
)

func TestClock(t *testing.T) {
	wall := time.Unix(1_000_000, 0)
	const monotonic = 10 * time.Second
	for _, tt := range []struct {
		name  string
		setup func(cl *clock.Clock)
		want  time.Time
	}{
		{"alone", func(*clock.Clock) {}, wall},
		{"a jump of the own clock is ignored", func(cl *clock.Clock) {
			cl.SetOwn(monotonic, wall.Add(-2400*time.Millisecond))
		}, wall},
		{"drift is followed", func(cl *clock.Clock) {
			cl.SetOwn(monotonic, wall.Add(20*time.Millisecond))
		}, wall.Add(20 * time.Millisecond)},
		{"a node that started on a wrong clock follows its peers", func(cl *clock.Clock) {
			cl.SetPeer("b", monotonic, wall.Add(2*time.Second))
			cl.SetPeer("c", monotonic, wall.Add(2*time.Second))
		}, wall.Add(2 * time.Second)},
		{"one wrong peer of two changes nothing", func(cl *clock.Clock) {
			cl.SetPeer("b", monotonic, wall)
			cl.SetPeer("c", monotonic, wall.Add(-3*time.Second))
		}, wall},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cl := clock.New()
			cl.SetOwn(monotonic, wall)
			tt.setup(cl)
			if have := cl.Now(monotonic); !have.Equal(tt.want) {
				t.Errorf("now: have %s, want %s", have, tt.want)
			}
		})
	}
}
