package front

import (
	"context"
	"log/slog"
)

const summaryInterval = 60 * 1000 * millisecond // time between two summary lines

// closeCause says why a client's connection ended.
type closeCause uint8

const (
	closedByPeer      closeCause = iota // the client closed it, or it broke
	closedAtGoodbye                     // the client announced that it disconnects
	closedByViolation                   // the client violated the protocol, so its stream cannot be parsed further
	closedByCancel                      // the connection was opened to cancel a request, which is done
	closedDeclined                      // there was no room for it, and it was sent an error
	closedOverLimit                     // there was no room even for the error
	closedIdle                          // it was evicted while idle after an answer
	closedNew                           // it was evicted before it had sent anything
	closedUngreeted                     // its startup message did not arrive in time
	closedStalled                       // the client stopped within a message
	closedUnread                        // the client did not read its output
	closedAtShutdown                    // the front shuts down
	closedStayed                        // the front had ended the connection, and the client did not close its side
	numberOfCloseCauses
)

var closeCauseNames = [numberOfCloseCauses]string{"peer", "goodbye", "violation", "cancel", "declined", "over_limit", "at_rest", "new",
	"ungreeted", "stalled", "unread", "shutdown", "stayed"}

func (c closeCause) String() string { return closeCauseNames[c] }

// unusual reports whether each such end is logged individually.
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
	endFaulty    // it was invalid
	endCancelled // by its client
	endAbandoned // its client had disconnected
	numberOfRequestEnds
)

var requestEndNames = [numberOfRequestEnds]string{"served", "refused", "failed", "faulty", "cancelled", "abandoned"}

func (e requestEnd) String() string { return requestEndNames[e] }

// eventCounts counts what ended since the last summary line.
type eventCounts struct {
	closed   [numberOfCloseCauses]int
	requests [numberOfRequestEnds]int
	commands int // commands taken from clients' input
	// inputWaits is the number of requests that were refused because their clients had sent more than there is room for.
	inputWaits int
	late       int // answers given after their clients' deadlines
	delays     int // times that the front was held up
	// strayAnswers is the number of answers of stores that belonged to an earlier request of their connection.
	strayAnswers int
	summaryAt    Time

	longestDelay Time // the longest of the delays
}

// countClose counts the end of a client's connection, and logs it if it is unusual or leaves a request unanswered.
func (c *Core) countClose(cl *client, cause closeCause) {
	c.counts.closed[cause]++
	if !cause.unusual() && (cl.request < 0 || cause == closedByPeer) {
		return
	}
	requestID := ""
	if cl.request >= 0 {
		requestID = string(c.requests[cl.request].metadata.ID)
	}
	c.logLimited("client connection closed", "cause", cause.String(), "client", cl.serial, "request", requestID, "behind", len(cl.pipeline.queue),
		"unread", len(cl.link.Peek()), "answer_out", cl.link.Flushed(), "silent_ms", (c.now-cl.activeAt)/millisecond)
}

// countCommand counts a command of size bytes that was taken from a client's input, whether or not it is a request.
func (c *Core) countCommand(cl *client, size int) {
	c.counts.commands++
	c.work.countCommand(cl.serial, size)
	cl.turn.commands++
	cl.turn.bytes += size
}

// countRequest counts the end of a request. It logs a request that was answered after its deadline, that failed after an
// attempt that may have run, or that was abandoned after its deadline or after it was
// read late.
func (c *Core) countRequest(index int32, end requestEnd) {
	req := &c.requests[index]
	c.counts.requests[end]++
	over := c.now - req.arrivedAt - req.timeLeft
	isLate := over > 0 && end != endAbandoned
	if isLate {
		c.counts.late++
	}
	readLate := req.readAt - req.arrivedAt
	unanswered := end == endAbandoned && (over > 0 || readLate > stepTolerance)
	if !isLate && end != endFailed && !unanswered {
		return
	}
	store := ""
	if req.attempts > 0 && int(req.store) < len(c.stores) {
		store = c.stores[req.store].id
	}
	c.logLimited("request not served", "request", string(req.metadata.ID), "end", end.String(), "took_ms", (c.now-req.arrivedAt)/millisecond,
		"over_ms", over/millisecond, "read_late_ms", readLate/millisecond, "attempts", req.attempts, "store", store, "out", req.attemptConn != nil, "waits", req.awaitsConn)
}

// summarize logs the counts once in each summaryInterval in which something ended.
func (c *Core) summarize() {
	if c.now < c.counts.summaryAt {
		return
	}
	if c.counts.summaryAt > 0 {
		c.LogCounts()
	}
	c.counts = eventCounts{summaryAt: c.now + summaryInterval}
}

// LogCounts logs the number of connections and requests that ended since the last summary.
func (c *Core) LogCounts() {
	attributes := make([]slog.Attr, 0, int(numberOfCloseCauses)+int(numberOfRequestEnds)+1)
	for end, count := range c.counts.requests {
		if count > 0 {
			attributes = append(attributes, slog.Int("requests_"+requestEnd(end).String(), count))
		}
	}
	if c.counts.commands > 0 {
		attributes = append(attributes, slog.Int("commands", c.counts.commands))
	}
	if c.counts.inputWaits > 0 {
		attributes = append(attributes, slog.Int("refused_input_waits", c.counts.inputWaits))
	}
	if c.counts.late > 0 {
		attributes = append(attributes, slog.Int("requests_late", c.counts.late))
	}
	if c.counts.strayAnswers > 0 {
		attributes = append(attributes, slog.Int("stray_answers", c.counts.strayAnswers))
	}
	if c.counts.delays > 0 {
		attributes = append(attributes, slog.Int("delays", c.counts.delays), slog.Int64("longest_delay_ms", c.counts.longestDelay/millisecond))
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
