package flow

import (
	"sync"

	"lycheepick/internal/rule/drain"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// runningSet knows which requests to models run where.
type runningSet struct {
	mu   sync.Mutex
	byVM map[units.VMID]map[*run]struct{}
}

func (rs *runningSet) enter(re *route.Server, ru *run) (leave func()) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.byVM == nil {
		rs.byVM = map[units.VMID]map[*run]struct{}{}
	}
	if rs.byVM[re.VM] == nil {
		rs.byVM[re.VM] = map[*run]struct{}{}
	}
	rs.byVM[re.VM][ru] = struct{}{}
	ru.at.Store(int64(ru.ma.Next()))
	return func() { rs.leave(re.VM, ru) }
}

func (rs *runningSet) leave(id units.VMID, ru *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.byVM[id], ru)
	if len(rs.byVM[id]) == 0 {
		delete(rs.byVM, id)
	}
}

// on returns the runs on a VM.
func (rs *runningSet) on(id units.VMID) []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*run, 0, len(rs.byVM[id]))
	for ru := range rs.byVM[id] {
		out = append(out, ru)
	}
	return out
}

// all returns every run.
func (rs *runningSet) all() []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []*run
	for _, set := range rs.byVM {
		for ru := range set {
			out = append(out, ru)
		}
	}
	return out
}

// give sends an order to a run, unless one is under way.
func (ru *run) give(or order) {
	select {
	case ru.orders <- or:
	default:
	}
}

// describe returns what the reclaim plan needs to know of a run.
func (ru *run) describe(vm units.VMID, dests []*route.Server) drain.Running {
	at := units.Tokens(ru.at.Load())
	out := drain.Running{
		Request: ru.job.ID, VM: vm, Context: ru.job.PromptTokens + at,
		Remaining: max(ru.job.OutputTokens-at, 1), Cached: map[units.VMID]units.Tokens{},
	}
	for _, re := range dests {
		if held := re.Cache.Match(ru.job.Prefix); held > 0 {
			out.Cached[re.VM] = held
		}
	}
	return out
}
