// Command lycheepick is the operators' command line.
package main

import (
	"lycheepick/internal/node/admin"
	"lycheepick/internal/node/cline"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/fault"
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

// exitUnreachable is the exit status if the platform or a node can't be reached.
const exitUnreachable = 3

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

func usageError(op, format string, args ...any) error {
	return fault.New(op, cline.KindUsage, format, args...)
}

func (pl *platform) log() (logsvc.Log, error) {
	if pl.Log == "" {
		return nil, usageError("lycheepick.log", "--log is missing")
	}
	return logsvc.New(pl.Log), nil
}

func (pl *platform) pool() (*mesh.Pool, error) {
	if pl.Node == "" || pl.SecretFile == "" {
		return nil, usageError("lycheepick.pool", "--node and --secret-file are needed")
	}
	secret, err := (&config.Secret{File: pl.SecretFile}).Read()
	if err != nil {
		return nil, usageError("lycheepick.pool", "%v", err)
	}
	return mesh.NewPool(secret), nil
}

func main() {
	pr := cline.Program{Name: "lycheepick", Usage: usage, Exit: exitOf}
	pr.Main(&args{})
}

func exitOf(err error) int {
	if fault.Is(err, admin.KindUnreachable) || fault.Is(err, admin.KindUndecided) {
		return exitUnreachable
	}
	return cline.ExitFailed
}
