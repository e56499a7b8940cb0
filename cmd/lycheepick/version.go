package main

import (
	"context"
	"fmt"
	"io"

	"lycheepick/internal/node/daemon"
)

const versionUsage = `lycheepick version prints the version of the program.

usage: lycheepick version
`

type versionCmd struct{}

func (*versionCmd) Usage() string { return versionUsage }

func (*versionCmd) Run(_ context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "lycheepick "+daemon.Version)
	return nil
}
