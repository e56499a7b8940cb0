package answer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
)

func Example() {
	ma := answer.New(true, 3)
	ma.Accept()
	one, _ := ma.Dispatch()
	ma.Token(one, 0)
	ma.Fail(one, answer.MayHaveRun)
	two, _ := ma.Dispatch()
	fmt.Println("late token dropped:", ma.Token(one, 1) == answer.Drop)
	fmt.Println("goes on:", ma.Token(two, 1) == answer.Deliver)
	ma.Finish(two, 2)
	fmt.Println(ma.State())
	// Output:
	// late token dropped: true
	// goes on: true
	// done
}

// server is one attempt as its backend server lives it.
type server struct {
	att  units.AttemptID
	ran  bool
	at   int // Next token that it emits.
	sent []int
}

// machine is what the schedule drives: the real state machine or the naive one.
type machine interface {
	Dispatch() (units.AttemptID, bool)
	Token(units.AttemptID, int) answer.Verdict
	Finish(units.AttemptID, int) answer.Verdict
	Fail(units.AttemptID, answer.Evidence)
	GiveUp() answer.State
	State() answer.State
	Next() int
	Accept()
}

// naive retries whatever failed, and delivers whatever arrives.
type naive struct {
	att  units.AttemptID
	next int
	st   answer.State
}

func (na *naive) Dispatch() (units.AttemptID, bool) {
	if na.st.Final() {
		return 0, false
	}
	na.att++
	na.st = answer.Dispatched
	return na.att, na.att <= 3
}

func (na *naive) Token(units.AttemptID, int) answer.Verdict {
	na.next++
	return answer.Deliver
}

func (na *naive) Finish(units.AttemptID, int) answer.Verdict {
	na.st = answer.Done
	return answer.Deliver
}

func (na *naive) Accept() {}

func (na *naive) Fail(units.AttemptID, answer.Evidence) {}

func (na *naive) GiveUp() answer.State {
	if !na.st.Final() {
		na.st = answer.NotRun
	}
	return na.st
}

func (na *naive) State() answer.State { return na.st }

func (na *naive) Next() int { return na.next }

const answerTokens = 4

// schedule runs random interleavings of failures, late and doubled tokens, and returns
// the first broken promise.
func schedule(rt *rapid.T, ma machine, idempotent bool) string {
	var servers []*server
	var got []int
	runs := 0
	ma.Accept()
	steps := rapid.IntRange(5, 50).Draw(rt, "steps")
	for range steps {
		if ma.State().Final() && rapid.Bool().Draw(rt, "stop") {
			break
		}
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			att, ok := ma.Dispatch()
			if !ok {
				continue
			}
			se := &server{att: att, at: ma.Next()}
			servers = append(servers, se)
			switch rapid.IntRange(0, 2).Draw(rt, "arrival") {
			case 0: // The connection is refused.
				ma.Fail(att, answer.NotSent)
			case 1: // The server refuses.
				ma.Fail(att, answer.Refused)
			default:
				se.ran = true
				runs++
			}
		case 1, 2: // A server emits its next token, or the network repeats one.
			if len(servers) == 0 {
				continue
			}
			se := servers[rapid.IntRange(0, len(servers)-1).Draw(rt, "server")]
			if !se.ran {
				continue
			}
			idx := se.at
			if len(se.sent) > 0 && rapid.Bool().Draw(rt, "repeat") {
				idx = se.sent[rapid.IntRange(0, len(se.sent)-1).Draw(rt, "which")]
			} else if se.at < answerTokens {
				se.at++
				se.sent = append(se.sent, idx)
			}
			if idx >= answerTokens {
				continue
			}
			if rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
				continue
			}
			switch ma.Token(se.att, idx) {
			case answer.Deliver:
				if se != servers[len(servers)-1] {
					return "a token of a superseded attempt was delivered"
				}
				got = append(got, idx)
			case answer.Gap:
				ma.Fail(se.att, answer.MayHaveRun)
			case answer.Drop:
			}
		case 3: // An attempt breaks off.
			if len(servers) > 0 {
				ma.Fail(servers[len(servers)-1].att, answer.MayHaveRun)
			}
		case 4: // A server ends its answer.
			for _, se := range servers {
				if se.ran && se.at == answerTokens && ma.Finish(se.att, answerTokens) == answer.Gap {
					ma.Fail(se.att, answer.MayHaveRun)
				}
			}
		case 5:
			if rapid.IntRange(0, 4).Draw(rt, "patience") == 0 {
				ma.GiveUp()
			}
		}
	}
	st := ma.GiveUp()
	for idx, tok := range got {
		if tok != idx {
			return fmt.Sprintf("token %d stands at %d", tok, idx)
		}
	}
	switch {
	case st == answer.Done && len(got) != answerTokens:
		return fmt.Sprintf("done with %d of %d tokens", len(got), answerTokens)
	case st == answer.NotRun && runs > 0:
		return "not_run, but it ran"
	case !idempotent && runs > 1:
		return fmt.Sprintf("not idempotent, but ran %d times", runs)
	}
	return ""
}

func TestOutcomeHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		if broken := schedule(rt, answer.New(idempotent, 3), idempotent); broken != "" {
			rt.Fatal(broken)
		}
	})
}

// The same schedules break the naive machine, which shows that they bring the
// failures about.
func TestNaiveOutcomeBreaksThem(t *testing.T) {
	found := map[string]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		found[schedule(rt, &naive{}, idempotent)] = true
	})
	if len(found) < 4 {
		t.Fatalf("the schedules break the naive machine in %d ways only: %v", len(found), found)
	}
}
