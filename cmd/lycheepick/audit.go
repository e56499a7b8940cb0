package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"lycheepick/internal/node/admin"
)

const auditUsage = `lycheepick audit lists changes of the table and automatic actions of the nodes.

usage: lycheepick audit --log URL [--since D]

  --since D   only entries that are at most this old (default: all that the log retains)

exit status: 0 done, 2 bad usage, 3 log service unreachable
`

type auditCmd struct {
	sharedOptions
	Since time.Duration `arg:"--since"`
}

func (*auditCmd) Usage() string { return auditUsage }

// auditLine is one entry of the audit trail as it is printed, without its time.
type auditLine struct {
	at   time.Time
	text string
}

func (au *auditCmd) Run(ctx context.Context, out io.Writer) error {
	log, err := au.log()
	if err != nil {
		return err
	}
	hi, err := admin.ReadTables(ctx, log)
	if err != nil {
		return err
	}
	entries, err := admin.ReadAudit(ctx, log)
	if err != nil {
		return err
	}
	var lines []auditLine
	for _, ev := range hi.Events {
		lines = append(lines, auditLine{at: ev.At, text: fmt.Sprintf("event=table_publish verdict=%s version=%d author=%s comment=%q",
			ev.Verdict, ev.Record.Version, ev.Record.Author, ev.Record.Comment)})
	}
	for _, en := range entries {
		lines = append(lines, auditLine{at: en.At, text: fmt.Sprintf("event=%s node=%s subject=%s %s", en.Event, en.Node, en.Subject, en.Detail)})
	}
	au.print(out, lines)
	return nil
}

func (au *auditCmd) print(out io.Writer, lines []auditLine) {
	sort.SliceStable(lines, func(one, two int) bool { return lines[one].at.Before(lines[two].at) })
	for _, li := range lines {
		if au.Since == 0 || time.Since(li.at) <= au.Since {
			_, _ = fmt.Fprintf(out, "at=%s %s\n", li.at.UTC().Format(time.RFC3339Nano), li.text)
		}
	}
}
