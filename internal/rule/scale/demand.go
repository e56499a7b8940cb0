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

const (
	// lateTime is the time constant of the share of late answers.
	lateTime = 3 * time.Second
	// lateShare is the share of late answers that is left alone; beyond it the demand
	// counts lateGain times the rest more. On deployments whose servers read prompts
	// more slowly than the policy's rates, this is what orders enough of them.
	lateShare = 0.1
	lateGain  = 3
	lateMost  = 2
)

// Demand estimates the prompt tokens per second that callers bring for one service, from
// totals that nodes report, each since its start.
type Demand struct {
	totals map[string]Total
	gained Total
	rate   float64
	late   float64
	last   time.Time
}

// Total is the work that a start of a node was offered.
type Total struct {
	Prompt         units.Tokens
	Requests, Late int64
}

// NewDemand returns a demand of which nothing is known.
func NewDemand() *Demand { return &Demand{totals: map[string]Total{}} }

// Report notes the total of one start of a node. The first report of a source is its base.
func (de *Demand) Report(source string, total Total) {
	before, known := de.totals[source]
	if known && total.Requests >= before.Requests {
		de.gained.Prompt += total.Prompt - before.Prompt
		de.gained.Requests += total.Requests - before.Requests
		de.gained.Late += total.Late - before.Late
	}
	de.totals[source] = total
}

// Begin sets the demand that an earlier holder knew, unless more of it was seen here.
func (de *Demand) Begin(rate units.TokensPerSecond) {
	if de.rate == 0 {
		de.rate = float64(rate)
	}
}

// Rate returns the smoothed demand at now, with what late answers add to it.
func (de *Demand) Rate(now time.Time) units.TokensPerSecond {
	if de.last.IsZero() {
		de.last, de.gained = now, Total{}
		return units.TokensPerSecond(de.rate)
	}
	gap := now.Sub(de.last)
	if gap <= 0 {
		return units.TokensPerSecond(de.rate)
	}
	seen := float64(de.gained.Prompt) / gap.Seconds()
	if de.gained.Requests > 0 {
		late := float64(de.gained.Late) / float64(de.gained.Requests)
		de.late += (late - de.late) * (1 - math.Exp(-gap.Seconds()/lateTime.Seconds()))
	}
	de.last, de.gained = now, Total{}
	seen *= min(lateMost, 1+lateGain*max(0, de.late-lateShare))
	slow := fallTime
	if seen > de.rate {
		slow = riseTime
	}
	weight := 1 - math.Exp(-gap.Seconds()/slow.Seconds())
	de.rate += (seen - de.rate) * weight
	return units.TokensPerSecond(de.rate)
}
