package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// versionServers is an exchange whose servers break off each stream after one event, cuts times.
type versionServers struct {
	versions []units.SoftwareVersion
	cuts     int
}

// Send implements relay.Exchange.
func (vs *versionServers) Send(_ context.Context, at *relay.Attempt) (*relay.Reply, error) {
	vs.versions = append(vs.versions, at.Server.Version)
	body := "id: " + string(rune('3'+len(vs.versions))) + "\n\n" // Callers resume after event 3.
	if len(vs.versions) <= vs.cuts {
		body += "cut"
	}
	hd := &fasthttp.ResponseHeader{}
	hd.SetNoDefaultContentType(true)
	hd.SetStatusCode(fasthttp.StatusOK)
	return &relay.Reply{Status: fasthttp.StatusOK, Authentic: true, Head: hd, SentAt: time.Now(), Body: io.MultiReader(strings.NewReader(body)), Close: func() {}}, nil
}

// versionRelay returns a relay with servers of these software versions.
func versionRelay(versions ...units.SoftwareVersion) *relay.Relay {
	rl := newRelay(0)
	rl.SetServers(time.Now(), versionList(versions...))
	rl.SetSynced(time.Now())
	return rl
}

func versionList(versions ...units.SoftwareVersion) (list []server.Server) {
	for num, version := range versions {
		list = append(list, server.Server{ID: units.VMID(rune('a' + num)), Status: server.Status{Service: "app", Zone: "a", Slots: 8, Version: version}})
	}
	return list
}

// TestStreamKeepsItsVersion guards against streams that go on at another software version, and
// against streams that don't go on though a server of their version serves.
func TestStreamKeepsItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers []units.SoftwareVersion
		// resumes and lastEvent are those of the caller, and known the version that began the stream,
		// if it is.
		resumes, lastEvent string
		known              units.SoftwareVersion
		listAge            time.Duration
		cuts               int
		// want are the versions to which the request is sent.
		want []units.SoftwareVersion
	}{
		{"taken up by this node", []units.SoftwareVersion{"1", "2", "1"}, "", "", "", 0, 1, []units.SoftwareVersion{"1", "1"}},
		{"taken up by this node, no other server of the version", []units.SoftwareVersion{"1", "2", "2"}, "", "", "", 0, 1, []units.SoftwareVersion{"1"}},
		{"taken up by the caller", []units.SoftwareVersion{"1", "2", "1"}, "first", "3", "2", 0, 0, []units.SoftwareVersion{"2"}},
		{"taken up by the caller, then by this node", []units.SoftwareVersion{"1", "2", "2"}, "first", "3", "2", 0, 1, []units.SoftwareVersion{"2", "2"}},
		{"no server of the version", []units.SoftwareVersion{"1", "1"}, "first", "3", "2", 0, 0, nil},
		{"an unknown beginning and two versions", []units.SoftwareVersion{"1", "2"}, "first", "3", "", 0, 0, nil},
		{"an unknown beginning and one version", []units.SoftwareVersion{"1", "1"}, "first", "3", "", 0, 0, []units.SoftwareVersion{"1"}},
		{"an unknown beginning and an old list of servers", []units.SoftwareVersion{"1", "1"}, "first", "3", "", 5 * time.Second, 0, nil},
		{"a caller that doesn't name the beginning", []units.SoftwareVersion{"1", "1"}, "", "3", "", 5 * time.Second, 0, []units.SoftwareVersion{"1"}},
		{"the same with two versions", []units.SoftwareVersion{"1", "2"}, "", "3", "", 0, 0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, ex, si := versionRelay(tt.servers...), &versionServers{cuts: tt.cuts}, &sink{}
			if tt.listAge > 0 {
				rl.SetSynced(time.Now().Add(-tt.listAge))
			}
			if tt.known != "" {
				rl.Origins.Record(origin.Record{ID: "first", Origin: origin.Origin{Service: "app", Version: tt.known}}, false)
			}
			rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable, TrafficSplit: []routes.WeightedService{{Service: "app", Weight: 1}}})
			rq.Customer, rq.Resumes, rq.LastEvent = nil, units.RequestID(tt.resumes), tt.lastEvent
			rl.Serve(context.Background(), rq, ex, si)
			if have, want := join(ex.versions), join(tt.want); have != want {
				t.Errorf("sent to versions %s, want %s", have, want)
			}
			if len(tt.want) == 0 && (si.status != fasthttp.StatusServiceUnavailable || si.after <= 0) {
				t.Errorf("have status %d, retry after %s, want 503 with a time to come back", si.status, si.after)
			}
		})
	}
}

func join(list []units.SoftwareVersion) string {
	out := make([]string, len(list))
	for idx, version := range list {
		out[idx] = string(version)
	}
	return strings.Join(out, " ")
}

// TestOriginIsRecorded checks that the first event of a stream records its version under the request
// that brought it, also if another request took the stream up since.
func TestOriginIsRecorded(t *testing.T) {
	rl, si := versionRelay("1"), &sink{}
	rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable})
	rq.Customer = nil
	rl.Serve(context.Background(), rq, &versionServers{}, si)
	og, ok, _ := rl.Origins.Find(context.Background(), rq.ID)
	if want := (origin.Origin{Service: "app", Version: "1"}); !ok || og != want {
		t.Errorf("have origin %v, want %v", og, want)
	}
}

