package proof_test

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"lycheepick/internal/bench/spread"
	"lycheepick/internal/proof/ports"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

// simulation runs the decision packages of several nodes under a virtual clock, with an
// in-memory log that can fail. As in the daemon, the code here only passes events in and
// carries out the resulting actions.
type simulation struct {
	net     *spread.Net
	nodes   map[units.VMID]*simNode
	logs    map[string]*simLog
	logDown bool
	// loseAnswers is the number of next appends that take effect without a response,
	// failAppends the number of those that have no effect and no response.
	loseAnswers, failAppends int

	publishes  int
	hashes     map[units.Version]string
	runs       map[string]int
	outcomes   map[string][]answer.State
	violations []string
}

// simNode is one incarnation of a node. maxVersion is the highest table version seen so far,
// logCut is set while the node cannot reach the log.
type simNode struct {
	id          units.VMID
	fold        *table.Fold
	maxVersion  units.Version
	logCut      bool
	frozen      bool
	incarnation units.Incarnation
	claims      []*simClaim
}

// simClaim is a request with a key at one node. mustAbandon is set if it is unknown whether the
// intent was appended, so that the node has to record that it abandons the key.
type simClaim struct {
	key         intent.Key
	id          intent.ID
	ma          *answer.Machine
	mustAbandon bool
	won         bool
	ran         bool
}

// simLog is one stream of the log; first is the offset of its oldest record.
type simLog struct {
	first   units.Offset
	records [][]byte
}

func (lo *simLog) next() units.Offset { return lo.first + units.Offset(len(lo.records)) }

func newSimulation(count int, seed uint64) *simulation {
	si := &simulation{
		net: spread.New(count, seed), nodes: map[units.VMID]*simNode{}, logs: map[string]*simLog{"table": {}, "intent": {}},
		hashes: map[units.Version]string{}, runs: map[string]int{}, outcomes: map[string][]answer.State{},
	}
	for _, id := range si.net.IDs {
		si.nodes[id] = &simNode{id: id, fold: table.NewFold(), incarnation: 1}
	}
	return si
}

func (si *simulation) addViolation(format string, args ...any) {
	si.violations = append(si.violations, fmt.Sprintf(format, args...))
}

// append appends a record to a stream. answered reports whether the writer gets a response,
// appended whether the record is in the stream.
func (si *simulation) append(stream string, val any) (answered, appended bool) {
	if si.logDown {
		return true, false
	}
	if si.failAppends > 0 {
		si.failAppends--
		return false, false
	}
	raw, _ := json.Marshal(val)
	lo := si.logs[stream]
	lo.records = append(lo.records, raw)
	if si.loseAnswers > 0 {
		si.loseAnswers--
		return false, true
	}
	return true, true
}

// runSeconds runs the fleet for count seconds, one gossip period each, and checks the tables
// of the running nodes after each.
func (si *simulation) runSeconds(count int) {
	for range count {
		si.net.Round()
		for _, id := range si.net.IDs {
			no := si.nodes[id]
			if si.net.Down[id] || no.frozen {
				continue
			}
			si.readLog(no)
			si.syncTable(no)
			si.checkTable(no)
		}
	}
}

func (si *simulation) readLog(no *simNode) {
	if si.logDown || no.logCut {
		return
	}
	lo := si.logs["table"]
	no.fold.SkipTo(lo.first)
	for no.fold.NextOffset() < lo.next() {
		no.fold.Read(no.fold.NextOffset(), lo.records[no.fold.NextOffset()-lo.first])
	}
}

