package outcome

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"micatrack/internal/bolt"
)

func init() { flag.Set("rapid.seed", "20261201") }

// store is a simple model of a store: it reads whole messages in order, and the request has its effect or not.
type store struct {
	transaction, open, failed, effect bool
	errorCode                         string // error code of a fault
}

// take executes one message and returns its answer.
func (s *store) take(w bolt.MessageType, refuse, fault bool) (ok, ignored bool, code string) {
	switch {
	case s.failed:
		return false, true, ""
	case refuse && (w == bolt.Run || w == bolt.BeginTx || w == bolt.Commit):
		s.failed, s.open = true, false
		return false, false, bolt.NotALeader
	case fault:
		if w == bolt.Run && !s.transaction || w == bolt.Commit {
			s.effect = true // it failed halfway, so the effect is unknown
		}
		s.failed, s.open = true, false
		return false, false, s.errorCode
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

// TestProofHolds cuts the connection after any byte, with refusals and faults at any message. The tracker must never
// report that a request never ran which had its effect, and must never allow a request that may have run to be sent
// again or refused as safe to repeat.
func TestProofHolds(t *testing.T) {
	again, back, off := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := Tracker{Transaction: rapid.Bool().Draw(t, "transaction")}
		script := []bolt.MessageType{bolt.Run, bolt.Pull}
		if c.Transaction {
			script = []bolt.MessageType{bolt.BeginTx, bolt.Run, bolt.Pull, bolt.Run, bolt.Pull, bolt.Commit}
		}
		s := store{transaction: c.Transaction, errorCode: rapid.SampledFrom([]string{"Neo.DatabaseError.General.UnknownError",
			"Neo.TransientError.Transaction.DeadlockDetected"}).Draw(t, "error code")}
		wrote := rapid.IntRange(0, len(script)).Draw(t, "written whole")
		part := wrote < len(script) && rapid.Bool().Draw(t, "part of the next")
		heard := rapid.IntRange(0, wrote).Draw(t, "answers received")
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
				if ok && rapid.Bool().Draw(t, "forwarded") {
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
			t.Fatalf("reported as never run despite its effect: %+v", c)
		}
		switch v := c.Verdict(false); {
		case (v == Retry || v == Refused) && s.effect:
			t.Fatalf("verdict %d for a request that had its effect: %+v", v, c)
		case v == Failed && s.effect && bolt.ClientMayRetry([]byte(s.errorCode)):
			t.Fatalf("the client is told to repeat a request that had its effect: %+v", c)
		case v == Retry && c.forwarded:
			t.Fatalf("sent again after the client saw part of the answer: %+v", c)
		case v == Retry:
			again++
		case v == Refused:
			back++
		case v == Unknown:
			off++
		}
		if c.StaysDuringDrain() && c.Transaction && !c.commitWritten {
			t.Fatal("a transaction without COMMIT stays past the grace period")
		}
	})
	if again == 0 || back == 0 || off == 0 {
		t.Errorf("retry %d, refused %d, unknown %d: some never occurred", again, back, off)
	}
}

// TestCommitWrittenAnswerLost guards the boundary at which a lost connection leaves the effect unknown: from the moment
// COMMIT is written, and not before.
func TestCommitWrittenAnswerLost(t *testing.T) {
	c := Tracker{Transaction: true}
	for _, w := range []bolt.MessageType{bolt.BeginTx, bolt.Run, bolt.Pull} {
		c.MessageWritten(w, true)
		c.MessageAnswered(w, true, false, nil)
	}
	if c.Verdict(false) != Retry || c.StaysDuringDrain() {
		t.Errorf("before COMMIT: %+v", c)
	}
	c.ResultForwarded()
	if c.Verdict(false) != Refused {
		t.Errorf("before COMMIT, part of the answer forwarded: %+v", c)
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
		t.Errorf("the old primary refused COMMIT: %+v", changed)
	}
	c.MessageAnswered(bolt.Commit, true, false, nil)
	if !c.Complete() || c.Proof() != Done {
		t.Errorf("committed: %+v", c)
	}
}

// TestRefusalAfterAnAnswer guards against taking a refusal as proof that nothing ran when the store had accepted the
// statement and then refuses its result.
func TestRefusalAfterAnAnswer(t *testing.T) {
	c := Tracker{}
	c.MessageWritten(bolt.Run, true)
	c.MessageWritten(bolt.Pull, true)
	first := c
	if first.MessageAnswered(bolt.Run, false, false, []byte(bolt.BookmarkTimeout)); first.Verdict(false) != Retry {
		t.Errorf("refused at once: %+v", first)
	}
	c.MessageAnswered(bolt.Run, true, false, nil)
	if c.MessageAnswered(bolt.Pull, false, false, []byte(bolt.BookmarkTimeout)); c.Verdict(false) != Unknown || c.Verdict(true) != Failed {
		t.Errorf("refused after it was accepted: %+v", c)
	}
}

// TestAfterTheGrace checks which messages may still be written to a store whose drain grace period is over.
func TestAfterTheGrace(t *testing.T) {
	for w, may := range map[bolt.MessageType]bool{bolt.Run: false, bolt.BeginTx: false, bolt.Commit: false, bolt.Rollback: true, bolt.Reset: true,
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
		t.Error("a statement whose result is pulled is ended")
	}
}
