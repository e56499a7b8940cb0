package entry

import (
	"time"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/pace"
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

// restingTo and restingFrom convert the servers that refuse to and from their form in reports.
func restingTo(list []notice.Heard[notice.Rest]) []pulse.Resting {
	out := make([]pulse.Resting, 0, len(list))
	for _, he := range list {
		out = append(out, pulse.Resting{Server: he.Server, Rest: he.Value.For.Round(time.Millisecond), Named: he.Value.Named, Age: he.Age.Round(time.Millisecond)})
	}
	return out
}

func restingFrom(list []pulse.Resting) []notice.Heard[notice.Rest] {
	out := make([]notice.Heard[notice.Rest], 0, len(list))
	for _, re := range list {
		out = append(out, notice.Heard[notice.Rest]{Server: re.Server, Value: notice.Rest{For: max(0, re.Rest), Named: re.Named}, Age: re.Age})
	}
	return out
}

// loadsTo and loadsFrom convert observations of servers to and from their form in reports. A part that is missing has no
// slots, or a wait age of 0; ages are rounded up, so that no observation looks newer than it is.
func loadsTo(list []pace.Observation) []pulse.ServerLoad {
	out := make([]pulse.ServerLoad, 0, len(list))
	for _, ob := range list {
		sl := pulse.ServerLoad{Server: ob.Server}
		if ob.LoadAge < pace.Expiry {
			sl.Running, sl.Waiting, sl.Slots, sl.Pace, sl.AgeMS = ob.Running, ob.Waiting, ob.Slots, ob.Pace, ob.LoadAge.Milliseconds()+1
		}
		if ob.WaitAge < pace.Expiry {
			sl.WaitMS, sl.WaitAgeMS = ob.Wait.Milliseconds(), ob.WaitAge.Milliseconds()+1
		}
		out = append(out, sl)
	}
	return out
}

func loadsFrom(list []pulse.ServerLoad) []pace.Observation {
	out := make([]pace.Observation, 0, len(list))
	for _, sl := range list {
		ob := pace.Observation{Server: sl.Server, LoadAge: pace.Expiry, WaitAge: pace.Expiry}
		if sl.Slots > 0 {
			ob.Load = pace.Load{Running: sl.Running, Waiting: sl.Waiting, Slots: sl.Slots, Pace: sl.Pace}
			ob.LoadAge = time.Duration(sl.AgeMS) * time.Millisecond
		}
		if sl.WaitAgeMS > 0 {
			ob.Wait, ob.WaitAge = time.Duration(sl.WaitMS)*time.Millisecond, time.Duration(sl.WaitAgeMS)*time.Millisecond
		}
		out = append(out, ob)
	}
	return out
}
