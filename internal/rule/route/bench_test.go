package route_test

import (
	"fmt"
	"testing"

	"lycheepick/internal/rule/route"
)

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 100, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var list []*route.Replica
			for num := range count {
				list = append(list, replica(fmt.Sprint("r", num), 2, 0))
			}
			as := ask()
			as.Prefix = route.Keys(make([]byte, 32*64*4))
			co := route.NewCost()
			b.ReportAllocs()
			for b.Loop() {
				co.Choose(now, as, list)
			}
		})
	}
}
