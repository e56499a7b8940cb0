package proof_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

type simulationKey struct{}

// The commands of the scripts under a virtual clock. N is the number of a node, from 0.
//
//	nodes COUNT                        start a fleet
//	run SECONDS                        advance the clock
//	crash|revive N                     end a node's process, or start a new incarnation
//	freeze|thaw N                      suspend a node, or resume it
//	cut|heal N log|M                   disconnect a node from the log or node M, or reconnect it
//	log down|up|lose|refuse            outage of the log; for one append, lose its response or drop it
//	expire KEEP                        expire all but the last KEEP records of the table stream
//	restate N                          node N appends a restatement of the version in force
//	publish N AUTHOR [REPLACES]        publish a table that replaces node N's version, or REPLACES
//	claim N KEY [paused]               send a request with a key to node N; paused stops before dispatch
//	wake N [refused|lost]              dispatch paused requests; the connection or the response fails
//	observe N VM STATE [INCARNATION]   node N observes that a VM is in a state
//	expect version N|all V             check the table version in force
//	expect state N|all VM STATE        check the state of a VM in the node's view
//	expect runs KEY COUNT              check how often the request with a key ran
//	expect outcomes KEY STATE...       check the outcomes reported for a key, in order
var clockCommands = map[string]func(*testscript.TestScript, bool, []string){
	"nodes": func(ts *testscript.TestScript, _ bool, args []string) {
		ts.Value(simulationKey{}).(*simulationHolder).sim = newSimulation(atoi(args[0]), 1)
	},
	"run":     withSimulation(func(si *simulation, args []string) error { si.runSeconds(atoi(args[0])); return nil }),
	"crash":   withSimulation(func(si *simulation, args []string) error { si.net.Down[nodeID(args[0])] = true; return nil }),
	"revive":  withSimulation(func(si *simulation, args []string) error { si.revive(nodeID(args[0])); return nil }),
	"freeze":  withSimulation(func(si *simulation, args []string) error { return si.freeze(args[0], true) }),
	"thaw":    withSimulation(func(si *simulation, args []string) error { return si.freeze(args[0], false) }),
	"cut":     withSimulation(func(si *simulation, args []string) error { return si.setCut(args, true) }),
	"heal":    withSimulation(func(si *simulation, args []string) error { return si.setCut(args, false) }),
	"log":     withSimulation((*simulation).setLog),
	"expire":  withSimulation(func(si *simulation, args []string) error { si.expire(atoi(args[0])); return nil }),
	"restate": withSimulation(func(si *simulation, args []string) error { si.restate(si.nodes[nodeID(args[0])]); return nil }),
	"publish": withSimulation(func(si *simulation, args []string) error {
		replaces := versionOf(si.nodes[nodeID(args[0])].fold)
		if len(args) > 2 {
			replaces = units.Version(atoi(args[2]))
		}
		si.publish(replaces, args[1])
		return nil
	}),
	"claim": withSimulation(func(si *simulation, args []string) error {
		si.claim(si.nodes[nodeID(args[0])], args[1], len(args) > 2)
		return nil
	}),
	"wake": withSimulation(func(si *simulation, args []string) error {
		si.wake(si.nodes[nodeID(args[0])], strings.Join(args[1:], ""))
		return nil
	}),
	"observe": withSimulation(func(si *simulation, args []string) error {
		me := member.Member{Instance: units.Instance{VM: units.VMID(args[1]), Incarnation: 1}, Role: member.RoleEngine, State: stateOf(args[2])}
		if len(args) > 3 {
			me.Incarnation = units.Incarnation(atoi(args[3]))
		}
		si.net.Nodes[nodeID(args[0])].Observe(me, si.net.Now)
		return nil
	}),
	"expect": withSimulation((*simulation).expect),
}

type simulationHolder struct{ sim *simulation }

func atoi(text string) int {
	num, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return num
}

func nodeID(num string) units.VMID { return units.VMID(fmt.Sprintf("node-%03d", atoi(num))) }

func stateOf(name string) member.State {
	for st := member.Alive; st <= member.Gone; st++ {
		if st.String() == name {
			return st
		}
	}
	panic("no state " + name)
}

