package proof_test

import (
	"os"
	"strconv"
	"strings"
)

// nodeBuild returns the folder of the programs with index num. NODE_BUILDS lists folders
// separated by colons; tools/builds.sh sets it to test an earlier build beside a later one.
// Without it there is one folder, of the programs that the tests built.
func nodeBuild(num int) string {
	builds := os.Getenv("NODE_BUILDS")
	if builds == "" {
		return programs
	}
	list := strings.Split(builds, ":")
	return list[num%len(list)]
}

// build returns the folder of the programs for the next start of a process. Nodes take the
// builds in turn, and each takes the next one when it starts again, so that it reads what
// the other build recorded. Stand-ins are of the build under test.
func (pr *procs) build(name string) string {
	num, err := strconv.Atoi(strings.TrimPrefix(name, "node-"))
	if err != nil {
		return programs
	}
	pr.starts[name]++
	return nodeBuild(num + pr.starts[name] - 2)
}
