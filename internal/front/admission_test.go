package front

import (
	"strings"
	"testing"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// startClients starts n clients that each send one request. The last of them wait for admission, since the store's
// answers do not arrive.
func startClients(s *harness, n int, class string) []*fakeLink {
	var clients []*fakeLink
	for i := range n {
		cl := s.newClient()
		clients = append(clients, cl)
		s.send(cl, ask(class, 1000+i))
		if i == 0 {
			s.welcomeNewest()
		}
	}
	for _, w := range s.dials[1:] {
		w.takeOutput()
		s.send(w, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
	}
	return clients
}

func newAdmissionHarness(t *testing.T) *harness {
	s := newHarness(t, 400)
	s.configure(func(settings *Settings) {
		settings.Admission = &admission.Bounds{MaxRequests: 100, MaxBytes: 1 << 20, DedicatedTenants: 16, SharedQueues: 16, SharedWeight: 0.25, RetriesPerRequest: 0.5}
	})
	return s
}

// queries counts the requests' queries that the stores were sent.
func (s *harness) queries() (n int) {
	for _, w := range s.dials {
		n += w.queries + strings.Count(string(w.out), "/* id=1")
	}
	return n
}

// TestAdmissionQueueAtShutdownDrainAndLoss stops the front, drains its store or loses the store while requests wait for
// admission. Each request must get exactly one answer in its time, and nothing may be sent for it afterwards.
func TestAdmissionQueueAtShutdownDrainAndLoss(t *testing.T) {
	for name, happens := range map[string]func(s *harness){
		"SIGTERM": func(s *harness) { s.core.Stop(s.now) },
		"drain": func(s *harness) {
			s.core.UpdateStores(StoreList{Kind: balance.ListChanges, Entries: []StoreEntry{{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{
				Group: 3, Condition: balance.Draining, Primary: true, Size: 1}}}})
			s.step()
		},
		"stores lost": func(s *harness) {
			for _, w := range s.dials {
				s.step(Event{w, Closed})
			}
			s.dialError = errLost
		},
	} {
		for _, class := range []string{"any", "once"} {
			s := newAdmissionHarness(t)
			clients := startClients(s, 60, class)
			held := s.core.admission.Waiting()
			if held < 20 {
				t.Fatalf("%s, %s: %d wait for admission", name, class, held)
			}
			sent := s.queries()
			happens(s)
			s.advance(2 * second)
			answers := map[string]int{}
			for _, cl := range clients {
				answers[code(t, cl.takeOutput())]++
			}
			if s.core.admission.Waiting() != 0 || s.core.pending != 0 || answers[pgwire.TooManyConnections] < held {
				t.Errorf("%s, %s: %d waited, answers %v, %v, %d still wait", name, class, held, answers, s.core, s.core.admission.Waiting())
			}
			if name == "drain" && s.queries() > sent {
				t.Errorf("%s: %d queries after the drain was announced", class, s.queries()-sent)
			}
			sent = s.queries()
			for _, cl := range clients {
				s.step(Event{cl, Closed})
			}
			s.advance(4 * second)
			if s.queries() > sent {
				t.Errorf("%s, %s: %d queries after the answers", name, class, s.queries()-sent)
			}
			s.checkReleased(0)
		}
	}
}

// TestClientsLeaveAdmissionQueue covers clients that disconnect while their requests wait for admission, a second
// request with the id of a waiting one, and a request whose time runs out while it waits.
func TestClientsLeaveAdmissionQueue(t *testing.T) {
	s := newAdmissionHarness(t)
	clients := startClients(s, 60, "any")
	held := s.core.admission.Waiting()
	again := s.newClient()
	s.send(again, ask("any", 1059))
	if got := code(t, again.takeOutput()); got != pgwire.DuplicateObject {
		t.Errorf("a second request with the id of a waiting one: %s", got)
	}
	sent := s.queries()
	for _, cl := range clients[30:] {
		s.step(Event{cl, Closed})
	}
	if got := s.core.admission.Waiting(); got > max(held-30, 0) {
		t.Errorf("%d wait after 30 of those clients have disconnected, %d before", got, held)
	}
	s.send(again, ask("any", 1059)) // the id is free again
	if len(again.out) > 0 {
		t.Errorf("answered at once: %s", code(t, again.takeOutput()))
	}
	arrivedAt := s.now
	for len(again.out) == 0 && s.now < arrivedAt+2*second {
		s.advance(5 * millisecond)
	}
	if got, waited := code(t, again.takeOutput()), s.now-arrivedAt; got != pgwire.TooManyConnections || waited > second/2 {
		t.Errorf("a request whose time runs out while it waits: %s after %d", got, waited)
	}
	s.advance(2 * second)
	for _, cl := range append(clients[:30], again) {
		s.step(Event{cl, Closed})
	}
	s.advance(second)
	if s.queries() > sent {
		t.Errorf("%d queries for clients that had disconnected", s.queries()-sent)
	}
	if s.core.admission.Waiting() != 0 {
		t.Error("some still wait")
	}
	s.checkReleased(0)
}
