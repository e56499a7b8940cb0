package proof_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Each test run has a range of ports of its own, below the range from which the kernel assigns
// ports to outgoing connections.
const firstPort, portRanges, portsPerRange = 20000, 40, 300

// portRange keeps the range of this run claimed.
var portRange net.Listener

// nextPort is the last port handed out.
var nextPort atomic.Int32

func init() {
	var port int32
	port, portRange = claimPorts()
	nextPort.Store(port)
}

// claimPorts claims a range of ports that no other test run has, by listening on its first port,
// which it returns. The range is free again once the listener is closed or the process ends.
func claimPorts() (int32, net.Listener) {
	for num := range portRanges {
		port := firstPort + (os.Getpid()+num)%portRanges*portsPerRange
		if ls, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return int32(port), ls
		}
	}
	panic("all ranges of ports are taken")
}

// addr returns the address of a process; the first call picks a free port for it.
func (pr *procs) addr(name string) string {
	for pr.addrs[name] == "" {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if ls, err := net.Listen("tcp", addr); err == nil {
			pr.addrs[name] = addr
			_ = ls.Close()
		}
	}
	return pr.addrs[name]
}

// TestRunsDontSharePorts guards against two test runs at once that pick the same port before the
// processes of either listen on it.
func TestRunsDontSharePorts(t *testing.T) {
	one, oneRange := claimPorts()
	two, twoRange := claimPorts()
	if one == two {
		t.Errorf("both runs begin at port %d", one)
	}
	_, _ = oneRange.Close(), twoRange.Close()
}
