// Command standin runs the fake servers and the load generator that tests, the demo and
// measurements use.
package main

import "lycheepick/internal/node/cline"

const usage = `standin runs fakes of the services around lycheepick. It is for tests only.

usage: standin COMMAND [OPTIONS]

  engine    a model engine
  plain     a plain service
  log       the platform's log service
  cloud     the platform's VM list and cloud API
  balancer  the platform's load balancer
  load      an open-loop load generator

"standin COMMAND --help" explains a command.
`

type args struct {
	Engine   *engineCmd   `arg:"subcommand:engine"`
	Plain    *plainCmd    `arg:"subcommand:plain"`
	Log      *logCmd      `arg:"subcommand:log"`
	Cloud    *cloudCmd    `arg:"subcommand:cloud"`
	Balancer *balancerCmd `arg:"subcommand:balancer"`
	Load     *loadCmd     `arg:"subcommand:load"`
}

func main() {
	pr := cline.Program{Name: "standin", Usage: usage}
	pr.Main(&args{})
}
