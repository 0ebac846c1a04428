package front

import (
	"slices"
	"strings"
	"testing"

	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// configure puts changed settings in force.
func (s *harness) configure(change func(settings *Settings)) {
	s.t.Helper()
	if err := s.core.Configure(s.now, s.settingsWith(change)); err != nil {
		s.t.Fatal(err)
	}
}

// settingsWith returns the settings in force with a change.
func (s *harness) settingsWith(change func(settings *Settings)) Settings {
	settings := s.core.settings
	settings.Balancer.Classes = slices.Clone(settings.Balancer.Classes)
	if settings.Admission != nil {
		bounds := *settings.Admission
		settings.Admission = &bounds
	}
	change(&settings)
	return settings
}

// TestSettingsWhileAWriteIsOut allows a class of writes to be repeated while an attempt of that class is out whose
// answer is lost. Its client must be told that it may have run, and it must not be sent again. The client of a later
// write must be told to try again.
func TestSettingsWhileAWriteIsOut(t *testing.T) {
	s := newHarness(t, 100)
	before := s.newClient()
	s.send(before, ask("once", 1001))
	s.welcomeNewest()
	s.configure(func(settings *Settings) { settings.Balancer.Classes[2].Repeat = balance.Idempotent })
	s.step(Event{s.dials[0], Closed})
	s.advance(second / 10)
	if got := code(t, before.takeOutput()); got != pgwire.OutcomeUnknown {
		t.Errorf("the write that was out: %s", got)
	}
	if n := s.queries(); n != 1 {
		t.Errorf("%d queries for one attempt", n)
	}
	later := newHarness(t, 100)
	later.configure(func(settings *Settings) { settings.Balancer.Classes[2].Repeat = balance.Idempotent })
	cl := later.newClient()
	later.send(cl, ask("once", 1002))
	later.welcomeNewest()
	later.step(Event{later.dials[0], Closed})
	later.advance(2 * second) // its store sends nothing more
	if got := code(t, cl.takeOutput()); got != pgwire.TooManyConnections {
		t.Errorf("a write that comes later: %s", got)
	}
}

// TestSettingsWithoutAClass removes a class while a request of it is out. That request must be answered, and no other
// accepted.
func TestSettingsWithoutAClass(t *testing.T) {
	s := newHarness(t, 100)
	cl := s.newClient()
	s.send(cl, ask("any", 1001))
	store := s.welcomeNewest()
	s.configure(func(settings *Settings) { settings.Balancer.Classes = settings.Balancer.Classes[1:] })
	s.send(store, value, ready)
	if got := code(t, cl.takeOutput()); got != "value" {
		t.Errorf("the request that was out: %s", got)
	}
	s.send(cl, ask("any", 1002))
	if got := code(t, cl.takeOutput()); got == "value" || got == "" {
		t.Errorf("a request of a class that was taken out: %q", got)
	}
}

// TestSettingsChangeDuringAdmission puts other tenants, other bounds, or no admission control in force while requests
// wait for admission. Each must get one answer in its time, and none may be sent twice.
func TestSettingsChangeDuringAdmission(t *testing.T) {
	for name, change := range map[string]func(settings *Settings){
		"tenants": func(settings *Settings) {
			settings.Balancer.Tenants = []balance.Tenant{{Name: "a", Quota: 5}, {Name: "b", Quota: 9}}
		},
		"fewer places":         func(settings *Settings) { settings.Admission.MaxRequests = 5 },
		"times":                func(settings *Settings) { settings.Balancer.Classes[0].ExpectedTime = 1000 },
		"no admission control": func(settings *Settings) { settings.Admission = nil },
	} {
		s := newAdmissionHarness(t)
		clients := startClients(s, 60, "any")
		held := s.core.admission.Waiting()
		if held < 20 {
			t.Fatalf("%s: %d wait for admission", name, held)
		}
		s.configure(change)
		s.step()
		if s.core.admission != nil && s.core.admission.Waiting() > held {
			t.Errorf("%s: %d wait, %d before", name, s.core.admission.Waiting(), held)
		}
		s.advance(2 * second)
		answered := 0
		for _, cl := range clients {
			if got := cl.takeOutput(); len(got) > 0 {
				code(t, got) // fails unless it is a single answer
				answered++
			}
		}
		if answered != len(clients) || s.core.pending != 0 {
			t.Errorf("%s: %d of %d have an answer, %v", name, answered, len(clients), s.core)
		}
		for _, w := range s.dials {
			if queries := strings.Count(string(w.out), "/* id=1"); queries > 1 {
				t.Errorf("%s: %d queries on one connection whose store does not answer", name, queries)
			}
		}
		for _, cl := range clients {
			s.step(Event{cl, Closed})
		}
		s.advance(4 * second)
		s.checkReleased(0)
	}
}

// TestClassNeedChangeDuringAdmission turns a class of reads into one of writes while requests of it wait for admission.
// They were accepted as reads, concurrent with others of their connections, so they must be refused and never sent.
func TestClassNeedChangeDuringAdmission(t *testing.T) {
	s := newAdmissionHarness(t)
	clients := startClients(s, 60, "any")
	held := s.core.admission.Waiting()
	sent := s.queries()
	s.configure(func(settings *Settings) {
		settings.Balancer.Classes[0].Need, settings.Balancer.Classes[0].Repeat = balance.Write, balance.AtMostOnce
	})
	s.step()
	refused := 0
	for _, cl := range clients {
		if got := cl.takeOutput(); len(got) > 0 && code(t, got) == pgwire.TooManyConnections {
			refused++
		}
	}
	if refused != held || s.queries() != sent {
		t.Errorf("%d refused of %d that waited, %d queries more", refused, held, s.queries()-sent)
	}
}

// TestFaultySettings checks that a value out of range, in the balancer's part or in that of admission control, changes
// nothing.
func TestFaultySettings(t *testing.T) {
	s := newAdmissionHarness(t)
	clients := startClients(s, 60, "any")
	held, classes, entrance := s.core.admission.Waiting(), s.core.classes, s.core.admission
	for name, change := range map[string]func(settings *Settings){
		"admission": func(settings *Settings) { settings.Admission.MaxRequests = 0 },
		"classes":   func(settings *Settings) { settings.Balancer.Classes[1].Deadline = 0 },
		"balancer":  func(settings *Settings) { settings.Balancer.Classes[0].Window = -1 },
	} {
		if err := s.core.Configure(s.now, s.settingsWith(change)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if s.core.classes != classes || s.core.admission != entrance || s.core.admission.Waiting() != held {
		t.Error("a part of the faulty settings is in force")
	}
	s.advance(2 * second)
	for _, cl := range clients {
		if len(cl.takeOutput()) == 0 {
			t.Error("a client has no answer")
		}
	}
}
