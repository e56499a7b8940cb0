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

type worldKey struct{}

// The commands of the scripts under a virtual clock. N is a node's number, from 0.
//
//	nodes COUNT                   start a fleet
//	run SECONDS                   let it run
//	crash|revive N                end a node's process, or start a new one
//	freeze|thaw N                 stop a node, or let it go on
//	cut|heal N log|M              cut a node from the log, or from node M
//	log down|up|lose|refuse       the log fails; the last two for one append
//	expire KEEP                   the log drops all but the last records of tables
//	restate N                     a node repeats the version in force
//	publish N AUTHOR [REPLACES]   an operator publishes, going by node N's version
//	claim N KEY [paused]          a request with a key comes to node N
//	wake N [refused|lost]         a paused node goes on; its dispatch meets a fate
//	observe N VM STATE [LIFE]     node N hears that a VM is in a state
//	expect version N|all V
//	expect state N|all VM STATE
//	expect runs KEY COUNT
//	expect outcomes KEY STATE...
var clockCommands = map[string]func(*testscript.TestScript, bool, []string){
	"nodes": func(ts *testscript.TestScript, _ bool, args []string) {
		ts.Value(worldKey{}).(*holder).wo = newWorld(atoi(args[0]), 1)
	},
	"run":     withWorld(func(wo *world, args []string) error { wo.seconds(atoi(args[0])); return nil }),
	"crash":   withWorld(func(wo *world, args []string) error { wo.net.Down[nodeID(args[0])] = true; return nil }),
	"revive":  withWorld(func(wo *world, args []string) error { wo.revive(nodeID(args[0])); return nil }),
	"freeze":  withWorld(func(wo *world, args []string) error { return wo.freeze(args[0], true) }),
	"thaw":    withWorld(func(wo *world, args []string) error { return wo.freeze(args[0], false) }),
	"cut":     withWorld(func(wo *world, args []string) error { return wo.setCut(args, true) }),
	"heal":    withWorld(func(wo *world, args []string) error { return wo.setCut(args, false) }),
	"log":     withWorld((*world).setLog),
	"expire":  withWorld(func(wo *world, args []string) error { wo.expire(atoi(args[0])); return nil }),
	"restate": withWorld(func(wo *world, args []string) error { wo.restate(wo.nodes[nodeID(args[0])]); return nil }),
	"publish": withWorld(func(wo *world, args []string) error {
		replaces := versionOf(wo.nodes[nodeID(args[0])].fold)
		if len(args) > 2 {
			replaces = units.Version(atoi(args[2]))
		}
		wo.publish(replaces, args[1])
		return nil
	}),
	"claim": withWorld(func(wo *world, args []string) error {
		wo.claim(wo.nodes[nodeID(args[0])], args[1], len(args) > 2)
		return nil
	}),
	"wake": withWorld(func(wo *world, args []string) error {
		wo.wake(wo.nodes[nodeID(args[0])], strings.Join(args[1:], ""))
		return nil
	}),
	"observe": withWorld(func(wo *world, args []string) error {
		me := member.Member{Instance: units.Instance{VM: units.VMID(args[1]), Incarnation: 1}, Role: member.RoleEngine, State: stateOf(args[2])}
		if len(args) > 3 {
			me.Incarnation = units.Incarnation(atoi(args[3]))
		}
		wo.net.Nodes[nodeID(args[0])].Observe(me, wo.net.Now)
		return nil
	}),
	"expect": withWorld((*world).expect),
}

type holder struct{ wo *world }

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

func withWorld(do func(*world, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		wo := ts.Value(worldKey{}).(*holder).wo
		err := do(wo, args)
		if neg != (err != nil) {
			ts.Fatalf("failed: %v", err)
		}
		wo.checkKeys()
		ts.Check(wo.verdict())
	}
}

func (wo *world) freeze(num string, on bool) error {
	// A frozen node neither sends nor answers, and keeps its state.
	wo.nodes[nodeID(num)].frozen = on
	wo.net.Down[nodeID(num)] = on
	return nil
}

func (wo *world) setCut(args []string, on bool) error {
	if args[1] == "log" {
		wo.nodes[nodeID(args[0])].cut = on
		return nil
	}
	wo.net.Cut[[2]units.VMID{nodeID(args[0]), nodeID(args[1])}] = on
	return nil
}

func (wo *world) setLog(args []string) error {
	switch args[0] {
	case "down", "up":
		wo.down = args[0] == "down"
	case "lose":
		wo.lose++
	case "refuse":
		wo.refuse++
	default:
		return fmt.Errorf("log %s", args[0])
	}
	return nil
}

