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

// blockedStatus is the status of a request that is refused since servers crash under it or under
// others with a part of its prompt. It has not run.
const blockedStatus = fasthttp.StatusServiceUnavailable

func blockedReason(ke crash.Key) string {
	if ke.IsRequest() {
		return "servers have crashed under this request"
	}
	return "servers have crashed under requests with a part of this prompt"
}

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
	ru.rl.lost(ru.rq.Service, pi, crash.Loss{
		Request: uint32(xxhash.Sum64String(string(ru.rq.ID))), Content: ru.rq.Content, At: time.Now(), Parts: ru.parts,
	})
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
	ru.rl.crashes.Completed(time.Now(), ru.keys)
}

// blocked returns why and for how long a request with these keys is refused.
func (rl *Relay) blocked(keys []crash.Key) (crash.Block, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Blocked(time.Now(), keys)
}

// mayTry reports whether a request may be sent although it has a blocked key, to learn whether
// that still crashes servers.
func (rl *Relay) mayTry(blocked crash.Key, keys []crash.Key) bool {
	if !rl.OwnsTrials(blocked) {
		return false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.crashes.Try(time.Now(), keys)
}

// refuseBlocked refuses a new request that has a blocked key, unless it may try it.
func (ru *run) refuseBlocked() bool {
	bl, ok := ru.rl.blocked(ru.keys)
	if !ok {
		return false
	}
	if ru.rl.mayTry(bl.Key, ru.keys) {
		ru.trial = true
		ru.rl.Log.Info("block_tried", zap.String("request", string(ru.rq.ID)), zap.Uint64("key", uint64(bl.Key)))
		return false
	}
	ru.rl.Counts.Blocked.Add(1)
	ru.rl.refuse(ru.rq, ru.sink, blockedStatus, blockedReason(bl.Key), bl.RetryAfter)
	return true
}

// isBlocked reports whether the request has a blocked key that it doesn't try.
func (ru *run) isBlocked() bool {
	_, ok := ru.rl.blocked(ru.keys)
	return ok && !ru.trial
}

// UpdateCrashes brings the verdicts up to date and logs their changes.
func (rl *Relay) UpdateCrashes(now time.Time) {
	rl.mu.Lock()
	rl.crashes.Judge(now)
	changes := rl.crashes.Changes()
	rl.mu.Unlock()
	for _, ch := range changes {
		rl.Log.Info("crashes_blocked", zap.Uint64("key", uint64(ch.Key)), zap.Bool("request", ch.Key.IsRequest()),
			zap.Bool("blocked", ch.Blocked), zap.Int("crashes", ch.Crashes))
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
func ownsTrials(crash.Key) bool { return true }
