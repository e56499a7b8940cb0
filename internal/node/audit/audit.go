// Package audit keeps the audit trail of the decisions that nodes make by themselves. It writes
// them to the log service in batches, and buffers the latest ones in memory while the service is
// down. Changes of the table need no entries: the table stream records them.
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

// Batch is one record of the audit stream.
type Batch struct {
	Entries []Entry `json:"entries"`
	// Dropped is the number of entries before this batch that did not fit in memory.
	Dropped int `json:"dropped,omitempty"`
}

const (
	maxPending   = 1000
	writePeriod  = time.Second
	writeTimeout = 2 * time.Second
)

// Trail collects entries. It is safe for concurrent use.
type Trail struct {
	node units.VMID
	log  *zap.Logger

	mu      sync.Mutex
	pending []Entry
	dropped int
}

// New returns an empty trail of one node. Each entry is also written to log.
func New(node units.VMID, log *zap.Logger) *Trail { return &Trail{node: node, log: log} }

// Note logs an entry and adds it to the trail. If the buffer is full, the oldest entry is dropped.
func (tr *Trail) Note(event, subject, detail string) {
	tr.log.Info(event, zap.String("subject", subject), zap.String("detail", detail))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.pending) >= maxPending {
		tr.pending = tr.pending[1:]
		tr.dropped++
	}
	tr.pending = append(tr.pending, Entry{At: time.Now().UTC(), Node: tr.node, Event: event, Subject: subject, Detail: detail})
}

// Run writes entries to the log service each writePeriod until ctx ends, and then a last time.
func (tr *Trail) Run(ctx context.Context, log logsvc.Log) {
	tick := time.NewTicker(writePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
			defer cancel()
			tr.write(last, log)
			return
		case <-tick.C:
			tr.write(ctx, log)
		}
	}
}

// write appends the pending entries. A failed or unanswered append is retried, so an entry may
// be written twice but is not lost.
func (tr *Trail) write(ctx context.Context, log logsvc.Log) {
	ba := tr.takeBatch()
	if len(ba.Entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := log.Append(ctx, logsvc.StreamAudit, ba); err != nil {
		tr.requeue(ba)
	}
}

func (tr *Trail) takeBatch() Batch {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	ba := Batch{Entries: tr.pending, Dropped: tr.dropped}
	tr.pending = nil
	tr.dropped = 0
	return ba
}

func (tr *Trail) requeue(ba Batch) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	all := ba.Entries
	all = append(all, tr.pending...)
	tr.dropped += ba.Dropped
	if over := len(all) - maxPending; over > 0 {
		tr.dropped += over
		all = all[over:]
	}
	tr.pending = all
}
