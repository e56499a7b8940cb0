// Package audit keeps the trail of what the nodes decided by themselves: it writes the
// decisions to the log service in batches, and keeps the latest in memory while that
// is down. Changes of the table need no entry, since their stream is their trail.
package audit

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/units"
)

// Entry is one decision.
type Entry struct {
	At   time.Time  `json:"at"`
	Node units.VMID `json:"node"`
	// Event is the kind of decision, such as "server_ejected".
	Event   string `json:"event"`
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// Batch is one record of the stream.
type Batch struct {
	Entries []Entry `json:"entries"`
	// Dropped counts entries that did not fit in memory before this batch.
	Dropped int `json:"dropped,omitempty"`
}

const (
	mostKept   = 1000
	writeEvery = time.Second
	writeTime  = 2 * time.Second
)

// Trail collects entries. It is safe for concurrent use.
type Trail struct {
	node units.VMID
	log  *zap.Logger

	mu      sync.Mutex
	pending []Entry
	dropped int
}

// New returns an empty trail of one node.
func New(node units.VMID, log *zap.Logger) *Trail { return &Trail{node: node, log: log} }

// Note adds an entry and logs it.
func (tr *Trail) Note(event, subject, detail string) {
	tr.log.Info(event, zap.String("subject", subject), zap.String("detail", detail))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.pending) >= mostKept {
		tr.pending = tr.pending[1:]
		tr.dropped++
	}
	tr.pending = append(tr.pending, Entry{At: time.Now().UTC(), Node: tr.node, Event: event, Subject: subject, Detail: detail})
}

// Run writes entries to the log service until ctx ends, and then once more.
func (tr *Trail) Run(ctx context.Context, log logsvc.Log) {
	tick := time.NewTicker(writeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTime)
			defer cancel()
			tr.write(last, log)
			return
		case <-tick.C:
			tr.write(ctx, log)
		}
	}
}

// write appends what is pending. An append without an answer is repeated, so that an
// entry can stand twice but is not lost.
func (tr *Trail) write(ctx context.Context, log logsvc.Log) {
	ba := tr.take()
	if len(ba.Entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if _, err := log.Append(ctx, logsvc.StreamAudit, ba); err != nil {
		tr.putBack(ba)
	}
}

func (tr *Trail) take() Batch {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ba := Batch{Entries: tr.pending, Dropped: tr.dropped}
	tr.pending = nil
	tr.dropped = 0
	return ba
}

func (tr *Trail) putBack(ba Batch) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := ba.Entries
	all = append(all, tr.pending...)
	tr.dropped += ba.Dropped
	if over := len(all) - mostKept; over > 0 {
		tr.dropped += over
		all = all[over:]
	}
	tr.pending = all
}
