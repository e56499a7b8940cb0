package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"lycheepick/internal/node/admin"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

const tableUsage = `lycheepick table validates, publishes and shows the table of weights and limits.

usage: lycheepick table check FILE
       lycheepick table diff FILE --log URL
       lycheepick table publish FILE --log URL [--replaces N] [--comment TEXT] [--author NAME]
                                [--node ADDR --secret-file FILE] [--wait D]
       lycheepick table show --log URL
       lycheepick table log --log URL

  FILE             table file, JSON (docs/TABLE.md lists the fields)
  --replaces N     version on which FILE is based (default: the one in force); if another
                   version is in force when FILE is published, publishing is refused
  --comment TEXT   reason for the change, recorded in the log
  --author NAME    author, recorded in the log (default: the user who runs the command)
  --node ADDR      peer address of any node; if set, the command waits until the version
                   is in force on every live node
  --wait D         timeout of this wait (default: 10s)

exit status: 0 done, 1 refused or not in force on all nodes, 2 bad usage, 3 unreachable
`

type tableCmd struct {
	Check   *tableCheck   `arg:"subcommand:check"`
	Diff    *tableDiff    `arg:"subcommand:diff"`
	Publish *tablePublish `arg:"subcommand:publish"`
	Show    *tableShow    `arg:"subcommand:show"`
	Log     *tableLog     `arg:"subcommand:log"`
}

func (*tableCmd) Usage() string { return tableUsage }

func (*tableCmd) Run(context.Context, io.Writer) error {
	return usageError("lycheepick.Run", "table: missing subcommand: check, diff, publish, show or log")
}

func readTable(file string) (*table.Table, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("lycheepick.readTable", "%v", err)
	}
	return table.Decode(raw)
}

type tableCheck struct {
	File string `arg:"positional,required"`
}

func (*tableCheck) Usage() string { return tableUsage }

func (tc *tableCheck) Run(_ context.Context, out io.Writer) error {
	tab, err := readTable(tc.File)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "the table is valid: %d customers, %d rows, hash %.12s\n", len(tab.Customers), len(tab.Rows), tab.Hash())
	return nil
}

type tableDiff struct {
	sharedOptions
	File string `arg:"positional,required"`
}

func (*tableDiff) Usage() string { return tableUsage }

func (td *tableDiff) Run(ctx context.Context, out io.Writer) error {
	tab, err := readTable(td.File)
	if err != nil {
		return err
	}
	hi, err := td.history(ctx)
	if err != nil {
		return err
	}
	printDiff(out, hi.Fold.InForce(), tab)
	return nil
}

func (so *sharedOptions) history(ctx context.Context) (*admin.History, error) {
	log, err := so.log()
	if err != nil {
		return nil, err
	}
	return admin.ReadTables(ctx, log)
}

func printDiff(out io.Writer, in *table.InForce, tab *table.Table) {
	var old *table.Table
	if in != nil {
		old = in.Index.Table()
		_, _ = fmt.Fprintf(out, "compared with version %d:\n", in.Version)
	}
	lines := tab.Diff(old)
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, line)
	}
	if len(lines) == 0 {
		_, _ = fmt.Fprintln(out, "no differences")
	}
}

type tablePublish struct {
	sharedOptions
	File     string         `arg:"positional,required"`
	Replaces *units.Version `arg:"--replaces"`
	Comment  string         `arg:"--comment"`
	Author   string         `arg:"--author"`
	Wait     time.Duration  `arg:"--wait" default:"10s"`
}

func (*tablePublish) Usage() string { return tableUsage }

func (tp *tablePublish) Run(ctx context.Context, out io.Writer) error {
	tab, err := readTable(tp.File)
	if err != nil {
		return err
	}
	log, err := tp.log()
	if err != nil {
		return err
	}
	replaces, err := tp.replaces(ctx)
	if err != nil {
		return err
	}
	pu, err := admin.Publish(ctx, log, tab, replaces, tp.author(), tp.Comment)
	if err != nil {
		if pu != nil && pu.InForce != nil {
			printDiff(out, pu.InForce, tab)
		}
		return err
	}
	_, _ = fmt.Fprintf(out, "version %d is accepted\n", pu.Version)
	if tp.Node == "" {
		return nil
	}
	return tp.wait(ctx, out, pu.Version)
}

func (tp *tablePublish) author() string {
	if tp.Author != "" {
		return tp.Author
	}
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	return "unknown"
}

func (tp *tablePublish) replaces(ctx context.Context) (units.Version, error) {
	if tp.Replaces != nil {
		return *tp.Replaces, nil
	}
	hi, err := tp.history(ctx)
	if err != nil {
		return 0, err
	}
	if in := hi.Fold.InForce(); in != nil {
		return in.Version, nil
	}
	return 0, nil
}

func (tp *tablePublish) wait(ctx context.Context, out io.Writer, version units.Version) error {
	pool, err := tp.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := context.WithTimeout(ctx, tp.Wait)
	defer cancel()
	list, err := admin.WaitInForce(ctx, pool, tp.Node, version)
	for _, ns := range list {
		if ns.Err != nil || ns.Version < version {
			_, _ = fmt.Fprintf(out, "node=%s zone=%s version=%d in_force=false\n", ns.Node, ns.Zone, ns.Version)
			continue
		}
		_, _ = fmt.Fprintf(out, "node=%s zone=%s version=%d in_force=true after=%s\n", ns.Node, ns.Zone, ns.Version, ns.Took.Round(time.Millisecond))
	}
	return err
}

type tableShow struct{ sharedOptions }

func (*tableShow) Usage() string { return tableUsage }

func (ts *tableShow) Run(ctx context.Context, out io.Writer) error {
	hi, err := ts.history(ctx)
	if err != nil {
		return err
	}
	in := hi.Fold.InForce()
	if in == nil {
		return fmt.Errorf("no version is in force")
	}
	_, _ = fmt.Fprintf(out, "%s\n", in.Raw)
	return nil
}

type tableLog struct{ sharedOptions }

func (*tableLog) Usage() string { return tableUsage }

func (tl *tableLog) Run(ctx context.Context, out io.Writer) error {
	hi, err := tl.history(ctx)
	if err != nil {
		return err
	}
	for _, ev := range hi.Events {
		rec := ev.Record
		_, _ = fmt.Fprintf(out, "at=%s version=%d replaces=%d verdict=%s author=%s comment=%q publish_id=%s hash=%.12s\n",
			ev.At.UTC().Format(time.RFC3339), rec.Version, rec.Replaces, ev.Verdict, rec.Author, rec.Comment, rec.PublishID, rec.Hash)
	}
	return nil
}
