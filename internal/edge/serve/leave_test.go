package serve_test

import (
	"context"
	"net"
	"testing"
	"time"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/serve"
)

// TestStoppedBeforeItListens guards against a node that is told to stop as it starts and then never ends.
func TestStoppedBeforeItListens(t *testing.T) {
	sv := serve.New(context.Background(), nil, &flow.Flow{}, serve.Limits{Body: 1 << 20, Header: 8 << 10, Connections: 16})
	if err := sv.Shutdown(time.Second); err != nil {
		t.Fatal(err)
	}
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ls.Addr().String()
	_ = ls.Close()
	ended := make(chan error, 1)
	go func() { ended <- sv.Listen(addr) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the server listens though it was stopped")
	}
}
