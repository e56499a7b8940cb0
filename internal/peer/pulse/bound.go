package pulse

import (
	"slices"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/roll"
)

const (
	// maxAge bounds the ages in a report. A negative one would be news from the future, which
	// counts as up to date for ever.
	maxAge = 24 * time.Hour
	// maxPeers bounds the nodes that a report names, and maxServers the servers.
	maxPeers   = 64
	maxServers = 4096
	// maxLoad bounds the requests of a node at one server, and maxPending their prompt tokens.
	maxLoad    = 1 << 20
	maxPending = 1 << 40
	// maxServerLoads bounds the servers of which a report has observations.
	maxServerLoads = 16
	// maxRollouts bounds the services with an order.
	maxRollouts = 256
)

// bound limits a report to values that a node can have.
func (re *Report) bound() {
	re.ConfigAge = bound.Clamp(re.ConfigAge, 0, maxAge)
	re.ServersAge = bound.Clamp(re.ServersAge, 0, maxAge)
	re.ListSteady = bound.Clamp(re.ListSteady, 0, maxAge)
	re.SinceStoreOutage = bound.Clamp(re.SinceStoreOutage, 0, maxAge)
	re.Peers = bound.First(re.Peers, maxPeers)
	re.Newcomers = bound.First(re.Newcomers, maxPeers)
	for idx := range re.Newcomers {
		re.Newcomers[idx].Age = bound.Clamp(re.Newcomers[idx].Age, 0, maxAge)
	}
	re.ServerLimits = bound.First(re.ServerLimits, maxServers)
	re.ServersLeaving = bound.First(re.ServersLeaving, maxServers)
	re.ServerLoads = slices.DeleteFunc(bound.First(re.ServerLoads, maxServerLoads), func(sl ServerLoad) bool { return !sl.isValid() })
	for idx := range re.ServerLoads {
		re.ServerLoads[idx].bound()
	}
	re.boundRollouts()
	for id, lo := range re.Loads {
		re.Loads[id] = place.Load{Running: bound.Clamp(lo.Running, 0, maxLoad), PendingPrefill: bound.Clamp(lo.PendingPrefill, 0, maxPending)}
	}
}

// isValid reports whether the figures are ones that a server can report.
func (sl *ServerLoad) isValid() bool {
	for _, count := range []int{sl.Running, sl.Waiting, sl.Slots} {
		if count != bound.Clamp(count, 0, pace.MaxRequests) {
			return false
		}
	}
	return sl.Pace == 0 || sl.Pace == bound.Clamp(sl.Pace, pace.MinPercent, pace.MaxPercent)
}

func (sl *ServerLoad) bound() {
	sl.AgeMS = bound.Clamp(sl.AgeMS, 0, maxAge.Milliseconds())
	sl.WaitMS = bound.Clamp(sl.WaitMS, 0, pace.MaxWait.Milliseconds())
	sl.WaitAgeMS = bound.Clamp(sl.WaitAgeMS, 0, maxAge.Milliseconds())
}

func (re *Report) boundRollouts() {
	if len(re.Rollouts) > maxRollouts || len(re.RolloutCounts) > maxRollouts {
		re.Rollouts, re.RolloutCounts = nil, nil
	}
	for id, ro := range re.Rollouts {
		ro.Age, ro.Duration = bound.Clamp(ro.Age, 0, maxAge), bound.Clamp(ro.Duration, 0, maxAge)
		ro.Phase = bound.Clamp(ro.Phase, roll.None, roll.RolledBack)
		re.Rollouts[id] = ro
	}
}
