// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For waits for du. It returns false if ctx ended first; with du of 0 or less it only
// checks ctx.
func For(ctx context.Context, du time.Duration) bool {
	if du <= 0 {
		return ctx.Err() == nil
	}
	tm := time.NewTimer(du)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}
