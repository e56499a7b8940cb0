package daemon

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"lycheepick/internal/fake/stand"
	"lycheepick/internal/node/config"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// TestReplacementOfDrainingServerIsUsable guards against a report of a draining server that
// arrives after its VM id has passed to a new incarnation: that one must not be marked as
// leaving.
func TestReplacementOfDrainingServerIsUsable(t *testing.T) {
	for _, tt := range []struct {
		name string
		role member.Role
		app  *fiber.App
	}{
		{"engine", member.RoleEngine, stand.NewEngine(stand.EngineConfig{Model: "small", Slots: 1}).App()},
		{"plain service", member.RolePlain, stand.NewPlain("small").App()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gm := gomega.NewWithT(t)
			set := config.Default()
			set.VM.ID = "node-1"
			da := New(&set, []byte("secret"), zap.NewNop())
			before := member.Member{
				Instance: units.Instance{VM: "server-1", Incarnation: 1}, Role: tt.role, Target: "small",
				Address: serveDraining(t, tt.app),
			}
			da.observe(before)
			after := before
			after.Incarnation = 2
			da.observe(after)
			da.probe(context.Background(), &before)
			have, _ := da.gossip.View().Get("server-1")
			gm.Expect(have.State).To(gomega.Equal(member.Alive))
			da.probe(context.Background(), &after)
			have, _ = da.gossip.View().Get("server-1")
			gm.Expect(have.State).To(gomega.Equal(member.Leaving), "a report of the new incarnation counts")
		})
	}
}

// serveDraining serves a backend server that is draining until the test ends, and returns its
// address.
func serveDraining(t *testing.T, app *fiber.App) string {
	t.Helper()
	re, err := app.Test(httptest.NewRequest(fiber.MethodPost, "/admin/drain", nil))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	_ = re.Body.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ready := make(chan string, 1)
	go func() { _ = stand.Serve(ctx, app, "127.0.0.1:0", func(addr string) { ready <- addr }) }()
	return <-ready
}
