//go:build race

package proof_test

// The programs are built with the race detector if the tests are.
func init() { buildFlags = append(buildFlags, "-race") }
