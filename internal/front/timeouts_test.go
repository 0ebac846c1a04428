package front

import (
	"testing"

	"micatrack/internal/pgwire"
)

// TestStalledMessages: a client that stops inside a message is told and closed, wherever it stops; one that goes on is not,
// but for messageLimit.
func TestStalledMessages(t *testing.T) {
	startup, request := string(pgwire.AppendStartup(nil, "web", "orders")), ask("any", 1)
	for name, text := range map[string]string{
		"startup":    startup[:len(startup)-1],
		"head":       startup + request[:3],
		"query":      startup + request[:len(request)-1],
		"other":      startup + "P\x00\x00\x00\x09ab",
		"after some": startup + string(pgwire.AppendSimpleQuery(nil, "")) + request[:9],
	} {
		s := newHarness(t, 40, true)
		cl := &fakeLink{in: []byte(text)}
		s.step(Event{cl, Accepted | Readable})
		cl.takeOutput()
		s.advance(stallLimit - 10*millisecond)
		if cl.finished || cl.closed {
			t.Errorf("%s: given up too early", name)
		}
		s.advance(20 * millisecond)
		if !cl.finished || code(t, cl.takeOutput()) != pgwire.ProtocolViolation {
			t.Errorf("%s: it is not told", name)
		}
	}
	for _, silent := range []bool{true, false} { // one that says nothing at all, and one that sends a byte a second
		s := newHarness(t, 40, true)
		cl := &fakeLink{}
		s.step(Event{cl, Accepted})
		if !silent {
			s.send(cl, startup)
		}
		rest, took := ask("once", 2), Time(0)
		for ; !cl.finished && took < 2*messageLimit; took += second {
			if !silent {
				s.send(cl, rest[:1])
				rest = rest[1:]
			}
			s.advance(second)
		}
		limit := messageLimit
		if silent {
			limit = stallLimit
		}
		if took < Time(limit) || took > Time(limit)+2*second {
			t.Errorf("silent %v: ended after %d ms", silent, took/millisecond)
		}
	}
}

// TestClientThatReadsNothing: its connection is given back after unreadLimit, not before, and one that takes a little now and
// then is waited for.
func TestClientThatReadsNothing(t *testing.T) {
	s := newHarness(t, 40, true)
	dead, slow := s.newClient(), s.newClient()
	for _, w := range []*fakeLink{dead, slow} {
		s.send(w, string(pgwire.AppendSimpleQuery(nil, "")))
		w.unsentBytes = 6
	}
	for range 3 {
		s.advance(unreadLimit / 4)
		slow.unsentBytes--
	}
	if dead.closed || slow.closed {
		t.Fatal("one that reads nothing is hung up on too early")
	}
	s.advance(unreadLimit/4 + second)
	if !dead.closed || slow.closed {
		t.Errorf("closed: the one that reads nothing %v, the slow one %v", dead.closed, slow.closed)
	}
	slow.unsentBytes = 0
	s.checkReleased(1)
}
