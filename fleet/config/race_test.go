//go:build race

package config

// raced: these tests have one goroutine, and the detector makes them ten times as slow; CI plays them whole
// without it.
const raced = true
