package front

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/metadata"
	"micatrack/internal/pgwire"
)

// clientProtocol is one wire protocol towards clients. Its methods read a connection's input and encode the core's
// answers.
type clientProtocol interface {
	// startConnection reads the first message of a connection.
	startConnection(cl *client, c *Core, in []byte) (used int)
	// declineConnection reads the first message of a connection for which there is no room.
	declineConnection(cl *client, c *Core, in []byte) (used int)
	// noRoomMessage appends the error that tells a client without a handshake that there is no room.
	noRoomMessage(dst []byte) []byte
	// messageTooLarge ends a connection whose message exceeds the buffer space.
	messageTooLarge(cl *client, c *Core)
	// messageStalled ends a connection whose client stopped within a message.
	messageStalled(cl *client, c *Core)
	// inputAvailable is called when input arrived or there is room again while a request is pending.
	inputAvailable(cl *client, c *Core)
	// requestDone is called with a request's final answer; failed is true if the answer is an error by the core itself.
	requestDone(cl *client, c *Core, failed bool)
	// refusalReply appends the complete final answer that tells the client to try again, after pause if that is not 0.
	refusalReply(dst []byte, pause Time) []byte
	// failureReply appends the complete final answer that tells that the request may have run.
	failureReply(dst []byte, why string) []byte
	// faultReply appends the complete final answer to an invalid request.
	faultReply(dst []byte, f fault, why string) []byte
}

// fault is what is wrong with a request.
type fault uint8

const (
	noFault      fault = iota
	unparsable         // it cannot be parsed
	unknownClass       // its class is not in the settings
	unknownGroup       // its group is not listed, or speaks the other protocol
	duplicateID        // another pending request has the same id
)

// request is one pending request. Its query stays in its client's read buffer until it is answered.
type request struct {
	id          string // decimal index in Core.requests, by which the balancer knows it
	client      *client
	metadata    metadata.Request
	timeoutSpan pgwire.TimeoutSpan // where its timeout stands in the query
	bolt        bool               // it was received over Bolt
	offset      int                // offset of its command in the client's read buffer
	classes     *classTable        // the classes in force when it arrived
	classIndex  int                // index of its class in classes
	timeLeft    Time               // time left as given by the client on arrival
	arrivedAt   Time               // when its last byte arrived at the earliest
	readAt      Time               // when it was read
	attempts    int                // number of attempts started
	attemptConn *conn              // connection that carries the current attempt
	awaitsConn  bool               // the current attempt waits for a connection
	written     bool               // an attempt was written to a store, and may have run
	store       uint32             // number of the store of the last attempt
	// minPosition is the position that the answer to the current attempt has to show; 0: none.
	minPosition Time
	queued      int  // entries of the core's queues that name it by its index
	concluded   bool // it has had its final answer, or needs none
	inUse       bool // the entry in Core.requests is taken
}

// client is one client connection.
type client struct {
	link         Link
	index        int    // index in Core.clients; -1: released
	serial       uint64 // unique among all clients of this front
	protocol     clientProtocol
	readNext     func(cl *client, c *Core, in []byte) (used int) // processes the next input; 0: it is incomplete
	activeAt     Time                                            // when it connected, last completed a message or was last answered
	lastInput    Time                                            // when it connected or more input was last found
	arrivedAt    Time                                            // when that input arrived at the earliest
	inputBytes   int64                                           // bytes of input received by then
	request      int32                                           // index of the pending request, or -1
	requestBytes int                                             // bytes of the pending request's query
	turn         turn
	pipeline     pipeline // requests behind the pending one
	skipToSync   bool     // messages are skipped until the next Sync
	ending       bool     // the front has ended the connection
	greeted      bool     // the startup is complete
	declined     int      // requests for encryption that were declined

	messageSince Time  // when a sweep first saw the message that is partly received; 0: none, as of the last sweep
	unreadSince  Time  // when a sweep first saw that it takes none of its output; 0: all was taken, as of the last sweep
	unreadSent   int64 // bytes that the system had accepted then
	unreadLogged bool  // the lack of progress has been logged
}