func (wo *world) each(which string, check func(*wnode) error) error {
	for _, id := range wo.net.IDs {
		if (which == "all" && !wo.net.Down[id]) || (which != "all" && id == nodeID(which)) {
			if err := check(wo.nodes[id]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (wo *world) expect(args []string) error {
	switch args[0] {
	case "version":
		return wo.each(args[1], func(no *wnode) error {
			if have := versionOf(no.fold); have != units.Version(atoi(args[2])) {
				return fmt.Errorf("%s has version %d, want %s", no.id, have, args[2])
			}
			return nil
		})
	case "state":
		return wo.each(args[1], func(no *wnode) error {
			me, ok := wo.net.Nodes[no.id].View().Get(units.VMID(args[2]))
			if !ok || me.State != stateOf(args[3]) {
				return fmt.Errorf("%s sees %s as %s (known %t), want %s", no.id, args[2], me.State, ok, args[3])
			}
			return nil
		})
	case "runs":
		if have := wo.runs[args[1]]; have != atoi(args[2]) {
			return fmt.Errorf("key %s ran %d times, want %s", args[1], have, args[2])
		}
		return nil
	case "outcomes":
		var have []string
		for _, st := range wo.outcomes[args[1]] {
			have = append(have, st.String())
		}
		if strings.Join(have, " ") != strings.Join(args[2:], " ") {
			return fmt.Errorf("key %s had outcomes %v, want %v", args[1], have, args[2:])
		}
		return nil
	}
	return fmt.Errorf("expect %s", args[0])
}

// TestClock runs the scripts under a virtual clock.
func TestClock(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/clock",
		Setup: func(env *testscript.Env) error {
			env.Values[worldKey{}] = &holder{}
			return nil
		},
		Cmds: clockCommands,
	})
}

const defaultSoak = 300

// TestSoak runs random schedules of the whole decision path and checks what must always
// hold after every step, and that the fleet agrees once all is healed. SOAK_SEEDS sets
// the number of schedules, SOAK_FIRST the first seed.
func TestSoak(t *testing.T) {
	count, first := envInt("SOAK_SEEDS", defaultSoak), envInt("SOAK_FIRST", 1)
	steps, keys := 0, 0
	for seed := first; seed < first+count; seed++ {
		wo := newWorld(5, uint64(seed))
		steps += soak(wo, rand.New(rand.NewPCG(uint64(seed), 17)))
		keys += len(wo.outcomes)
		if err := wo.verdict(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d schedules, %d steps, %d keys: no table went back, no version had two tables, "+
		"no key ran twice, no not_run ran, every fleet agreed after it was healed", count, steps, keys)
}

func envInt(name string, def int) int {
	if val, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return val
	}
	return def
}

func soak(wo *world, rnd *rand.Rand) int {
	wo.seconds(5)
	wo.publish(0, "op")
	wo.seconds(5)
	steps := 20 + rnd.IntN(40)
	for range steps {
		wo.step(rnd)
		wo.seconds(1 + rnd.IntN(4))
		wo.checkKeys()
		if len(wo.broken) > 0 {
			return steps
		}
	}
	wo.settle()
	return steps
}

// step does one random thing.
func (wo *world) step(rnd *rand.Rand) {
	id := wo.net.IDs[rnd.IntN(len(wo.net.IDs))]
	no := wo.nodes[id]
	up := !wo.net.Down[id]
	switch rnd.IntN(14) {
	case 0:
		wo.net.Down[id] = true
	case 1:
		if !up && !no.frozen {
			wo.revive(id)
		}
	case 2:
		if up {
			_ = wo.freeze(string(id[5:]), true)
		}
	case 3:
		if no.frozen {
			_ = wo.freeze(string(id[5:]), false)
		}
	case 4:
		no.cut = !no.cut
	case 5:
		other := wo.net.IDs[rnd.IntN(len(wo.net.IDs))]
		key := [2]units.VMID{id, other}
		wo.net.Cut[key] = !wo.net.Cut[key] && id != other
	case 6:
		wo.down = !wo.down
	case 7:
		wo.lose = rnd.IntN(2)
		wo.refuse = rnd.IntN(2)
	case 8:
		wo.publish(versionOf(no.fold), string(id))
	case 9:
		wo.restate(no)
	case 10: // Records expire only after someone restated, as the daemons see to it.
		if truth := wo.truth(); truth != nil && !wo.down {
			if rec, ok := truth.Restate("node", "r"); ok {
				wo.lose, wo.refuse = 0, 0
				wo.append("table", rec)
				wo.expire(1 + rnd.IntN(4))
			}
		}
	case 11, 12:
		if up {
			wo.claim(no, fmt.Sprint("key-", rnd.IntN(3)), rnd.IntN(2) == 0)
		}
	case 13:
		if up {
			wo.wake(no, []string{"", "refused", "lost"}[rnd.IntN(3)])
		}
	}
}

// truth returns the fold of a node that has read all of the log, nil if there is none.
func (wo *world) truth() *table.Fold {
	for _, id := range wo.net.IDs {
		no := wo.nodes[id]
		if !wo.net.Down[id] && !no.cut && no.fold.NextOffset() == wo.logs["table"].next() {
			if _, ok := no.fold.Restate("node", "r"); ok {
				return no.fold
			}
		}
	}
	return nil
}

// settle heals everything, and wants the fleet to agree.
func (wo *world) settle() {
	wo.down, wo.lose, wo.refuse = false, 0, 0
	clear(wo.net.Cut)
	for _, id := range wo.net.IDs {
		no := wo.nodes[id]
		no.cut = false
		if no.frozen {
			_ = wo.freeze(string(id[5:]), false)
		} else if wo.net.Down[id] {
			wo.revive(id)
		}
	}
	wo.seconds(90)
	want := versionOf(wo.nodes[wo.net.IDs[0]].fold)
	for _, id := range wo.net.IDs {
		if have := versionOf(wo.nodes[id].fold); have != want {
			wo.breach("after healing %s has version %d, others %d", id, have, want)
		}
		if seen := wo.net.CountInState(id, member.Alive); seen != len(wo.net.IDs)-1 {
			wo.breach("after healing %s is alive to %d of %d", id, seen, len(wo.net.IDs)-1)
		}
	}
	wo.publish(want, "last")
	wo.seconds(10)
	for _, id := range wo.net.IDs {
		if have := versionOf(wo.nodes[id].fold); have != want+1 {
			wo.breach("a publish after healing left %s at version %d, want %d", id, have, want+1)
		}
	}
}
