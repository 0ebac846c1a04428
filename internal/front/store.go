package front

import (
	"slices"

	"micatrack/balance"
)

const closeNoticeDelay = 2 * millisecond // what a store does right behind an answer is heard by then

// storeProtocol is how one protocol puts to its stores what the core asks of them. It keeps nothing.
type storeProtocol interface {
	appendStartup(dst []byte) []byte                // what a new connection begins with
	prepareNew(k *conn)                             // prepares a connection that comes up,
	prepareIdle(k *conn)                            // and one on which nothing is asked
	sendRequest(k *conn, c *Core, e pendingAttempt) // writes a request's request, or a probe
	readAnswers(k *conn, c *Core)                   // looks at what has come in
	lossEnding(k *conn, c *Core) balance.Ending     // what is proven of what a connection that is closed now was asked
	provenNoEffect(k *conn) bool                    // tells whether it is proven so far that it had no effect
}

// store is one member of the list.
type store struct {
	id         string
	forgotten  bool // by the module; its place is free from the next turn on
	addr       string
	protocol   storeProtocol
	bolt       bool             // it speaks Bolt
	drainUntil Time             // it drains, and an open transaction may go on until then; 0: it does not
	idle       []*conn          // the newest last
	waiting    []pendingAttempt // attempts and probes that wait for a connection, the oldest first
}

// pendingAttempt is an attempt, or a probe if it has no request, until a connection carries it.
type pendingAttempt struct {
	request       int32 // -1: a probe
	attempt       int
	since, until  Time
	dialled       bool
	positionQuery bool // the watch asks, and not the module
}

// mayStillStart is the one place that tells whether an errand may still set out.
// Danger: while it waited for a connection its client may have gone, its time be over, or the module think otherwise.
func (c *Core) mayStillStart(e pendingAttempt) bool {
	if c.now >= e.until || e.request < 0 {
		return c.now < e.until
	}
	req := &c.requests[e.request]
	return !req.concluded && (c.now == e.since || c.balancer.MaySend(c.now, req.id))
}

// conn is one connection to a store.
type conn struct {
	link               Link
	index              int // in Core.conns; -1: given back
	store              uint32
	protocol           storeProtocol
	bolt               *boltConn
	addr               string                                                   // that it was dialled at
	onMessage          func(s *conn, c *Core, kind byte, body []byte) (ok bool) // is handed the store's messages
	ready              bool
	idle               bool
	answerDone         bool // its answer is complete, and it has not been put to use again
	connectedAt        Time // when it came up
	since              Time // when it was dialled, sent on its way or fell idle
	current            pendingAttempt
	writtenBytes       int64  // bytes written so far, the query's last among them
	writeReported      bool   // the module has been told that part of a write's answer has come
	errorCode          string // of the ErrorResponse that has come
	partStart, partEnd [3]int // the messages of the value in the link's ring
	parts              int
	parsedBytes        int // bytes of the answer that were looked at
	report             balance.Report
	loadReport         balance.Report
	probeValue         string // of a probe
}

// startAttempt starts an attempt.
func (c *Core) startAttempt(t task) {
	req := &c.requests[t.request]
	attempt := req.attempts
	req.attempts++
	if !req.inUse || req.concluded || req.attemptConn != nil || req.awaitsConn || int(t.store) >= len(c.stores) ||
		c.stores[t.store].bolt != req.bolt {
		c.queueResult(attemptResult{t.request, attempt, t.store, balance.Result{Ending: balance.NotSent}})
		return
	}
	req.store, req.minPosition = t.store, t.minPosition
	c.dispatch(t.store, pendingAttempt{request: t.request, attempt: attempt, since: c.now, until: t.at})
}

