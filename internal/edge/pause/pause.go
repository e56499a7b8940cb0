// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for du. It returns false if ctx ended before.
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
