package table_test

import (
	"fmt"
	"runtime"
	"testing"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

// BenchmarkDecode also reports the memory that a version in force holds.
func BenchmarkDecode(b *testing.B) {
	for _, rows := range []int{10, 1000, 20000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			tab := good()
			for num := range rows - 1 {
				ro := tab.Rows[0]
				ro.Kind = units.RequestKind(fmt.Sprint("kind-", num))
				tab.Rows = append(tab.Rows, ro)
			}
			raw := tab.Encode()
			held := heldBy(func() any { return index(b, raw) })
			for b.Loop() {
				index(b, raw)
			}
			b.ReportMetric(held, "B-held")
			runtime.KeepAlive(raw)
		})
	}
}

func index(b *testing.B, raw []byte) *table.Index {
	dec, err := table.Decode(raw)
	if err != nil {
		b.Fatal(err)
	}
	return table.NewIndex(dec)
}

// heldBy returns the bytes that stay in use for what build returns.
func heldBy(build func() any) float64 {
	const copies = 8 // The mean of some is steadier than one.
	var before, after runtime.MemStats
	var vals [copies]any
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	for idx := range vals {
		vals[idx] = build()
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(&vals)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / copies
}
