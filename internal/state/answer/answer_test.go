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
	fmt.Println("answer continues:", ma.Token(two, 1) == answer.Deliver)
	ma.Finish(two, 2)
	fmt.Println(ma.State())
	// Output:
	// late token dropped: true
	// answer continues: true
	// done
}

// server simulates the backend server of one attempt.
type server struct {
	att       units.AttemptID
	ran       bool
	nextToken int // Index of the next token to emit.
	sent      []int
}

// machine is implemented by the state machine under test and by the naive one.
type machine interface {
	Dispatch() (units.AttemptID, bool)
	Token(units.AttemptID, int) answer.Action
	Finish(units.AttemptID, int) answer.Action
	Fail(units.AttemptID, answer.FailureKind)
	Abort() answer.State
	State() answer.State
	NextToken() int
	Accept()
}

// naive retries every failed request and delivers every token that arrives.
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

func (na *naive) Token(units.AttemptID, int) answer.Action {
	na.next++
	return answer.Deliver
}

func (na *naive) Finish(units.AttemptID, int) answer.Action {
	na.st = answer.Done
	return answer.Deliver
}

func (na *naive) Accept() {}

func (na *naive) Fail(units.AttemptID, answer.FailureKind) {}

func (na *naive) Abort() answer.State {
	if !na.st.Final() {
		na.st = answer.NotRun
	}
	return na.st
}

func (na *naive) State() answer.State { return na.st }

func (na *naive) NextToken() int { return na.next }

const answerTokens = 4

// runSchedule runs a random interleaving of failures and of late and duplicate tokens. It
// returns the first guarantee that was violated, or an empty string.
func runSchedule(rt *rapid.T, ma machine, idempotent bool) string {
	var servers []*server
	var delivered []int
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
			se := &server{att: att, nextToken: ma.NextToken()}
			servers = append(servers, se)
			switch rapid.IntRange(0, 2).Draw(rt, "arrival") {
			case 0: // The connection is refused.
				ma.Fail(att, answer.NotSent)
			case 1: // The server rejects the request.
				ma.Fail(att, answer.Refused)
			default:
				se.ran = true
				runs++
			}
		case 1, 2: // A server emits its next token, or the network duplicates one.
			if len(servers) == 0 {
				continue
			}
			se := servers[rapid.IntRange(0, len(servers)-1).Draw(rt, "server")]
			if !se.ran {
				continue
			}
			idx := se.nextToken
			if len(se.sent) > 0 && rapid.Bool().Draw(rt, "repeat") {
				idx = se.sent[rapid.IntRange(0, len(se.sent)-1).Draw(rt, "which")]
			} else if se.nextToken < answerTokens {
				se.nextToken++
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
				delivered = append(delivered, idx)
			case answer.Gap:
				ma.Fail(se.att, answer.MayHaveRun)
			case answer.Drop:
			}
		case 3: // The connection of an attempt breaks.
			if len(servers) > 0 {
				ma.Fail(servers[len(servers)-1].att, answer.MayHaveRun)
			}
		case 4: // A server completes its answer.
			for _, se := range servers {
				if se.ran && se.nextToken == answerTokens && ma.Finish(se.att, answerTokens) == answer.Gap {
					ma.Fail(se.att, answer.MayHaveRun)
				}
			}
		case 5:
			if rapid.IntRange(0, 4).Draw(rt, "abort") == 0 {
				ma.Abort()
			}
		}
	}
	st := ma.Abort()
	for idx, tok := range delivered {
		if tok != idx {
			return fmt.Sprintf("token %d delivered at position %d", tok, idx)
		}
	}
	switch {
	case st == answer.Done && len(delivered) != answerTokens:
		return fmt.Sprintf("state is done after %d of %d tokens", len(delivered), answerTokens)
	case st == answer.NotRun && runs > 0:
		return "state is not_run, but the request ran"
	case !idempotent && runs > 1:
		return fmt.Sprintf("a request that is not idempotent ran %d times", runs)
	}
	return ""
}

func TestOutcomeHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		if violated := runSchedule(rt, answer.New(idempotent, 3), idempotent); violated != "" {
			rt.Fatal(violated)
		}
	})
}

// Guards against schedules that no longer produce the failures that the guarantees are
// about: on the naive machine they must give at least four different results.
func TestNaiveMachineViolatesGuarantees(t *testing.T) {
	found := map[string]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		found[runSchedule(rt, &naive{}, idempotent)] = true
	})
	if len(found) < 4 {
		t.Fatalf("the schedules had only %d different results on the naive machine: %v", len(found), found)
	}
}
