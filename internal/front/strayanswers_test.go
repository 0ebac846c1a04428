package front

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// answerWith returns a store's answer with a value, up to CommandComplete.
func answerWith(value string) string {
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	length := binary.BigEndian.AppendUint32(nil, uint32(4+len(data)+len(value)))
	return "T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00" + "D" + string(length) + string(data) + value + "C\x00\x00\x00\x0dSELECT 1\x00"
}

// valueOf returns the answer to request n, up to CommandComplete.
func valueOf(n int) string { return answerWith(fmt.Sprint("value ", n)) }

// answerQueries has a store that has received its output answer it: empty queries at once, the request with answer.
func (s *harness) answerQueries(w *fakeLink, answer string) string {
	s.t.Helper()
	sent, answers, requests := w.takeOutput(), "", 0
	for sent != "" {
		kind, _, size, err := pgwire.ParseMessage([]byte(sent), pgwire.MaxQuerySize)
		if kind != 'Q' || size == 0 || err != nil {
			s.t.Fatalf("the store is sent %q", sent)
		}
		if sent[:size] == emptyQuery {
			answers += emptyAnswer
		} else {
			answers += answer
			requests++
		}
		sent = sent[size:]
	}
	if requests != 1 {
		s.t.Fatalf("the store is sent %d requests", requests)
	}
	return answers
}

// openStore has the first request of a client reach the store on a new connection, and answers it.
func (s *harness) openStore(class string) (st *fakeLink) {
	s.t.Helper()
	cl := s.newClient()
	s.send(cl, ask(class, 1))
	st = s.dials[len(s.dials)-1]
	st.ownMarkers = true
	s.welcomeNewest()
	s.send(st, s.answerQueries(st, valueOf(1)+ready))
	if got := cl.takeOutput(); got != valueOf(1)+ready {
		s.t.Fatalf("the first answer is %q", got)
	}
	return st
}

// strayInput is what a store may send behind the answer to request n-1.
var strayInput = []struct {
	name string
	text func(n int) string
}{
	{"a second copy", func(n int) string { return valueOf(n-1) + ready }},
	{"a second copy with a report", func(n int) string {
		return valueOf(n-1) + status("role", "primary") + status("applied_ms", "1767225600000") + ready
	}},
	{"two more copies", func(n int) string { return strings.Repeat(valueOf(n-1)+ready, 2) }},
	{"a refusal", func(int) string { return failed(pgwire.TooManyConnections) + ready }},
	{"the last message alone", func(int) string { return ready }},
}

// TestAnswerThatArrivesForTheNextRequest guards against passing on a second copy of a store's answer as the answer to
// the request that the connection was given before the copy arrived (review/6).
func TestAnswerThatArrivesForTheNextRequest(t *testing.T) {
	for _, stray := range strayInput {
		for _, size := range []int{1, 7, 1 << 20} {
			s := newHarness(t, 20, true)
			st := s.openStore("any")
			cl := s.newClient()
			for n := 2; n < 6; n++ {
				s.send(cl, ask("any", n))
				s.sendInPieces(st, stray.text(n), size)
				if got := cl.takeOutput(); got != "" {
					t.Fatalf("%s in pieces of %d: request %d is answered %q before its answer has come", stray.name, size, n, got)
				}
				s.sendInPieces(st, s.answerQueries(st, valueOf(n)+ready), size)
				if got := cl.takeOutput(); got != valueOf(n)+ready {
					t.Fatalf("%s in pieces of %d: request %d is answered %q", stray.name, size, n, got)
				}
			}
			if len(s.dials) != 1 || st.closed {
				t.Errorf("%s: %d dials, closed %v", stray.name, len(s.dials), st.closed)
			}
			s.checkReleased(2)
		}
	}
}

