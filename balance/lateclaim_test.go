package balance

import "testing"

// TestLateClaimOfAFormerPrimary guards against taking a store for the primary because of an answer that it made before
// it handed over and that came late (review/8): a newer claim of another store, or its own denial, holds against that.
func TestLateClaimOfAFormerPrimary(t *testing.T) {
	const made, handedOver = 750, 800 // after the write was sent
	for _, c := range []struct {
		name   string
		events []string
	}{
		{"the new primary is known", []string{"new primary", "late answer"}},
		{"the new primary is known, and the store denies its role", []string{"new primary", "late answer", "probe denies"}},
		{"the store denies its role to a probe behind the answer", []string{"late answer", "probe denies"}},
		{"the store denies its role to a probe before the answer is read", []string{"probe denies", "late answer"}},
		{"it denies it in an answer before that", []string{"answer denies", "late answer"}},
		{"it denies it in an answer behind that", []string{"late answer", "answer denies"}},
		{"it denies it, and the answer tells no position", []string{"answer denies", "late answer without position"}},
		{"a probe's claim of before comes behind them", []string{"answer denies", "late answer", "late claim"}},
	} {
		front := threeStores(t, testSettings())
		front.submit(newRequest("w", "once"))
		front.submit(newRequest("f", "fresh"))
		sentAt := front.now
		front.advance(3000)
		for _, event := range c.events {
			front.advance(10)
			switch event {
			case "new primary":
				front.report(2, front.now, Primary)
			case "late answer":
				front.finish("w", 0, Result{Note: Report{Position: sentAt + made, Role: Primary}})
			case "late answer without position":
				front.finish("w", 0, Result{Note: Report{Role: Primary}})
			case "late claim":
				front.report(1, sentAt+made, Primary)
			case "probe denies":
				front.report(1, sentAt+handedOver, Replica)
			case "answer denies":
				front.finish("f", 0, Result{Note: Report{Position: sentAt + handedOver, Role: Replica}})
			}
		}
		front.advance(1300)
		front.submit(newRequest("r", "fresh"))
		if tracked := front.requests["r"]; len(tracked.attempts) > 0 && front.lastStore(t, "r") == 1 {
			t.Errorf("%s: a read that must see all writes is sent to the former primary", c.name)
		}
	}
}

// TestConfirmedByAWriteOfBefore guards against relying on a store's claim because it served a write that was sent before
// it denied its role.
func TestConfirmedByAWriteOfBefore(t *testing.T) {
	front := threeStores(t, testSettings())
	front.submit(newRequest("w", "once"))
	front.submit(newRequest("f", "fresh"))
	front.advance(100)
	front.finish("f", 0, Result{Note: Report{Position: front.now - 10, Role: Replica}})
	front.advance(10)
	front.finish("w", 0, Result{Note: Report{Position: front.now - 100, Role: Primary}})
	front.advance(10)
	front.report(1, front.now, Primary)
	front.submit(newRequest("r", "fresh"))
	if tracked := front.requests["r"]; len(tracked.attempts) > 0 {
		t.Error("a read that must see all writes is sent to a store that denied its role and has served no write since")
	}
}
