// Package seed fixes the seed of the property-based tests in packages that import it, so
// that CI runs are reproducible. The environment variable RAPID_SEED overrides the seed,
// RAPID_CHECKS the number of random inputs for each test.
package seed

import (
	"flag"
	"os"

	// Imported for its flags, which init sets.
	_ "pgregory.net/rapid"
)

const defaultSeed = "20261203"

func init() {
	setFlag("rapid.seed", "RAPID_SEED", defaultSeed)
	setFlag("rapid.nofailfile", "", "true")
	setFlag("rapid.checks", "RAPID_CHECKS", "200")
}

// setFlag sets a flag of rapid to the value of the environment variable env, or to val if
// env is empty or unset.
func setFlag(name, env, val string) {
	if fromEnv := os.Getenv(env); env != "" && fromEnv != "" {
		val = fromEnv
	}
	if err := flag.Set(name, val); err != nil {
		panic(err)
	}
}
