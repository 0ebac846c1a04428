package front

import (
	"slices"

	"micatrack/balance"
)

// closeNoticeDelay is the time within which the front learns that a store has closed a connection right after an answer.
const closeNoticeDelay = 2 * millisecond

// maxUnsolicited bounds the messages outside an answer that are taken from a store's connection at a time. One that sends
// more is closed, since it would hold the step for as long as it sends.
const maxUnsolicited = 1000

// storeProtocol is one wire protocol towards stores. Implementations keep no state.
type storeProtocol interface {
	// appendStartup appends the first message of a new connection.
	appendStartup(dst []byte) []byte
	// prepareNew initializes a new connection.
	prepareNew(k *conn)
	// prepareIdle initializes a connection that becomes idle.
	prepareIdle(k *conn)
	// sendRequest writes the query of a request, or a probe.
	sendRequest(k *conn, c *Core, e pendingAttempt)
	// readAnswers processes the input that has arrived.
	readAnswers(k *conn, c *Core)
	// lossEnding returns what is proven about the request on a connection that is now closed.
	lossEnding(k *conn, c *Core) balance.Ending
	// provenNoEffect reports whether it is proven so far that the request had no effect.
	provenNoEffect(k *conn) bool
}

// store is one store of the list.
type store struct {
	id         string
	forgotten  bool // the balancer has forgotten it; its number is released in the next step
	addr       string
	protocol   storeProtocol
	bolt       bool    // it speaks Bolt
	drainUntil Time    // the store drains, and an open transaction may continue until then; 0: it does not drain
	idle       []*conn // idle connections, the newest last
	// waiting holds the attempts and probes that wait for a connection, the oldest first.
	waiting []pendingAttempt
}

// pendingAttempt is an attempt, or a probe if it has no request, that waits for a connection or is carried by one.
type pendingAttempt struct {
	request       int32 // -1: a probe
	attempt       int   // number of the attempt
	since         Time  // when it was dispatched
	until         Time  // when it ends
	dialled       bool  // a connection was dialled for it
	positionQuery bool  // the position watch asked for it, not the balancer
}

// mayStillStart is the only place that decides whether a pending attempt may still start. While it waited for a
// connection its client may have disconnected, its time may have run out, or the balancer may have decided otherwise.
func (c *Core) mayStillStart(e pendingAttempt) bool {
	if c.now >= e.until || e.request < 0 {
		return c.now < e.until
	}
	req := &c.requests[e.request]
	return !req.concluded && (c.now == e.since || c.balancer.MaySend(c.now, req.id))
}

// conn is one connection to a store.
type conn struct {
	link     Link
	index    int    // index in Core.conns; -1: released
	store    uint32 // number of the store
	protocol storeProtocol
	bolt     *boltConn // nil: the store speaks PostgreSQL's protocol
	marker   answerMarker
	addr     string // the address that was dialled
	// onMessage handles one message of the store.
	onMessage     func(s *conn, c *Core, kind byte, body []byte) (ok bool)
	ready         bool           // the startup is complete
	used          bool           // it has carried a request or a probe
	idle          bool           // it is in its store's idle list
	answerDone    bool           // its answer is complete, and the connection has not been reused yet
	connectedAt   Time           // when it was established
	since         Time           // when it was dialled, was given its request or became idle
	current       pendingAttempt // the attempt or probe that it carries or carried last
	writtenBytes  int64          // bytes written so far, up to the end of the latest query
	writeReported bool           // the balancer has been told that part of a write's answer has arrived
	errorCode     string         // SQLSTATE of the ErrorResponse received
	partStart     [3]int         // offsets in the read buffer at which the value's messages begin
	partEnd       [3]int         // offsets in the read buffer at which they end
	parts         int            // messages of the value that have arrived
	parsedBytes   int            // bytes of the answer that were parsed
	report        balance.Report // of the answer itself
	loadReport    balance.Report // as old as the store's own load report
	probeValue    string         // value of a probe's answer
}

// startAttempt starts an attempt.
func (c *Core) startAttempt(t task) {
	req := &c.requests[t.request]
	attempt := req.attempts
	req.attempts++
	if req.concluded || req.attemptConn != nil || req.awaitsConn || int(t.store) >= len(c.stores) ||
		c.stores[t.store].bolt != req.bolt {
		c.queueResult(attemptResult{t.request, attempt, t.store, balance.Result{Ending: balance.NotSent}})
		return
	}
	req.store, req.minPosition = t.store, t.minPosition
	c.dispatch(t.store, pendingAttempt{request: t.request, attempt: attempt, since: c.now, until: t.at})
}

