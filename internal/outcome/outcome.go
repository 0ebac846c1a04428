// Package outcome tracks one attempt of a request that takes several messages: a statement whose result is pulled in
// pieces, or a transaction. It tells what is proven about the request when the attempt ends, whether its messages may
// be sent again to another store, and which messages may still be written to a store that drains. It does no I/O and
// reads no clock.
//
// The proof rests on two properties of the protocol alone. A statement outside a transaction may have run from the
// moment its RUN was written completely; a message that was not written completely was never read. A transaction has no
// effect before its COMMIT was written completely, whatever ran in it: a store that loses the connection, is told to
// reset or dies rolls it back.
package outcome

import "micatrack/internal/bolt"

// Proof is what is known about the effect of an attempt that has ended.
type Proof uint8

const (
	NeverRan   Proof = iota // the request had no effect and will have none
	MayHaveRun              // it is not known whether the request had an effect
	Done                    // the store reported that the request is complete
)

// Verdict is what happens to a request whose attempt ended without a complete answer.
type Verdict uint8

const (
	Retry   Verdict = iota // the balancer may send it to another store: all that was written can be written again
	Refused                // the client has seen part of a result, so only the client may start the request again; that is safe
	Unknown                // it is not known whether the request had an effect
	Failed                 // the store reported an error, which the client is told
)

// Tracker tracks one attempt of one request. The zero value is a statement outside a transaction of which nothing has
// been written.
type Tracker struct {
	Transaction bool // the request is a transaction rather than a single statement
	ReadOnly    bool // the client declared that it only reads, and the store enforces that

	messagesWritten int  // messages that were written completely
	workStarted     bool // RUN or BEGIN, which makes the store start work, was written completely
	commitWritten   bool // COMMIT was written completely
	finished        bool // the last answer has been received
	failed          bool // the request failed at the store
	provenNoEffect  bool // the failure proves that the request had no effect
	refused         bool // the store did not start the request at all, so another store may
	retryable       bool // the store's error code tells clients to try again
	forwarded       bool // part of an answer was forwarded to the client
	unanswered      int  // messages written and not yet answered
}

// MessageWritten records that a message was written to the store. whole is false for a message that may have been
// written only in part; nothing may be written after it.
func (c *Tracker) MessageWritten(w bolt.MessageType, whole bool) {
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

// MessageAnswered records the store's answer to the oldest unanswered message: w is that message, ok tells whether it
// succeeded, more whether its result has more to pull, and code is the error code of a failure.
func (c *Tracker) MessageAnswered(w bolt.MessageType, ok, more bool, code []byte) {
	c.unanswered--
	switch {
	case !ok:
		if !c.failed { // messages after a failure are ignored, which says nothing about the failure
			// A failure is proof only by its code or by the message that failed: a failure before the answer to COMMIT
			// rolls a transaction back, for the store ignores all that was pipelined behind it. A refusal after part of
			// an answer proves nothing.
			c.refused = bolt.ClassifyFailure(code) != bolt.MayHaveRun && (c.Transaction || w == bolt.Run)
			c.provenNoEffect = c.refused || c.Transaction && w != bolt.Commit
			c.retryable = bolt.ClientMayRetry(code)
		}
		c.failed = true
	case c.failed: // messages pipelined behind a failure are ignored
	case w == bolt.Commit || w == bolt.Rollback:
		c.finished = true
	case !c.Transaction && (w == bolt.Pull || w == bolt.Discard) && !more:
		c.finished = true
	}
}

// ResultForwarded records that part of an answer was forwarded to the client. From then on no other store's answer may
// follow it.
func (c *Tracker) ResultForwarded() { c.forwarded = true }

// Complete reports whether the last answer has been received without a failure.
func (c *Tracker) Complete() bool { return c.finished && !c.failed }

// AnyWritten reports whether at least one message was written completely to the store.
func (c *Tracker) AnyWritten() bool { return c.messagesWritten > 0 }

// Idle reports whether the store owes no answer, so that the next message has to come from the client.
func (c *Tracker) Idle() bool { return c.unanswered == 0 }

// Proof returns what is known about the effect if the connection ends now.
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

// Verdict returns what happens to the request now that its attempt has ended. reissuable is true for a request of a
// class that may run more than once; it is sent again as long as the client has seen nothing.
func (c *Tracker) Verdict(reissuable bool) Verdict {
	proof := c.Proof()
	switch {
	case c.failed && !c.refused && (proof == NeverRan || reissuable || !c.retryable):
		return Failed // the store's own error, whose code doesn't make the client repeat what may have run
	case proof == NeverRan || reissuable:
		if c.forwarded {
			return Refused
		}
		return Retry
	}
	return Unknown
}

// AllowedAfterDrain reports whether a message may still be written to a store whose drain grace period is over. Not
// allowed is whatever asks the store for new work: a statement, the beginning of a transaction, and COMMIT, which makes
// the transaction durable. Messages that end work or fetch what has been done already are allowed.
func AllowedAfterDrain(w bolt.MessageType) bool {
	switch w {
	case bolt.Rollback, bolt.Reset, bolt.Goodbye, bolt.Pull, bolt.Discard:
		return true
	}
	return false
}

// StaysDuringDrain reports whether a request may remain at a store whose drain grace period is over. It remains if all
// that it needs from the store was written (its COMMIT, or the statement whose result is being pulled); otherwise it is
// ended at once.
func (c *Tracker) StaysDuringDrain() (stays bool) {
	if c.Transaction {
		return c.commitWritten
	}
	return c.workStarted
}
