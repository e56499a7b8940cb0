// Command measure runs the project's measurements and prints each as a Markdown table.
package main

import "lycheepick/internal/node/cline"

const usage = `measure runs the project's measurements. It is for developers only.

usage: measure COMMAND [OPTIONS]

  crowd    the decisions of a whole fleet of nodes under the worst loads
  route    routing policies on the same workloads
  admit    goodput under overload
  limits   use of a limit under skewed arrivals
  retry    amplification of load by retries
  drain    tokens recomputed when VMs are reclaimed
  gossip   traffic and detection time of the membership
  keys     appends and latency of idempotency keys
  path     what a node adds to a request (needs a running node and engine)

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
