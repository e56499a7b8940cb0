// Command lycheepick is the command-line tool for operators.
package main

import (
	"lycheepick/internal/node/admin"
	"lycheepick/internal/node/cline"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/fault"
)

const usage = `lycheepick is the command-line tool for operators of lycheepick.

usage: lycheepick COMMAND [OPTIONS]

  table check FILE     check a table without publishing it
  table diff FILE      show what publishing a table would change
  table publish FILE   publish a table and wait until it is in force on all nodes
  table show           print the table in force
  table log            list the versions and who published them
  node status          list the nodes, with the table version of each, and the servers
  audit                list changes of the table and automatic actions of the nodes
  key                  print the hash of an API key, as the table stores it
  version              print the version

"lycheepick COMMAND --help" explains a command. Options that several commands share:

  --log URL            log service (or LYCHEEPICK_LOG)
  --node ADDR          peer address of any node (or LYCHEEPICK_NODE)
  --secret-file FILE   file with the nodes' shared secret (or LYCHEEPICK_SECRET_FILE)

exit status: 0 done, 1 refused, 2 bad usage, 3 platform or node unreachable
`

// exitUnreachable is the exit status when the platform or a node can't be reached.
const exitUnreachable = 3

type args struct {
	Table   *tableCmd   `arg:"subcommand:table"`
	Node    *nodeCmd    `arg:"subcommand:node"`
	Audit   *auditCmd   `arg:"subcommand:audit"`
	Key     *keyCmd     `arg:"subcommand:key"`
	Version *versionCmd `arg:"subcommand:version"`
}

// sharedOptions holds the options that several commands share.
type sharedOptions struct {
	Log        string `arg:"--log,env:LYCHEEPICK_LOG"`
	Node       string `arg:"--node,env:LYCHEEPICK_NODE"`
	SecretFile string `arg:"--secret-file,env:LYCHEEPICK_SECRET_FILE"`
}

func usageError(op, format string, args ...any) error {
	return fault.New(op, cline.KindUsage, format, args...)
}

func (so *sharedOptions) log() (logsvc.Log, error) {
	if so.Log == "" {
		return nil, usageError("lycheepick.log", "--log is required")
	}
	return logsvc.New(so.Log), nil
}

func (so *sharedOptions) pool() (*mesh.Pool, error) {
	if so.Node == "" || so.SecretFile == "" {
		return nil, usageError("lycheepick.pool", "--node and --secret-file are required")
	}
	secret, err := (&config.Secret{File: so.SecretFile}).Read()
	if err != nil {
		return nil, usageError("lycheepick.pool", "%v", err)
	}
	return mesh.NewPool(secret), nil
}

func main() {
	pr := cline.Program{Name: "lycheepick", Usage: usage, Exit: exitStatus}
	pr.Main(&args{})
}

func exitStatus(err error) int {
	if fault.Is(err, admin.KindUnreachable) || fault.Is(err, admin.KindUndecided) {
		return exitUnreachable
	}
	return cline.ExitFailed
}