// accept adds a client connection. Where there is no room for it, it will be declined.
func (c *Core) accept(l Link, flags EventFlags, s clientProtocol) {
	if len(c.clients) >= c.limits.MaxConnections { // connections that are being declined take all the room that there is
		c.counts.closed[closedOverLimit]++
		c.logLimited("client connection closed", "cause", closedOverLimit.String(), "clients", len(c.clients))
		l.Close()
		return
	}
	c.lastSerial++
	cl := &client{link: l, index: len(c.clients), serial: c.lastSerial, protocol: s, request: -1, activeAt: c.now, lastInput: c.now}
	cl.readNext = cl.protocol.startConnection
	l.SetOwner(cl)
	c.clients = append(c.clients, cl)
	if len(c.clients) > c.limits.MaxClients && !c.evict(0) || len(c.clients)+len(c.conns) > c.limits.MaxConnections && !c.closeOldestIdle() {
		cl.readNext = cl.protocol.declineConnection
	}
	cl.handleEvent(c, flags)
}

// newClientGrace is the time that a client has for its first bytes before it may be closed to make room for others.
const newClientGrace = 500 * millisecond

// evict closes a client connection to make room. It takes first a client that has received everything and only has to
// close its side, then one that has not completed its startup and is older than newClientGrace, then the one that has
// been idle longest. It returns false if none may be closed. Without eviction, clients that send one request and keep
// their connections open would lock out all others.
func (c *Core) evict(minIdle Time) bool {
	minIdle = max(minIdle, closeNoticeDelay)
	for cl := c.longestIdle(minIdle); cl != nil; cl = c.longestIdle(minIdle) {
		switch {
		case cl.ending:
			cl.closeNow(c, closedStayed)
			return true
		case !cl.link.CloseIfIdle(cl.evictionMessage(c)): // it has just sent something, or disconnected
			cl.activeAt, cl.lastInput = c.now, c.now
		case cl.greeted:
			cl.release(c, closedIdle)
			return true
		default:
			cl.release(c, closedNew)
			return true
		}
	}
	return false
}

// evictionMessage returns what a client is sent that is closed to make room. A client that is idle between requests is
// sent nothing.
func (cl *client) evictionMessage(c *Core) []byte {
	if cl.greeted {
		return nil
	}
	return cl.protocol.noRoomMessage(c.scratch[:0])
}

// longestIdle returns the client that is to be closed first, or nil if all have been active within minIdle.
func (c *Core) longestIdle(minIdle Time) (first *client) {
	longest, fresh := minIdle, true
	for _, cl := range c.clients {
		idle := c.now - cl.activeAt
		switch {
		case cl.ending:
			if cl.link.Flushed() && idle >= minIdle {
				return cl
			}
		case !cl.idle():
		case !cl.greeted:
			if idle >= newClientGrace && (fresh || idle >= longest) {
				first, longest, fresh = cl, idle, false
			}
		case fresh && idle >= longest:
			first, longest = cl, idle
		}
	}
	return first
}

// idle reports whether no part of a command has arrived and the last answer has been sent.
func (cl *client) idle() bool {
	return cl.request < 0 && !cl.ending && len(cl.link.Peek()) == 0 && cl.link.Flushed()
}

// handleEvent handles an event of the client's link.
func (cl *client) handleEvent(c *Core, flags EventFlags) {
	if cl.request >= 0 && !cl.ending {
		cl.protocol.inputAvailable(cl, c)
	}
	if flags&Readable != 0 {
		cl.noteInput(c)
		cl.processInput(c)
	}
	if flags&Closed != 0 {
		cl.release(c, closedByPeer)
	}
}

// noteInput reports whether more input has arrived since the last call.
func (cl *client) noteInput(c *Core) bool {
	received := cl.link.ReceivedBytes()
	if received == cl.inputBytes {
		return false
	}
	cl.inputBytes, cl.lastInput, cl.arrivedAt = received, c.now, cl.inputArrival(c)
	return true
}

// inputArrival returns the time from which the requests in the input that is read now have to be counted: the earliest
// at which it may have arrived, by the front's own delays and by what the system tells.
func (cl *client) inputArrival(c *Core) Time {
	age := Time(cl.link.InputAge() / timeUnit)
	return min(c.delay.earliestArrival(c.now), c.now-age)
}

// latestArrival returns when a command arrived whose arrival was not recorded. The time that it has waited behind
// others does not count.
func (cl *client) latestArrival(c *Core) Time {
	if cl.lastInput == c.now {
		return cl.arrivedAt
	}
	return c.now
}

// processInput processes the input that has arrived.
func (cl *client) processInput(c *Core) {
	if cl.ending {
		return
	}
	cl.recordArrivals()
	cl.read(c)
}