func withSimulation(do func(*simulation, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		si := ts.Value(simulationKey{}).(*simulationHolder).sim
		err := do(si, args)
		if neg != (err != nil) {
			ts.Fatalf("failed: %v", err)
		}
		si.checkKeys()
		ts.Check(si.violationError())
	}
}

func (si *simulation) freeze(num string, on bool) error {
	// A frozen node sends no messages and no replies, and keeps its state.
	si.nodes[nodeID(num)].frozen = on
	si.net.Down[nodeID(num)] = on
	return nil
}

func (si *simulation) setCut(args []string, on bool) error {
	if args[1] == "log" {
		si.nodes[nodeID(args[0])].logCut = on
		return nil
	}
	si.net.Cut[[2]units.VMID{nodeID(args[0]), nodeID(args[1])}] = on
	return nil
}

func (si *simulation) setLog(args []string) error {
	switch args[0] {
	case "down", "up":
		si.logDown = args[0] == "down"
	case "lose":
		si.loseAnswers++
	case "refuse":
		si.failAppends++
	default:
		return fmt.Errorf("unknown log command %s", args[0])
	}
	return nil
}

// forNodes runs check for the node with a number, or with "all" for every node that is up.
func (si *simulation) forNodes(which string, check func(*simNode) error) error {
	for _, id := range si.net.IDs {
		if (which == "all" && !si.net.Down[id]) || (which != "all" && id == nodeID(which)) {
			if err := check(si.nodes[id]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (si *simulation) expect(args []string) error {
	switch args[0] {
	case "version":
		return si.forNodes(args[1], func(no *simNode) error {
			if have := versionOf(no.fold); have != units.Version(atoi(args[2])) {
				return fmt.Errorf("%s has version %d, want %s", no.id, have, args[2])
			}
			return nil
		})
	case "state":
		return si.forNodes(args[1], func(no *simNode) error {
			me, ok := si.net.Nodes[no.id].View().Get(units.VMID(args[2]))
			if !ok || me.State != stateOf(args[3]) {
				return fmt.Errorf("%s has %s in state %s (known %t), want %s", no.id, args[2], me.State, ok, args[3])
			}
			return nil
		})
	case "runs":
		if have := si.runs[args[1]]; have != atoi(args[2]) {
			return fmt.Errorf("key %s ran %d times, want %s", args[1], have, args[2])
		}
		return nil
	case "outcomes":
		var have []string
		for _, st := range si.outcomes[args[1]] {
			have = append(have, st.String())
		}
		if strings.Join(have, " ") != strings.Join(args[2:], " ") {
			return fmt.Errorf("key %s had outcomes %v, want %v", args[1], have, args[2:])
		}
		return nil
	}
	return fmt.Errorf("unknown expect command %s", args[0])
}

// TestClock runs the scripts in testdata/clock against a simulation under a virtual clock.
func TestClock(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/clock",
		Setup: func(env *testscript.Env) error {
			env.Values[simulationKey{}] = &simulationHolder{}
			return nil
		},
		Cmds: clockCommands,
	})
}

const defaultSoakSeeds = 300

// TestSoak runs random schedules of faults and requests against a simulation. It checks the
// invariants after every step, and that the fleet converges after all faults are healed.
// SOAK_SEEDS sets the number of schedules, SOAK_FIRST the first seed.
func TestSoak(t *testing.T) {
	count, first := envInt("SOAK_SEEDS", defaultSoakSeeds), envInt("SOAK_FIRST", 1)
	steps, keys := 0, 0
	for seed := first; seed < first+count; seed++ {
		si := newSimulation(5, uint64(seed))
		steps += runSchedule(si, rand.New(rand.NewPCG(uint64(seed), 17)))
		keys += len(si.outcomes)
		if err := si.violationError(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d schedules, %d steps, %d keys: no table version decreased, no version had two tables, "+
		"no key ran twice, no request reported as not_run ran, every fleet converged after healing", count, steps, keys)
}

func envInt(name string, fallback int) int {
	if val, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return val
	}
	return fallback
}

func runSchedule(si *simulation, rnd *rand.Rand) int {
	si.runSeconds(5)
	si.publish(0, "op")
	si.runSeconds(5)
	steps := 20 + rnd.IntN(40)
	for range steps {
		si.randomStep(rnd)
		si.runSeconds(1 + rnd.IntN(4))
		si.checkKeys()
		if len(si.violations) > 0 {
			return steps
		}
	}
	si.healAndCheck()
	return steps
}

// randomStep injects or heals one random fault, or makes one random request or publish.
func (si *simulation) randomStep(rnd *rand.Rand) {
	id := si.net.IDs[rnd.IntN(len(si.net.IDs))]
	no := si.nodes[id]
	up := !si.net.Down[id]
	switch rnd.IntN(14) {
	case 0:
		si.net.Down[id] = true
	case 1:
		if !up && !no.frozen {
			si.revive(id)
		}
	case 2:
		if up {
			_ = si.freeze(string(id[5:]), true)
		}
	case 3:
		if no.frozen {
			_ = si.freeze(string(id[5:]), false)
		}
	case 4:
		no.logCut = !no.logCut
	case 5:
		other := si.net.IDs[rnd.IntN(len(si.net.IDs))]
		key := [2]units.VMID{id, other}
		si.net.Cut[key] = !si.net.Cut[key] && id != other
	case 6:
		si.logDown = !si.logDown
	case 7:
		si.loseAnswers = rnd.IntN(2)
		si.failAppends = rnd.IntN(2)
	case 8:
		si.publish(versionOf(no.fold), string(id))
	case 9:
		si.restate(no)
	case 10: // Records expire only after a restatement, which daemons append in time.
		if fold := si.caughtUpFold(); fold != nil && !si.logDown {
			if rec, ok := fold.Restate("node", "r"); ok {
				si.loseAnswers, si.failAppends = 0, 0
				si.append("table", rec)
				si.expire(1 + rnd.IntN(4))
			}
		}
	case 11, 12:
		if up {
			si.claim(no, fmt.Sprint("key-", rnd.IntN(3)), rnd.IntN(2) == 0)
		}
	case 13:
		if up {
			si.wake(no, []string{"", "refused", "lost"}[rnd.IntN(3)])
		}
	}
}

// caughtUpFold returns the table fold of a running node that has read the whole log, or nil if
// there is none.
func (si *simulation) caughtUpFold() *table.Fold {
	for _, id := range si.net.IDs {
		no := si.nodes[id]
		if !si.net.Down[id] && !no.logCut && no.fold.NextOffset() == si.logs["table"].next() {
			if _, ok := no.fold.Restate("node", "r"); ok {
				return no.fold
			}
		}
	}
	return nil
}

// healAndCheck heals all faults and checks that the fleet converges: all nodes have the same
// table version, see each other as alive, and accept another publish.
func (si *simulation) healAndCheck() {
	si.logDown, si.loseAnswers, si.failAppends = false, 0, 0
	clear(si.net.Cut)
	for _, id := range si.net.IDs {
		no := si.nodes[id]
		no.logCut = false
		if no.frozen {
			_ = si.freeze(string(id[5:]), false)
		} else if si.net.Down[id] {
			si.revive(id)
		}
	}
	si.runSeconds(90)
	want := versionOf(si.nodes[si.net.IDs[0]].fold)
	for _, id := range si.net.IDs {
		if have := versionOf(si.nodes[id].fold); have != want {
			si.addViolation("after healing, %s has version %d, want %d", id, have, want)
		}
		if seen := si.net.CountInState(id, member.Alive); seen != len(si.net.IDs)-1 {
			si.addViolation("after healing, %s is alive in the view of %d of %d nodes", id, seen, len(si.net.IDs)-1)
		}
	}
	si.publish(want, "last")
	si.runSeconds(10)
	for _, id := range si.net.IDs {
		if have := versionOf(si.nodes[id].fold); have != want+1 {
			si.addViolation("after healing and a publish, %s has version %d, want %d", id, have, want+1)
		}
	}
}
