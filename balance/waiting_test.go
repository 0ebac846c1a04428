package balance

import "testing"

// TestWaitingAttemptIsJudgedAnew guards against sending an attempt that waited for its connection although what allowed
// it when it was placed holds no longer (review/7). The request is placed again, and not at the same store.
func TestWaitingAttemptIsJudgedAnew(t *testing.T) {
	denies := func(front *modelFront, store uint32) {
		front.submit(newRequest("other", "fresh"))
		front.finish("other", 0, Result{Note: Report{Position: front.now, Role: Replica}})
	}
	deniesAndClaims := func(front *modelFront, store uint32) {
		denies(front, store)
		front.advance(10)
		front.report(store, front.now, Primary)
	}
	probeDenies := func(front *modelFront, store uint32) {
		front.report(store, front.now, Replica)
	}
	handsOver := func(front *modelFront, store uint32) {
		front.report(2, front.now, Primary)
	}
	restarts := func(front *modelFront, store uint32) {
		front.updateMembers(ListChanges, Member{Store: store, Group: 9, Zone: "a", Condition: Ready, Size: 1, Started: front.now - 1})
	}
	nothing := func(*modelFront, uint32) {}
	for _, c := range []struct {
		class   string
		event   string
		happens func(front *modelFront, store uint32)
		may     bool
	}{
		{"fresh", "nothing", nothing, true},
		{"fresh", "an answer tells that the store is a replica", denies, false},
		{"fresh", "an answer tells so, and a probe that it is the primary", deniesAndClaims, false},
		{"fresh", "a probe tells that the store is a replica", probeDenies, false},
		{"fresh", "another store is the primary", handsOver, false},
		{"fresh", "the store restarts", restarts, false},
		{"once", "nothing", nothing, true},
		{"once", "an answer tells that the store is a replica", denies, false},
		{"once", "another store is the primary", handsOver, false},
		{"marked", "another store is the primary", handsOver, false},
		{"once", "the store restarts", restarts, false},
		{"any", "nothing", nothing, true},
		{"any", "another store is the primary", handsOver, true},
		{"any", "the store restarts", restarts, false},
		{"bounded", "the store restarts", restarts, false},
		{"session", "the store restarts", restarts, false},
	} {
		front := threeStores(t, testSettings())
		front.submit(newRequest("r", c.class))
		store := front.lastStore(t, "r")
		front.advance(20)
		c.happens(front, store)
		front.advance(20)
		if may := front.balancer.MaySend(front.now, "r"); may != c.may {
			t.Errorf("%s, %s: may be sent %v", c.class, c.event, may)
		}
		if c.may {
			continue
		}
		front.finish("r", 0, Result{Ending: NotSent})
		tracked := front.requests["r"]
		if tracked.finals > 0 {
			t.Errorf("%s, %s: it is given up", c.class, c.event)
		}
		if len(tracked.attempts) > 1 && front.lastStore(t, "r") == store && front.stores[store].startedAt == 0 {
			t.Errorf("%s, %s: it is sent to the same store", c.class, c.event)
		}
	}
}

// TestAttemptsThatWaitAtARestart guards against sending a store that has restarted all attempts that had waited for it,
// beyond what it can be sent while it is cold.
func TestAttemptsThatWaitAtARestart(t *testing.T) {
	front := newModelFront(t, testSettings())
	front.updateMembers(ListCached, Member{Store: 1, Group: 9, Zone: "a", Condition: Ready, Primary: true, Size: 1})
	front.report(1, front.now, Primary)
	for n := range 6 {
		front.submit(newRequest(string(rune('a'+n)), "any"))
	}
	waiting := 0
	for _, tracked := range front.requests {
		waiting += len(tracked.attempts)
	}
	front.advance(20)
	front.updateMembers(ListChanges, Member{Store: 1, Group: 9, Zone: "a", Condition: Ready, Size: 1, Started: front.now})
	front.advance(20)
	sendable := 0
	for id, tracked := range front.requests {
		if len(tracked.attempts) > 0 && front.balancer.MaySend(front.now, id) {
			sendable++
		}
	}
	if waiting < 2 || sendable > 0 {
		t.Errorf("%d attempts wait, %d may be sent", waiting, sendable)
	}
}