// recordArrivals records when the commands in the last input arrived.
func (cl *client) recordArrivals() {
	if _, isPostgres := cl.protocol.(postgres); isPostgres && cl.greeted {
		cl.pipeline.arrivals.scan(cl.link.Peek(), cl.arrivedAt)
	}
}

// receiveInput processes all input that has arrived up to this moment, whether or not an event has told of it. It
// reports whether the client is still connected.
func (cl *client) receiveInput(c *Core) bool {
	if cl.link.PeerState() == PeerGone {
		return false // its Closed event follows
	}
	if cl.noteInput(c) {
		cl.processInput(c)
	}
	return cl.index >= 0
}

// closeNow closes a client's connection at once.
func (cl *client) closeNow(c *Core, cause closeCause) {
	cl.link.Close()
	cl.release(c, cause)
}

// read processes one command after another. While a request is pending, a command that may not run concurrently with it
// waits in the read buffer.
func (cl *client) read(c *Core) {
	for !cl.ending && len(cl.link.Peek()) > cl.pipeline.parsedBytes && cl.takeTurn(c) {
		if cl.request >= 0 {
			if !cl.startPipelined(c) {
				return
			}
			continue
		}
		wasGreeted := cl.greeted
		n := cl.readNext(cl, c, cl.link.Peek())
		if n == 0 {
			// The message is long, and the total size of all read buffers may not grow.
			if !cl.link.ReadOn() && !cl.ending && cl.request < 0 {
				cl.protocol.messageTooLarge(cl, c)
			}
			return
		}
		cl.messageSince = 0
		c.countCommand(cl, n)
		if cl.request >= 0 {
			cl.requestBytes, cl.pipeline.parsedBytes = n, n
			c.requests[cl.request].arrivedAt = cl.pipeline.arrivals.arrivedAt(n, cl.latestArrival(c))
			continue
		}
		cl.discard(c, n)
		cl.activeAt = c.now
		if cl.greeted && !wasGreeted { // commands may have come with the startup
			cl.recordArrivals()
		}
	}
}

// release is the only place where a client connection is released.
func (cl *client) release(c *Core, cause closeCause) {
	if cl.index < 0 {
		return
	}
	if !cl.ending || cause == closedStayed { // otherwise it was counted when the client was told that the connection ends
		c.countClose(cl, cause)
	}
	last := c.clients[len(c.clients)-1]
	c.clients[cl.index], last.index = last, cl.index
	c.clients = c.clients[:len(c.clients)-1]
	cl.index, cl.ending = -1, true
	cl.link.SetOwner(nil)
	cl.abandonAll(c)
}

// abandonAll abandons all pending requests of a client that has disconnected or ends the connection.
func (cl *client) abandonAll(c *Core) {
	cl.abandonPipeline(c)
	if cl.request >= 0 {
		c.abandon(cl.request, endAbandoned)
		cl.request = -1
	}
}

// abandon is the only place where a request ends without the regular answer to its client.
func (c *Core) abandon(index int32, end requestEnd) {
	req := &c.requests[index]
	c.countRequest(index, end)
	c.rememberAbandoned(req)
	req.client, req.concluded = nil, true
	c.abandoned = append(c.abandoned, index)
	req.queued++
}

// handleCancel handles a cancel request: a client asks, with the key that was sent on another of its connections, that
// the request pending there be cancelled.
func (c *Core) handleCancel(key []byte) {
	for _, cl := range c.clients {
		if !cl.greeted || len(key) != 8 || binary.BigEndian.Uint32(key) != uint32(cl.serial&math.MaxInt32) {
			continue
		}
		if _, ok := cl.protocol.(postgres); ok && cl.request >= 0 && hmac.Equal(c.cancelKey(cl), key) {
			c.abandon(cl.request, endCancelled)
			c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.QueryCanceled, "canceled at the client's request", "")
			cl.conclude(c, pgwire.AppendReady(c.scratch), true)
		}
		return
	}
}

// cancelKey returns the key that a client needs to cancel a request: the connection's serial number, followed by a part
// that other clients cannot guess.
func (c *Core) cancelKey(cl *client) []byte {
	key := binary.BigEndian.AppendUint32(nil, uint32(cl.serial&math.MaxInt32))
	h := hmac.New(sha256.New, c.limits.CancelSecret)
	h.Write(key)
	return h.Sum(key)[:8]
}

