package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"micatrack/internal/capacity"
)

// TestCapacityCommand: a play prints its table or JSON, progress goes to the other stream, the status is 1
// where a figure is over its limit and 2 where a flag is wrong.
func TestCapacityCommand(t *testing.T) {
	calm := []string{"capacity", "-fronts", "6", "-stores", "6", "-zones", "2", "-statements", "0",
		"-start", "5", "-calm", "5"}
	play := func(more ...string) (status int, out, errs string) {
		var o, e bytes.Buffer
		status = run(append(append([]string(nil), calm...), more...), &o, &e)
		return status, o.String(), e.String()
	}
	status, out, errs := play("-json")
	var result capacity.Result
	if err := json.Unmarshal([]byte(out), &result); err != nil || status != 0 ||
		result.Find("members.alive.least") != 6 {
		t.Errorf("status %d, %v, %s", status, err, errs)
	}
	if !strings.Contains(errs, "second 1 of 5") {
		t.Errorf("no progress: %q", errs)
	}
	status, out, errs = play("-event", "day", "-event-time", "10", "-recovery", "1")
	if status != 1 || !strings.Contains(out, "OVER") || !strings.Contains(errs, errOverLimit.Error()) {
		t.Errorf("640 restarts in 10 s: status %d, %s\n%s", status, errs, out)
	}
	for _, wrong := range [][]string{{"-event", "flood"}, {"-slopes", "users"}, {"-regions", "9"},
		{"-fronts", "0"}} {
		if status, _, errs := play(wrong...); status != 2 || !strings.Contains(errs, wrong[0][1:]) {
			t.Errorf("%v: status %d, %s", wrong, status, errs)
		}
	}
}
