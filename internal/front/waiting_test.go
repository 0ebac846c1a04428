package front

import (
	"strings"
	"testing"

	"micatrack/balance"
)

// welcome is what a store sends on a new connection.
const welcome = "R\x00\x00\x00\x08\x00\x00\x00\x00" + ready

// TestFreshReadWhoseStoreHandsOverWhileItWaits guards against sending a read that must see all writes to a store which
// told that it is a replica while the read waited for its connection (review/7).
func TestFreshReadWhoseStoreHandsOverWhileItWaits(t *testing.T) {
	s := newHarness(t, 20, true)
	s.restartWith(balance.Class{Name: "fresh", Need: balance.Fresh, ExpectedTime: 6000, Deadline: 12000, Credit: 1},
		StoreEntry{ID: "p", Addr: "127.0.0.1:1", Member: balance.Member{Group: 3, Condition: balance.Ready, Primary: true, Size: 1}},
		StoreEntry{ID: "r", Addr: "127.0.0.1:2", Member: balance.Member{Group: 3, Condition: balance.Ready, Size: 1}})
	first, second, writer := s.newClient(), s.newClient(), s.newClient()
	s.send(first, ask("fresh", 1))
	st := s.welcomeNewest()
	s.send(second, ask("fresh", 2))
	s.send(writer, ask("once", 3))
	late := s.dials[1:]
	if len(late) != 2 {
		t.Fatalf("%d connections are opened", len(s.dials))
	}
	s.send(st, value, status("role", "replica"), ready)
	if got := first.takeOutput(); got != value+ready {
		t.Fatalf("the first read is answered %q", got)
	}
	s.now += 1000
	for _, w := range late {
		w.takeOutput()
		s.send(w, welcome)
	}
	for _, w := range s.dials[:3] {
		if sent := w.takeOutput(); strings.Contains(sent, "id=2") || strings.Contains(sent, "id=3") {
			t.Errorf("sent to a store that is no primary any more: %q", sent)
		}
	}
	s.core.balancer.ProbeDone(s.now, s.core.storeIndex["r"], balance.Result{Load: balance.Report{Position: s.now, Role: balance.Primary}})
	s.step()
	s.advance(200)
	for range 2 { // both may be sent on one connection, one after the other
		for _, w := range s.dials[3:] {
			if w.addr != "127.0.0.1:2" {
				t.Errorf("a connection to %s is opened", w.addr)
			}
			if sent := w.takeOutput(); strings.Contains(sent, "id=") {
				s.send(w, value, ready)
			} else if sent != "" {
				s.send(w, welcome)
			}
		}
	}
	for _, cl := range []*fakeLink{second, writer} {
		if got := cl.takeOutput(); got != value+ready {
			t.Errorf("answered %q", got)
		}
	}
}

// TestFreshReadBehindTheAnswerThatDenies guards against giving a read that must see all writes the connection on which
// its store has just told that it is a replica, or one that came up in the same step.
func TestFreshReadBehindTheAnswerThatDenies(t *testing.T) {
	for _, comesUp := range []bool{false, true} {
		s := newHarness(t, 20, true)
		s.restartWith(balance.Class{Name: "fresh", Need: balance.Fresh, ExpectedTime: 6000, Deadline: 12000, Credit: 1},
			StoreEntry{ID: "p", Addr: "127.0.0.1:1", Member: balance.Member{Group: 3, Condition: balance.Ready, Primary: true, Size: 1}})
		first, second := s.newClient(), s.newClient()
		s.send(first, ask("fresh", 1))
		st := s.welcomeNewest()
		s.send(second, ask("fresh", 2))
		late := s.dials[1]
		late.takeOutput()
		st.takeOutput()
		st.in = append(st.in, value+status("role", "replica")+ready...)
		events := []Event{{st, Readable}}
		if comesUp {
			late.in = append(late.in, welcome...)
			events = []Event{{late, Readable}, {st, Readable}}
		}
		s.step(events...)
		if got := first.takeOutput(); got != value+ready {
			t.Fatalf("the first read is answered %q", got)
		}
		if sent := st.takeOutput() + late.takeOutput(); sent != "" {
			t.Errorf("a connection comes up %v: sent to a store that is no primary any more: %q", comesUp, sent)
		}
	}
}
