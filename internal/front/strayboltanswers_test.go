package front

import (
	"fmt"
	"strings"
	"testing"

	"micatrack/internal/bolt"
)

// TestBoltAnswerThatArrivesForTheNextRequest guards against passing on a second copy of a store's answer as the answer
// to the request that the connection was given before the copy arrived (review/6, over Bolt).
func TestBoltAnswerThatArrivesForTheNextRequest(t *testing.T) {
	copies := []struct {
		name string
		cut  func(sent, answers string) string
	}{
		{"the whole answer", func(_, answers string) string { return answers }},
		{"the last message", func(_, answers string) string { return answers[strings.LastIndex(answers, "\x00\x00\x00")+2:] }},
	}
	for requests := 1; requests <= 3; requests++ {
		for _, c := range copies {
			s := newBoltHarness(t)
			cl := s.newBoltClient()
			sent, answers := "", ""
			var st *fakeLink
			for n := 1; n <= requests; n++ {
				if s.send(cl, boltRun("once", n)); st == nil {
					st = s.openBoltStore()
				}
				sent = st.takeOutput()
				answers = s.answerBolt(sent)
				s.send(st, answers)
				if got := statementOf(cl.takeOutput()); got != fmt.Sprint("statement ", n) {
					t.Fatalf("request %d is answered with %q", n, got)
				}
			}
			s.send(cl, boltRun("once", requests+1))
			s.send(st, c.cut(sent, answers))
			if !st.closed {
				s.send(st, s.answerBolt(st.takeOutput()))
			}
			s.advance(second)
			out := cl.takeOutput()
			if got := statementOf(out); got != "" && got != fmt.Sprint("statement ", requests+1) || got == "" && !strings.Contains(out, bolt.UnknownError) {
				t.Errorf("%s behind %d requests: the next one is answered %q", c.name, requests, out)
			}
		}
	}
}

// TestBoltCopyInsideATransaction guards against passing on a second copy of a statement's result as that of the next
// statement, where the store numbers the results.
func TestBoltCopyInsideATransaction(t *testing.T) {
	s := newBoltHarness(t)
	cl := s.newBoltClient()
	s.send(cl, boltBegin("once", 1), boltRun("", 1))
	st := s.openBoltStore()
	s.send(st, s.answerBolt(st.takeOutput()))
	if got := statementOf(cl.takeOutput()); got != "statement 1" {
		t.Fatalf("answered with %q", got)
	}
	s.results--
	copied := s.answerBolt(boltRun("", 1))
	s.send(cl, boltRun("", 2))
	s.send(st, copied)
	s.advance(second)
	if out := cl.takeOutput(); statementOf(out) != "" || !st.closed {
		t.Errorf("the second statement is answered %q, closed %v", out, st.closed)
	}
}

// TestBoltConnectionLostBehindItsResets checks that RESETs which were written ahead of a request do not count as part of
// it: a write of which nothing was written may go to another connection.
func TestBoltConnectionLostBehindItsResets(t *testing.T) {
	s := newBoltHarness(t)
	cl := s.newBoltClient()
	s.send(cl, boltRun("once", 1))
	st := s.openBoltStore()
	s.send(st, s.answerBolt(st.takeOutput()))
	cl.takeOutput()
	s.send(cl, boltRun("once", 2))
	reset := len(boltMessage(bolt.Reset, 0, nil))
	st.unsentBytes = len(st.out) - reset
	s.step(Event{st, Closed})
	for end := s.now + second; len(s.dials) < 2 && s.now < end; {
		s.advance(100)
	}
	if len(s.dials) < 2 {
		t.Fatalf("answered %q, and no other connection is tried", cl.takeOutput())
	}
	st = s.openBoltStore()
	s.send(st, s.answerBolt(st.takeOutput()))
	if got := statementOf(cl.takeOutput()); got != "statement 2" {
		t.Errorf("answered with %q", got)
	}
}

// TestBoltRequestsOnOneConnection checks that requests follow each other on a connection, also behind a probe and behind
// a failure.
func TestBoltRequestsOnOneConnection(t *testing.T) {
	s := newBoltHarness(t)
	cl := s.newBoltClient()
	var st *fakeLink
	for n := 1; n < 6; n++ {
		if s.send(cl, boltRun("any", n)); st == nil {
			st = s.openBoltStore()
		}
		s.send(st, s.answerBolt(st.takeOutput()))
		if got := statementOf(cl.takeOutput()); got != fmt.Sprint("statement ", n) {
			t.Fatalf("request %d is answered with %q", n, got)
		}
		if n == 3 {
			s.core.Probe(s.core.storeIndex["b"], 0, false)
			s.step()
			s.send(st, s.answerBolt(st.takeOutput()))
		}
	}
	if len(s.dials) != 1 || st.closed {
		t.Errorf("%d dials, closed %v", len(s.dials), st.closed)
	}
}
