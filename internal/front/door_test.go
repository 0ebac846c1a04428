package front

import (
	"strings"
	"testing"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// crowd brings clients that each ask once; the last of them wait at the door, for the store's answers do not come.
func crowd(s *stage, n int, class string) []*wire {
	var clients []*wire
	for i := range n {
		cl := s.client()
		clients = append(clients, cl)
		s.say(cl, ask(class, 1000+i))
		if i == 0 {
			s.store()
		}
	}
	for _, w := range s.dials[1:] {
		w.take()
		s.say(w, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
	}
	return clients
}

func doorStage(t *testing.T) *stage {
	s := newStage(t, 400)
	s.configure(func(settings *Settings) {
		settings.Admission = &admission.Bounds{MaxRequests: 100, MaxBytes: 1 << 20, DedicatedTenants: 16, SharedQueues: 16, SharedWeight: 0.25, RetriesPerRequest: 0.5}
	})
	return s
}

// queries counts the requests' queries that the stores were sent.
func (s *stage) queries() (n int) {
	for _, w := range s.dials {
		n += w.seen + strings.Count(string(w.out), "/* id=1")
	}
	return n
}

// TestDoorWhenTheFrontOrItsStoresEnd (hard case 6): while requests wait at the door the front is told to stop, or its store
// drains, or is lost. Each request has its one answer in its time, and nothing is sent for it after that.
func TestDoorWhenTheFrontOrItsStoresEnd(t *testing.T) {
	for name, happens := range map[string]func(s *stage){
		"SIGTERM": func(s *stage) { s.core.Stop(s.now) },
		"drain": func(s *stage) {
			s.core.UpdateStores(StoreList{Kind: balance.ListChanges, Entries: []StoreEntry{{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{
				Group: 3, Condition: balance.Draining, Primary: true, Size: 1}}}})
			s.step()
		},
		"stores lost": func(s *stage) {
			for _, w := range s.dials {
				s.step(Event{w, Closed})
			}
			s.deny = errLost
		},
	} {
		for _, class := range []string{"any", "once"} {
			s := doorStage(t)
			clients := crowd(s, 60, class)
			held := s.core.door.Waiting()
			if held < 20 {
				t.Fatalf("%s, %s: %d wait at the door", name, class, held)
			}
			sent := s.queries()
			happens(s)
			s.pass(2 * second)
			answers := map[string]int{}
			for _, cl := range clients {
				answers[code(t, cl.take())]++
			}
			if s.core.door.Waiting() != 0 || s.core.inHand != 0 || answers[pgwire.TooManyConnections] < held {
				t.Errorf("%s, %s: %d waited, answers %v, %v, %d still wait", name, class, held, answers, s.core, s.core.door.Waiting())
			}
			if name == "drain" && s.queries() > sent {
				t.Errorf("%s: %d queries after the drain was told", class, s.queries()-sent)
			}
			sent = s.queries()
			for _, cl := range clients {
				s.step(Event{cl, Closed})
			}
			s.pass(4 * second)
			if s.queries() > sent {
				t.Errorf("%s, %s: %d queries after the answers", name, class, s.queries()-sent)
			}
			s.idle(0)
		}
	}
}

// TestDoorLeft (hard case 7): clients that hang up while their requests wait at the door; an id that waits and is asked
// again; a request whose time ends there.
func TestDoorLeft(t *testing.T) {
	s := doorStage(t)
	clients := crowd(s, 60, "any")
	held := s.core.door.Waiting()
	again := s.client()
	s.say(again, ask("any", 1059))
	if got := code(t, again.take()); got != pgwire.DuplicateObject {
		t.Errorf("an id that waits at the door, asked again: %s", got)
	}
	sent := s.queries()
	for _, cl := range clients[30:] {
		s.step(Event{cl, Closed})
	}
	if got := s.core.door.Waiting(); got > max(held-30, 0) {
		t.Errorf("%d wait after 30 of those have left, %d before", got, held)
	}
	s.say(again, ask("any", 1059)) // the id is free again
	if len(again.out) > 0 {
		t.Errorf("answered at once: %s", code(t, again.take()))
	}
	came := s.now
	for len(again.out) == 0 && s.now < came+2*second {
		s.pass(5 * perMilli)
	}
	if got, waited := code(t, again.take()), s.now-came; got != pgwire.TooManyConnections || waited > second/2 {
		t.Errorf("a job whose time ends at the door: %s after %d", got, waited)
	}
	s.pass(2 * second)
	for _, cl := range append(clients[:30], again) {
		s.step(Event{cl, Closed})
	}
	s.pass(second)
	if s.queries() > sent {
		t.Errorf("%d queries for those that had left", s.queries()-sent)
	}
	if s.core.door.Waiting() != 0 {
		t.Error("some still wait")
	}
	s.idle(0)
}
