package intent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
)

// caller is one request with the key, at one node: it claims, may be paused for any
// time, and dispatches if it believes that it may.
type caller struct {
	id      intent.ID
	claimed bool
	verdict intent.Verdict
	ended   bool // It was told something final, and never dispatches after.
	sent    bool
}

// world is the log and what was run.
type world struct {
	log   []intent.Batch
	late  []intent.Batch // Appends whose effect is still to come.
	runs  int
	naive bool
}

func (wo *world) fold(upTo int) *intent.Fold {
	fo := intent.NewFold()
	for idx, ba := range wo.log[:upTo] {
		fo.Read(units.Offset(idx), time.Unix(int64(idx), 0), ba)
	}
	return fo
}

var key = intent.Key{Customer: "dernek", Key: "claim-7"}

// decide is what a node does once it has read the log up to upTo.
func (wo *world) decide(ca *caller, upTo int) {
	if wo.naive {
		// Without intents a node looks whether an outcome is known and runs it if not.
		ca.verdict = intent.Won
		return
	}
	ca.verdict, _ = wo.fold(upTo).Claim(key, ca.id, "same")
}

// schedule interleaves callers with the same key, appends that take effect late or
// whose answer is lost, pauses before the dispatch, and abandonments.
func schedule(rt *rapid.T, wo *world) string {
	var callers []*caller
	steps := rapid.IntRange(5, 60).Draw(rt, "steps")
	for range steps {
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			if len(callers) < 6 {
				callers = append(callers, &caller{id: intent.ID(fmt.Sprint("intent-", len(callers)))})
			}
		case 1: // A claim is appended, at once, late, or not at all.
			for _, ca := range callers {
				if ca.claimed || ca.ended {
					continue
				}
				ca.claimed = true
				ba := intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: ca.id, Fingerprint: "same"}}}
				switch rapid.IntRange(0, 3).Draw(rt, "append") {
				case 0: // Lost before the effect: the caller is told not_run.
					ca.ended = true
				case 1: // The answer is lost: not_run, and the intent is abandoned.
					wo.late = append(wo.late, ba)
					wo.late = append(wo.late, abandon(ca.id))
					ca.ended = true
				default:
					wo.log = append(wo.log, ba)
				}
				break
			}
		case 2: // A late append takes effect, in any order.
			if len(wo.late) > 0 {
				num := rapid.IntRange(0, len(wo.late)-1).Draw(rt, "late")
				wo.log = append(wo.log, wo.late[num])
				wo.late = append(wo.late[:num], wo.late[num+1:]...)
			}
		case 3: // A node reads the log, perhaps not to its end, and decides.
			for _, ca := range callers {
				if ca.claimed && !ca.ended && ca.verdict == intent.Undecided {
					wo.decide(ca, rapid.IntRange(0, len(wo.log)).Draw(rt, "read"))
				}
			}
		case 4: // A winner wakes from its pause, however long that was, and dispatches.
			for _, ca := range callers {
				if ca.verdict == intent.Won && !ca.ended && rapid.Bool().Draw(rt, "wake") {
					ca.ended, ca.sent = true, true
					wo.runs++
					wo.record(rt, ca)
				}
			}
		case 5: // A winner whose caller has gone abandons instead.
			for _, ca := range callers {
				if ca.verdict == intent.Won && !ca.ended && rapid.IntRange(0, 3).Draw(rt, "gone") == 0 {
					ca.ended = true
					wo.late = append(wo.late, abandon(ca.id))
				}
			}
		}
	}
	if wo.runs > 1 {
		return fmt.Sprintf("ran %d times", wo.runs)
	}
	return ""
}

func (wo *world) record(rt *rapid.T, ca *caller) {
	out := intent.Batch{Entries: []intent.Entry{{
		Op: intent.OpOutcome, Key: key, Intent: ca.id, Fingerprint: "same", Answer: &intent.Answer{Outcome: "done"},
	}}}
	if rapid.Bool().Draw(rt, "outcome late") {
		wo.late = append(wo.late, out)
		return
	}
	wo.log = append(wo.log, out)
}

func abandon(id intent.ID) intent.Batch {
	return intent.Batch{Entries: []intent.Entry{{Op: intent.OpAbandon, Key: key, Intent: id}}}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if broken := schedule(rt, &world{}); broken != "" {
			rt.Fatal(broken)
		}
	})
}

func TestWithoutIntentsItRunsTwice(t *testing.T) {
	broken := false
	rapid.Check(t, func(rt *rapid.T) {
		broken = schedule(rt, &world{naive: true}) != "" || broken
	})
	if !broken {
		t.Fatal("no schedule made a node without intents run a key twice")
	}
}

func TestClaim(t *testing.T) {
	gm := gomega.NewWithT(t)
	fo := intent.NewFold()
	verdict, _ := fo.Claim(key, "a", "same")
	gm.Expect(verdict).To(gomega.Equal(intent.Undecided))
	fo.Read(0, time.Unix(0, 0), intent.Batch{Entries: []intent.Entry{
		{Op: intent.OpIntent, Key: key, Intent: "a", Fingerprint: "same"},
		{Op: intent.OpIntent, Key: key, Intent: "b", Fingerprint: "same"},
	}})
	for id, want := range map[intent.ID]intent.Verdict{"a": intent.Won, "b": intent.InProgress} {
		have, _ := fo.Claim(key, id, "same")
		gm.Expect(have).To(gomega.Equal(want), string(id))
	}
	verdict, _ = fo.Claim(key, "b", "other")
	gm.Expect(verdict).To(gomega.Equal(intent.Conflict))
	fo.Read(1, time.Unix(1, 0), intent.Batch{Entries: []intent.Entry{
		{Op: intent.OpOutcome, Key: key, Intent: "a", Fingerprint: "same", Answer: &intent.Answer{Outcome: "done", Status: 200}},
	}})
	verdict, an := fo.Claim(key, "b", "same")
	gm.Expect(verdict).To(gomega.Equal(intent.Answered))
	gm.Expect(an.Status).To(gomega.Equal(200))
	fo.Expire(time.Unix(5, 0))
	gm.Expect(fo.Len()).To(gomega.BeZero())
}

// The append of an intent that its writer gave up on can take effect after the
// abandonment; the key must not stay blocked.
func TestAbandonedBeforeItStands(t *testing.T) {
	gm := gomega.NewWithT(t)
	fo := intent.NewFold()
	fo.Read(0, time.Unix(0, 0), abandon("a"))
	fo.Read(1, time.Unix(1, 0), intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: "a", Fingerprint: "same"}}})
	fo.Read(2, time.Unix(2, 0), intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: "b", Fingerprint: "same"}}})
	verdict, _ := fo.Claim(key, "b", "same")
	gm.Expect(verdict).To(gomega.Equal(intent.Won))
}
