package rest

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Parse returns the longest of the Retry-After values of an answer, in seconds, 0 for none. A date or another
// malformed value counts as none.
func Parse(values [][]byte) (longest time.Duration) {
	for _, raw := range values {
		text := strings.TrimSpace(string(raw))
		// ParseFloat takes hexadecimal numbers, infinity and underscores too.
		if strings.Trim(text, "0123456789.eE+-") != "" {
			continue
		}
		secs, err := strconv.ParseFloat(text, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || secs <= 0 {
			continue
		}
		longest = max(longest, time.Duration(min(secs, MaxRest.Seconds())*float64(time.Second)))
	}
	return longest
}