func (c *Core) startProbe(t task) {
	s := &c.stores[t.store]
	if w := c.limits.PositionWatch; w != nil && t.minPosition > 0 && !s.bolt && w.RequestPosition(s.id, t.minPosition, t.anyPosition) {
		return
	}
	c.dispatch(t.store, pendingAttempt{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
}

// dispatch sends an errand off on the idle connection used last, or lets it wait for a new one.
func (c *Core) dispatch(i uint32, e pendingAttempt) {
	s := &c.stores[i]
	if !c.mayStillStart(e) || !c.clientConnected(e) {
		c.failUnsent(i, e, balance.NotSent)
		return
	}
	for len(s.idle) > 0 {
		// Danger: some stores close right behind an answer, and what is sent before that is heard is lost.
		// So of those that have rested for a moment the newest is used, else the one that has rested longest.
		n := len(s.idle) - 1
		for n > 0 && c.now-s.idle[n].since < closeNoticeDelay {
			n--
		}
		k := s.idle[n]
		if k.protocol.readAnswers(k, c); k.index < 0 || len(k.link.Peek()) > 0 {
			if k.index >= 0 {
				k.release(c)
			}
			continue // it brought what nobody asked for
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
		if e.request < 0 { // it can wait for a connection to fall free
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

// closeOldestIdle gives up the store connection that stood idle longest; false: there is none.
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

// failUnsent ends an errand that was never written whole.
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

// observeEnd tells who asked for it how an attempt or a probe came back.
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

// carry writes the errand's query on a ready connection.
func (k *conn) carry(c *Core, e pendingAttempt) {
	k.current, k.idle, k.answerDone, k.since = e, false, false, c.now
	k.writeReported, k.errorCode, k.parts, k.parsedBytes, k.probeValue = false, "", 0, 0, ""
	k.report, k.loadReport = balance.Report{}, balance.Report{}
	if e.request >= 0 {
		req := &c.requests[e.request]
		req.awaitsConn, req.attemptConn = false, k
	}
	k.protocol.sendRequest(k, c, e)
	if k.index >= 0 {
		k.link.Flush() // Danger: behind all else that this turn has to do, its client may have gone.
	}
}

func (k *conn) write(c *Core, p []byte) {
	k.writtenBytes += int64(len(p))
	if !k.link.Write(p) {
		k.connectionLost(c)
		return
	}
	c.unflushed = append(c.unflushed, k.link)
}

func (k *conn) handleEvent(c *Core, what EventFlags) {
	if k.index < 0 {
		return
	}
	if what&Readable != 0 && k.index >= 0 {
		k.protocol.readAnswers(k, c)
	}
	if what&Closed != 0 && k.index >= 0 {
		k.connectionLost(c)
	}
}

// carryNextOrIdle makes a connection that has nothing to do carry the oldest errand, or lets it stand idle.
func (k *conn) carryNextOrIdle(c *Core) {
	s := &c.stores[k.store]
	if k.addr != s.addr { // the store has moved meanwhile
		k.release(c)
		c.dispatchOldest(k.store)
		return
	}
	for len(s.waiting) > 0 {
		e := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		if c.mayStillStart(e) && c.clientConnected(e) {
			k.carry(c, e)
			return
		}
		c.failUnsent(k.store, e, balance.NotSent)
	}
	k.protocol.prepareIdle(k)
	k.errorCode = ""
	k.idle, k.answerDone, k.since = true, false, c.now
	s.idle = append(s.idle, k)
}

// drainExpired tells that the store drains, that its grace is over, and that the request needs more of it than it was asked.
func (k *conn) drainExpired(c *Core) bool {
	s := &c.stores[k.store]
	return k.bolt != nil && k.current.request >= 0 && s.drainUntil > 0 && c.now >= s.drainUntil && !k.bolt.outcome.StaysDuringDrain()
}

// dispatchOldest starts the oldest errand that waits anew: the connection that would have carried it is no more.
func (c *Core) dispatchOldest(i uint32) {
	if s := &c.stores[i]; len(s.waiting) > 0 {
		e := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		c.dispatch(i, e)
	}
}

// connectionLost ends what a connection carried when it broke, or when what came on it made no sense.
func (k *conn) connectionLost(c *Core) {
	e, busy := k.current, k.ready && !k.idle && !k.answerDone
	r := balance.Result{Ending: balance.ConnectionLost, Note: k.report, Load: k.loadReport, Since: k.connectedAt}
	k.release(c) // Danger: until it is closed the system may take the rest of a query, so Sent counts only then.
	switch {
	case !k.ready:
		if s := &c.stores[k.store]; len(s.waiting) > 0 {
			e = s.waiting[0]
			s.waiting = append(s.waiting[:0], s.waiting[1:]...)
			c.failUnsent(k.store, e, balance.ConnectFailed) // also when the store says that it has too many
		}
		return
	case k.answerDone:
		c.dispatchOldest(k.store)
		return
	case !busy:
		return
	}
	r.Ending = k.protocol.lossEnding(k, c)
	c.endAttempt(k, e, r)
}

// queueResult keeps a result for the module.
func (c *Core) queueResult(b attemptResult) {
	if b.request >= 0 {
		c.requests[b.request].unreported++
		if c.admission != nil {
			c.admission.AttemptEnded(c.now, b.request, b.result.Ending == balance.Served)
		}
	}
	c.results = append(c.results, b)
}

func (c *Core) endAttempt(k *conn, e pendingAttempt, r balance.Result) {
	if e.request >= 0 {
		c.requests[e.request].attemptConn = nil
	}
	c.observeEnd(k.store, e, r.Ending)
	if w := c.limits.PositionWatch; w != nil && (r.Ending <= balance.Overloaded || e.positionQuery) {
		c.notifyPosition(w, k.store, e, r)
	}
	if e.positionQuery && r.Ending != balance.Served {
		return // the module has not asked, and would blame the store for an older question
	}
	c.queueResult(attemptResult{e.request, e.attempt, k.store, r})
}

// notifyPosition tells the watch what an answer has shown. A commit's position is told rounded up, so it is none.
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

// release is the one place where a store's connection is given back.
func (k *conn) release(c *Core) {
	last := c.conns[len(c.conns)-1]
	c.conns[k.index], last.index = last, k.index
	c.conns = c.conns[:len(c.conns)-1]
	k.index = -1
	k.link.SetOwner(nil)
	if k.ready && !k.idle && !k.answerDone {
		// Danger: what a cut-off machine has not been sent yet would reach it when the cut is over, past its window.
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

// cancelAttempt gives up an attempt: a connection that carries it is closed, so that no late answer is taken for another's.
func (c *Core) cancelAttempt(t task) {
	req := &c.requests[t.request]
	if !req.inUse || t.attempt != req.attempts-1 {
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

// removeStore is the one place where a store's number is given back.
// Danger: nothing that still comes of the old store may count for the one that has the number next.
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

// sweep ends all whose time is over.
func (c *Core) sweep() {
	for i := range c.stores {
		s := &c.stores[i]
		keep := s.waiting[:0]
		for _, e := range s.waiting {
			switch {
			case e.dialled && c.now >= e.since+c.host.DialTimeout:
				c.failUnsent(uint32(i), e, balance.ConnectFailed)
			case !c.mayStillStart(e): // Danger: a front that has no descriptor left must not blame the store.
				c.failUnsent(uint32(i), e, balance.NotSent)
			default:
				keep = append(keep, e)
			}
		}
		s.waiting = keep
	}
	var silent []*conn
	for n := len(c.conns) - 1; n >= 0; n-- {
		k := c.conns[n]
		switch {
		case !k.ready && c.now >= k.since+c.host.DialTimeout:
			k.release(c)
		case k.idle && c.now >= k.since+c.host.IdleTimeout*3/4: // well before the store does
			k.release(c)
		case k.answerDone: // the beginning of something stands behind its answer
			k.release(c)
			c.dispatchOldest(k.store)
		case k.ready && !k.idle && k.drainExpired(c): // Danger: nothing new may go there, and what is open would go on
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
		// Danger: a machine that is cut off leaves its connections open, and each would cost an attempt of its own.
		// Those that stood idle through a probe's whole silence are as dead as the one that carried it.
		for _, o := range append([]*conn(nil), c.stores[k.store].idle...) {
			if o.since <= k.current.since {
				o.release(c)
			}
		}
	}
	c.sweepClients()
}
