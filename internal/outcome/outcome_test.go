package outcome

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"micatrack/internal/bolt"
)

func init() { flag.Set("rapid.seed", "20261201") }

// store is a slow, plain stand-in: it reads whole messages, in order, and has its effect or not.
type store struct {
	transaction, open, failed, effect bool
	word                              string // for a fault
}

// take carries one message out and gives its answer.
func (s *store) take(w bolt.What, refuse, fault bool) (ok, ignored bool, code string) {
	switch {
	case s.failed:
		return false, true, ""
	case refuse && (w == bolt.Run || w == bolt.BeginTx || w == bolt.Commit):
		s.failed, s.open = true, false
		return false, false, bolt.NotALeader
	case fault:
		if w == bolt.Run && !s.transaction || w == bolt.Commit {
			s.effect = true // it broke off in the middle, and nobody can tell
		}
		s.failed, s.open = true, false
		return false, false, s.word
	}
	switch w {
	case bolt.BeginTx:
		s.open = true
	case bolt.Run:
		s.effect = s.effect || !s.transaction
	case bolt.Commit:
		s.effect, s.open = true, false
	}
	return true, false, ""
}

// TestProofHolds: cut off after any byte, with refusals and faults anywhere, the course never says that something never
// ran that had its effect, and never lets what may have run go again or be turned back where it must not.
func TestProofHolds(t *testing.T) {
	again, back, off := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := Tracker{Transaction: rapid.Bool().Draw(t, "transaction")}
		script := []bolt.What{bolt.Run, bolt.Pull}
		if c.Transaction {
			script = []bolt.What{bolt.BeginTx, bolt.Run, bolt.Pull, bolt.Run, bolt.Pull, bolt.Commit}
		}
		s := store{transaction: c.Transaction, word: rapid.SampledFrom([]string{"Neo.DatabaseError.General.UnknownError",
			"Neo.TransientError.Transaction.DeadlockDetected"}).Draw(t, "word")}
		wrote := rapid.IntRange(0, len(script)).Draw(t, "written whole")
		part := wrote < len(script) && rapid.Bool().Draw(t, "and a part of the next")
		heard := rapid.IntRange(0, wrote).Draw(t, "answers heard")
		refuse := rapid.IntRange(-1, 2*len(script)).Draw(t, "refused")
		fault := rapid.IntRange(-1, 2*len(script)).Draw(t, "fault")
		for i, w := range script[:wrote] {
			c.MessageWritten(w, true)
			ok, ignored, code := s.take(w, i == refuse, i == fault)
			if i < heard {
				if ignored {
					c.MessageAnswered(w, false, false, nil)
					continue
				}
				c.MessageAnswered(w, ok, false, []byte(code))
				if ok && rapid.Bool().Draw(t, "shown") {
					c.ResultForwarded()
				}
			}
		}
		if part {
			c.MessageWritten(script[wrote], false)
		}
		if c.Complete() {
			if c.Proof() != Done || !s.effect {
				t.Fatalf("complete, proof %d, effect %v", c.Proof(), s.effect)
			}
			return
		}
		if c.Proof() == NeverRan && s.effect {
			t.Fatalf("said never to have run: %+v", c)
		}
		switch v := c.Verdict(false); {
		case (v == Retry || v == Refused) && s.effect:
			t.Fatalf("verdict %d of what had its effect: %+v", v, c)
		case v == Failed && s.effect && bolt.Invites([]byte(s.word)):
			t.Fatalf("the client is told to try again what had its effect: %+v", c)
		case v == Retry && c.forwarded:
			t.Fatalf("goes again after the client saw a part: %+v", c)
		case v == Retry:
			again++
		case v == Refused:
			back++
		case v == Unknown:
			off++
		}
		if c.StaysDuringDrain() && c.Transaction && !c.commitWritten {
			t.Fatal("a transaction without COMMIT stays past the grace")
		}
	})
	if again == 0 || back == 0 || off == 0 {
		t.Errorf("again %d, turned back %d, written off %d: some were never seen", again, back, off)
	}
}

// TestCommitWrittenAnswerLost (a hard case): from COMMIT on, and only from there, a lost connection is written off.
func TestCommitWrittenAnswerLost(t *testing.T) {
	c := Tracker{Transaction: true}
	for _, w := range []bolt.What{bolt.BeginTx, bolt.Run, bolt.Pull} {
		c.MessageWritten(w, true)
		c.MessageAnswered(w, true, false, nil)
	}
	if c.Verdict(false) != Retry || c.StaysDuringDrain() {
		t.Errorf("before COMMIT: %+v", c)
	}
	c.ResultForwarded()
	if c.Verdict(false) != Refused {
		t.Errorf("before COMMIT, a part shown: %+v", c)
	}
	c.MessageWritten(bolt.Commit, false)
	if c.Verdict(false) != Refused {
		t.Errorf("COMMIT written in part: %+v", c)
	}
	c.MessageWritten(bolt.Commit, true)
	if c.Verdict(false) != Unknown || !c.StaysDuringDrain() || c.Idle() {
		t.Errorf("COMMIT written: %+v", c)
	}
	changed := c
	changed.MessageAnswered(bolt.Commit, false, false, []byte(bolt.NotALeader))
	if changed.Verdict(false) != Refused || changed.Proof() != NeverRan {
		t.Errorf("the old primary turned COMMIT away: %+v", changed)
	}
	c.MessageAnswered(bolt.Commit, true, false, nil)
	if !c.Complete() || c.Proof() != Done {
		t.Errorf("committed: %+v", c)
	}
}

// TestRefusalAfterAnAnswer: a store that took a statement up and refuses its result has said nothing of it.
func TestRefusalAfterAnAnswer(t *testing.T) {
	c := Tracker{}
	c.MessageWritten(bolt.Run, true)
	c.MessageWritten(bolt.Pull, true)
	first := c
	if first.MessageAnswered(bolt.Run, false, false, []byte(bolt.BehindMark)); first.Verdict(false) != Retry {
		t.Errorf("refused at once: %+v", first)
	}
	c.MessageAnswered(bolt.Run, true, false, nil)
	if c.MessageAnswered(bolt.Pull, false, false, []byte(bolt.BehindMark)); c.Verdict(false) != Unknown || c.Verdict(true) != Failed {
		t.Errorf("refused after it was taken up: %+v", c)
	}
}

// TestAfterTheGrace: what may still be written to a store that drains.
func TestAfterTheGrace(t *testing.T) {
	for w, may := range map[bolt.What]bool{bolt.Run: false, bolt.BeginTx: false, bolt.Commit: false, bolt.Rollback: true, bolt.Reset: true,
		bolt.Pull: true, bolt.Discard: true, bolt.Goodbye: true} {
		if AllowedAfterDrain(w) != may {
			t.Errorf("%v: %v", w, !may)
		}
	}
	c := Tracker{}
	if c.StaysDuringDrain() {
		t.Error("a statement that was not written stays")
	}
	c.MessageWritten(bolt.Run, true)
	if !c.StaysDuringDrain() {
		t.Error("a statement whose result is pulled ends")
	}
}
