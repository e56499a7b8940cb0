// Package ports hands out local addresses for tests. A test that lets the kernel pick a port, closes it and gives its
// number to a process may lose it to another listener or an outgoing connection before the process listens. So each
// test run has a range of its own, below those from which the kernel assigns ports.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const firstPort, ranges, portsPerRange = 20000, 12, 1000

// Range is a range of ports that no other test run has. Its methods may be called concurrently.
type Range struct {
	// claim listens on the first port for as long as the range is in use.
	claim net.Listener
	first int
	mu    sync.Mutex
	// last is the offset of the port handed out last.
	last int
}

// Claim claims a range until Release is called or the process ends. It panics if other test runs have all of them.
func Claim() *Range {
	for num := range ranges {
		first := firstPort + (os.Getpid()+num)%ranges*portsPerRange
		if ls, err := net.Listen("tcp", local(first)); err == nil {
			return &Range{claim: ls, first: first}
		}
	}
	panic("all ranges of ports are taken")
}

// Release ends the claim.
func (ra *Range) Release() { _ = ra.claim.Close() }

// Addr returns an address that nothing listens on. It is handed out again after all others of the range.
func (ra *Range) Addr() string {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	for {
		ra.last = ra.last%(portsPerRange-1) + 1
		addr := local(ra.first + ra.last)
		if ls, err := net.Listen("tcp", addr); err == nil {
			_ = ls.Close()
			return addr
		}
	}
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Addr returns an address of this test run's range.
func Addr() string { return own().Addr() }

var own = sync.OnceValue(Claim)
