package place_test

import (
	"testing"
	"time"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/state/server"
)

// TestSlowServers checks which servers that have not answered in time get requests. They may be slow, or gone.
func TestSlowServers(t *testing.T) {
	const ms = time.Millisecond
	at := func(num int) time.Time { return start.Add(time.Duration(num) * ms) }
	rq := &place.Request{Zone: "a"}
	// send sends a request to a server at a time and lets its answer begin so much later, 0 for never.
	send := func(fl *place.Fleet, list []server.Server, num, from, takes int) {
		ti := fl.Dispatch(at(from), rq, &place.Choice{Server: list[num]})
		if takes > 0 {
			fl.FirstToken(at(from+takes), list[num].ID, ti)
			fl.End(at(from+takes), list[num].ID, ti, place.Succeeded)
		}
	}
	for _, tt := range []struct {
		name    string
		servers int
		play    func(fl *place.Fleet, list []server.Server)
		at      int
		want    string // "" for none.
	}{
		{"the first of all take long", 1, func(fl *place.Fleet, list []server.Server) { send(fl, list, 0, 0, 0) }, 1500, "s-0"},
		{"beside another one", 2, func(fl *place.Fleet, list []server.Server) { send(fl, list, 0, 0, 0) }, 1500, "s-1"},
		{"a server of the service has answered", 2, func(fl *place.Fleet, list []server.Server) {
			send(fl, list, 0, 0, 10)
			send(fl, list, 0, 20, 0)
			send(fl, list, 1, 20, 0)
		}, 1500, ""},
		{"an answer ends it", 1, func(fl *place.Fleet, list []server.Server) {
			send(fl, list, 0, 0, 10)
			send(fl, list, 0, 20, 0)
			fl.Usable(at(1000))
			send(fl, list, 0, 1000, 100)
		}, 1200, "s-0"},
		{"it usually takes long", 1, func(fl *place.Fleet, list []server.Server) {
			send(fl, list, 0, 0, 1500)
			send(fl, list, 0, 2000, 0)
		}, 4500, "s-0"},
		{"it usually takes long, and now longer", 1, func(fl *place.Fleet, list []server.Server) {
			send(fl, list, 0, 0, 1500)
			send(fl, list, 0, 2000, 0)
		}, 5200, ""},
		{"all time out before any answer", 1, func(fl *place.Fleet, list []server.Server) {
			for num := range 5 {
				ti := fl.Dispatch(at(num), rq, &place.Choice{Server: list[0]})
				fl.End(at(num+600), list[0].ID, ti, place.Silent)
			}
		}, 700, "s-0"},
		{"all time out after an answer", 1, func(fl *place.Fleet, list []server.Server) {
			send(fl, list, 0, 0, 10)
			for num := range 5 {
				ti := fl.Dispatch(at(20+num), rq, &place.Choice{Server: list[0]})
				fl.End(at(620+num), list[0].ID, ti, place.Silent)
			}
		}, 700, ""},
	} {
		fl, list := place.NewFleet(), servers(tt.servers)
		fl.SetServers(start, list)
		tt.play(fl, list)
		ch, ok := fl.Choose(at(tt.at), rq)
		if have := string(ch.Server.ID); have != tt.want || ok != (tt.want != "") {
			t.Errorf("%s: have %q, want %q", tt.name, have, tt.want)
		}
	}
}
