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

// caller is one request with the key at one node: it claims the key, may be paused for any
// time, and dispatches if it won the claim.
type caller struct {
	id      intent.ID
	claimed bool
	result  intent.ClaimResult
	closed  bool // The request got its final reply and must not be dispatched any more.
	sent    bool
}

// world simulates the log and counts the runs of the request.
type world struct {
	log     []intent.Batch
	delayed []intent.Batch // Appends that have not taken effect yet.
	runs    int
	naive   bool
}

func (wo *world) fold(upTo int) *intent.Fold {
	fo := intent.NewFold()
	for idx, ba := range wo.log[:upTo] {
		fo.Read(units.Offset(idx), time.Unix(int64(idx), 0), ba)
	}
	return fo
}

var key = intent.Key{Customer: "dernek", Key: "claim-7"}

// decide sets the result of a claim by a node that has read the log up to upTo.
func (wo *world) decide(ca *caller, upTo int) {
	if wo.naive {
		// Without intents a node runs the request as long as it knows no outcome.
		ca.result = intent.Won
		return
	}
	ca.result, _ = wo.fold(upTo).Claim(key, ca.id, "same")
}

// runSchedule runs a random interleaving of callers with the same key, appends that take
// effect late or whose answer is lost, pauses before the dispatch, and abandoned intents.
// It returns a message if the request ran more than once.
func runSchedule(rt *rapid.T, wo *world) string {
	var callers []*caller
	steps := rapid.IntRange(5, 60).Draw(rt, "steps")
	for range steps {
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			if len(callers) < 6 {
				callers = append(callers, &caller{id: intent.ID(fmt.Sprint("intent-", len(callers)))})
			}
		case 1: // An intent is appended at once, late or not at all.
			for _, ca := range callers {
				if ca.claimed || ca.closed {
					continue
				}
				ca.claimed = true
				ba := intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: ca.id, Fingerprint: "same"}}}
				switch rapid.IntRange(0, 3).Draw(rt, "append") {
				case 0: // The append is lost: the caller gets not_run.
					ca.closed = true
				case 1: // The answer is lost: the caller gets not_run, and the intent is abandoned.
					wo.delayed = append(wo.delayed, ba)
					wo.delayed = append(wo.delayed, abandon(ca.id))
					ca.closed = true
				default:
					wo.log = append(wo.log, ba)
				}
				break
			}
		case 2: // A late append takes effect, in any order.
			if len(wo.delayed) > 0 {
				num := rapid.IntRange(0, len(wo.delayed)-1).Draw(rt, "late")
				wo.log = append(wo.log, wo.delayed[num])
				wo.delayed = append(wo.delayed[:num], wo.delayed[num+1:]...)
			}
		case 3: // A node reads the log, perhaps not to its end, and decides.
			for _, ca := range callers {
				if ca.claimed && !ca.closed && ca.result == intent.Undecided {
					wo.decide(ca, rapid.IntRange(0, len(wo.log)).Draw(rt, "read"))
				}
			}
		case 4: // A winner resumes after a pause of any length and dispatches.
			for _, ca := range callers {
				if ca.result == intent.Won && !ca.closed && rapid.Bool().Draw(rt, "wake") {
					ca.closed, ca.sent = true, true
					wo.runs++
					wo.record(rt, ca)
				}
			}
		case 5: // A winner whose caller has disconnected abandons the intent.
			for _, ca := range callers {
				if ca.result == intent.Won && !ca.closed && rapid.IntRange(0, 3).Draw(rt, "gone") == 0 {
					ca.closed = true
					wo.delayed = append(wo.delayed, abandon(ca.id))
				}
			}
		}
	}
	if wo.runs > 1 {
		return fmt.Sprintf("the request ran %d times", wo.runs)
	}
	return ""
}

func (wo *world) record(rt *rapid.T, ca *caller) {
	out := intent.Batch{Entries: []intent.Entry{{
		Op: intent.OpOutcome, Key: key, Intent: ca.id, Fingerprint: "same", Answer: &intent.Answer{Outcome: "done"},
	}}}
	if rapid.Bool().Draw(rt, "outcome late") {
		wo.delayed = append(wo.delayed, out)
		return
	}
	wo.log = append(wo.log, out)
}

func abandon(id intent.ID) intent.Batch {
	return intent.Batch{Entries: []intent.Entry{{Op: intent.OpAbandon, Key: key, Intent: id}}}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violated := runSchedule(rt, &world{}); violated != "" {
			rt.Fatal(violated)
		}
	})
}

// Guards against schedules that no longer produce the race: without intents they must make
// the request run twice.
func TestWithoutIntentsRequestRunsTwice(t *testing.T) {
	raced := false
	rapid.Check(t, func(rt *rapid.T) {
		raced = runSchedule(rt, &world{naive: true}) != "" || raced
	})
	if !raced {
		t.Fatal("no schedule made nodes without intents run the request twice")
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
	for id, want := range map[intent.ID]intent.ClaimResult{"a": intent.Won, "b": intent.InProgress} {
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

// The append of an intent can time out and take effect after the intent was abandoned; the
// key must not stay blocked.
func TestAbandonBeforeIntent(t *testing.T) {
	gm := gomega.NewWithT(t)
	fo := intent.NewFold()
	fo.Read(0, time.Unix(0, 0), abandon("a"))
	fo.Read(1, time.Unix(1, 0), intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: "a", Fingerprint: "same"}}})
	fo.Read(2, time.Unix(2, 0), intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: key, Intent: "b", Fingerprint: "same"}}})
	verdict, _ := fo.Claim(key, "b", "same")
	gm.Expect(verdict).To(gomega.Equal(intent.Won))
}
