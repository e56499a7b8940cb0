// Command lycheepickd is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"lycheepick/internal/node/config"
	"lycheepick/internal/node/daemon"
	"lycheepick/internal/node/logger"
)

const usage = `lycheepickd serves callers' requests on one entry VM.

usage: lycheepickd --config FILE [--check]
       lycheepickd --platform [--check]

  --config FILE   settings file, JSON (docs/SETTINGS.md lists the fields)
  --platform      serve on the users' platform, which provides the settings file
  --check         check the settings, with --config also the secret, and exit
  --version       print the version and exit

The daemon logs to standard error, one line of key=value pairs per event. On SIGTERM or
SIGINT it shuts down gracefully: it reports not ready, lets requests finish for
timing.grace, hands the rest over to a peer and exits.

exit status: 0 graceful shutdown, 1 failure, 2 bad usage or settings
`

type args struct {
	Config   string `arg:"--config" help:"settings file"`
	Platform bool   `arg:"--platform" help:"serve on the users' platform"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Version  bool   `arg:"--version" help:"print the version"`
}

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent lets the heap grow to five times the live data between garbage collections,
// which add to request latency. The live heap is small, and the memory limit still holds.
const gcPercent = 400

func main() { os.Exit(run(os.Args[1:])) }

func run(argv []string) int {
	var ar args
	ps, err := arg.NewParser(arg.Config{Program: "lycheepickd"}, &ar)
	if err != nil {
		return reportUsageError(err)
	}
	switch err := ps.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		fmt.Print(usage)
		return 0
	case err != nil:
		return reportUsageError(err)
	case ar.Version:
		fmt.Println("lycheepickd " + daemon.Version)
		return 0
	case ar.Platform:
		return servePlatform(&ar)
	case ar.Config == "":
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	return serve(&ar)
}

func serve(ar *args) int {
	set, err := config.Load(ar.Config)
	if err != nil {
		return reportUsageError(err)
	}
	secret, err := set.Secret.Read()
	if err != nil {
		return reportUsageError(err)
	}
	if ar.Check {
		fmt.Println("settings are valid")
		return 0
	}
	log, err := logger.New(set.Log.Level, string(set.VM.ID))
	if err != nil {
		return reportUsageError(err)
	}
	debug.SetMemoryLimit(int64(set.Limits.MemoryBytes))
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.New(set, secret, log).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lycheepickd:", err)
		return exitFailed
	}
	return 0
}

// reportUsageError prints err and returns the exit status of bad usage or settings.
func reportUsageError(err error) int {
	fmt.Fprintln(os.Stderr, "lycheepickd:", err)
	return exitUsage
}
