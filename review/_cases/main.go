// Command cases runs the cases of the review. Each starts nodes as the deploy file says, before stand-ins of the
// platform, its replicas and its clients, and writes what was sent, answered and run to a file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, out string) int {
	cases := map[string]func(*world, bool) (int, error){"bodies": bodies, "files": files, "usage": usage, "uploads": uploads, "versions": versions}
	do := cases[name]
	if do == nil {
		fmt.Fprintln(os.Stderr, "cases: there is no case", name)
		return cannotRun
	}
	wo, err := newWorld(root, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return cannotRun
	}
	defer wo.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		wo.close()
		os.Exit(cannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	wo.note("case %s, with the disruption: %t", name, trouble)
	verdict, err := do(wo, trouble)
	if err != nil {
		wo.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "cases:", err)
		return cannotRun
	}
	wo.note("verdict: %d", verdict)
	return verdict
}