// write queues output to the client. A client without room for it is closed.
func (cl *client) write(c *Core, p []byte) {
	if cl.index < 0 {
		return
	}
	if !cl.link.Write(p) { // the client does not read its output
		cl.closeNow(c, closedUnread)
		return
	}
	c.unflushed = append(c.unflushed, cl.link)
}

// finish ends a connection after the queued output.
func (cl *client) finish(c *Core, cause closeCause) {
	if cl.index >= 0 && !cl.ending {
		c.countClose(cl, cause)
		cl.ending, cl.activeAt = true, c.now
		cl.link.CloseWrite()
	}
}

// finishIfIdle is finish for an idle client. Input that was received and is not answered would be lost; so a client
// that has sent something by that moment, or has not received its whole answer, is examined again at the next sweep.
func (cl *client) finishIfIdle(c *Core, cause closeCause) {
	if cl.index >= 0 && !cl.ending && cl.link.CloseWriteIfIdle() {
		c.countClose(cl, cause)
		cl.ending, cl.activeAt = true, c.now
	}
}

// clientConnected reports whether the client of an attempt's request is known to be still connected, as the system
// tells at this moment. The front may have been delayed since it last looked, and no attempt may start more than 0.1 s
// after its client has disconnected. A client that has sent more than there is room for may have done so unseen.
func (c *Core) clientConnected(e pendingAttempt) bool {
	if e.request < 0 || c.requests[e.request].client == nil {
		return true
	}
	cl := c.requests[e.request].client
	state := cl.link.PeerState()
	if state == PeerGone {
		cl.release(c, closedByPeer)
	}
	return state == PeerConnected
}

// startRequest adds a pending request and returns its index, or returns what is wrong with the request.
func (cl *client) startRequest(c *Core, meta metadata.Request, timeoutSpan pgwire.TimeoutSpan) (index int32, f fault, why string) {
	kind, ok := c.classes.byName[string(meta.Class)]
	if !ok {
		return -1, unknownClass, "unknown class"
	}
	_, isBolt := cl.protocol.(*boltClient)
	if groupIsBolt, ok := c.groups[meta.Group]; !ok && len(c.groups) > 0 {
		return -1, unknownGroup, "unknown cluster"
	} else if ok && groupIsBolt != isBolt {
		return -1, unknownGroup, "the cluster speaks another protocol"
	}
	if !c.abandonedIDs.mayRun(c.now, &c.classes.settings[kind], meta.ID, meta.TimeLeft) {
		return -1, duplicateID, "a request with this id may have run"
	}
	for k := range c.requests {
		if req := &c.requests[k]; req.inUse && !req.concluded && len(meta.ID) > 0 && bytes.Equal(req.metadata.ID, meta.ID) {
			// A store would refuse one of the two or close the connection, and would be counted as overloaded or broken
			// for it.
			return -1, duplicateID, "a request with this id is in hand"
		}
	}
	if len(c.freeRequests) == 0 {
		i := int32(len(c.requests))
		c.requests = append(c.requests, request{id: strconv.Itoa(int(i))})
		c.freeRequests = append(c.freeRequests, i)
	}
	i := c.freeRequests[len(c.freeRequests)-1]
	c.freeRequests = c.freeRequests[:len(c.freeRequests)-1]
	c.pending++
	req := &c.requests[i]
	*req = request{id: req.id, client: cl, metadata: meta, timeoutSpan: timeoutSpan, classes: c.classes, classIndex: kind, bolt: isBolt, arrivedAt: c.now, readAt: c.now, timeLeft: meta.TimeLeft, inUse: true}
	c.queueArrival(i)
	return i, noFault, ""
}

// handleArrival passes a new request to admission control, or to the balancer where there is none.
func (c *Core) handleArrival(i int32) {
	req := &c.requests[i]
	switch {
	case req.concluded: // its client disconnected at once
	case req.client.link.InputWaits() && req.client.link.PeerState() == PeerUnknown:
		c.counts.inputWaits++
		c.answer(i, req.client.protocol.refusalReply(c.scratch[:0], 0), endRefused)
	case !c.updateClass(req): // it was never sent, so trying again is safe
		c.answer(i, req.client.protocol.refusalReply(c.scratch[:0], 0), endRefused)
	case c.admission == nil:
		c.submit(i)
	default:
		retryKey := req.metadata.Key
		if len(retryKey) == 0 {
			retryKey = req.metadata.Session
		}
		c.admission.Arrive(c.now, admission.Arrival{Request: i, Class: req.classIndex, Tenant: req.metadata.Tenant, Client: req.client.serial,
			RetryKey: retryKey, Group: req.metadata.Group, TimeLeft: req.timeLeft - (c.now - req.arrivedAt), MarkedRetry: req.metadata.Retry, Bytes: len(req.client.link.Peek())})
	}
}