// TestCopyOfAWholeExchange guards against taking the copied answers to empty queries for those ahead of the next request.
func TestCopyOfAWholeExchange(t *testing.T) {
	for requests := 1; requests <= 3; requests++ {
		s := newHarness(t, 20, true)
		st := s.openStore("once")
		sent := emptyAnswer + valueOf(1) + ready // to the request before
		cl := s.newClient()
		for n := 2; n <= requests; n++ {
			s.send(cl, ask("once", n))
			sent = s.answerQueries(st, valueOf(n)+ready)
			s.send(st, sent)
			if got := cl.takeOutput(); got != valueOf(n)+ready {
				t.Fatalf("request %d is answered %q", n, got)
			}
		}
		s.send(cl, ask("once", requests+1))
		s.send(st, sent)
		if !st.closed {
			s.send(st, s.answerQueries(st, valueOf(requests+1)+ready))
		}
		s.advance(second)
		if got := cl.takeOutput(); got != valueOf(requests+1)+ready && (!st.closed || code(t, got) != pgwire.OutcomeUnknown) {
			t.Errorf("the copy after %d requests: answered %q", requests, got)
		}
	}
}

// TestCopyForAWaitingRequest guards against the same where the connection goes from an answer to a request that waits
// for it, in one step.
func TestCopyForAWaitingRequest(t *testing.T) {
	s := newHarness(t, 20, true)
	st := s.openStore("any")
	first, second := s.newClient(), s.newClient()
	s.send(first, ask("any", 2))
	s.send(second, ask("any", 3)) // its new connection does not come up
	s.send(st, s.answerQueries(st, valueOf(2)+ready))
	if got := first.takeOutput(); got != valueOf(2)+ready {
		t.Fatalf("the first client is answered %q", got)
	}
	if len(s.dials) != 2 || !strings.Contains(string(st.out), "id=3") {
		t.Fatalf("%d dials, the store is sent %q", len(s.dials), st.out)
	}
	s.send(st, valueOf(2)+ready)
	s.send(st, s.answerQueries(st, valueOf(3)+ready))
	if got := second.takeOutput(); got != valueOf(3)+ready {
		t.Errorf("the second client is answered %q", got)
	}
}

// TestCopyAroundAProbe guards against taking the copy of a request's answer for a probe's, and that of a probe's for a
// request's.
func TestCopyAroundAProbe(t *testing.T) {
	s := newHarness(t, 20, true)
	st := s.openStore("any")
	s.core.Probe(0, 0, false)
	s.step()
	s.send(st, valueOf(1)+ready)
	if len(s.core.stores[0].idle) > 0 {
		t.Fatal("the copy of a request's answer ended the probe")
	}
	answer := answerWith(fmt.Sprintf("x0=%d.0000,x1=1", s.now/second)) + ready
	s.send(st, s.answerQueries(st, answer))
	cl := s.newClient()
	s.send(cl, ask("any", 2))
	s.send(st, answer)
	s.send(st, s.answerQueries(st, valueOf(2)+ready))
	if got := cl.takeOutput(); got != valueOf(2)+ready {
		t.Errorf("answered %q", got)
	}
}

// TestWriteBehindARefusal guards against telling a client that its write did not run because of the copy of a refusal
// of an earlier request.
func TestWriteBehindARefusal(t *testing.T) {
	for _, closes := range []bool{false, true} {
		s := newHarness(t, 20, true)
		st := s.openStore("any")
		cl := s.newClient()
		s.send(cl, ask("once", 2))
		s.send(st, failed(pgwire.TooManyConnections)+ready)
		if closes {
			st.takeOutput()
			s.step(Event{st, Closed})
			s.advance(second)
			if got := code(t, cl.takeOutput()); got != pgwire.OutcomeUnknown {
				t.Errorf("the connection is lost: answered %q", got)
			}
			continue
		}
		s.send(st, s.answerQueries(st, valueOf(2)+ready))
		if got := cl.takeOutput(); got != valueOf(2)+ready {
			t.Errorf("answered %q", got)
		}
	}
}