// syncTable adopts the table of any reachable peer that announces a newer version, and
// announces the node's own version if it has grown.
func (si *simulation) syncTable(no *simNode) {
	gs := si.net.Nodes[no.id]
	for _, me := range gs.View().List() {
		peer := si.nodes[me.VM]
		if me.Role != member.RoleNode || me.VM == no.id || peer == nil || !si.reachable(no.id, me.VM) {
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

func (si *simulation) reachable(one, two units.VMID) bool {
	return !si.net.Down[one] && !si.net.Down[two] &&
		!si.net.Cut[[2]units.VMID{one, two}] && !si.net.Cut[[2]units.VMID{two, one}]
}

func versionOf(fo *table.Fold) units.Version {
	if in := fo.InForce(); in != nil {
		return in.Version
	}
	return 0
}

// checkTable checks the invariants of a node's table: its version never decreases, and a
// version has the same content on all nodes.
func (si *simulation) checkTable(no *simNode) {
	have := versionOf(no.fold)
	if have < no.maxVersion {
		si.addViolation("%s went back from version %d to %d", no.id, no.maxVersion, have)
	}
	no.maxVersion = have
	if have == 0 {
		return
	}
	if was, ok := si.hashes[have]; ok && was != no.fold.InForce().Hash {
		si.addViolation("version %d has two different tables", have)
	}
	si.hashes[have] = no.fold.InForce().Hash
}

// publish appends a new table that replaces a version, as an operator would.
func (si *simulation) publish(replaces units.Version, author string) {
	si.publishes++
	tab := &table.Table{Seats: si.publishes%table.MaxSeats + 1, Customers: []table.Customer{{ID: "c", KeyHashes: []string{table.HashKey("k")}}}}
	si.append("table", table.NewRecord(tab, replaces, author, "", fmt.Sprint("p", si.publishes)))
}

func (si *simulation) restate(no *simNode) {
	if rec, ok := no.fold.Restate(string(no.id), "r"); ok && !si.logDown && !no.logCut && !si.net.Down[no.id] {
		si.append("table", rec)
	}
}

// expire removes all but the last keep records of the table stream.
func (si *simulation) expire(keep int) {
	lo := si.logs["table"]
	num := max(0, len(lo.records)-keep)
	lo.records = lo.records[num:]
	lo.first += units.Offset(num)
}

func (si *simulation) intents() *intent.Fold {
	fo := intent.NewFold()
	for off, raw := range si.logs["intent"].records {
		var ba intent.Batch
		_ = json.Unmarshal(raw, &ba)
		fo.Read(units.Offset(off), time.Unix(0, 0), ba)
	}
	return fo
}

// claim handles a request with a key at a node: it appends an intent and dispatches if this
// intent won. If paused is set, the dispatch waits for wake.
func (si *simulation) claim(no *simNode, key string, paused bool) {
	ca := &simClaim{
		key: intent.Key{Customer: "c", Key: key}, ma: answer.New(false, 3),
		id: intent.ID(fmt.Sprintf("%s/%s/%d/%d", no.id, key, no.incarnation, len(no.claims))),
	}
	no.claims = append(no.claims, ca)
	ca.ma.Accept()
	if no.logCut {
		si.abort(ca)
		return
	}
	answered, appended := si.append("intent", intent.Batch{Entries: []intent.Entry{{Op: intent.OpIntent, Key: ca.key, Intent: ca.id, Fingerprint: "f"}}})
	if !answered {
		// It is unknown whether the intent was appended. The request is aborted, and
		// the node must not dispatch it even if its intent won.
		si.abort(ca)
		ca.mustAbandon = true
		return
	}
	if !appended {
		si.abort(ca)
		return
	}
	verdict, _ := si.intents().Claim(ca.key, ca.id, "f")
	if verdict != intent.Won {
		si.outcomes[key] = append(si.outcomes[key], answer.Unknown)
		return
	}
	ca.won = true
	if !paused {
		si.dispatch(ca, "")
	}
}

// abort ends a request that was not dispatched and records its outcome.
func (si *simulation) abort(ca *simClaim) {
	si.outcomes[ca.key.Key] = append(si.outcomes[ca.key.Key], ca.ma.Abort())
}

// dispatch sends a request whose intent won. fate is "" if the server answers, "refused" if it
// refuses the connection, or "lost" if it runs the request and the response is lost.
func (si *simulation) dispatch(ca *simClaim, fate string) {
	att, ok := ca.ma.Dispatch()
	if !ok {
		return
	}
	switch fate {
	case "refused":
		ca.ma.Fail(att, answer.NotSent)
	case "lost":
		ca.ran = true
		si.runs[ca.key.Key]++
		ca.ma.Fail(att, answer.MayHaveRun)
	default:
		ca.ran = true
		si.runs[ca.key.Key]++
		ca.ma.Finish(att, 0)
	}
	st := ca.ma.Abort()
	if st == answer.NotRun && ca.ran {
		si.addViolation("key %s was reported as not_run but ran", ca.key.Key)
	}
	si.outcomes[ca.key.Key] = append(si.outcomes[ca.key.Key], st)
	en := intent.Entry{Op: intent.OpOutcome, Key: ca.key, Intent: ca.id, Fingerprint: "f", Answer: &intent.Answer{Outcome: st.String()}}
	if st == answer.NotRun {
		en.Op, en.Answer = intent.OpAbandon, nil
	}
	si.append("intent", intent.Batch{Entries: []intent.Entry{en}})
}

// wake dispatches the paused claims of a node and records the keys that it must abandon.
func (si *simulation) wake(no *simNode, fate string) {
	for _, ca := range no.claims {
		switch {
		case ca.won && !ca.ma.State().Final():
			si.dispatch(ca, fate)
		case ca.mustAbandon:
			ca.mustAbandon = false
			si.append("intent", intent.Batch{Entries: []intent.Entry{{Op: intent.OpAbandon, Key: ca.key, Intent: ca.id}}})
		}
	}
}

// checkKeys checks that no request with a key ran more than once.
func (si *simulation) checkKeys() {
	keys := make([]string, 0, len(si.runs))
	for key := range si.runs {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if si.runs[key] > 1 {
			si.addViolation("key %s ran %d times", key, si.runs[key])
		}
	}
}

// revive starts a new incarnation of a node, with empty state.
func (si *simulation) revive(id units.VMID) {
	no := si.nodes[id]
	si.net.Down[id] = false
	si.nodes[id] = &simNode{id: id, fold: table.NewFold(), incarnation: no.incarnation + 1, logCut: no.logCut}
	si.net.Join(id, no.incarnation+1)
}

// violationError returns the invariants violated so far as an error, or nil.
func (si *simulation) violationError() error {
	if len(si.violations) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(si.violations, "; "))
}

// addr returns the address of a process; the first call picks a free port for it.
func (pr *procs) addr(name string) string {
	if pr.addrs[name] == "" {
		pr.addrs[name] = ports.Addr()
	}
	return pr.addrs[name]
}
