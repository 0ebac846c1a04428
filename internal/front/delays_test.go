package front

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"micatrack/balance"
	"micatrack/internal/pgwire"
)

const heldUpFor = 120 * millisecond

// lateRead is a request that arrives while the front is held up.
type lateRead struct {
	name      string
	readAfter Time // time from the end of the delay until the request is read
	commands  int
	fresh     bool          // its connection is new
	inputAge  time.Duration // what the system tells when it is read; 0: nothing
	heldUp    Time          // how long the front's loop is held up; 0: only the reading is late
}

var lateReads = []lateRead{
	{name: "at once", commands: 1, heldUp: heldUpFor},
	{name: "in a later step", commands: 1, heldUp: heldUpFor, readAfter: 3 * millisecond},
	{name: "several", commands: 3, heldUp: heldUpFor},
	{name: "new connection", commands: 2, heldUp: heldUpFor, fresh: true},
	{name: "only the poller is held up", commands: 1, inputAge: 120 * time.Millisecond},
	{name: "longer than expected", commands: 1, heldUp: 800 * millisecond, inputAge: 800 * time.Millisecond},
}

// readLate has the requests of a client that arrive at the returned time be read late.
func (s *harness) readLate(c lateRead, class string) (cl *fakeLink, arrivedAt Time) {
	flags, text := Readable, ""
	if c.fresh {
		cl = &fakeLink{}
		flags |= Accepted
		text = string(pgwire.AppendStartup(nil, "web", "orders"))
	} else {
		cl = s.newClient()
	}
	for n := range c.commands {
		text += ask(class, n+1)
	}
	s.advance(100 * millisecond)
	arrivedAt = s.now + 1
	if c.heldUp > 0 {
		s.now += c.heldUp
		s.core.Step(s.now, nil)
	} else {
		s.advance(Time(c.inputAge / timeUnit))
	}
	s.advance(c.readAfter)
	cl.in, cl.inputAge = append(cl.in, text...), c.inputAge
	s.step(Event{cl, flags})
	return cl, arrivedAt
}

func TestRequestReadLateIsAnsweredByItsDeadline(t *testing.T) {
	const timeLeft = 1000 * millisecond // of ask
	for _, c := range lateReads {
		s := newHarness(t, 40, true)
		cl, arrivedAt := s.readLate(c, "once")
		s.welcomeAll()
		cl.takeOutput()
		s.advance(arrivedAt + timeLeft - s.now)
		if answers := strings.Count(cl.takeOutput(), ready); answers != c.commands {
			t.Errorf("%s: %d of %d requests are answered when their client's time is over", c.name, answers, c.commands)
		}
		s.step(Event{cl, Closed})
		s.checkReleased(0)
	}
}

func TestStoreIsToldTheTimeLeftOfARequestReadLate(t *testing.T) {
	const timeLeft = 1000 * millisecond // of ask
	for _, c := range lateReads {
		s := newHarness(t, 40, true)
		_, arrivedAt := s.readLate(c, "any")
		s.welcomeAll()
		left := (arrivedAt + timeLeft - s.now) / millisecond
		for n := range c.commands {
			carrier := s.carrierOf(n + 1)
			if carrier == nil {
				t.Errorf("%s: request %d is not sent", c.name, n+1)
				continue
			}
			_, rest, _ := strings.Cut(string(carrier.out), ",d=")
			digits, _, _ := strings.Cut(rest, ",")
			if told, err := strconv.ParseInt(digits, 10, 64); err != nil || told > left+1 {
				t.Errorf("%s: the store is told %s ms where %d are left", c.name, digits, left)
			}
		}
	}
}

