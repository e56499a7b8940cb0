package roll

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// routeID is a short hash of a route's name: nodes can have different configurations for a moment, so that a number of
// a route is not the same everywhere.
type routeID uint16

func newRouteID(name string) routeID { return routeID(mix(name, 0)) }

// counts are totals of answers. Failed ones are not counted as slow.
type counts struct {
	answers, failed, slow int64
}

func (co counts) plus(add counts) counts {
	return counts{co.answers + add.answers, co.failed + add.failed, co.slow + add.slow}
}

func (co counts) minus(sub counts) counts {
	return counts{co.answers - sub.answers, co.failed - sub.failed, co.slow - sub.slow}
}

func (co counts) isBad() bool { return co.failed+co.slow > 0 }

// latest returns the later of two totals of one process: each number only grows.
func (co counts) latest(other counts) counts {
	return counts{max(co.answers, other.answers), max(co.failed, other.failed), max(co.slow, other.slow)}
}

// totals are the counts of one process in one group of versions, by route.
type totals map[routeID]counts

// cell holds the counts of all known processes on one route.
type cell struct{ target, others counts }

// cells holds the counts of all routes.
type cells map[routeID]cell

// sum returns the counts over all routes.
func (ce cells) sum() (out cell) {
	for _, it := range ce {
		out.target, out.others = out.target.plus(it.target), out.others.plus(it.others)
	}
	return out
}

// since returns the counts after an earlier time.
func (ce cells) since(before cells) cells {
	out := make(cells, len(ce))
	for rt, it := range ce {
		was := before[rt]
		out[rt] = cell{it.target.minus(was.target), it.others.minus(was.others)}
	}
	return out
}

const (
	// maxProcesses bounds the processes, maxRoutes the routes and maxCount the numbers that are taken from peers.
	maxProcesses, maxRoutes, maxCount = 4096, 64, 1 << 40
	// relayBytes bounds the totals of other nodes in one report.
	relayBytes = 96
	// maxSends is the number of reports in which totals are relayed after they have grown. Totals with bad answers are not
	// preferred: nodes that knew more of them than of the others would take a good version for a bad one.
	maxSends = 5
	// windowTime is the time of the latest evidence that is judged by itself, snapshotTime the time between two of
	// its bounds.
	windowTime, snapshotTime = 1200 * time.Millisecond, 200 * time.Millisecond
)

// record is the totals of the target at one process.
type record struct {
	key    uint32
	totals totals
	// left is the number of reports in which it is still relayed, and number grows with each change of any record.
	left   int
	number uint64
}

// snapshot is the sum as of a time.
type snapshot struct {
	at  time.Time
	sum cells
}

// evidence is the answers of all nodes to an order.
type evidence struct {
	target map[uint32]*record
	others map[uint32]totals
	// sum holds the sums of target and others, and shifted those as of the beginning of the shift, nil before.
	sum, shifted cells
	// history holds earlier sums within windowTime and one before that.
	history []snapshot
	// changes counts the changes of records.
	changes uint64
}

func newEvidence() evidence {
	return evidence{target: map[uint32]*record{}, others: map[uint32]totals{}, sum: cells{}}
}

// addOwn counts an answer at this node.
func (ev *evidence) addOwn(key uint32, rt routeID, isTarget bool, add counts) {
	if isTarget {
		ev.mergeTarget(key, totals{rt: ev.targetAt(key)[rt].plus(add)})
		ev.target[key].left = 0 // The node's own totals are in each report.
		return
	}
	ev.mergeOthers(key, totals{rt: ev.others[key][rt].plus(add)})
}

// targetAt returns the totals of the target at a process, nil if unknown.
func (ev *evidence) targetAt(key uint32) totals {
	if re := ev.target[key]; re != nil {
		return re.totals
	}
	return nil
}

// mergeTarget takes over totals of the target at a process. It returns true if there are bad answers that were not known.
func (ev *evidence) mergeTarget(key uint32, in totals) bool {
	re := ev.target[key]
	if re == nil {
		if len(ev.target) >= maxProcesses || len(in) == 0 {
			return false
		}
		re = &record{key: key, totals: totals{}}
		ev.target[key] = re
	}
	var grown counts
	for rt, co := range in {
		add, ok := merge(re.totals, rt, co)
		if it, known := ev.sum[rt]; ok && (known || len(ev.sum) < maxRoutes) {
			it.target = it.target.plus(add)
			ev.sum[rt], grown = it, grown.plus(add)
		}
	}
	if grown == (counts{}) {
		return false
	}
	ev.changes++
	re.number = ev.changes
	re.left = maxSends
	return grown.isBad()
}

