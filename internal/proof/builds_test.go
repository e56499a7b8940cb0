package proof_test

import (
	"os"
	"strconv"
	"strings"
)

// nodeBuildDir returns the folder with the binaries of build num. NODE_BUILDS is a
// colon-separated list of such folders, which tools/builds.sh sets to test an earlier build
// together with a later one. Without it there is one build, the one that the tests made.
func nodeBuildDir(num int) string {
	builds := os.Getenv("NODE_BUILDS")
	if builds == "" {
		return binDir
	}
	list := strings.Split(builds, ":")
	return list[num%len(list)]
}

// buildDir returns the folder of binaries for the next start of a process. Nodes alternate
// between the builds, and each switches to the next one when it restarts, so that it reads
// records that the other build wrote. Fakes are always of the build under test.
func (pr *procs) buildDir(name string) string {
	num, err := strconv.Atoi(strings.TrimPrefix(name, "node-"))
	if err != nil {
		return binDir
	}
	pr.starts[name]++
	return nodeBuildDir(num + pr.starts[name] - 2)
}
