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

// speech is how one protocol puts to its clients what the core has to say.
type speech interface {
	greet(cl *client, c *Core, in []byte) (used int)   // the first step of a connection
	decline(cl *client, c *Core, in []byte) (used int) // the same where there is no room for it
	noRoom(dst []byte) []byte                          // that there is no room, to one that has not been greeted
	overflow(cl *client, c *Core)                      // ends a connection whose message has no room
	stalled(cl *client, c *Core)                       // ends a connection whose client has stopped inside a message
	more(cl *client, c *Core)                          // something came, or there is room again, while a request is in hand
	done(cl *client, c *Core, failed bool)             // the request has its final answer; failed: one of the core's own
	refusal(dst []byte, pause Time) []byte             // the final answers, whole
	failure(dst []byte, why string) []byte
	faulty(dst []byte, f fault, why string) []byte
}

// fault is what is wrong with a request.
type fault uint8

const (
	sound fault = iota
	unreadable
	noClass
	noGroup
	inHand // its id is another request's
)

// request is one request in hand. Its query stays in its client's ring until it is answered.
type request struct {
	id      string // its place in the slab, as the module knows it
	client  *client
	terms   metadata.Request
	cut     pgwire.TimeoutSpan
	bolt    bool        // it came in Bolt
	offset  int         // of its command in its client's ring
	classes *classTable // under which it came
	kind    int         // its class there
	left    Time        // as its client said, less what has passed since
	came    Time        // when its last byte had come
	sent    int         // attempts
	attempt *conn       // the one that is out on a connection
	waits   bool        // the one that is out waits for a connection
	store   uint32
	least   Time // position that the answer to the attempt that is out has to show; 0: none
	owed    int  // results that the module has yet to hear of
	final   bool // it has had its final answer, or needs none
	busy    bool // the place is taken
}

// client is one connection of a client.
type client struct {
	link     Link
	at       int // in Core.clients
	serial   uint64
	speech   speech
	next     func(cl *client, c *Core, in []byte) (used int)
	since    Time  // when it came, or last completed a message or was answered
	heard    Time  // when it came, or last sent anything
	request  int32 // in hand, or -1
	held     int   // bytes of its query
	pipeline pipeline
	skip     bool // until the next Sync
	ending   bool
	greeted  bool

	messageSince Time // since when part of a message has been here, as of the last sweep; 0: it has not
	unreadSince  Time // since when it has taken nothing of what it is sent, as of the last sweep; 0: it has all
	unreadSent   int64
	unreadNoted  bool // that is logged
}

func (c *Core) accept(l Link, what EventFlags, s speech) {
	if len(c.clients) >= c.limits.MaxConnections { // those that are being declined fill all that there is
		c.counts.closed[closedOverLimit]++
		c.note("client connection closed", "cause", closedOverLimit.String(), "clients", len(c.clients))
		l.Close()
		return
	}
	c.serial++
	cl := &client{link: l, at: len(c.clients), serial: c.serial, speech: s, request: -1, since: c.now, heard: c.now}
	cl.next = cl.speech.greet
	l.SetOwner(cl)
	c.clients = append(c.clients, cl)
	if len(c.clients) > c.limits.MaxClients && !c.evict(0) || len(c.clients)+len(c.conns) > c.limits.MaxConnections && !c.spare() {
		cl.next = cl.speech.decline
	}
	cl.notice(c, what)
}

// newcomerTime is what a client has for its first bytes before it may be hung up on to make room for others.
const newcomerTime = 500 * perMilli

// evict hangs up on a client to make room: one that has had all and only has to close its side, else one that has not said
// anything for longer than newcomerTime, else the one that has asked nothing for longest. False: none may be hung up on.
// Danger: clients that ask once and keep their connections for good would shut all others out.
func (c *Core) evict(rest Time) bool {
	rest = max(rest, breath)
	for cl := c.idlest(rest); cl != nil; cl = c.idlest(rest) {
		switch {
		case cl.ending:
			cl.hangUp(c, closedStayed)
			return true
		case !cl.link.CloseIfIdle(cl.farewell(c)): // it has just sent something, or gone
			cl.since, cl.heard = c.now, c.now
		case cl.greeted:
			cl.gone(c, closedAtRest)
			return true
		default:
			cl.gone(c, closedNew)
			return true
		}
	}
	return false
}

