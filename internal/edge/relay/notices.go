package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

func noticeServer(sv *server.Server) notice.Server {
	return notice.Server{ID: sv.ID, StartUnixMS: sv.StartUnixMS}
}

// observe records what a response says of its server.
func (rl *Relay) observe(sv *server.Server, rp *Reply) {
	if rp.Misdirected {
		return
	}
	now, id := time.Now(), noticeServer(sv)
	rl.mu.Lock()
	// Only a response that is the server's own shows that it names no limit.
	limited := (rp.Limit.Named || rp.Authentic) && rl.permits.Observe(now, rp.SentAt, id, rp.Limit)
	left := rl.leaving.Observe(now, now, id, rp.Leaving)
	if left {
		rl.applyServers(now)
	}
	rl.mu.Unlock()
	if limited {
		rl.logServerLimit(sv.ID, rp.Limit, "answer")
	}
	if left {
		rl.logLeaving(id, "answer")
	}
}

// heard records what the head of a response tells of its server and of the path there.
func (rl *Relay) heard(id units.TargetID, pi *picked, rp *Reply) {
	rl.pathAnswered(id)
	rl.observe(&pi.Server, rp)
	rl.observeLoad(id, &pi.Server, rp)
	rl.observeRefusal(pi, rp)
}

// heardLate records what a response tells that came after its attempt had been cancelled.
func (rl *Relay) heardLate(id units.TargetID, pi *picked, rp *Reply) {
	rl.Counts.Late.Add(1)
	rl.Log.Debug("late_answer", zap.String("server", string(pi.Server.ID)), zap.Int("status", rp.Status), zap.Duration("took", time.Since(pi.sent)))
	rl.heard(id, pi, rp)
}

// observeRefusal records whether a server turned a request away, and the time of rest that it asked for.
func (rl *Relay) observeRefusal(pi *picked, rp *Reply) {
	now, id := time.Now(), noticeServer(&pi.Server)
	rl.mu.Lock()
	if !rp.Refused && !rp.Misdirected && rp.Rest == 0 {
		rl.rests.Answered(now, pi.sent, id)
		rl.mu.Unlock()
		return
	}
	news := rl.rests.Refused(now, pi.sent, id, rp.Rest)
	rl.mu.Unlock()
	if rp.Rest > 0 {
		rl.Counts.Rests.Add(1)
	}
	if news {
		rl.Log.Info("server_refuses", zap.String("server", string(id.ID)), zap.Duration("rest", rp.Rest), zap.Int("status", rp.Status), zap.Duration("took", now.Sub(pi.sent)))
	}
}

// isResting reports whether a server wants nothing from this node.
func (rl *Relay) isResting(sv *server.Server) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.rests.Left(time.Now(), noticeServer(sv)) > 0
}

// restRetryAfter returns when a request may come back that was refused since the servers of its service
// have asked for a rest, 0 if none has.
func (rl *Relay) restRetryAfter(now time.Time, id units.TargetID) time.Duration {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	var ids []notice.Server
	for _, sv := range rl.service(id).fleet.List() {
		if !sv.Draining {
			ids = append(ids, noticeServer(sv))
		}
	}
	return rl.rests.RetryAfter(now, ids)
}

// isTrying reports whether a server of the service is being tried after its rest.
func (rl *Relay) isTrying(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(rl.service(id).fleet.List(), func(sv *server.Server) bool {
		return !sv.Draining && rl.rests.Trying(now, noticeServer(sv))
	})
}

// Resting returns the number of servers that want nothing from this node.
func (rl *Relay) Resting(now time.Time) (count int64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for idx := range rl.listed {
		if rl.rests.Left(now, noticeServer(&rl.listed[idx])) > 0 {
			count++
		}
	}
	return count
}

// observeForwarded records what a response that came through another node says of its server.
func (ru *run) observeForwarded(fw Forwardable, rp *Reply) {
	sv := rp.Server
	if sv.StartUnixMS == 0 { // Nodes up to version 0.4 don't name it.
		sv.StartUnixMS = ru.rl.startOf(sv.ID)
	}
	limit, leaving := fw.Notices(rp.Head)
	ru.rl.observe(&sv, &Reply{Limit: limit, Leaving: leaving, SentAt: rp.SentAt})
}

// startOf returns the start time of a server in the list, 0 if it is not known.
func (rl *Relay) startOf(id units.VMID) int64 {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for idx := range rl.listed {
		if rl.listed[idx].ID == id {
			return rl.listed[idx].StartUnixMS
		}
	}
	return 0
}

// mergeLeaving records which servers a peer has heard to leave, as of a time, and returns those
// that this node didn't know of. The caller holds mu.
func (rl *Relay) mergeLeaving(now, asOf time.Time, list []notice.Heard[notice.Leaving]) []notice.Heard[notice.Leaving] {
	changes := rl.leaving.Merge(now, asOf, list)
	if len(changes) > 0 {
		rl.applyServers(now)
	}
	return changes
}

func (rl *Relay) logLeaving(sv notice.Server, source string) {
	rl.Log.Info("server_leaving", zap.String("server", string(sv.ID)), zap.Int64("start", sv.StartUnixMS), zap.String("source", source))
}
