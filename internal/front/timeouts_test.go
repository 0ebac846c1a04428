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
		s := newStage(t, 40, true)
		cl := &wire{in: []byte(text)}
		s.step(Event{cl, Accepted | Readable})
		cl.take()
		s.pass(stallLimit - 10*perMilli)
		if cl.finished || cl.closed {
			t.Errorf("%s: given up too early", name)
		}
		s.pass(20 * perMilli)
		if !cl.finished || code(t, cl.take()) != pgwire.ProtocolViolation {
			t.Errorf("%s: it is not told", name)
		}
	}
	for _, silent := range []bool{true, false} { // one that says nothing at all, and one that sends a byte a second
		s := newStage(t, 40, true)
		cl := &wire{}
		s.step(Event{cl, Accepted})
		if !silent {
			s.say(cl, startup)
		}
		rest, took := ask("once", 2), Time(0)
		for ; !cl.finished && took < 2*messageLimit; took += second {
			if !silent {
				s.say(cl, rest[:1])
				rest = rest[1:]
			}
			s.pass(second)
		}
		limit := messageLimit
		if silent {
			limit = stallLimit
		}
		if took < Time(limit) || took > Time(limit)+2*second {
			t.Errorf("silent %v: ended after %d ms", silent, took/perMilli)
		}
	}
}

// TestClientThatReadsNothing: its connection is given back after unreadLimit, not before, and one that takes a little now and
// then is waited for.
func TestClientThatReadsNothing(t *testing.T) {
	s := newStage(t, 40, true)
	dead, slow := s.client(), s.client()
	for _, w := range []*wire{dead, slow} {
		s.say(w, string(pgwire.AppendSimpleQuery(nil, "")))
		w.stuck = 6
	}
	for range 3 {
		s.pass(unreadLimit / 4)
		slow.stuck--
	}
	if dead.closed || slow.closed {
		t.Fatal("one that reads nothing is hung up on too early")
	}
	s.pass(unreadLimit/4 + second)
	if !dead.closed || slow.closed {
		t.Errorf("closed: the one that reads nothing %v, the slow one %v", dead.closed, slow.closed)
	}
	slow.stuck = 0
	s.idle(1)
}
