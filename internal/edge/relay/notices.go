package relay

import (
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
