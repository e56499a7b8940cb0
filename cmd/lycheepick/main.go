// Command lycheepick is the operators' command line.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"lycheepick/internal/node/admin"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/plat/logsvc"
)

const usage = `lycheepick is the operators' command line of lycheepick.

usage: lycheepick COMMAND [OPTIONS]

  table check FILE     check a table without publishing it
  table diff FILE      show what publishing a table would change
  table publish FILE   publish a table and wait until it is in force everywhere
  table show           print the table in force
  table log            list the versions and who published them
  node status          list the nodes and what each has in force
  audit                list who changed what, and what the nodes decided
  key                  print the hash that the table stores of an API key
  version              print the version

"lycheepick COMMAND --help" explains a command. Options that several commands share:

  --log URL            the log service (or LYCHEEPICK_LOG)
  --node ADDR          the peer address of any node (or LYCHEEPICK_NODE)
  --secret-file FILE   the secret that the nodes share (or LYCHEEPICK_SECRET_FILE)

exit status: 0 done, 1 refused, 2 bad usage, 3 platform or node unreachable
`

// Exit statuses.
const (
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

type args struct {
	Table   *tableCmd   `arg:"subcommand:table"`
	Node    *nodeCmd    `arg:"subcommand:node"`
	Audit   *auditCmd   `arg:"subcommand:audit"`
	Key     *keyCmd     `arg:"subcommand:key"`
	Version *versionCmd `arg:"subcommand:version"`
}

// platform holds the options that several commands share.
type platform struct {
	Log        string `arg:"--log,env:LYCHEEPICK_LOG"`
	Node       string `arg:"--node,env:LYCHEEPICK_NODE"`
	SecretFile string `arg:"--secret-file,env:LYCHEEPICK_SECRET_FILE"`
}

// errUsage marks options that do not go together.
type errUsage struct{ error }

func (pl *platform) log() (logsvc.Log, error) {
	if pl.Log == "" {
		return nil, errUsage{errors.New("--log is missing")}
	}
	return logsvc.New(pl.Log), nil
}

func (pl *platform) pool() (*mesh.Pool, error) {
	if pl.Node == "" || pl.SecretFile == "" {
		return nil, errUsage{errors.New("--node and --secret-file are needed")}
	}
	secret, err := (&config.Secret{File: pl.SecretFile}).Read()
	if err != nil {
		return nil, errUsage{err}
	}
	return mesh.NewPool(secret), nil
}

// command is one subcommand.
type command interface {
	usage() string
	run(ctx context.Context, out io.Writer) error
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(argv []string, out, problems io.Writer) int {
	var ar args
	ps, err := arg.NewParser(arg.Config{Program: "lycheepick"}, &ar)
	if err == nil {
		err = ps.Parse(argv)
	}
	cmd, _ := ps.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp) && cmd != nil:
		_, _ = fmt.Fprint(out, cmd.usage())
		return 0
	case errors.Is(err, arg.ErrHelp):
		_, _ = fmt.Fprint(out, usage)
		return 0
	case err != nil:
		_, _ = fmt.Fprintln(problems, "lycheepick:", err)
		return exitUsage
	case cmd == nil:
		_, _ = fmt.Fprint(problems, usage)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.run(ctx, out); err != nil {
		_, _ = fmt.Fprintln(problems, "lycheepick:", err)
		return exitOf(err)
	}
	return 0
}

func exitOf(err error) int {
	var ue errUsage
	var ae *admin.Error
	switch {
	case errors.As(err, &ue):
		return exitUsage
	case errors.As(err, &ae) && (ae.Kind == admin.KindUnreachable || ae.Kind == admin.KindUndecided):
		return exitUnreachable
	}
	return exitRefused
}
