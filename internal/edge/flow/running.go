package flow

import (
	"sync"

	"lycheepick/internal/rule/drain"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// runningSet indexes the model requests in progress by the VM of their server.
type runningSet struct {
	mu   sync.Mutex
	byVM map[units.VMID]map[*run]struct{}
}

func (rs *runningSet) add(re *route.Server, ru *run) (leave func()) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.byVM == nil {
		rs.byVM = map[units.VMID]map[*run]struct{}{}
	}
	if rs.byVM[re.VM] == nil {
		rs.byVM[re.VM] = map[*run]struct{}{}
	}
	rs.byVM[re.VM][ru] = struct{}{}
	ru.delivered.Store(int64(ru.machine.NextToken()))
	return func() { rs.remove(re.VM, ru) }
}

func (rs *runningSet) remove(id units.VMID, ru *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.byVM[id], ru)
	if len(rs.byVM[id]) == 0 {
		delete(rs.byVM, id)
	}
}

// onVM returns the runs on a VM, in no particular order.
func (rs *runningSet) onVM(id units.VMID) []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := make([]*run, 0, len(rs.byVM[id]))
	for ru := range rs.byVM[id] {
		out = append(out, ru)
	}
	return out
}

// sendOrder sends an order to a run. It is dropped if one is pending already.
func (ru *run) sendOrder(or moveOrder) {
	select {
	case ru.orders <- or:
	default:
	}
}

// drainInput returns the reclaim plan's input for a run.
func (ru *run) drainInput(vm units.VMID, dests []*route.Server) drain.Running {
	at := units.Tokens(ru.delivered.Load())
	out := drain.Running{
		Request: ru.request.ID, VM: vm, Context: ru.request.PromptTokens + at,
		Remaining: max(ru.request.OutputTokens-at, 1), Cached: map[units.VMID]units.Tokens{},
	}
	for _, re := range dests {
		if held := re.Cache.Match(ru.request.Prefix); held > 0 {
			out.Cached[re.VM] = held
		}
	}
	return out
}