// TestNoiseAheadOfAnAnswer checks that a request whose answer cannot be found is not served, and that its connection is
// not used again.
func TestNoiseAheadOfAnAnswer(t *testing.T) {
	for name, noise := range map[string]string{
		"no message":                    "\xff\xff\xff\xff\xff\xff\xff\xff",
		"another type":                  "G\x00\x00\x00\x04",
		"a row for an empty query":      emptyAnswer[:5] + valueOf(1) + ready,
		"an error for an empty query":   emptyAnswer[:5] + failed("XX000") + ready,
		"two answers for a query":       emptyAnswer[:5] + emptyAnswer,
		"one more answer than queries":  strings.Repeat(emptyAnswer, 3),
		"a notice of another's channel": "A\x00\x00\x00\x0a\x00\x00\x00\x01c\x00",
	} {
		s := newHarness(t, 20, true)
		st := s.openStore("any")
		cl := s.newClient()
		s.send(cl, ask("once", 2))
		s.send(st, noise)
		if !st.closed {
			s.send(st, valueOf(2)+ready)
		}
		s.advance(second)
		if got := code(t, cl.takeOutput()); got != pgwire.OutcomeUnknown || !st.closed {
			t.Errorf("%s: answered %q, closed %v", name, got, st.closed)
		}
	}
}

// TestFatalErrorAheadOfAnAnswer checks that a store which ends a connection instead of answering is believed.
func TestFatalErrorAheadOfAnAnswer(t *testing.T) {
	s := newHarness(t, 20, true)
	st := s.openStore("any")
	cl := s.newClient()
	s.send(cl, ask("once", 2))
	s.send(st, string(pgwire.AppendError(nil, "FATAL", pgwire.CannotConnectNow, "m", "")))
	s.step(Event{st, Closed})
	s.advance(30 * second)
	if got := code(t, cl.takeOutput()); got != pgwire.TooManyConnections {
		t.Errorf("answered %q", got)
	}
}

// TestStoreThatAnswersEmptyQueriesOtherwise checks that a store which answers an empty query with a row or an error, in
// place of EmptyQueryResponse, is served through all the same, and is sent no more of them on that connection.
func TestStoreThatAnswersEmptyQueriesOtherwise(t *testing.T) {
	for name, answer := range map[string]string{"a row": valueOf(9) + ready, "an error": failed("42601") + ready, "nothing": ready} {
		s := newHarness(t, 20, true)
		cl := s.newClient()
		s.send(cl, ask("any", 1))
		st := s.dials[0]
		st.ownMarkers = true
		s.welcomeNewest()
		if sent := st.takeOutput(); !strings.HasPrefix(sent, emptyQuery) {
			t.Fatalf("the store is sent %q", sent)
		}
		s.send(st, answer, valueOf(1), ready)
		for n := 2; n < 5; n++ {
			if got := cl.takeOutput(); got != valueOf(n-1)+ready {
				t.Fatalf("%s: answered %q", name, got)
			}
			s.send(cl, ask("any", n))
			if sent := st.takeOutput(); strings.Contains(sent, emptyQuery) || !strings.Contains(sent, fmt.Sprintf("id=%d", n)) {
				t.Fatalf("%s: the store is sent %q", name, sent)
			}
			s.send(st, valueOf(n), ready)
		}
		if len(s.dials) != 1 {
			t.Errorf("%s: %d dials", name, len(s.dials))
		}
	}
}

// TestRoleToldAheadOfAnAnswer guards against sending reads that must see all writes to a store that has just told that
// it is a replica, while the answer of the request behind that is still to come.
func TestRoleToldAheadOfAnAnswer(t *testing.T) {
	s := newHarness(t, 20, true)
	s.restartWith(balance.Class{Name: "fresh", Need: balance.Fresh, ExpectedTime: 6000, Deadline: 12000, Credit: 1},
		StoreEntry{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{Group: 3, Condition: balance.Ready, Primary: true, Size: 1}})
	st := s.openStore("fresh")
	s.send(s.newClient(), ask("fresh", 2))
	told := strings.Replace(emptyAnswer, ready, status("role", "replica")+ready, 1)
	s.send(st, strings.Repeat(told, strings.Count(st.takeOutput(), emptyQuery)))
	dials := len(s.dials)
	s.send(s.newClient(), ask("fresh", 3))
	if len(s.dials) != dials || len(st.out) > 0 {
		t.Errorf("a read is sent to a store that is no primary: %d dials, %q", len(s.dials)-dials, st.out)
	}
}
