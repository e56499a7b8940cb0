package relay_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// BenchmarkLocalReport measures a report of an idle node by the number of servers. A node of a large fleet makes 53 a
// second.
func BenchmarkLocalReport(be *testing.B) {
	for _, count := range []int{12, 84, 600, 3000} {
		be.Run(fmt.Sprint(count, " servers"), func(be *testing.B) {
			rl := relay.New(zap.NewNop(), "a", meter{}, pool.Tolerance{})
			list := make([]server.Server, count)
			for num := range list {
				list[num] = server.Server{ID: units.VMID(fmt.Sprint("s-", num)), Status: server.Status{Service: "app", Zone: "a", Slots: 8, Version: "v1"}}
			}
			now := time.Now()
			rl.SetServers(now, list)
			be.ReportAllocs()
			for be.Loop() {
				rl.LocalReport(now)
			}
		})
	}
}
