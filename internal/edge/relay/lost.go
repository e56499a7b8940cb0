package relay

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
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

// logLost logs an attempt that its server broke off.
func (ru *run) logLost(pi *picked) {
	var writing time.Duration
	if !ru.beganAt.IsZero() {
		writing = time.Since(ru.beganAt)
	}
	ru.rl.Log.Info("attempt_lost", zap.String("request", string(ru.rq.ID)), zap.String("server", string(pi.Server.ID)),
		zap.Int("send", ru.sends), zap.Uint32s("parts", partNumbers(ru.rq.PrefixBlocks)), zap.Duration("took", time.Since(pi.sent)),
		zap.Duration("writing", writing))
}

func partNumbers(blocks []place.Block) []uint32 {
	var out []uint32
	for _, id := range sharedParts(blocks) {
		out = append(out, uint32(id))
	}
	return out
}
