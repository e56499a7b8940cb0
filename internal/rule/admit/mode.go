package admit

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Mode is the setting of a behaviour for contended configurations.
type Mode string

// The modes.
const (
	// Auto applies if the configuration is contended. It is the default.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// Valid reports whether the mode is known or empty.
func (mo Mode) Valid() bool { return mo == "" || mo == Auto || mo == On || mo == Off }

// Applies reports whether the behaviour is in force under a configuration.
func (mo Mode) Applies(contended bool) bool { return mo == On || mo != Off && contended }

// newTime is the time after which a node counts as knowing the queues, whatever it has received.
const newTime = 2 * time.Second

// Start is the time after a node's start in which it knows no queues.
type Start struct {
	at    time.Time
	heard map[units.VMID]bool
}

// NewStart returns the state of a node that starts now.
func NewStart(now time.Time) Start { return Start{at: now, heard: map[units.VMID]bool{}} }

// Heard records a report of a peer. After newTime none is kept: the ids of peers change with their restarts, and where admission
// is not by priority, nothing asks whether the node is new.
func (st *Start) Heard(now time.Time, node units.VMID) {
	switch {
	case now.Sub(st.at) >= newTime:
		st.heard = nil
	case st.heard != nil:
		st.heard[node] = true
	}
}

// IsNew reports whether fewer than half of the peers have reported to a node that has started lately.
func (st *Start) IsNew(now time.Time, peers int) bool {
	if st.heard == nil {
		return false
	}
	if now.Sub(st.at) >= newTime || peers > 0 && 2*len(st.heard) >= peers {
		st.heard = nil
		return false
	}
	return true
}
