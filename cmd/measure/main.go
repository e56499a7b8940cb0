// Command measure runs the project's measurements and prints each as a Markdown table.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

const usage = `measure runs the project's measurements. It is for developers only.

usage: measure COMMAND [OPTIONS]

  route    routing policies on the same workloads
  admit    goodput under overload
  limits   use of a limit under skewed arrivals
  retry    amplification of load by retries
  drain    tokens recomputed when VMs are reclaimed
  gossip   traffic and detection time of the membership
  keys     appends and latency of idempotency keys
  path     what a node adds to a request (needs a running node and engine)

"measure COMMAND --help" explains a command. All take --seed N.
`

type args struct {
	Route  *routeCmd  `arg:"subcommand:route"`
	Admit  *admitCmd  `arg:"subcommand:admit"`
	Limits *limitsCmd `arg:"subcommand:limits"`
	Retry  *retryCmd  `arg:"subcommand:retry"`
	Drain  *drainCmd  `arg:"subcommand:drain"`
	Gossip *gossipCmd `arg:"subcommand:gossip"`
	Keys   *keysCmd   `arg:"subcommand:keys"`
	Path   *pathCmd   `arg:"subcommand:path"`
}

// command is one subcommand.
type command interface {
	usage() string
	run(ctx context.Context) error
}

func main() { os.Exit(run(os.Args[1:])) }

func run(argv []string) int {
	const exitFailed, exitUsage = 1, 2
	var ar args
	ps, err := arg.NewParser(arg.Config{Program: "measure"}, &ar)
	if err == nil {
		err = ps.Parse(argv)
	}
	cmd, _ := ps.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp) && cmd != nil:
		fmt.Print(cmd.usage())
		return 0
	case errors.Is(err, arg.ErrHelp):
		fmt.Print(usage)
		return 0
	case err != nil || cmd == nil:
		fmt.Fprintln(os.Stderr, "measure:", err)
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return exitFailed
	}
	return 0
}
