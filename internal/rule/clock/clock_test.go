package clock_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/clock"
)

func TestClock(t *testing.T) {
	wall := time.Unix(1_000_000, 0)
	const steady = 10 * time.Second
	for _, tt := range []struct {
		name string
		play func(cl *clock.Clock)
		want time.Time
	}{
		{"alone", func(*clock.Clock) {}, wall},
		{"a jump of the own clock is ignored", func(cl *clock.Clock) {
			cl.Own(steady, wall.Add(-2400*time.Millisecond))
		}, wall},
		{"drift is followed", func(cl *clock.Clock) {
			cl.Own(steady, wall.Add(20*time.Millisecond))
		}, wall.Add(20 * time.Millisecond)},
		{"a node that started on a wrong clock follows its peers", func(cl *clock.Clock) {
			cl.Peer("b", steady, wall.Add(2*time.Second))
			cl.Peer("c", steady, wall.Add(2*time.Second))
		}, wall.Add(2 * time.Second)},
		{"one wrong peer of two changes nothing", func(cl *clock.Clock) {
			cl.Peer("b", steady, wall)
			cl.Peer("c", steady, wall.Add(-3*time.Second))
		}, wall},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cl := clock.New()
			cl.Own(steady, wall)
			tt.play(cl)
			if have := cl.Now(steady); !have.Equal(tt.want) {
				t.Errorf("now: have %s, want %s", have, tt.want)
			}
		})
	}
}
