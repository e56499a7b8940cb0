//go:build race

package crowd_test

// The model runs in one goroutine, so large fleets show the race detector nothing more.
func init() { largestFleet = 8 }
