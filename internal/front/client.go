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

// clientProtocol is how one protocol puts to its clients what the core has to say.
type clientProtocol interface {
	startConnection(cl *client, c *Core, in []byte) (used int)   // the first step of a connection
	declineConnection(cl *client, c *Core, in []byte) (used int) // the same where there is no room for it
	noRoomMessage(dst []byte) []byte                             // that there is no room, to one that has not been greeted
	messageTooLarge(cl *client, c *Core)                         // ends a connection whose message has no room
	messageStalled(cl *client, c *Core)                          // ends a connection whose client has stopped inside a message
	inputAvailable(cl *client, c *Core)                          // something came, or there is room again, while a request is in hand
	requestDone(cl *client, c *Core, failed bool)                // the request has its final answer; failed: one of the core's own
	refusalReply(dst []byte, pause Time) []byte                  // the final answers, whole
	failureReply(dst []byte, why string) []byte
	faultReply(dst []byte, f fault, why string) []byte
}

// fault is what is wrong with a request.
type fault uint8

const (
	noFault fault = iota
	unparsable
	unknownClass
	unknownGroup
	duplicateID // its id is another request's
)

// request is one request in hand. Its query stays in its client's ring until it is answered.
type request struct {
	id          string // its place in the slab, as the module knows it
	client      *client
	terms       metadata.Request
	cut         pgwire.TimeoutSpan
	bolt        bool        // it came in Bolt
	offset      int         // of its command in its client's ring
	classes     *classTable // under which it came
	classIndex  int         // its class there
	timeLeft    Time        // as its client said, less what has passed since
	arrivedAt   Time        // when its last byte had come
	attempts    int         // attempts
	attemptConn *conn       // the one that is out on a connection
	awaitsConn  bool        // the one that is out waits for a connection
	store       uint32
	minPosition Time // position that the answer to the attempt that is out has to show; 0: none
	unreported  int  // results that the module has yet to hear of
	concluded   bool // it has had its final answer, or needs none
	inUse       bool // the place is taken
}

// client is one connection of a client.
type client struct {
	link         Link
	index        int // in Core.clients
	serial       uint64
	protocol     clientProtocol
	readNext     func(cl *client, c *Core, in []byte) (used int)
	activeAt     Time  // when it came, or last completed a message or was answered
	lastInput    Time  // when it came, or last sent anything
	request      int32 // in hand, or -1
	requestBytes int   // bytes of its query
	pipeline     pipeline
	skipToSync   bool // until the next Sync
	ending       bool
	greeted      bool

	messageSince Time // since when part of a message has been here, as of the last sweep; 0: it has not
	unreadSince  Time // since when it has taken nothing of what it is sent, as of the last sweep; 0: it has all
	unreadSent   int64
	unreadNoted  bool // that is logged
}

