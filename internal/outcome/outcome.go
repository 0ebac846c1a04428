// Package course follows one job that takes several messages: a statement whose result is pulled in pieces, or a
// transaction. It says what is proven about the job when its trip ends, whether the messages may be played again to
// another store, and what may still be written to one that drains. It does no I/O and reads no clock.
//
// What is proven rests on two facts of the protocol alone. A statement outside a transaction may have run from the
// moment its RUN was written whole; whatever was not written whole was never read. A transaction has no effect before
// its COMMIT was written whole, whatever ran in it: a store that loses the connection, is told to reset or dies rolls it
// back.
package outcome

import "micatrack/internal/bolt"

// Proof is what is known of a trip that is over.
type Proof uint8

const (
	NeverRan   Proof = iota // it had no effect, and will have none
	MayHaveRun              // nobody can tell
	Done                    // the store said that it is complete
)

// Verdict is what becomes of a job whose trip is over without a complete answer.
type Verdict uint8

const (
	Retry   Verdict = iota // the module may send it to another store: all that was written can be written again
	Refused                // the client has seen a part, so it has to begin anew itself; it may
	Unknown                // whether it had its effect is not known
	Failed                 // the store said why; the client is told that
)

// Tracker is one trip of one job. The zero value is a statement outside a transaction, of which nothing was written.
type Tracker struct {
	Transaction bool
	ReadOnly    bool // the client said that it writes nothing, and the store holds it to that

	messagesWritten int  // messages written whole
	workStarted     bool // the first of them that makes it work
	commitWritten   bool // COMMIT was written whole
	finished        bool // its last answer has come
	failed          bool // it failed in the store
	provenNoEffect  bool // and that proves that it had no effect
	refused         bool // the store did not take it up at all: another one may
	retryable       bool // the store's word for it would have the client try again
	forwarded       bool // the client was passed a part of an answer
	unanswered      int  // messages written and not answered
}

// MessageWritten takes in that a message was written to the store. Whole is false for one of which a part may be missing;
// nothing may be written behind it.
func (c *Tracker) MessageWritten(w bolt.What, whole bool) {
	if !whole {
		return
	}
	c.messagesWritten++
	c.unanswered++
	switch w {
	case bolt.Run, bolt.BeginTx:
		c.workStarted = true
	case bolt.Commit:
		c.commitWritten = true
	}
}

// MessageAnswered takes in the store's answer to the oldest message without one: to which message, how it ended, and for a
// result whether there is more of it.
func (c *Tracker) MessageAnswered(w bolt.What, ok, more bool, code []byte) {
	c.unanswered--
	switch {
	case !ok:
		if !c.failed { // what stands behind a failure is ignored, which is no answer to it
			// Danger: a failure proves something only by what it names, or by where it came: before COMMIT was
			// answered it undoes a transaction, for the store ignores all that was pipelined behind it.
			// And a refusal after a part of an answer is none.
			c.refused = bolt.Refused(code) != bolt.MayHaveRun && (c.Transaction || w == bolt.Run)
			c.provenNoEffect = c.refused || c.Transaction && w != bolt.Commit
			c.retryable = bolt.Invites(code)
		}
		c.failed = true
	case c.failed: // what was pipelined behind a failure is ignored
	case w == bolt.Commit || w == bolt.Rollback:
		c.finished = true
	case !c.Transaction && (w == bolt.Pull || w == bolt.Discard) && !more:
		c.finished = true
	}
}

// ResultForwarded takes in that the client was passed a part of an answer. From now on no other store's answer may follow it.
func (c *Tracker) ResultForwarded() { c.forwarded = true }

// Complete tells that the store's last answer has come, and was good.
func (c *Tracker) Complete() bool { return c.finished && !c.failed }

// AnyWritten tells that the store was asked for something whole.
func (c *Tracker) AnyWritten() bool { return c.messagesWritten > 0 }

// Idle tells that the store owes no answer: the next message is the client's.
func (c *Tracker) Idle() bool { return c.unanswered == 0 }

// Proof tells what is known now, should the connection end here.
func (c *Tracker) Proof() Proof {
	switch {
	case c.Complete():
		return Done
	case !c.workStarted || c.provenNoEffect:
		return NeverRan
	case c.Transaction && !c.commitWritten:
		return NeverRan
	}
	return MayHaveRun
}

// Verdict tells what becomes of the job now that its trip is over. reissuable: a profile that may run again; it does so as
// long as the client has seen nothing.
func (c *Tracker) Verdict(reissuable bool) Verdict {
	proof := c.Proof()
	switch {
	case c.failed && !c.refused && (proof == NeverRan || reissuable || !c.retryable):
		return Failed // the store's own word, which has nobody try again what may have run
	case proof == NeverRan || reissuable:
		if c.forwarded {
			return Refused
		}
		return Retry
	}
	return Unknown
}

// AllowedAfterDrain tells whether a message may still be written to a store whose drain's grace is over. New is whatever asks the
// store for work: a statement, the beginning of a transaction, and COMMIT, which makes all of it last. What ends work
// or takes up what is done already is not new.
func AllowedAfterDrain(w bolt.What) bool {
	switch w {
	case bolt.Rollback, bolt.Reset, bolt.Goodbye, bolt.Pull, bolt.Discard:
		return true
	}
	return false
}

// StaysDuringDrain tells what becomes of a job at a store whose grace is over: it stays if all that it needs of the store was
// written (its COMMIT, or the statement whose result is being pulled), else it ends here and now.
func (c *Tracker) StaysDuringDrain() (stays bool) {
	if c.Transaction {
		return c.commitWritten
	}
	return c.workStarted
}
