// Package seed fixes the seed of the random tests of a package that imports it, so that
// CI gives the same verdict every time. RAPID_SEED sets another one, RAPID_CHECKS the
// number of schedules of each test.
package seed

import (
	"flag"
	"os"

	// The import makes sure that the flags set below exist.
	_ "pgregory.net/rapid"
)

const defaultSeed = "20261203"

func init() {
	set("rapid.seed", "RAPID_SEED", defaultSeed)
	set("rapid.nofailfile", "", "true")
	set("rapid.checks", "RAPID_CHECKS", "200")
}

func set(name, env, val string) {
	if own := os.Getenv(env); env != "" && own != "" {
		val = own
	}
	if err := flag.Set(name, val); err != nil {
		panic(err)
	}
}
