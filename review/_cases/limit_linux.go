package main

import "golang.org/x/sys/unix"

// limitFiles bounds the descriptors of a process that this one has started, as the platform does.
func limitFiles(pid int, files uint64) error {
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}, nil)
}
