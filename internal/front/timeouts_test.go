package front

import (
	"testing"

	"micatrack/internal/pgwire"
)

// TestStalledMessages checks that a client that stops within a message is sent an error and closed, wherever it stops.
// One that keeps sending must not be closed before messageLimit.
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
			t.Errorf("%s: closed too early", name)
		}
		s.advance(20 * millisecond)
		if !cl.finished || code(t, cl.takeOutput()) != pgwire.ProtocolViolation {
			t.Errorf("%s: it is sent no error", name)
		}
	}
	for _, silent := range []bool{true, false} { // a client that sends nothing at all, and one that sends a byte a second
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

// TestClientThatReadsNothing checks that the connection of a client that reads nothing is closed after unreadLimit, not
// before, and that one that reads a little now and then is kept.
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
		t.Fatal("one that reads nothing is closed too early")
	}
	s.advance(unreadLimit/4 + second)
	if !dead.closed || slow.closed {
		t.Errorf("closed: the one that reads nothing %v, the slow one %v", dead.closed, slow.closed)
	}
	slow.unsentBytes = 0
	s.checkReleased(1)
}