// mergeOthers takes over totals of the other versions at a process.
func (ev *evidence) mergeOthers(key uint32, in totals) {
	have := ev.others[key]
	if have == nil {
		if len(ev.others) >= maxProcesses {
			return
		}
		have = totals{}
		ev.others[key] = have
	}
	for rt, co := range in {
		add, ok := merge(have, rt, co)
		if it, known := ev.sum[rt]; ok && (known || len(ev.sum) < maxRoutes) {
			it.others = it.others.plus(add)
			ev.sum[rt] = it
		}
	}
}

// merge takes over the later counts of a route and returns by how much they grew.
func merge(have totals, rt routeID, co counts) (counts, bool) {
	was, known := have[rt]
	if !known && len(have) >= maxRoutes {
		return counts{}, false
	}
	now := was.latest(co)
	have[rt] = now
	return now.minus(was), now != was
}

// note keeps the sum as of now, from time to time.
func (ev *evidence) note(now time.Time) {
	if num := len(ev.history); num > 0 && now.Sub(ev.history[num-1].at) < snapshotTime {
		return
	}
	for len(ev.history) > 1 && now.Sub(ev.history[1].at) >= windowTime {
		ev.history = ev.history[1:]
	}
	ev.history = append(slices.Clip(ev.history), snapshot{now, maps.Clone(ev.sum)})
}

// recent returns the counts of about the last windowTime.
func (ev *evidence) recent(now time.Time) cells {
	var from cells
	for _, sn := range ev.history {
		if now.Sub(sn.at) < windowTime {
			break
		}
		from = sn.sum
	}
	return ev.sum.since(from)
}

// pack appends counts to a message: the number of routes, and for each its id, its answers, and the bad ones if there
// are any.
func (to totals) pack(out []byte) []byte {
	routes := slices.Sorted(maps.Keys(to))
	out = binary.AppendUvarint(out, uint64(len(routes)))
	for _, rt := range routes {
		co := to[rt]
		out = binary.BigEndian.AppendUint16(out, uint16(rt))
		if co.failed == 0 && co.slow == 0 {
			out = binary.AppendUvarint(out, uint64(co.answers)<<1)
			continue
		}
		out = binary.AppendUvarint(out, uint64(co.answers)<<1|1)
		out = binary.AppendUvarint(out, uint64(co.failed))
		out = binary.AppendUvarint(out, uint64(co.slow))
	}
	return out
}

// reader reads packed numbers. Once something is missing all reads return 0.
type reader struct {
	raw    []byte
	failed bool
}

func (rd *reader) uvarint() int64 {
	val, num := binary.Uvarint(rd.raw)
	if num <= 0 || val > maxCount {
		rd.raw, rd.failed = nil, true
		return 0
	}
	rd.raw = rd.raw[num:]
	return int64(val)
}

func (rd *reader) uint(size int) (out uint32) {
	if len(rd.raw) < size {
		rd.raw, rd.failed = nil, true
		return 0
	}
	for _, by := range rd.raw[:size] {
		out = out<<8 | uint32(by)
	}
	rd.raw = rd.raw[size:]
	return out
}

// totals reads what pack wrote. ok is false if that is not possible.
func (rd *reader) totals() (out totals, ok bool) {
	num := rd.uvarint()
	if num > maxRoutes {
		return nil, false
	}
	out = make(totals, num)
	for range num {
		rt, val := routeID(rd.uint(2)), rd.uvarint()
		co := counts{answers: val >> 1}
		if val&1 == 1 {
			co.failed, co.slow = rd.uvarint(), rd.uvarint()
		}
		if rd.failed || co.failed+co.slow > co.answers {
			return nil, false
		}
		out[rt] = co
	}
	return out, !rd.failed
}

// relay returns totals of other processes, at most relayBytes: those that were relayed least often first, then the newest.
func (ev *evidence) relay(own uint32) (out []byte) {
	var list []*record
	for key, re := range ev.target {
		if re.left > 0 && key != own {
			list = append(list, re)
		}
	}
	slices.SortFunc(list, func(one, two *record) int {
		return cmp.Or(cmp.Compare(two.left, one.left), cmp.Compare(two.number, one.number))
	})
	for _, re := range list {
		size := len(out)
		out = re.totals.pack(binary.BigEndian.AppendUint32(out, re.key))
		if len(out) > relayBytes {
			return out[:size]
		}
		re.left--
	}
	return out
}
