// Package cline parses command lines and runs the subcommands of the programs.
package cline

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"lycheepick/internal/rule/fault"
)

// Kind tells why a command was rejected before it ran.
type Kind string

// KindUsage marks options that are missing or can't be combined.
const KindUsage Kind = "usage"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Exit statuses that all programs share.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one subcommand.
type Command interface {
	// Usage returns the complete usage text of the command.
	Usage() string
	// Run executes the command and writes its results to out.
	Run(ctx context.Context, out io.Writer) error
}

// Program is a program with subcommands.
type Program struct {
	Name  string
	Usage string
	// Exit returns the exit status for an error of a command. If Exit is nil, the status is
	// ExitFailed.
	Exit func(err error) int
}

// Run parses argv into dest, whose subcommands implement Command, runs the selected one and returns
// the exit status. SIGTERM and SIGINT cancel the context of the command.
func (pr *Program) Run(dest any, argv []string, out, problems io.Writer) int {
	ps, err := arg.NewParser(arg.Config{Program: pr.Name}, dest)
	if err == nil {
		err = ps.Parse(argv)
	}
	cmd, _ := ps.Subcommand().(Command)
	switch {
	case errors.Is(err, arg.ErrHelp) && cmd != nil:
		_, _ = fmt.Fprint(out, cmd.Usage())
		return 0
	case errors.Is(err, arg.ErrHelp):
		_, _ = fmt.Fprint(out, pr.Usage)
		return 0
	case err != nil:
		_, _ = fmt.Fprintf(problems, "%s: %v\n", pr.Name, err)
		return ExitUsage
	case cmd == nil:
		_, _ = fmt.Fprint(problems, pr.Usage)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, out); err != nil {
		_, _ = fmt.Fprintf(problems, "%s: %v\n", pr.Name, err)
		return pr.exit(err)
	}
	return 0
}

func (pr *Program) exit(err error) int {
	switch {
	case fault.Is(err, KindUsage):
		return ExitUsage
	case pr.Exit != nil:
		return pr.Exit(err)
	}
	return ExitFailed
}

// Main runs the program with the arguments of the process and exits with its status.
func (pr *Program) Main(dest any) { os.Exit(pr.Run(dest, os.Args[1:], os.Stdout, os.Stderr)) }
