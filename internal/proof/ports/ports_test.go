package ports_test

import (
	"net"
	"testing"

	"lycheepick/internal/proof/ports"
)

// TestRunsDontSharePorts guards against two test runs at once that pick the same port before the processes of either
// listen on it.
func TestRunsDontSharePorts(t *testing.T) {
	one, two := ports.Claim(), ports.Claim()
	defer one.Release()
	defer two.Release()
	seen := map[string]bool{}
	for range 500 {
		for _, ra := range []*ports.Range{one, two} {
			addr := ra.Addr()
			if seen[addr] {
				t.Errorf("%s was handed out twice", addr)
			}
			seen[addr] = true
		}
	}
}

// TestTakenPortIsNotHandedOut guards against an address on which something listens.
func TestTakenPortIsNotHandedOut(t *testing.T) {
	ra := ports.Claim()
	defer ra.Release()
	addr := ra.Addr()
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	for range 2000 {
		if again := ra.Addr(); again == addr {
			t.Fatalf("%s is taken and was handed out", again)
		}
	}
}
