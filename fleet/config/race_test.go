//go:build race

package config

// raceEnabled reduces the size of the simulations. They run in a single goroutine, and the race detector makes
// them ten times slower; CI also runs them at full size without it.
const raceEnabled = true
