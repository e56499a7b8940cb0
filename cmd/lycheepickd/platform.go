package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lycheepick/internal/node/entry"
	"lycheepick/internal/node/logger"
	"lycheepick/platform"
)

const (
	// platformGCPercent keeps the heap small, since on the platform memory costs more than
	// the CPU time of garbage collection.
	platformGCPercent = 50
	// memoryLimitFraction is the fraction of the VM's memory that the Go runtime may use.
	memoryLimitFraction = 0.8
)

// servePlatform serves on the users' platform until SIGTERM or SIGINT.
func servePlatform(ar *args) int {
	set, err := platform.Settings()
	if err != nil {
		return reportUsageError(err)
	}
	if ar.Check {
		fmt.Println("settings are valid")
		return 0
	}
	log, flush, err := logger.NewBounded(set.Log.Level, string(set.VM.ID))
	if err != nil {
		return reportUsageError(err)
	}
	defer flush()
	debug.SetGCPercent(platformGCPercent)
	if total := set.Limits.Memory(); total > 0 {
		debug.SetMemoryLimit(int64(float64(total) * memoryLimitFraction))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // Settings that may change are read only at startup, so SIGHUP reloads nothing.
	if err := entry.New(set, platform.New(set), log).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lycheepickd:", err)
		return exitFailed
	}
	return 0
}