func TestRequestReadInTimeKeepsItsWholeTime(t *testing.T) {
	const timeLeft = 1000 * millisecond // of ask
	for name, before := range map[string]func(s *harness, cl *fakeLink){
		"no delay":             func(s *harness, _ *fakeLink) { s.advance(50 * millisecond) },
		"within the tolerance": func(s *harness, _ *fakeLink) { s.now = s.core.NextStep() + stepTolerance; s.core.Step(s.now, nil) },
		"after a delay is past": func(s *harness, _ *fakeLink) {
			s.now += loggedDelay - 1
			s.core.Step(s.now, nil)
			s.advance(catchUpTime)
		},
		"several steps in a tick": func(s *harness, _ *fakeLink) { s.step(); s.step(); s.step() },
		"with a recent input":     func(_ *harness, cl *fakeLink) { cl.inputAge = 2 * time.Millisecond },
	} {
		s := newHarness(t, 40, true)
		cl := s.newClient()
		before(s, cl)
		s.send(cl, ask("once", 1))
		arrivedAt := s.now
		s.welcomeAll()
		s.advance(arrivedAt + timeLeft - 30*millisecond - s.now)
		if got := cl.takeOutput(); got != "" {
			t.Errorf("%s: answered %q %d ms early", name, got, (arrivedAt+timeLeft-s.now)/millisecond)
		}
	}
}

func TestDelayShortensARequestsTimeByAtMostItsBound(t *testing.T) {
	s := newHarness(t, 40, true)
	s.readLate(lateRead{commands: 1, heldUp: 10 * second}, "once")
	req := &s.core.requests[s.core.clients[0].request]
	if early := req.readAt - req.arrivedAt; early < maxDelay || early > maxDelay+catchUpTime {
		t.Errorf("it counts from %d ms before it was read", early/millisecond)
	}
}

func TestShutdownCountsFromASignalThatCameWhileHeldUp(t *testing.T) {
	s := newHarness(t, 40, true)
	s.advance(100 * millisecond)
	signalAt := s.now + 1
	s.now += heldUpFor
	s.core.Stop(s.now)
	span := s.core.classes.longest + s.core.limits.ShutdownGrace
	if late := s.core.shutdownDeadline - (signalAt + span); late > 0 {
		t.Errorf("the forced end comes %d ms late", late/millisecond)
	}
}

func TestDrainGraceCountsFromAListThatCameWhileHeldUp(t *testing.T) {
	s := newHarness(t, 40, true)
	s.core.limits.DrainGrace = 500 * millisecond
	s.advance(100 * millisecond)
	listAt := s.now + 1
	s.now += heldUpFor
	s.core.UpdateStores(StoreList{Kind: balance.ListChanges, Entries: []StoreEntry{{ID: "s", Member: balance.Member{Group: 3, Condition: balance.Draining}}}})
	s.core.Step(s.now, nil)
	if late := s.core.stores[s.core.storeIndex["s"]].drainUntil - (listAt + 500*millisecond); late > 0 {
		t.Errorf("an open transaction may go on for %d ms too long", late/millisecond)
	}
}

func TestRequestWhoseDeadlineComesDuringADelayIsAnsweredBeforeIt(t *testing.T) {
	const timeLeft = 1000 * millisecond // of ask
	s := newHarness(t, 40, true)
	cl := s.newClient()
	s.now += heldUpFor
	s.core.Step(s.now, nil)
	s.advance(second)
	s.send(cl, ask("once", 1))
	arrivedAt := s.now
	s.welcomeAll()
	s.advance(arrivedAt + timeLeft - heldUpFor + 30*millisecond - s.now) // the next delay begins
	if got := code(t, cl.takeOutput()); got != pgwire.OutcomeUnknown {
		t.Errorf("answered %q", got)
	}
}

func TestReserveForDelaysIsGivenUpOnceTheyArePast(t *testing.T) {
	const timeLeft = 1000 * millisecond // of ask
	s := newHarness(t, 40, true)
	cl := s.newClient()
	s.now += heldUpFor
	s.core.Step(s.now, nil)
	s.advance(11 * second)
	s.send(cl, ask("once", 1))
	arrivedAt := s.now
	s.welcomeAll()
	s.advance(arrivedAt + timeLeft - 30*millisecond - s.now)
	if got := cl.takeOutput(); got != "" {
		t.Errorf("answered %q", got)
	}
}