func (c *Core) accept(l Link, what EventFlags, s clientProtocol) {
	if len(c.clients) >= c.limits.MaxConnections { // those that are being declined fill all that there is
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
	cl.handleEvent(c, what)
}

// newcomerTime is what a client has for its first bytes before it may be hung up on to make room for others.
const newClientGrace = 500 * millisecond

// evict hangs up on a client to make room: one that has had all and only has to close its side, else one that has not said
// anything for longer than newcomerTime, else the one that has asked nothing for longest. False: none may be hung up on.
// Danger: clients that ask once and keep their connections for good would shut all others out.
func (c *Core) evict(rest Time) bool {
	rest = max(rest, closeNoticeDelay)
	for cl := c.longestIdle(rest); cl != nil; cl = c.longestIdle(rest) {
		switch {
		case cl.ending:
			cl.closeNow(c, closedStayed)
			return true
		case !cl.link.CloseIfIdle(cl.evictionMessage(c)): // it has just sent something, or gone
			cl.activeAt, cl.lastInput = c.now, c.now
		case cl.greeted:
			cl.release(c, closedAtRest)
			return true
		default:
			cl.release(c, closedNew)
			return true
		}
	}
	return false
}

// evictionMessage is what a client is told that is hung up on to make room. One that rests between requests is told nothing.
func (cl *client) evictionMessage(c *Core) []byte {
	if cl.greeted {
		return nil
	}
	return cl.protocol.noRoomMessage(c.scratch[:0])
}

// longestIdle gives the client that is the first to be hung up on; nil: all have asked within rest.
func (c *Core) longestIdle(rest Time) (first *client) {
	longest, fresh := rest, true
	for _, cl := range c.clients {
		idle := c.now - cl.activeAt
		switch {
		case cl.ending:
			if cl.link.Flushed() && idle >= rest {
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

// idle: nothing of a command has come, and the last answer is out.
func (cl *client) idle() bool {
	return cl.request < 0 && !cl.ending && len(cl.link.Peek()) == 0 && cl.link.Flushed()
}

func (cl *client) handleEvent(c *Core, what EventFlags) {
	if cl.request >= 0 && !cl.ending {
		cl.protocol.inputAvailable(cl, c)
	}
	if what&Readable != 0 {
		cl.lastInput = c.now
	}
	if what&Readable != 0 && !cl.ending {
		if _, speaks := cl.protocol.(postgres); speaks && cl.greeted {
			cl.pipeline.arrivals.scan(cl.link.Peek(), c.now)
		}
		cl.read(c)
	}
	if what&Closed != 0 {
		cl.release(c, closedByPeer)
	}
}

// closeNow closes a client's connection at once.
func (cl *client) closeNow(c *Core, cause closeCause) {
	cl.link.Close()
	cl.release(c, cause)
}

// read takes one command after the other. While a request is in hand, what may not run beside it waits in the ring.
func (cl *client) read(c *Core) {
	for !cl.ending {
		if cl.request >= 0 {
			if !cl.startPipelined(c) {
				return
			}
			continue
		}
		n := cl.readNext(cl, c, cl.link.Peek())
		if n == 0 {
			if cl.link.ReadBufferFull() && !cl.ending && cl.request < 0 { // a long message, and all rings together may not grow any more
				cl.protocol.messageTooLarge(cl, c)
			}
			return
		}
		if cl.request >= 0 {
			cl.requestBytes, cl.pipeline.parsedBytes = n, n
			c.requests[cl.request].arrivedAt = cl.pipeline.arrivals.arrivedAt(n, c.now)
			continue
		}
		cl.discard(c, n)
		cl.activeAt, cl.messageSince = c.now, 0
	}
}

// release is the one place where a client's connection is given back.
func (cl *client) release(c *Core, cause closeCause) {
	if cl.index < 0 {
		return
	}
	if !cl.ending || cause == closedStayed { // else it was counted when it was told that it was over
		c.countClose(cl, cause)
	}
	last := c.clients[len(c.clients)-1]
	c.clients[cl.index], last.index = last, cl.index
	c.clients = c.clients[:len(c.clients)-1]
	cl.index, cl.ending = -1, true
	cl.link.SetOwner(nil)
	cl.abandonAll(c)
}

// abandonAll gives up all that a client has in hand, if there is anything: it has gone, or ends the connection.
func (cl *client) abandonAll(c *Core) {
	cl.abandonPipeline(c)
	if cl.request >= 0 {
		c.abandon(cl.request, endAbandoned)
		cl.request = -1
	}
}

// abandon is the one place where a request ends without an answer to its client.
func (c *Core) abandon(index int32, end requestEnd) {
	request := &c.requests[index]
	c.countRequest(index, end)
	request.client, request.concluded = nil, true
	c.abandoned = append(c.abandoned, index)
}

// cancelled: a client has asked, by the key that another connection of its was told, that the request in hand there be given up.
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

// cancelKey is what a client is told to cancel by: its number, and what others cannot guess.
func (c *Core) cancelKey(cl *client) []byte {
	key := binary.BigEndian.AppendUint32(nil, uint32(cl.serial&math.MaxInt32))
	h := hmac.New(sha256.New, c.limits.CancelSecret)
	h.Write(key)
	return h.Sum(key)[:8]
}

func (cl *client) write(c *Core, p []byte) {
	if cl.index < 0 {
		return
	}
	if !cl.link.Write(p) { // it does not read what it is sent
		cl.closeNow(c, closedUnread)
		return
	}
	c.unflushed = append(c.unflushed, cl.link)
}

func (cl *client) finish(c *Core, cause closeCause) {
	if cl.index >= 0 && !cl.ending {
		c.countClose(cl, cause)
		cl.ending, cl.activeAt = true, c.now
		cl.link.CloseWrite()
	}
}

// finishIfIdle is finish for a client that rests. Danger: what was read and is not answered is lost, so one that has sent
// something by that moment, or has not had all of its answer, is looked at again at the next beat.
func (cl *client) finishIfIdle(c *Core, cause closeCause) {
	if cl.index >= 0 && !cl.ending && cl.link.CloseWriteIfIdle() {
		c.countClose(cl, cause)
		cl.ending, cl.activeAt = true, c.now
	}
}

// clientConnected tells whether the client whose request an attempt is for is there, as the system knows this moment.
// Danger: the front may have been held up since it last looked, and no attempt may begin over 0.1 s after its client went.
func (c *Core) clientConnected(e pendingAttempt) bool {
	if e.request < 0 || c.requests[e.request].client == nil {
		return true
	}
	cl := c.requests[e.request].client
	if !cl.link.PeerOpen() {
		cl.release(c, closedByPeer)
		return false
	}
	return true
}

// startRequest takes a request in hand, or tells what is wrong with it.
func (cl *client) startRequest(c *Core, t metadata.Request, cut pgwire.TimeoutSpan) (index int32, f fault, why string) {
	kind, ok := c.classes.byName[string(t.Class)]
	if !ok {
		return -1, unknownClass, "unknown class"
	}
	_, speaks := cl.protocol.(*boltClient)
	if bolt, ok := c.groups[t.Group]; !ok && len(c.groups) > 0 {
		return -1, unknownGroup, "unknown cluster"
	} else if ok && bolt != speaks {
		return -1, unknownGroup, "the cluster speaks another protocol"
	}
	for k := range c.requests {
		if req := &c.requests[k]; req.inUse && !req.concluded && len(t.ID) > 0 && bytes.Equal(req.terms.ID, t.ID) {
			// Danger: a store would turn one of the two away or break off, and count as crowded or broken for it.
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
	*req = request{id: req.id, client: cl, terms: t, cut: cut, classes: c.classes, classIndex: kind, bolt: speaks, arrivedAt: c.now, timeLeft: t.TimeLeft, inUse: true}
	c.arrived = append(c.arrived, i)
	return i, noFault, ""
}

// handleArrival hands a new request to the door, or to the module where there is none.
func (c *Core) handleArrival(i int32) {
	req := &c.requests[i]
	switch {
	case !req.inUse || req.concluded: // its client left at once
	case !c.updateClass(req): // it was never sent, so trying again is harmless
		c.answer(i, req.client.protocol.refusalReply(c.scratch[:0], 0), endRefused)
	case c.admission == nil:
		c.submit(i)
	default:
		mark := req.terms.Key
		if len(mark) == 0 {
			mark = req.terms.Session
		}
		c.admission.Arrive(c.now, admission.Arrival{Request: i, Class: req.classIndex, Tenant: req.terms.Tenant, Client: req.client.serial,
			RetryKey: mark, Group: req.terms.Group, TimeLeft: req.timeLeft - (c.now - req.arrivedAt), MarkedRetry: req.terms.Retry, Bytes: len(req.client.link.Peek())})
	}
}

// submit hands a request to the module.
func (c *Core) submit(i int32) {
	req := &c.requests[i]
	s := &req.terms
	waited := c.now - req.arrivedAt
	in := balance.Request{ID: req.id, Class: string(s.Class), Tenant: string(s.Tenant), Group: s.Group,
		Left: req.timeLeft - waited, Waited: waited, Repeated: s.Retry, WriteAge: -1}
	if need := req.class().Need; need == balance.Write || need == balance.Session {
		in.Session = string(s.Session)
	}
	if s.HasReadAfter {
		// Positions are whole milliseconds and rounded up for commits, so one may lie ahead by less than that.
		in.WriteAge = max(c.now-s.ReadAfter, 0)
	}
	if err := c.balancer.Submit(c.now, in); err != nil {
		c.answer(i, req.client.protocol.faultReply(c.scratch[:0], unknownClass, err.Error()), endFaulty)
	}
}

func (c *Core) refuseRequest(t task) {
	if cl := c.requests[t.request].client; cl != nil {
		c.answer(t.request, cl.protocol.refusalReply(c.scratch[:0], t.at), endRefused)
	}
}

func (c *Core) failRequest(t task) {
	req := &c.requests[t.request]
	switch cl := req.client; {
	case cl == nil:
	case req.attemptConn != nil && req.attemptConn.protocol.provenNoEffect(req.attemptConn): // the module knows of an attempt; that it had no effect is known here
		c.answer(t.request, cl.protocol.refusalReply(c.scratch[:0], 0), endRefused)
	default:
		c.answer(t.request, cl.protocol.failureReply(c.scratch[:0], "not known to have run"), endFailed)
	}
}

// answer gives the request's final answer, text, which is the core's own where it was not served, and lets its client's next
// command follow.
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

// conclude answers the first request that the client has in hand and goes on with what stands behind it.
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
	if !cl.link.Write(text) { // Danger: a request is lost if its client is hung up on for want of room here.
		cl.write(c, cl.protocol.failureReply(c.scratch[:0], "no memory for the answer"))
		return
	}
	c.unflushed = append(c.unflushed, cl.link)
}

// releaseRequest is the one place where a request's place is given back: after its answer and the return of its last attempt.
func (c *Core) releaseRequest(i int32) {
	req := &c.requests[i]
	if !req.inUse || !req.concluded || req.attemptConn != nil || req.awaitsConn || req.unreported > 0 {
		return
	}
	*req = request{id: req.id}
	c.pending--
	c.freeRequests = append(c.freeRequests, i)
}
