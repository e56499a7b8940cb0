package proof_test

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"lycheepick/internal/bench/spread"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

// world runs the decision packages of some nodes under a virtual clock, with a log that
// fails. It does no more than carry events in and actions out, as a daemon does.
type world struct {
	net   *spread.Net
	nodes map[units.VMID]*wnode
	logs  map[string]*wlog
	down  bool
	// lose is the number of appends that take effect without an answer, and refuse
	// that of those that neither take effect nor are answered.
	lose, refuse int

	publishes int
	hashes    map[units.Version]string
	runs      map[string]int
	outcomes  map[string][]answer.State
	broken    []string
}

// wnode is one life of one node.
type wnode struct {
	id     units.VMID
	fold   *table.Fold
	high   units.Version
	cut    bool // From the log.
	frozen bool
	life   units.Incarnation
	claims []*wclaim
}

// wclaim is one request with a key at one node.
type wclaim struct {
	key     intent.Key
	id      intent.ID
	ma      *answer.Machine
	pending bool
	won     bool
	ran     bool
}

type wlog struct {
	first   units.Offset
	records [][]byte
}

func (lo *wlog) next() units.Offset { return lo.first + units.Offset(len(lo.records)) }

func newWorld(count int, seed uint64) *world {
	wo := &world{
		net: spread.New(count, seed), nodes: map[units.VMID]*wnode{}, logs: map[string]*wlog{"table": {}, "intent": {}},
		hashes: map[units.Version]string{}, runs: map[string]int{}, outcomes: map[string][]answer.State{},
	}
	for _, id := range wo.net.IDs {
		wo.nodes[id] = &wnode{id: id, fold: table.NewFold(), life: 1}
	}
	return wo
}

func (wo *world) breach(format string, args ...any) {
	wo.broken = append(wo.broken, fmt.Sprintf(format, args...))
}

// append adds a record. known tells whether the writer has an answer.
func (wo *world) append(stream string, val any) (known, stands bool) {
	if wo.down {
		return true, false
	}
	if wo.refuse > 0 {
		wo.refuse--
		return false, false
	}
	raw, _ := json.Marshal(val)
	lo := wo.logs[stream]
	lo.records = append(lo.records, raw)
	if wo.lose > 0 {
		wo.lose--
		return false, true
	}
	return true, true
}

// seconds runs the fleet.
func (wo *world) seconds(count int) {
	for range count {
		wo.net.Round()
		for _, id := range wo.net.IDs {
			no := wo.nodes[id]
			if wo.net.Down[id] || no.frozen {
				continue
			}
			wo.readLog(no)
			wo.adopt(no)
			wo.check(no)
		}
	}
}

func (wo *world) readLog(no *wnode) {
	if wo.down || no.cut {
		return
	}
	lo := wo.logs["table"]
	no.fold.SkipTo(lo.first)
	for no.fold.NextOffset() < lo.next() {
		no.fold.Read(no.fold.NextOffset(), lo.records[no.fold.NextOffset()-lo.first])
	}
}

// adopt takes the table from a peer that says it has a newer one, and tells the others
// of one's own.
func (wo *world) adopt(no *wnode) {
	gs := wo.net.Nodes[no.id]
	for _, me := range gs.View().List() {
		peer := wo.nodes[me.VM]
		if me.Role != member.RoleNode || me.VM == no.id || peer == nil || !wo.reach(no.id, me.VM) {
			continue
		}
		if in := peer.fold.InForce(); in != nil && me.TableVersion > versionOf(no.fold) {
			no.fold.Adopt(in, peer.fold.FoldedTo())
		}
	}
	if have := versionOf(no.fold); have > gs.Self().TableVersion {
		gs.Announce(func(me *member.Member) { me.TableVersion = have })
	}
}

func (wo *world) reach(one, two units.VMID) bool {
	return !wo.net.Down[one] && !wo.net.Down[two] &&
		!wo.net.Cut[[2]units.VMID{one, two}] && !wo.net.Cut[[2]units.VMID{two, one}]
}

func versionOf(fo *table.Fold) units.Version {
	if in := fo.InForce(); in != nil {
		return in.Version
	}
	return 0
}

// check holds what must always hold of a node's table.
func (wo *world) check(no *wnode) {
	have := versionOf(no.fold)
	if have < no.high {
		wo.breach("%s went from version %d back to %d", no.id, no.high, have)
	}
	no.high = have
	if have == 0 {
		return
	}
	if was, ok := wo.hashes[have]; ok && was != no.fold.InForce().Hash {
		wo.breach("version %d has two tables", have)
	}
	wo.hashes[have] = no.fold.InForce().Hash
}