// farewell is what a client is told that is hung up on to make room. One that rests between requests is told nothing.
func (cl *client) farewell(c *Core) []byte {
	if cl.greeted {
		return nil
	}
	return cl.speech.noRoom(c.out[:0])
}

// idlest gives the client that is the first to be hung up on; nil: all have asked within rest.
func (c *Core) idlest(rest Time) (first *client) {
	longest, fresh := rest, true
	for _, cl := range c.clients {
		idle := c.now - cl.since
		switch {
		case cl.ending:
			if cl.link.Flushed() && idle >= rest {
				return cl
			}
		case !cl.idle():
		case !cl.greeted:
			if idle >= newcomerTime && (fresh || idle >= longest) {
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

func (cl *client) notice(c *Core, what EventFlags) {
	if cl.request >= 0 && !cl.ending {
		cl.speech.more(cl, c)
	}
	if what&Readable != 0 {
		cl.heard = c.now
	}
	if what&Readable != 0 && !cl.ending {
		if _, speaks := cl.speech.(postgres); speaks && cl.greeted {
			cl.pipeline.marks.scan(cl.link.Peek(), c.now)
		}
		cl.read(c)
	}
	if what&Closed != 0 {
		cl.gone(c, closedByPeer)
	}
}

// hangUp closes a client's connection at once.
func (cl *client) hangUp(c *Core, cause closeCause) {
	cl.link.Close()
	cl.gone(c, cause)
}

// read takes one command after the other. While a request is in hand, what may not run beside it waits in the ring.
func (cl *client) read(c *Core) {
	for !cl.ending {
		if cl.request >= 0 {
			if !cl.takeAhead(c) {
				return
			}
			continue
		}
		n := cl.next(cl, c, cl.link.Peek())
		if n == 0 {
			if cl.link.ReadBufferFull() && !cl.ending && cl.request < 0 { // a long message, and all rings together may not grow any more
				cl.speech.overflow(cl, c)
			}
			return
		}
		if cl.request >= 0 {
			cl.held, cl.pipeline.parsed = n, n
			c.requests[cl.request].came = cl.pipeline.marks.came(n, c.now)
			continue
		}
		cl.discard(c, n)
		cl.since, cl.messageSince = c.now, 0
	}
}

// gone is the one place where a client's connection is given back.
func (cl *client) gone(c *Core, cause closeCause) {
	if cl.at < 0 {
		return
	}
	if !cl.ending || cause == closedStayed { // else it was counted when it was told that it was over
		c.countClose(cl, cause)
	}
	last := c.clients[len(c.clients)-1]
	c.clients[cl.at], last.at = last, cl.at
	c.clients = c.clients[:len(c.clients)-1]
	cl.at, cl.ending = -1, true
	cl.link.SetOwner(nil)
	cl.leave(c)
}

// leave gives up all that a client has in hand, if there is anything: it has gone, or ends the connection.
func (cl *client) leave(c *Core) {
	cl.drop(c)
	if cl.request >= 0 {
		c.giveUp(cl.request, endAbandoned)
		cl.request = -1
	}
}

// giveUp is the one place where a request ends without an answer to its client.
func (c *Core) giveUp(index int32, end requestEnd) {
	request := &c.requests[index]
	c.countRequest(index, end)
	request.client, request.final = nil, true
	c.leavers = append(c.leavers, index)
}

// cancelled: a client has asked, by the key that another connection of its was told, that the request in hand there be given up.
func (c *Core) cancelled(key []byte) {
	for _, cl := range c.clients {
		if !cl.greeted || len(key) != 8 || binary.BigEndian.Uint32(key) != uint32(cl.serial&math.MaxInt32) {
			continue
		}
		if _, ok := cl.speech.(postgres); ok && cl.request >= 0 && hmac.Equal(c.key(cl), key) {
			c.giveUp(cl.request, endCancelled)
			c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.QueryCanceled, "canceled at the client's request", "")
			cl.conclude(c, pgwire.AppendReady(c.out), true)
		}
		return
	}
}

// key is what a client is told to cancel by: its number, and what others cannot guess.
func (c *Core) key(cl *client) []byte {
	key := binary.BigEndian.AppendUint32(nil, uint32(cl.serial&math.MaxInt32))
	h := hmac.New(sha256.New, c.limits.CancelSecret)
	h.Write(key)
	return h.Sum(key)[:8]
}

func (cl *client) write(c *Core, p []byte) {
	if cl.at < 0 {
		return
	}
	if !cl.link.Write(p) { // it does not read what it is sent
		cl.hangUp(c, closedUnread)
		return
	}
	c.dirty = append(c.dirty, cl.link)
}

func (cl *client) finish(c *Core, cause closeCause) {
	if cl.at >= 0 && !cl.ending {
		c.countClose(cl, cause)
		cl.ending, cl.since = true, c.now
		cl.link.CloseWrite()
	}
}

// finishAtRest is finish for a client that rests. Danger: what was read and is not answered is lost, so one that has sent
// something by that moment, or has not had all of its answer, is looked at again at the next beat.
func (cl *client) finishAtRest(c *Core, cause closeCause) {
	if cl.at >= 0 && !cl.ending && cl.link.CloseWriteIfIdle() {
		c.countClose(cl, cause)
		cl.ending, cl.since = true, c.now
	}
}

// stays tells whether the client whose request an attempt is for is there, as the system knows this moment.
// Danger: the front may have been held up since it last looked, and no attempt may begin over 0.1 s after its client went.
func (c *Core) stays(e errand) bool {
	if e.request < 0 || c.requests[e.request].client == nil {
		return true
	}
	cl := c.requests[e.request].client
	if !cl.link.PeerOpen() {
		cl.gone(c, closedByPeer)
		return false
	}
	return true
}

// begin takes a request in hand, or tells what is wrong with it.
func (cl *client) begin(c *Core, t metadata.Request, cut pgwire.TimeoutSpan) (index int32, f fault, why string) {
	kind, ok := c.classes.byName[string(t.Class)]
	if !ok {
		return -1, noClass, "unknown class"
	}
	_, speaks := cl.speech.(*boltClient)
	if bolt, ok := c.groups[t.Group]; !ok && len(c.groups) > 0 {
		return -1, noGroup, "unknown cluster"
	} else if ok && bolt != speaks {
		return -1, noGroup, "the cluster speaks another protocol"
	}
	for k := range c.requests {
		if j := &c.requests[k]; j.busy && !j.final && len(t.ID) > 0 && bytes.Equal(j.terms.ID, t.ID) {
			// Danger: a store would turn one of the two away or break off, and count as crowded or broken for it.
			return -1, inHand, "a request with this id is in hand"
		}
	}
	if len(c.freeRequests) == 0 {
		i := int32(len(c.requests))
		c.requests = append(c.requests, request{id: strconv.Itoa(int(i))})
		c.freeRequests = append(c.freeRequests, i)
	}
	i := c.freeRequests[len(c.freeRequests)-1]
	c.freeRequests = c.freeRequests[:len(c.freeRequests)-1]
	c.inHand++
	j := &c.requests[i]
	*j = request{id: j.id, client: cl, terms: t, cut: cut, classes: c.classes, kind: kind, bolt: speaks, came: c.now, left: t.TimeLeft, busy: true}
	c.arrivals = append(c.arrivals, i)
	return i, sound, ""
}

// arrive hands a new request to the door, or to the module where there is none.
func (c *Core) arrive(i int32) {
	j := &c.requests[i]
	switch {
	case !j.busy || j.final: // its client left at once
	case !c.renumber(j): // it was never sent, so trying again is harmless
		c.answer(i, j.client.speech.refusal(c.out[:0], 0), endRefused)
	case c.door == nil:
		c.take(i)
	default:
		mark := j.terms.Key
		if len(mark) == 0 {
			mark = j.terms.Session
		}
		c.door.Arrive(c.now, admission.Arrival{Request: i, Class: j.kind, Tenant: j.terms.Tenant, Client: j.client.serial,
			RetryKey: mark, Group: j.terms.Group, TimeLeft: j.left - (c.now - j.came), MarkedRetry: j.terms.Retry, Bytes: len(j.client.link.Peek())})
	}
}

// take hands a request to the module.
func (c *Core) take(i int32) {
	j := &c.requests[i]
	s := &j.terms
	waited := c.now - j.came
	in := balance.Request{ID: j.id, Class: string(s.Class), Tenant: string(s.Tenant), Group: s.Group,
		Left: j.left - waited, Waited: waited, Repeated: s.Retry, WriteAge: -1}
	if need := j.class().Need; need == balance.Write || need == balance.Session {
		in.Session = string(s.Session)
	}
	if s.HasReadAfter {
		// Positions are whole milliseconds and rounded up for commits, so one may lie ahead by less than that.
		in.WriteAge = max(c.now-s.ReadAfter, 0)
	}
	if err := c.module.Submit(c.now, in); err != nil {
		c.answer(i, j.client.speech.faulty(c.out[:0], noClass, err.Error()), endFaulty)
	}
}

func (c *Core) refuse(t task) {
	if cl := c.requests[t.request].client; cl != nil {
		c.answer(t.request, cl.speech.refusal(c.out[:0], t.at), endRefused)
	}
}

func (c *Core) failRequest(t task) {
	j := &c.requests[t.request]
	switch cl := j.client; {
	case cl == nil:
	case j.attempt != nil && j.attempt.dialect.undone(j.attempt): // the module knows of an attempt; that it had no effect is known here
		c.answer(t.request, cl.speech.refusal(c.out[:0], 0), endRefused)
	default:
		c.answer(t.request, cl.speech.failure(c.out[:0], "not known to have run"), endFailed)
	}
}

// answer gives the request's final answer, text, which is the core's own where it was not served, and lets its client's next
// command follow.
func (c *Core) answer(i int32, text []byte, end requestEnd) {
	j := &c.requests[i]
	if !j.busy || j.final {
		return
	}
	c.countRequest(i, end)
	if c.door != nil {
		c.door.RequestEnded(c.now, i)
	}
	cl := j.client
	j.final, j.client = true, nil
	c.out = text
	if cl.request == i {
		cl.conclude(c, text, end != endServed)
	} else {
		cl.keep(c, i, text)
	}
	c.free(i)
}

// conclude answers the first request that the client has in hand and goes on with what stands behind it.
func (cl *client) conclude(c *Core, text []byte, failed bool) {
	cl.since = c.now
	cl.request = -1
	cl.speech.done(cl, c, failed)
	cl.reply(c, text)
	cl.advance(c)
	switch {
	case cl.at < 0:
	case c.Stopping() && cl.request < 0 && len(cl.link.Peek()) == 0:
		cl.link.Flush()
		cl.finishAtRest(c, closedAtShutdown)
	default:
		cl.read(c)
	}
}

// reply queues a final answer.
func (cl *client) reply(c *Core, text []byte) {
	if cl.at < 0 {
		return
	}
	if !cl.link.Write(text) { // Danger: a request is lost if its client is hung up on for want of room here.
		cl.write(c, cl.speech.failure(c.out[:0], "no memory for the answer"))
		return
	}
	c.dirty = append(c.dirty, cl.link)
}

// free is the one place where a request's place is given back: after its answer and the return of its last attempt.
func (c *Core) free(i int32) {
	j := &c.requests[i]
	if !j.busy || !j.final || j.attempt != nil || j.waits || j.owed > 0 {
		return
	}
	*j = request{id: j.id}
	c.inHand--
	c.freeRequests = append(c.freeRequests, i)
}
