package route_test

import (
	"fmt"
	"testing"

	"lycheepick/internal/rule/route"
)

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 100, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var list []*route.Server
			for num := range count {
				list = append(list, newServer(fmt.Sprint("r", num), 2, 0))
			}
			rq := newRequest()
			rq.Prefix = route.Keys(make([]byte, 32*64*4))
			co := route.NewCostPolicy()
			b.ReportAllocs()
			for b.Loop() {
				co.Choose(now, rq, list)
			}
		})
	}
}
