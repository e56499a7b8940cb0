package bound_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"lycheepick/internal/rule/bound"
)

// TestOddDocumentsAreRefused checks each limit of a document.
func TestOddDocumentsAreRefused(t *testing.T) {
	li := bound.Limits{Bytes: 64, Depth: 3}
	for _, tt := range []struct {
		raw string
		ok  bool
	}{
		{`[[[1]]]`, true},
		{`[[[[1]]]]`, false},
		{`{"a":"[[[[[[["}`, true},
		{`{"a":"\"[[[[[[["}`, true},
		{`["` + strings.Repeat("a", 70) + `"]`, false},
		{`[1e999]`, false},
		{`[`, false},
		{``, false},
	} {
		var out any
		if err := bound.JSON([]byte(tt.raw), li, &out); (err == nil) != tt.ok {
			t.Errorf("%.40s: have error %v, want it decoded: %t", tt.raw, err, tt.ok)
		}
	}
}

// TestNumbersOutOfRange guards against conversions whose result depends on the processor.
func TestNumbersOutOfRange(t *testing.T) {
	for _, val := range []float64{-1, 1e300, -1e300, math.NaN(), math.Inf(1), 101} {
		if have, err := bound.Whole("value", val, 100); err == nil {
			t.Errorf("%g: have %d, want an error", val, have)
		}
		if have, err := bound.Millis("value", val, 100*time.Millisecond); err == nil {
			t.Errorf("%g ms: have %s, want an error", val, have)
		}
	}
	if have, err := bound.Whole("value", 100.5, 200); have != 100 || err != nil {
		t.Errorf("have %d and error %v, want 100", have, err)
	}
	if have := bound.Clamp(math.NaN(), 1, 2); have != 1 {
		t.Errorf("have %g for no number, want 1", have)
	}
}

// FuzzJSON checks that the nesting is counted as the decoder does.
func FuzzJSON(f *testing.F) {
	for _, seed := range []string{`[[[1]]]`, `{"a":["\\\"[",{"b":[]}]}`, `"[[["`, `[[`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var out any
		if json.Unmarshal(raw, &out) != nil {
			return
		}
		if have, want := bound.Depth(raw), depth(out); have != want {
			t.Fatalf("have depth %d, want %d: %q", have, want, raw)
		}
	})
}

func depth(val any) (out int) {
	switch val := val.(type) {
	case []any:
		for _, one := range val {
			out = max(out, depth(one))
		}
		return out + 1
	case map[string]any:
		for _, one := range val {
			out = max(out, depth(one))
		}
		return out + 1
	}
	return 0
}
