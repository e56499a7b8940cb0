package entry

import (
	"fmt"
	"strings"

	metrics "github.com/rcrowley/go-metrics"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// waitsFrom returns the totals of waits in a peer's report.
func waitsFrom(offered map[units.TargetID]pulse.Demand) map[units.TargetID]admit.Waits {
	out := make(map[units.TargetID]admit.Waits, len(offered))
	for id, of := range offered {
		out[id] = admit.Waits{Waited: of.Waited, Expected: of.Expected, Begun: of.Begun}
	}
	return out
}

// registerAdmissions adds the metrics of admission by priority.
func (no *Node) registerAdmissions() {
	for priority := range no.relay.Counts.Admissions {
		ad := &no.relay.Counts.Admissions[priority]
		for name, load := range map[string]func() int64{
			"accepted": ad.Accepted.Load, "kept": ad.Kept.Load, "rejected": ad.Rejected.Load, "held": ad.Held.Load, "held_us": ad.HeldMicros.Load,
		} {
			_ = no.registry.Register(fmt.Sprintf("admission_%s_p%d_total", name, priority), metrics.NewFunctionalGauge(load))
		}
	}
}

// metricName replaces the characters that names of metrics can't have.
func metricName(name string) string {
	return strings.Map(func(ch rune) rune {
		if ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' {
			return ch
		}
		return '_'
	}, name)
}

// registerCorrections adds the metric of each service's correction, unless it is there.
func (no *Node) registerCorrections(co *routes.Config) {
	for idx := range co.Services {
		id := co.Services[idx].ID
		_ = no.registry.Register("admission_correction_percent_"+metricName(string(id)), metrics.NewFunctionalGauge(func() int64 {
			return int64(100 * no.relay.Correction(id))
		}))
	}
}
