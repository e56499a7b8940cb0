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
	// entryGCPercent keeps the heap small: on the platform memory costs more than the
	// processor time of collections.
	entryGCPercent = 50
	// memoryShare is the part of the VM's memory that the runtime may use.
	memoryShare = 0.8
)

// servePlatform serves on the users' platform until a signal to stop.
func servePlatform(ar *args) int {
	set, err := platform.Settings()
	if err != nil {
		return complain(err)
	}
	if ar.Check {
		fmt.Println("settings are good")
		return 0
	}
	log, flush, err := logger.NewBounded(set.Log.Level, string(set.VM.ID))
	if err != nil {
		return complain(err)
	}
	defer flush()
	debug.SetGCPercent(entryGCPercent)
	if set.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMB<<20) * memoryShare))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // The settings that may change are read at the start alone.
	if err := entry.New(set, platform.New(set), log).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lycheepickd:", err)
		return exitFailed
	}
	return 0
}
