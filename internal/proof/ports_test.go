package proof_test

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// nextPort is the last port handed out. Ports start below the range from which the kernel
// assigns ports to outgoing connections.
var nextPort atomic.Int32

func init() {
	const first, slots, portsPerSlot = 20000, 40, 300
	nextPort.Store(int32(first + os.Getpid()%slots*portsPerSlot))
}

// port is a reserved port of 127.0.0.1. Its socket is bound, so that no other test run gets the
// port, but doesn't listen, so that connections are refused.
type port struct {
	num    int
	socket int
}

// reservePort reserves the next port that is free.
func reservePort() (*port, error) {
	for {
		po := &port{num: int(nextPort.Add(1))}
		var err error
		if po.socket, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err != nil {
			return nil, err
		}
		err = unix.Bind(po.socket, &unix.SockaddrInet4{Port: po.num, Addr: [4]byte{127, 0, 0, 1}})
		if err == nil {
			return po, nil
		}
		_ = unix.Close(po.socket)
		if !errors.Is(err, unix.EADDRINUSE) {
			return nil, err
		}
	}
}

// addr returns the address of a process; the first call reserves a port for it.
func (pr *procs) addr(name string) string {
	if pr.addrs[name] == "" {
		po, err := reservePort()
		if err != nil {
			panic(err)
		}
		pr.ports[name] = po
		pr.addrs[name] = fmt.Sprintf("127.0.0.1:%d", po.num)
	}
	return pr.addrs[name]
}

// release frees the port of a process that is about to listen on it.
func (pr *procs) release(name string) {
	if po := pr.ports[name]; po != nil {
		_ = unix.Close(po.socket)
		delete(pr.ports, name)
	}
}

// TestRunsDontSharePorts guards against two test runs at once that pick the same port before the
// processes of either listen on it.
func TestRunsDontSharePorts(t *testing.T) {
	next := nextPort.Load()
	one := &procs{addrs: map[string]string{}, ports: map[string]*port{}}
	two := &procs{addrs: map[string]string{}, ports: map[string]*port{}}
	addr := one.addr("log")
	nextPort.Store(next)
	if other := two.addr("log"); other == addr {
		t.Errorf("both runs have %s", addr)
	}
	one.release("log")
	two.release("log")
}