// startProbe asks the position watch, or else the store itself, for a position.
func (c *Core) startProbe(t task) {
	s := &c.stores[t.store]
	if w := c.limits.PositionWatch; w != nil && t.minPosition > 0 && !s.bolt && w.RequestPosition(s.id, t.minPosition, t.anyStore) {
		return
	}
	c.dispatch(t.store, pendingAttempt{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
}

// dispatch sends a pending attempt on an idle connection, or queues it for a new one.
func (c *Core) dispatch(i uint32, e pendingAttempt) {
	s := &c.stores[i]
	if !c.mayStillStart(e) || !c.clientConnected(e) {
		c.failUnsent(i, e, balance.NotSent)
		return
	}
	for len(s.idle) > 0 {
		// Some stores close a connection right after an answer, and what is sent before the front learns of that is
		// lost. So the newest of the connections that have been idle for closeNoticeDelay is used, otherwise the one
		// that has been idle longest.
		n := len(s.idle) - 1
		for n > 0 && c.now-s.idle[n].since < closeNoticeDelay {
			n--
		}
		k := s.idle[n]
		if k.protocol.readAnswers(k, c); k.index < 0 || len(k.link.Peek()) > 0 {
			if k.index >= 0 {
				k.release(c)
			}
			continue // it has received unsolicited data
		}
		s.idle = append(s.idle[:n], s.idle[n+1:]...)
		k.carry(c, e)
		return
	}
	var link Link
	err := ErrNoResources
	if len(c.clients)+len(c.conns) < c.limits.MaxConnections || c.closeOldestIdle() {
		link, err = c.sockets.Dial(s.addr)
	}
	if err == ErrNoResources {
		if e.request < 0 { // a probe can wait for a connection to become free
			s.waiting = append(s.waiting, e)
			return
		}
		c.failUnsent(i, e, balance.NotSent)
		return
	} else if err != nil {
		c.logLimited("no connection", "store", i, "addr", s.addr, "error", err.Error())
		c.failUnsent(i, e, balance.ConnectFailed)
		return
	}
	e.dialled = true
	k := &conn{link: link, index: len(c.conns), store: i, addr: s.addr, since: c.now, protocol: c.stores[i].protocol}
	k.protocol.prepareNew(k)
	link.SetOwner(k)
	c.conns = append(c.conns, k)
	if e.request >= 0 {
		c.requests[e.request].awaitsConn = true
	}
	s.waiting = append(s.waiting, e)
	k.write(c, k.protocol.appendStartup(c.scratch[:0]))
}

// closeOldestIdle closes the store connection that has been idle longest. It returns false if there is none.
func (c *Core) closeOldestIdle() bool {
	var oldest *conn
	for _, k := range c.conns {
		if k.idle && (oldest == nil || k.since < oldest.since) {
			oldest = k
		}
	}
	if oldest != nil {
		oldest.release(c)
	}
	return oldest != nil
}

// failUnsent ends a pending attempt that was never written completely.
func (c *Core) failUnsent(i uint32, e pendingAttempt, how balance.Ending) {
	if e.request >= 0 {
		c.requests[e.request].awaitsConn = false
	}
	c.observeEnd(i, e, how)
	if e.positionQuery {
		c.limits.PositionWatch.QueryFailed(c.stores[i].id)
		return
	}
	c.queueResult(attemptResult{e.request, e.attempt, i, balance.Result{Ending: how}})
}

// observeEnd calls Limits.OnAttemptEnd, if set, with how an attempt or a probe ended.
func (c *Core) observeEnd(i uint32, e pendingAttempt, how balance.Ending) {
	if c.limits.OnAttemptEnd == nil {
		return
	}
	expected := Time(0)
	if e.request >= 0 {
		expected = c.requests[e.request].class().ExpectedTime
	}
	c.limits.OnAttemptEnd(c.stores[i].id, how, expected, c.now-e.since)
}

// carry writes the query of a pending attempt on a ready connection.
func (k *conn) carry(c *Core, e pendingAttempt) {
	k.current, k.idle, k.answerDone, k.since = e, false, false, c.now
	k.writeReported, k.errorCode, k.parts, k.parsedBytes, k.probeValue = false, "", 0, 0, ""
	k.report, k.loadReport = balance.Report{}, balance.Report{}
	if e.request >= 0 {
		req := &c.requests[e.request]
		req.awaitsConn, req.attemptConn, req.written = false, k, true
	}
	k.protocol.sendRequest(k, c, e)
	k.used = true
	if k.index >= 0 {
		k.link.Flush() // at once: by the end of this step the request's client may have disconnected
	}
}

// write queues output to the store. A connection without room for it counts as lost.
func (k *conn) write(c *Core, p []byte) {
	k.writtenBytes += int64(len(p))
	if !k.link.Write(p) {
		k.connectionLost(c)
		return
	}
	c.unflushed = append(c.unflushed, k.link)
}

// handleEvent handles an event of the connection's link.
func (k *conn) handleEvent(c *Core, flags EventFlags) {
	if k.index < 0 {
		return
	}
	if flags&Readable != 0 && k.index >= 0 {
		k.protocol.readAnswers(k, c)
	}
	if flags&Closed != 0 && k.index >= 0 {
		k.connectionLost(c)
	}
}

// becomeIdle makes a connection idle that carries nothing any more, or nothing yet. Attempts that wait for one are
// dispatched later in the step.
func (k *conn) becomeIdle(c *Core) {
	s := &c.stores[k.store]
	if k.addr != s.addr { // the store's address has changed meanwhile
		k.release(c)
		c.unserved = append(c.unserved, k.store)
		return
	}
	k.protocol.prepareIdle(k)
	k.errorCode = ""
	k.idle, k.answerDone, k.since = true, false, c.now
	s.idle = append(s.idle, k)
	if len(s.waiting) > 0 {
		c.freed = append(c.freed, k.store)
	}
}

// dispatchWaiting gives the connections that have become idle to the attempts that wait for one, and dispatches again
// those whose connection was closed instead. It is called when the balancer has been told of all results that have
// arrived, since one of them may be why an attempt must not start.
func (c *Core) dispatchWaiting() {
	for _, i := range c.unserved {
		c.dispatchOldest(i)
	}
	c.unserved = c.unserved[:0]
	for _, i := range c.freed {
		for s := &c.stores[i]; len(s.waiting) > 0 && len(s.idle) > 0; {
			c.dispatchOldest(i)
		}
	}
	c.freed = c.freed[:0]
}

// drainExpired reports whether the store drains, its grace period is over, and the request needs more of the store than
// has been written.
func (k *conn) drainExpired(c *Core) bool {
	s := &c.stores[k.store]
	return k.bolt != nil && k.current.request >= 0 && s.drainUntil > 0 && c.now >= s.drainUntil && !k.bolt.outcome.StaysDuringDrain()
}

// dispatchOldest dispatches the oldest waiting attempt again, since a connection has become idle, or the one that would
// have carried it is closed.
func (c *Core) dispatchOldest(i uint32) {
	if s := &c.stores[i]; len(s.waiting) > 0 {
		e := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		c.dispatch(i, e)
	}
}

// connectionLost ends the attempt on a connection that broke or received input that cannot be parsed.
func (k *conn) connectionLost(c *Core) {
	e, busy := k.current, k.ready && !k.idle && !k.answerDone
	r := balance.Result{Ending: balance.ConnectionLost, Note: k.report, Load: k.loadReport, Since: k.connectedAt}
	k.release(c) // until it is closed the system may accept the rest of a query, so SentBytes is final only then
	switch {
	case !k.ready:
		if s := &c.stores[k.store]; len(s.waiting) > 0 {
			e = s.waiting[0]
			s.waiting = append(s.waiting[:0], s.waiting[1:]...)
			c.failUnsent(k.store, e, balance.ConnectFailed) // also when the store reports too many connections
		}
		return
	case k.answerDone:
		c.unserved = append(c.unserved, k.store)
		return
	case !busy:
		return
	}
	r.Ending = k.protocol.lossEnding(k, c)
	c.endAttempt(k, e, r)
}

// queueResult keeps a result for the balancer.
func (c *Core) queueResult(b attemptResult) {
	if b.request >= 0 {
		c.requests[b.request].queued++
		if c.admission != nil {
			c.admission.AttemptEnded(c.now, b.request, b.result.Ending == balance.Served)
		}
	}
	c.results = append(c.results, b)
}

// endAttempt ends an attempt or a probe that a connection carried, and queues its result for the balancer.
func (c *Core) endAttempt(k *conn, e pendingAttempt, r balance.Result) {
	if e.request >= 0 {
		c.requests[e.request].attemptConn = nil
	}
	c.observeEnd(k.store, e, r.Ending)
	if w := c.limits.PositionWatch; w != nil && (r.Ending <= balance.Overloaded || e.positionQuery) {
		c.notifyPosition(w, k.store, e, r)
	}
	if e.positionQuery && r.Ending != balance.Served {
		return // the balancer did not ask for it, and would blame the store for an older query
	}
	c.queueResult(attemptResult{e.request, e.attempt, k.store, r})
}

// notifyPosition tells the position watch which position an answer has shown. A commit's position does not count, since
// it is rounded up.
func (c *Core) notifyPosition(w PositionWatch, i uint32, e pendingAttempt, r balance.Result) {
	position := r.Load.Position
	if e.request >= 0 && c.requests[e.request].class().Need != balance.Write {
		position = max(position, r.Note.Position)
	}
	switch {
	case position > 0:
		w.PositionObserved(c.stores[i].id, position)
	case e.positionQuery:
		w.QueryFailed(c.stores[i].id)
	}
}

// release is the only place where a store connection is released.
func (k *conn) release(c *Core) {
	last := c.conns[len(c.conns)-1]
	c.conns[k.index], last.index = last, k.index
	c.conns = c.conns[:len(c.conns)-1]
	k.index = -1
	k.link.SetOwner(nil)
	if k.ready && !k.idle && !k.answerDone {
		// What a partitioned machine has not been sent yet would reach it when the partition ends, after its time
		// window.
		k.link.Abort()
	} else {
		k.link.Close()
	}
	if k.idle {
		k.idle = false
		s := &c.stores[k.store]
		for n := range s.idle {
			if s.idle[n] == k {
				s.idle = append(s.idle[:n], s.idle[n+1:]...)
				break
			}
		}
	}
}

// cancelAttempt cancels an attempt. The connection that carries it is closed, so that a late answer is not taken for
// another request's.
func (c *Core) cancelAttempt(t task) {
	req := &c.requests[t.request]
	if t.attempt != req.attempts-1 {
		return
	}
	if req.awaitsConn {
		s := &c.stores[req.store]
		for n, e := range s.waiting {
			if e.request == t.request {
				s.waiting = append(s.waiting[:n], s.waiting[n+1:]...)
				c.failUnsent(req.store, e, balance.Cancelled)
				return
			}
		}
	}
	if k := req.attemptConn; k != nil {
		e := k.current
		k.release(c)
		c.endAttempt(k, e, balance.Result{Ending: balance.Cancelled})
	}
}

// closeIdle closes the idle connections to a store.
func (c *Core) closeIdle(i uint32) {
	for idle := c.stores[i].idle; len(idle) > 0; idle = c.stores[i].idle {
		idle[len(idle)-1].release(c)
	}
}

// removeStore is the only place where a store's number is released. Nothing that still arrives from the old store may
// count for the store that gets the number next.
func (c *Core) removeStore(t task) {
	s := &c.stores[t.store]
	if !s.forgotten || s.id == "" {
		return
	}
	for n := len(c.conns) - 1; n >= 0; n-- {
		if k := c.conns[n]; k.store == t.store {
			k.release(c)
			if k.ready && !k.idle && !k.answerDone {
				c.endAttempt(k, k.current, balance.Result{Ending: balance.ConnectionLost})
			}
		}
	}
	for _, e := range s.waiting {
		c.failUnsent(t.store, e, balance.NotSent)
	}
	c.results = slices.DeleteFunc(c.results, func(b attemptResult) bool { return b.request < 0 && b.store == t.store })
	delete(c.storeIndex, s.id)
	*s = store{}
	c.freeStores = append(c.freeStores, t.store)
}

// sweep ends everything whose time has run out.
func (c *Core) sweep() {
	for i := range c.stores {
		s := &c.stores[i]
		remaining := s.waiting[:0]
		for _, e := range s.waiting {
			switch {
			case e.dialled && c.now >= e.since+c.host.DialTimeout:
				c.failUnsent(uint32(i), e, balance.ConnectFailed)
			case !c.mayStillStart(e): // a front that has no descriptor left must not blame the store
				c.failUnsent(uint32(i), e, balance.NotSent)
			default:
				remaining = append(remaining, e)
			}
		}
		s.waiting = remaining
	}
	var silent []*conn
	for n := len(c.conns) - 1; n >= 0; n-- {
		k := c.conns[n]
		switch {
		case !k.ready && c.now >= k.since+c.host.DialTimeout:
			k.release(c)
		case k.idle && c.now >= k.since+c.host.IdleTimeout*3/4: // well before the store closes it
			k.release(c)
		case k.answerDone: // the beginning of another message follows its answer
			k.release(c)
			c.dispatchOldest(k.store)
		// Nothing new may be sent there, and the open transaction would continue.
		case k.ready && !k.idle && k.drainExpired(c):
			k.connectionLost(c)
		case k.ready && !k.idle && c.now >= k.current.until:
			e, r := k.current, balance.Result{Ending: balance.TimedOut}
			k.release(c)
			if how := k.protocol.lossEnding(k, c); how == balance.ConnectFailed || how == balance.Aborted {
				r.Ending = how
			}
			if e.request < 0 {
				silent = append(silent, k)
			}
			c.endAttempt(k, e, r)
		}
	}
	for _, k := range silent {
		// A partitioned machine leaves its connections open, and each would cost an attempt of its own. Connections
		// that were idle for as long as a probe had no answer are as dead as the one that carried the probe.
		for _, o := range append([]*conn(nil), c.stores[k.store].idle...) {
			if o.since <= k.current.since {
				o.release(c)
			}
		}
	}
	c.sweepClients()
}
