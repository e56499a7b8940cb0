// Command standin runs the stand-ins that tests, the demo and measurements use.
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

const usage = `standin runs small stand-ins of what lycheepick runs beside. It is for tests only.

usage: standin COMMAND [OPTIONS]

  engine    a model engine
  plain     a plain service
  log       the platform's log service
  cloud     the platform's VM list and cloud API
  balancer  the platform's balancer
  load      an open-loop load

"standin COMMAND --help" explains a command.
`

type args struct {
	Engine   *engineCmd   `arg:"subcommand:engine"`
	Plain    *plainCmd    `arg:"subcommand:plain"`
	Log      *logCmd      `arg:"subcommand:log"`
	Cloud    *cloudCmd    `arg:"subcommand:cloud"`
	Balancer *balancerCmd `arg:"subcommand:balancer"`
	Load     *loadCmd     `arg:"subcommand:load"`
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
	ps, err := arg.NewParser(arg.Config{Program: "standin"}, &ar)
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
		fmt.Fprintln(os.Stderr, "standin:", err)
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	return 0
}
