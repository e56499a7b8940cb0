package entry

import (
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/notice"
)

// leavingTo and leavingFrom convert the servers that leave to and from their form in reports.
func leavingTo(list []notice.Heard[notice.Leaving]) []pulse.Departure {
	out := make([]pulse.Departure, 0, len(list))
	for _, he := range list {
		out = append(out, pulse.Departure{Server: he.Server, Age: he.Age})
	}
	return out
}

func leavingFrom(list []pulse.Departure) []notice.Heard[notice.Leaving] {
	out := make([]notice.Heard[notice.Leaving], 0, len(list))
	for _, de := range list {
		out = append(out, notice.Heard[notice.Leaving]{Server: de.Server, Value: true, Age: de.Age})
	}
	return out
}
