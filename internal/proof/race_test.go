//go:build race

package proof_test

// Builds the binaries with the race detector if the tests run with it.
func init() { buildFlags = append(buildFlags, "-race") }
