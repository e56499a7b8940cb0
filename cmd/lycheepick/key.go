package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"lycheepick/internal/state/table"
)

const keyUsage = `lycheepick key prints the hash of an API key, as the table stores it.

usage: lycheepick key < FILE

The key is read from standard input, so that it does not appear in the shell history.

exit status: 0 done, 2 no key on standard input
`

type keyCmd struct{}

func (*keyCmd) Usage() string { return keyUsage }

func (*keyCmd) Run(_ context.Context, out io.Writer) error {
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return usageError("lycheepick.Run", "key: no key on standard input")
	}
	_, _ = fmt.Fprintln(out, table.HashKey(key))
	return nil
}
