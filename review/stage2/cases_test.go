//go:build review2

// The cases of the second review, one test each. They are no part of the default run: build first as the deploy file says and with
// review/build-2.sh, then go test -tags review2 ./review/stage2.
package stage2

import (
	"os/exec"
	"path/filepath"
	"testing"
)

func runCase(t *testing.T, number string) {
	out, err := exec.Command(filepath.Join("..", number, "run.sh")).CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

func TestReview2AnswerMadeForAnotherRequest(t *testing.T) { runCase(t, "6") }

func TestReview2FreshReadWaitsForItsConnection(t *testing.T) { runCase(t, "7") }

func TestReview2LateAnswerOfAFormerPrimary(t *testing.T) { runCase(t, "8") }

func TestReview2StatementAtAReplicaThatLags(t *testing.T) { runCase(t, "9") }

func TestReview2FinalAnswerLongPastItsTime(t *testing.T) { runCase(t, "10") }
