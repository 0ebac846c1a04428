package front

import (
	"strings"
	"testing"

	"micatrack/internal/bolt"
)

// TestBoltDeadlineBehindTheAnswerToRun guards against giving a read that waits for its result no final answer in its
// client's time because the answer to its RUN has been forwarded (review/10).
func TestBoltDeadlineBehindTheAnswerToRun(t *testing.T) {
	for _, inTransaction := range []bool{false, true} {
		for _, stopping := range []bool{false, true} {
			s := newBoltHarness(t)
			cl := s.newBoltClient()
			if stopping {
				s.core.Stop(s.now)
			}
			began := s.now
			run := strings.TrimSuffix(boltRun("any", 1), string(pullAll))
			if inTransaction {
				run = boltBegin("any", 1)
			}
			s.send(cl, run)
			st := s.openBoltStore()
			s.send(st, s.answerBolt(st.takeOutput()))
			if out := cl.takeOutput(); !strings.Contains(out, "p\xa2") && !inTransaction {
				t.Fatalf("the answer to RUN is %q", out)
			}
			s.advance(50 * millisecond)
			if inTransaction {
				s.send(cl, boltRun("", 1))
			} else {
				s.send(cl, string(pullAll))
			}
			if st.takeOutput() == "" {
				t.Fatal("the store is sent nothing")
			}
			s.advance(900*millisecond - (s.now - began))
			if out := cl.takeOutput(); out != "" {
				t.Fatalf("answered %q before its time is over", out)
			}
			s.advance(1020*millisecond - (s.now - began))
			if out := cl.takeOutput(); !strings.Contains(out, bolt.NoThreadsAvailable) {
				t.Errorf("in a transaction %v, stopping %v: answered %q at the end of its time", inTransaction, stopping, out)
			}
			if len(s.dials) != 1 {
				t.Errorf("it is sent to another store: %d dials", len(s.dials))
			}
		}
	}
}

// TestBoltResultLongerThanTheDeadline checks that a result that has begun is read for as long as it takes, and that the
// time between two parts of it is limited.
func TestBoltResultLongerThanTheDeadline(t *testing.T) {
	s := newBoltHarness(t)
	cl := s.newBoltClient()
	s.send(cl, boltRun("any", 1))
	st := s.openBoltStore()
	answers := s.answerBolt(st.takeOutput())
	record := answers[strings.Index(answers, "\xb1q")-2 : strings.LastIndex(answers, "\x00\x00\x00")+2]
	s.send(st, answers[:strings.Index(answers, "\xb1q")-2], record)
	for range 4 {
		s.advance(800 * millisecond)
		s.send(st, record)
		if out := cl.takeOutput(); statementOf(out) != "statement 1" {
			t.Fatalf("a record is forwarded as %q", out)
		}
	}
	s.advance(s.core.classes.longest + 20*millisecond)
	if out := cl.takeOutput(); !strings.Contains(out, bolt.NoThreadsAvailable) {
		t.Errorf("answered %q when nothing more came", out)
	}
}
