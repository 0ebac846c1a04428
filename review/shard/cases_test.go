//go:build review

package main

import (
	"os/exec"
	"testing"
)

// runCase starts the script of a case and fails as the script does.
func runCase(t *testing.T, folder string) {
	if out, err := exec.Command("bash", "../"+folder+"/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

func TestReviewWriteInFlightTurnedBack(t *testing.T) { runCase(t, "1") }
func TestReviewCommandsAfterARest(t *testing.T)      { runCase(t, "2") }
func TestReviewSessionReadOverBolt(t *testing.T)     { runCase(t, "3") }