// publish is what an operator does who goes by the version at a node.
func (wo *world) publish(replaces units.Version, author string) {
	wo.publishes++
	tab := &table.Table{Seats: wo.publishes%table.MaxSeats + 1, Customers: []table.Customer{{ID: "c", KeyHashes: []string{table.HashKey("k")}}}}
	wo.append("table", table.NewRecord(tab, replaces, author, "", fmt.Sprint("p", wo.publishes)))
}

func (wo *world) restate(no *wnode) {
	if rec, ok := no.fold.Restate(string(no.id), "r"); ok && !wo.down && !no.cut && !wo.net.Down[no.id] {
		wo.append("table", rec)
	}
}

// expire drops the oldest records of the tables but the last keep.
func (wo *world) expire(keep int) {
	lo := wo.logs["table"]
	num := max(0, len(lo.records)-keep)
	lo.records = lo.records[num:]
	lo.first += units.Offset(num)
}

func (wo *world) intents() *intent.Fold {
	fo := intent.NewFold()
	for off, raw := range wo.logs["intent"].records {
		var ba intent.Batch
		_ = json.Unmarshal(raw, &ba)
		fo.Read(units.Offset(off), time.Unix(0, 0), ba)
	}
	return fo
}

// claim is what a node does with a request that has a key: it claims, and dispatches if
// it won. A paused node claims and sleeps before it dispatches.
func (wo *world) claim(no *wnode, key string, paused bool) {
	ca := &wclaim{
		key: intent.Key{Customer: "c", Key: key}, ma: answer.New(false, 3),
		id: intent.ID(fmt.Sprintf("%s/%s/%d/%d", no.id, key, no.life, len(no.claims))),
	}
	no.claims = append(no.claims, ca)
	ca.ma.Accept()
	if no.cut {
		wo.end(ca)
		return
	}
	known, stands := wo.append("intent", intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: ca.key, Intent: ca.id, Fingerprint: "f"}}})
	if !known {
		// Whether the intent stands is not known: it is given up, for good.
		wo.end(ca)
		ca.pending = true
		return
	}
	if !stands {
		wo.end(ca)
		return
	}
	verdict, _ := wo.intents().Claim(ca.key, ca.id, "f")
	if verdict != intent.Won {
		wo.outcomes[key] = append(wo.outcomes[key], answer.Unknown)
		return
	}
	ca.won = true
	if !paused {
		wo.dispatch(ca, "")
	}
}

// end gives a request up that was not dispatched.
func (wo *world) end(ca *wclaim) {
	wo.outcomes[ca.key.Key] = append(wo.outcomes[ca.key.Key], ca.ma.Abort())
}

// dispatch sends a won request. fate is what happens to it: "", "refused" or "lost".
func (wo *world) dispatch(ca *wclaim, fate string) {
	att, ok := ca.ma.Dispatch()
	if !ok {
		return
	}
	switch fate {
	case "refused":
		ca.ma.Fail(att, answer.NotSent)
	case "lost":
		ca.ran = true
		wo.runs[ca.key.Key]++
		ca.ma.Fail(att, answer.MayHaveRun)
	default:
		ca.ran = true
		wo.runs[ca.key.Key]++
		ca.ma.Finish(att, 0)
	}
	st := ca.ma.Abort()
	if st == answer.NotRun && ca.ran {
		wo.breach("key %s was told not_run, and ran", ca.key.Key)
	}
	wo.outcomes[ca.key.Key] = append(wo.outcomes[ca.key.Key], st)
	en := intent.Entry{Op: intent.OpOutcome, Key: ca.key, Intent: ca.id, Fingerprint: "f", Answer: &intent.Answer{Outcome: st.String()}}
	if st == answer.NotRun {
		en.Op, en.Answer = intent.OpAbandon, nil
	}
	wo.append("intent", intent.Batch{Entries: []intent.Entry{en}})
}

// wake lets the paused claims of a node go on, and records the ones it gave up.
func (wo *world) wake(no *wnode, fate string) {
	for _, ca := range no.claims {
		switch {
		case ca.won && !ca.ma.State().Final():
			wo.dispatch(ca, fate)
		case ca.pending:
			ca.pending = false
			wo.append("intent", intent.Batch{Entries: []intent.Entry{{Op: intent.OpAbandon, Key: ca.key, Intent: ca.id}}})
		}
	}
}

// checkKeys holds what must always hold of requests with keys.
func (wo *world) checkKeys() {
	keys := make([]string, 0, len(wo.runs))
	for key := range wo.runs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if wo.runs[key] > 1 {
			wo.breach("key %s ran %d times", key, wo.runs[key])
		}
	}
}

func (wo *world) revive(id units.VMID) {
	no := wo.nodes[id]
	wo.net.Down[id] = false
	wo.nodes[id] = &wnode{id: id, fold: table.NewFold(), life: no.life + 1, cut: no.cut}
	wo.net.Join(id, no.life+1)
}

func (wo *world) verdict() error {
	if len(wo.broken) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(wo.broken, "; "))
}
