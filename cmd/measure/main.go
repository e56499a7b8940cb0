// Command measure runs the project's simulations and benchmarks and prints the results of
// each as a Markdown table.
package main

import "lycheepick/internal/node/cline"

const usage = `measure runs simulations and benchmarks of lycheepick. It is for developers only.

usage: measure COMMAND [OPTIONS]

  crowd    decisions of a whole fleet of nodes under the heaviest loads
  route    routing policies on the same workloads
  admit    goodput under overload
  limits   use of a limit under skewed arrivals
  retry    amplification of load by retries
  drain    tokens recomputed when VMs are reclaimed
  gossip   traffic and detection time of the membership protocol
  keys     log appends and latency of idempotency keys
  path     latency and allocations that a node adds (needs a running node and engine)

"measure COMMAND --help" explains a command. All take --seed N.
`

type args struct {
	Crowd  *crowdCmd  `arg:"subcommand:crowd"`
	Route  *routeCmd  `arg:"subcommand:route"`
	Admit  *admitCmd  `arg:"subcommand:admit"`
	Limits *limitsCmd `arg:"subcommand:limits"`
	Retry  *retryCmd  `arg:"subcommand:retry"`
	Drain  *drainCmd  `arg:"subcommand:drain"`
	Gossip *gossipCmd `arg:"subcommand:gossip"`
	Keys   *keysCmd   `arg:"subcommand:keys"`
	Path   *pathCmd   `arg:"subcommand:path"`
}

func main() {
	pr := cline.Program{Name: "measure", Usage: usage}
	pr.Main(&args{})
}
