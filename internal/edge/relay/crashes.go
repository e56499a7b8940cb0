package relay

import (
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
)

// A request that is refused since requests like it crash servers has not run.
const (
	blockedStatus = fasthttp.StatusServiceUnavailable
	blockedReason = "servers have crashed under requests with a part of this prompt"
)

// isLost reports whether an attempt ended since its server closed the connection before the end
// of the response. Timeouts and what this node cancels don't count: they don't show that the
// server has crashed.
func isLost(err error) bool {
	if !fault.Is(err, KindBroken) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// sharedParts returns the parts of a prompt that other requests may have too, which are all but
// the last one.
func sharedParts(blocks []place.Block) []place.BlockID {
	out := make([]place.BlockID, 0, len(blocks))
	for _, bl := range blocks[:max(0, len(blocks)-1)] {
		out = append(out, bl.ID)
	}
	return out
}

// recordLost logs an attempt that its server broke off, and records it unless the server was
// leaving or had been writing the response for long.
func (ru *run) recordLost(pi *picked) {
	var writing time.Duration
	if !ru.beganAt.IsZero() {
		writing = time.Since(ru.beganAt)
	}
	ru.rl.Log.Info("attempt_lost", zap.String("request", string(ru.rq.ID)), zap.String("server", string(pi.Server.ID)),
		zap.Int("send", ru.sends), zap.Uint32s("parts", partNumbers(ru.parts)), zap.Uint64("content", ru.rq.Content), zap.Duration("took", time.Since(pi.sent)),
		zap.Duration("writing", writing))
	if writing > crash.MaxWriting || ru.rl.isLeaving(&pi.Server) {
		return
	}
	rl := ru.rl
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	rl.crashes.Lost(now, permitServer(&pi.Server), crash.Loss{Request: xxhash.Sum64String(string(ru.rq.ID)), At: now, Parts: ru.parts})
}

func partNumbers(parts []place.BlockID) []uint32 {
	out := make([]uint32, len(parts))
	for idx, id := range parts {
		out[idx] = uint32(id)
	}
	return out
}

// recordCompleted records that a server completed the request.
func (ru *run) recordCompleted() {
	ru.rl.mu.Lock()
	defer ru.rl.mu.Unlock()
	ru.rl.crashes.Completed(time.Now(), ru.parts)
}

// blocked returns why and for how long a request with these parts is refused.
func (rl *Relay) blocked(parts []place.BlockID) (crash.Block, bool) {
	if len(parts) == 0 {
		return crash.Block{}, false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Blocked(time.Now(), parts)
}

// mayTry reports whether a request may be sent although it has a blocked part, to learn whether
// that still crashes servers.
func (rl *Relay) mayTry(part place.BlockID, parts []place.BlockID) bool {
	if !rl.OwnsTrials(part) {
		return false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Try(time.Now(), parts)
}

// refuseBlocked refuses a new request that has a blocked part, unless it may try it.
func (ru *run) refuseBlocked() bool {
	bl, ok := ru.rl.blocked(ru.parts)
	if !ok {
		return false
	}
	if ru.rl.mayTry(bl.Part, ru.parts) {
		ru.trial = true
		ru.rl.Log.Info("part_tried", zap.String("request", string(ru.rq.ID)), zap.Uint32("part", uint32(bl.Part)))
		return false
	}
	ru.rl.Counts.Blocked.Add(1)
	ru.rl.refuse(ru.rq, ru.sink, blockedStatus, blockedReason, bl.RetryAfter)
	return true
}

// isBlocked reports whether the request has a blocked part that it doesn't try.
func (ru *run) isBlocked() bool {
	_, ok := ru.rl.blocked(ru.parts)
	return ok && !ru.trial
}

// UpdateCrashes brings the verdicts up to date and logs their changes.
func (rl *Relay) UpdateCrashes(now time.Time) {
	rl.mu.Lock()
	rl.crashes.Judge(now)
	changes := rl.crashes.Changes()
	rl.mu.Unlock()
	for _, ch := range changes {
		rl.Log.Info("part_blocked", zap.Uint32("part", uint32(ch.Part)), zap.Bool("blocked", ch.Blocked), zap.Int("crashes", ch.Crashes))
	}
}

// CrashSummary returns what this node knows of crashes, for a peer that is asked for the rest.
func (rl *Relay) CrashSummary(now time.Time) crash.Summary {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Summary(now)
}

// CrashReport returns what a peer lacks.
func (rl *Relay) CrashReport(now time.Time, su crash.Summary) crash.Report {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Report(now, su)
}

// ApplyCrashReport records what a peer reports of crashes.
func (rl *Relay) ApplyCrashReport(now time.Time, re crash.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.crashes.Merge(now, re)
}

// ownsTrials is Relay.OwnsTrials of a node without peers.
func ownsTrials(place.BlockID) bool { return true }
