package front

import (
	"context"
	"log/slog"
)

const summaryInterval = 60 * 1000 * millisecond // between two lines that count what ended

// closeCause says why a client's connection ended.
type closeCause uint8

const (
	closedByPeer      closeCause = iota // the client closed it, or it broke
	closedAtGoodbye                     // the client said that it was leaving
	closedByViolation                   // its stream cannot be followed any more
	closedByCancel                      // it came to cancel a request, and that is done
	closedDeclined                      // there was no room for it, and it was told so
	closedOverLimit                     // there was no room even to tell it so
	closedAtRest                        // it gave way to another after an answer
	closedNew                           // it gave way to another before it had said anything
	closedUngreeted                     // its startup message did not come in time
	closedStalled                       // it stopped inside a message
	closedUnread                        // it did not read what it was sent
	closedAtShutdown                    // the front ends
	closedStayed                        // it had been told that it was over, and did not close its side
	numberOfCloseCauses
)

var closeCauseNames = [numberOfCloseCauses]string{"peer", "goodbye", "violation", "cancel", "declined", "over_limit", "at_rest", "new",
	"ungreeted", "stalled", "unread", "shutdown", "stayed"}

func (c closeCause) String() string { return closeCauseNames[c] }

// unusual tells whether each such end is logged by itself.
func (c closeCause) unusual() bool {
	switch c {
	case closedByViolation, closedOverLimit, closedNew, closedUngreeted, closedStalled, closedUnread, closedStayed:
		return true
	}
	return false
}

// requestEnd says how a request ended.
type requestEnd uint8

const (
	endServed requestEnd = iota
	endRefused
	endFailed
	endFaulty    // it made no sense
	endCancelled // by its client
	endAbandoned // its client had gone
	numberOfRequestEnds
)

var requestEndNames = [numberOfRequestEnds]string{"served", "refused", "failed", "faulty", "cancelled", "abandoned"}

func (e requestEnd) String() string { return requestEndNames[e] }

// eventCounts counts what ended since the last line that told of it.
type eventCounts struct {
	closed    [numberOfCloseCauses]int
	requests  [numberOfRequestEnds]int
	late      int // answers given after their clients' time
	summaryAt Time
}

// countClose counts the end of a client's connection, and logs it if it is unusual or leaves a request unanswered.
func (c *Core) countClose(cl *client, cause closeCause) {
	c.counts.closed[cause]++
	if !cause.unusual() && (cl.request < 0 || cause == closedByPeer) {
		return
	}
	request := ""
	if cl.request >= 0 {
		request = string(c.requests[cl.request].terms.ID)
	}
	c.logLimited("client connection closed", "cause", cause.String(), "client", cl.serial, "request", request, "behind", len(cl.pipeline.queue),
		"unread", len(cl.link.Peek()), "answer_out", cl.link.Flushed(), "silent_ms", (c.now-cl.activeAt)/millisecond)
}

// countRequest counts the end of a request. One that was answered after its time, or given up behind an attempt that may
// have run, is logged.
func (c *Core) countRequest(index int32, end requestEnd) {
	request := &c.requests[index]
	c.counts.requests[end]++
	over := c.now - request.arrivedAt - request.timeLeft
	isLate := over > 0 && end != endAbandoned
	if isLate {
		c.counts.late++
	}
	if !isLate && end != endFailed {
		return
	}
	store := ""
	if request.attempts > 0 && int(request.store) < len(c.stores) {
		store = c.stores[request.store].id
	}
	c.logLimited("request not served", "request", string(request.terms.ID), "end", end.String(), "took_ms", (c.now-request.arrivedAt)/millisecond,
		"over_ms", over/millisecond, "attempts", request.attempts, "store", store, "out", request.attemptConn != nil, "waits", request.awaitsConn)
}

// summarize logs the counts of what ended, once in each summaryInterval in which something did.
func (c *Core) summarize() {
	if c.now < c.counts.summaryAt {
		return
	}
	if c.counts.summaryAt > 0 {
		c.LogCounts()
	}
	c.counts = eventCounts{summaryAt: c.now + summaryInterval}
}

// LogCounts logs what ended since the last summary.
func (c *Core) LogCounts() {
	attributes := make([]slog.Attr, 0, int(numberOfCloseCauses)+int(numberOfRequestEnds)+1)
	for end, count := range c.counts.requests {
		if count > 0 {
			attributes = append(attributes, slog.Int("requests_"+requestEnd(end).String(), count))
		}
	}
	if c.counts.late > 0 {
		attributes = append(attributes, slog.Int("requests_late", c.counts.late))
	}
	for cause, count := range c.counts.closed {
		if count > 0 {
			attributes = append(attributes, slog.Int("closed_"+closeCause(cause).String(), count))
		}
	}
	if len(attributes) > 0 {
		c.log.LogAttrs(context.Background(), slog.LevelInfo, "ended", attributes...)
	}
}
