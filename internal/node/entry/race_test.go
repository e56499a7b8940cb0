//go:build race

package entry

// The model runs in one goroutine, so large fleets show the race detector nothing more.
func init() { largestFleet = 8 }
