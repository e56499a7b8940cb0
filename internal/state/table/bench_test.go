package table_test

import (
	"fmt"
	"runtime"
	"testing"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

// BenchmarkDecode also reports the heap memory of a decoded and indexed table.
func BenchmarkDecode(b *testing.B) {
	for _, rows := range []int{10, 1000, 20000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			tab := validTable()
			for num := range rows - 1 {
				ro := tab.Rows[0]
				ro.Kind = units.RequestKind(fmt.Sprint("kind-", num))
				tab.Rows = append(tab.Rows, ro)
			}
			raw := tab.Encode()
			retained := retainedBytes(func() any { return buildIndex(b, raw) })
			for b.Loop() {
				buildIndex(b, raw)
			}
			b.ReportMetric(retained, "B-held")
			runtime.KeepAlive(raw)
		})
	}
}

func buildIndex(b *testing.B, raw []byte) *table.Index {
	dec, err := table.Decode(raw)
	if err != nil {
		b.Fatal(err)
	}
	return table.NewIndex(dec)
}

// retainedBytes returns the heap bytes that the result of build keeps in use.
func retainedBytes(build func() any) float64 {
	const copies = 8 // The mean over several copies varies less.
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
