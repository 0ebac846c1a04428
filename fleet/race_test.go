//go:build race

package fleet

// raceDetector says that the race detector is on. These tests use a single goroutine, and the detector makes them ten
// times as slow, so the long ones are shortened or skipped; CI runs them in full without it.
const raceDetector = true
