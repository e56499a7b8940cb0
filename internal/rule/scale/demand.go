package scale

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// riseTime and fallTime are the time constants with which the demand follows what is
	// offered: new servers take seconds to start, so a fall is believed later than a rise.
	riseTime = 1500 * time.Millisecond
	fallTime = 12 * time.Second
)

// Demand estimates the prompt tokens per second that callers bring for one service, from
// totals that nodes report, each since its start.
type Demand struct {
	totals map[string]units.Tokens
	gained units.Tokens
	rate   float64
	last   time.Time
}

// NewDemand returns a demand of which nothing is known.
func NewDemand() *Demand { return &Demand{totals: map[string]units.Tokens{}} }

// Report notes the total of one start of a node. The first report of a source is taken
// as its base, unless fresh tells that it has just started.
func (de *Demand) Report(source string, total units.Tokens) {
	before, known := de.totals[source]
	if known && total > before {
		de.gained += total - before
	}
	de.totals[source] = total
}

// Begin sets the demand that an earlier holder knew, unless more of it was seen here.
func (de *Demand) Begin(rate units.TokensPerSecond) {
	if de.rate == 0 {
		de.rate = float64(rate)
	}
}

// Rate returns the smoothed demand at now.
func (de *Demand) Rate(now time.Time) units.TokensPerSecond {
	if de.last.IsZero() {
		de.last, de.gained = now, 0
		return units.TokensPerSecond(de.rate)
	}
	gap := now.Sub(de.last)
	if gap <= 0 {
		return units.TokensPerSecond(de.rate)
	}
	seen := float64(de.gained) / gap.Seconds()
	de.last, de.gained = now, 0
	slow := fallTime
	if seen > de.rate {
		slow = riseTime
	}
	weight := 1 - math.Exp(-gap.Seconds()/slow.Seconds())
	de.rate += (seen - de.rate) * weight
	return units.TokensPerSecond(de.rate)
}