// TestVersionsOfPeersCount guards against a node that has just started, sees servers of one software
// version alone, and takes up a stream that another version began.
func TestVersionsOfPeersCount(t *testing.T) {
	rl, ex, si := versionRelay("1", "1"), &versionServers{}, &sink{}
	rl.ApplyPeerReport(time.Now(), time.Now(), "peer", 1, relay.LoadReport{Versions: map[units.TargetID]origin.Ages{"app": {"1": 0, "2": time.Minute}}})
	rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable})
	rq.Customer, rq.Resumes, rq.LastEvent = nil, "first", "3"
	rl.Serve(context.Background(), rq, ex, si)
	if len(ex.versions) > 0 || si.status != fasthttp.StatusServiceUnavailable {
		t.Errorf("sent to versions %s, status %d, want a refusal", join(ex.versions), si.status)
	}
}

// TestUnchangedListKeepsItsVersion guards against a version that is forgotten as the list of servers
// doesn't change for a long time.
func TestUnchangedListKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rl, ex, si := versionRelay("1", "1"), &versionServers{}, &sink{}
		time.Sleep(time.Hour)
		rl.SetSynced(time.Now())
		rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable})
		rq.Customer, rq.Resumes, rq.LastEvent = nil, "first", "3"
		rl.Serve(context.Background(), rq, ex, si)
		if join(ex.versions) != "1" {
			t.Errorf("sent to versions %q, status %d, want version 1", join(ex.versions), si.status)
		}
	})
}

// silentOrigins are origins of nodes that don't answer.
type silentOrigins struct{}

func (silentOrigins) Record(origin.Record, bool) {}

func (silentOrigins) Find(context.Context, units.RequestID) (og origin.Origin, found, answered bool) {
	return og, false, false
}

func (silentOrigins) Recall(context.Context, units.RequestID) (og origin.Origin, found bool) {
	return og, false
}

// archivedOrigins are origins that no node knows any more, and of which one is archived.
type archivedOrigins struct {
	silentOrigins
	known units.RequestID
}

func (archivedOrigins) Find(context.Context, units.RequestID) (og origin.Origin, found, answered bool) {
	return og, false, true
}

func (ao archivedOrigins) Recall(_ context.Context, id units.RequestID) (origin.Origin, bool) {
	return origin.Origin{Service: "app", Version: "2"}, id == ao.known
}

// TestStreamOfArchivedOriginGoesOn guards against a stream that is refused since no node remembers where it
// began, though the archive does.
func TestStreamOfArchivedOriginGoesOn(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers []units.SoftwareVersion
		known   units.RequestID
		want    string
	}{
		{"archived", []units.SoftwareVersion{"1", "2"}, "first", "2"},
		{"not archived", []units.SoftwareVersion{"1", "2"}, "other", ""},
		{"archived, and its version has left", []units.SoftwareVersion{"1", "3"}, "first", ""},
		{"one version", []units.SoftwareVersion{"1", "1"}, "other", "1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, ex, si := versionRelay(tt.servers...), &versionServers{}, &sink{}
			rl.Origins = archivedOrigins{known: tt.known}
			rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable, TrafficSplit: []routes.WeightedService{{Service: "app", Weight: 1}}})
			rq.Customer, rq.Resumes, rq.LastEvent = nil, "first", "3"
			rl.Serve(context.Background(), rq, ex, si)
			if have := join(ex.versions); have != tt.want {
				t.Errorf("sent to versions %q, status %d, want %q", have, si.status, tt.want)
			}
		})
	}
}

// TestStreamGoesOnByOldList guards against a stream that a node which reaches no other takes up by a list
// of servers from before the stream: a version that has joined since is not in it.
func TestStreamGoesOnByOldList(t *testing.T) {
	for _, tt := range []struct {
		name string
		// listAge is the age of the list when the request comes, and syncedAfter the time after which
		// the next one comes, 0 for never. joins is the version of a server that has joined meanwhile.
		listAge, syncedAfter time.Duration
		joins                units.SoftwareVersion
		want                 string
	}{
		{"cut off a tenth of a second ago", 100 * time.Millisecond, 0, "", ""},
		{"cut off for 2.5 s", 2500 * time.Millisecond, 0, "", ""},
		{"the next list comes", 500 * time.Millisecond, 400 * time.Millisecond, "", "1"},
		{"the next list has another version", 500 * time.Millisecond, 400 * time.Millisecond, "2", ""},
		{"the next list comes too late", 500 * time.Millisecond, 3 * time.Second, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, ex, si := versionRelay("1", "1"), &versionServers{}, &sink{}
				rl.Origins = silentOrigins{}
				rl.SetSynced(time.Now().Add(-tt.listAge))
				if tt.syncedAfter > 0 {
					time.AfterFunc(tt.syncedAfter, func() {
						if tt.joins != "" {
							rl.SetServers(time.Now(), append(versionList("1", "1"), versionList("", "", tt.joins)[2]))
						}
						rl.SetSynced(time.Now())
					})
				}
				rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable})
				rq.Customer, rq.Resumes, rq.LastEvent = nil, "first", "3"
				rq.Arrived = time.Now()
				rq.Deadline = rq.Arrived.Add(6 * time.Second)
				rl.Serve(context.Background(), rq, ex, si)
				if have := join(ex.versions); have != tt.want {
					t.Errorf("sent to versions %q, want %q", have, tt.want)
				}
				if tt.want == "" && (si.status != fasthttp.StatusServiceUnavailable || si.after <= 0) {
					t.Errorf("have status %d, retry after %s, want 503 with a time to come back", si.status, si.after)
				}
				if took := time.Since(rq.Arrived); took > 2*time.Second {
					t.Errorf("took %s, want 2 s at most", took)
				}
				time.Sleep(4 * time.Second)
			})
		})
	}
}