// submit passes a request to the balancer.
func (c *Core) submit(i int32) {
	req := &c.requests[i]
	meta := &req.metadata
	waited := c.now - req.arrivedAt
	in := balance.Request{ID: req.id, Class: string(meta.Class), Tenant: string(meta.Tenant), Group: meta.Group,
		Left: req.timeLeft - waited, Waited: waited, Repeated: meta.Retry, WriteAge: -1}
	if need := req.class().Need; need == balance.Write || need == balance.Session {
		in.Session = string(meta.Session)
	}
	if meta.HasReadAfter {
		// Positions are whole milliseconds and rounded up for commits, so one may be ahead of now by less than a
		// millisecond.
		in.WriteAge = max(c.now-meta.ReadAfter, 0)
	}
	if err := c.balancer.Submit(c.now, in); err != nil {
		c.answer(i, req.client.protocol.faultReply(c.scratch[:0], unknownClass, err.Error()), endFaulty)
	}
}

// refuseRequest answers a request with a refusal.
func (c *Core) refuseRequest(t task) {
	if cl := c.requests[t.request].client; cl != nil {
		c.answer(t.request, cl.protocol.refusalReply(c.scratch[:0], t.at), endRefused)
	}
}

// failRequest answers a request that may have run with an error, or with a refusal if it is proven to have had
// no effect.
func (c *Core) failRequest(t task) {
	req := &c.requests[t.request]
	switch cl := req.client; {
	case cl == nil:
	// The balancer only knows that there is an attempt; that it had no effect is known here.
	case req.attemptConn != nil && req.attemptConn.protocol.provenNoEffect(req.attemptConn):
		c.answer(t.request, cl.protocol.refusalReply(c.scratch[:0], 0), endRefused)
	default:
		c.answer(t.request, cl.protocol.failureReply(c.scratch[:0], "not known to have run"), endFailed)
	}
}

// answer sends the request's final answer, text, and lets its client's next command follow. Unless end is endServed,
// the answer is the core's own.
func (c *Core) answer(i int32, text []byte, end requestEnd) {
	req := &c.requests[i]
	if !req.inUse || req.concluded {
		return
	}
	c.countRequest(i, end)
	if c.admission != nil {
		c.admission.RequestEnded(c.now, i)
	}
	cl := req.client
	req.concluded, req.client = true, nil
	c.scratch = text
	if cl.request == i {
		cl.conclude(c, text, end != endServed)
	} else {
		cl.bufferReply(c, i, text)
	}
	c.releaseRequest(i)
}

// conclude sends the answer to the client's first pending request and continues with what is queued behind it.
func (cl *client) conclude(c *Core, text []byte, failed bool) {
	cl.activeAt = c.now
	cl.request = -1
	cl.protocol.requestDone(cl, c, failed)
	cl.reply(c, text)
	cl.advance(c)
	switch {
	case cl.index < 0:
	case c.Stopping() && cl.request < 0 && len(cl.link.Peek()) == 0:
		cl.link.Flush()
		cl.finishIfIdle(c, closedAtShutdown)
	default:
		cl.read(c)
	}
}

// reply queues a final answer.
func (cl *client) reply(c *Core, text []byte) {
	if cl.index < 0 {
		return
	}
	if !cl.link.Write(text) { // closing the client for lack of buffer space here would lose the request
		cl.write(c, cl.protocol.failureReply(c.scratch[:0], "no memory for the answer"))
		return
	}
	c.unflushed = append(c.unflushed, cl.link)
}

// dequeued is called when an entry that named the request was taken from a queue of the core and has been handled.
func (c *Core) dequeued(i int32) {
	c.requests[i].queued--
	c.releaseRequest(i)
}

// releaseRequest is the only place where a request's index is released, which happens once it is answered, its last
// attempt has ended, and no entry of a queue names it. Otherwise an entry would act on the request that is given the
// index next.
func (c *Core) releaseRequest(i int32) {
	req := &c.requests[i]
	if !req.inUse || !req.concluded || req.attemptConn != nil || req.awaitsConn || req.queued > 0 {
		return
	}
	*req = request{id: req.id}
	c.pending--
	c.freeRequests = append(c.freeRequests, i)
}
