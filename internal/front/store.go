package front

import (
	"slices"

	"micatrack/balance"
)

const breath = 2 * perMilli // what a store does right behind an answer is heard by then

// dialect is how one protocol puts to its stores what the core asks of them. It keeps nothing.
type dialect interface {
	hail(dst []byte) []byte                 // what a new connection begins with
	rises(k *conn)                          // prepares a connection that comes up,
	idles(k *conn)                          // and one on which nothing is asked
	ask(k *conn, c *Core, e errand)         // writes a request's request, or a probe
	gather(k *conn, c *Core)                // looks at what has come in
	broken(k *conn, c *Core) balance.Ending // what is proven of what a connection that is closed now was asked
	undone(k *conn) bool                    // tells whether it is proven so far that it had no effect
}

// store is one member of the list.
type store struct {
	id        string
	forgotten bool // by the module; its place is free from the next turn on
	addr      string
	dialect   dialect
	bolt      bool     // it speaks Bolt
	cutAt     Time     // it drains, and an open transaction may go on until then; 0: it does not
	idle      []*conn  // the newest last
	waits     []errand // attempts and probes that wait for a connection, the oldest first
}

// errand is an attempt, or a probe if it has no request, until a connection carries it.
type errand struct {
	request      int32 // -1: a probe
	attempt      int
	since, until Time
	dialled      bool
	survey       bool // the watch asks, and not the module
}

// due is the one place that tells whether an errand may still set out.
// Danger: while it waited for a connection its client may have gone, its time be over, or the module think otherwise.
func (c *Core) due(e errand) bool {
	if c.now >= e.until || e.request < 0 {
		return c.now < e.until
	}
	j := &c.requests[e.request]
	return !j.final && (c.now == e.since || c.module.MaySend(c.now, j.id))
}

// conn is one connection to a store.
type conn struct {
	link     Link
	at       int // in Core.conns; -1: given back
	store    uint32
	dialect  dialect
	bolt     *boltConn
	addr     string                                                   // that it was dialled at
	next     func(s *conn, c *Core, kind byte, body []byte) (ok bool) // is handed the store's messages
	ready    bool
	idle     bool
	spent    bool // its answer is complete, and it has not been put to use again
	up       Time // when it came up
	since    Time // when it was dialled, sent on its way or fell idle
	errand   errand
	wrote    int64  // bytes written so far, the query's last among them
	shown    bool   // the module has been told that part of a write's answer has come
	code     string // of the ErrorResponse that has come
	from, to [3]int // the messages of the value in the link's ring
	parts    int
	read     int // bytes of the answer that were looked at
	note     balance.Report
	load     balance.Report
	value    string // of a probe
}

// depart starts an attempt.
func (c *Core) depart(t task) {
	j := &c.requests[t.request]
	attempt := j.sent
	j.sent++
	if !j.busy || j.final || j.attempt != nil || j.waits || int(t.store) >= len(c.stores) ||
		c.stores[t.store].bolt != j.bolt {
		c.owe(back{t.request, attempt, t.store, balance.Result{Ending: balance.NotSent}})
		return
	}
	j.store, j.least = t.store, t.least
	c.start(t.store, errand{request: t.request, attempt: attempt, since: c.now, until: t.at})
}

func (c *Core) probe(t task) {
	s := &c.stores[t.store]
	if w := c.limits.PositionWatch; w != nil && t.least > 0 && !s.bolt && w.RequestPosition(s.id, t.least, t.any) {
		return
	}
	c.start(t.store, errand{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
}

// start sends an errand off on the idle connection used last, or lets it wait for a new one.
func (c *Core) start(i uint32, e errand) {
	s := &c.stores[i]
	if !c.due(e) || !c.stays(e) {
		c.fail(i, e, balance.NotSent)
		return
	}
	for len(s.idle) > 0 {
		// Danger: some stores close right behind an answer, and what is sent before that is heard is lost.
		// So of those that have rested for a moment the newest is used, else the one that has rested longest.
		n := len(s.idle) - 1
		for n > 0 && c.now-s.idle[n].since < breath {
			n--
		}
		k := s.idle[n]
		if k.dialect.gather(k, c); k.at < 0 || len(k.link.Peek()) > 0 {
			if k.at >= 0 {
				k.drop(c)
			}
			continue // it brought what nobody asked for
		}
		s.idle = append(s.idle[:n], s.idle[n+1:]...)
		k.ride(c, e)
		return
	}
	var link Link
	err := ErrNoResources
	if len(c.clients)+len(c.conns) < c.limits.MaxConnections || c.spare() {
		link, err = c.sockets.Dial(s.addr)
	}
	if err == ErrNoResources {
		if e.request < 0 { // it can wait for a connection to fall free
			s.waits = append(s.waits, e)
			return
		}
		c.fail(i, e, balance.NotSent)
		return
	} else if err != nil {
		c.note("no connection", "store", i, "addr", s.addr, "error", err.Error())
		c.fail(i, e, balance.ConnectFailed)
		return
	}
	e.dialled = true
	k := &conn{link: link, at: len(c.conns), store: i, addr: s.addr, since: c.now, dialect: c.stores[i].dialect}
	k.dialect.rises(k)
	link.SetOwner(k)
	c.conns = append(c.conns, k)
	if e.request >= 0 {
		c.requests[e.request].waits = true
	}
	s.waits = append(s.waits, e)
	k.write(c, k.dialect.hail(c.out[:0]))
}

// spare gives up the store connection that stood idle longest; false: there is none.
func (c *Core) spare() bool {
	var oldest *conn
	for _, k := range c.conns {
		if k.idle && (oldest == nil || k.since < oldest.since) {
			oldest = k
		}
	}
	if oldest != nil {
		oldest.drop(c)
	}
	return oldest != nil
}

// fail ends an errand that was never written whole.
func (c *Core) fail(i uint32, e errand, how balance.Ending) {
	if e.request >= 0 {
		c.requests[e.request].waits = false
	}
	c.saw(i, e, how)
	if e.survey {
		c.limits.PositionWatch.QueryFailed(c.stores[i].id)
		return
	}
	c.owe(back{e.request, e.attempt, i, balance.Result{Ending: how}})
}

// saw tells who asked for it how an attempt or a probe came back.
func (c *Core) saw(i uint32, e errand, how balance.Ending) {
	if c.limits.OnAttemptEnd == nil {
		return
	}
	expected := Time(0)
	if e.request >= 0 {
		expected = c.requests[e.request].class().ExpectedTime
	}
	c.limits.OnAttemptEnd(c.stores[i].id, how, expected, c.now-e.since)
}

// ride writes the errand's query on a ready connection.
func (k *conn) ride(c *Core, e errand) {
	k.errand, k.idle, k.spent, k.since = e, false, false, c.now
	k.shown, k.code, k.parts, k.read, k.value = false, "", 0, 0, ""
	k.note, k.load = balance.Report{}, balance.Report{}
	if e.request >= 0 {
		j := &c.requests[e.request]
		j.waits, j.attempt = false, k
	}
	k.dialect.ask(k, c, e)
	if k.at >= 0 {
		k.link.Flush() // Danger: behind all else that this turn has to do, its client may have gone.
	}
}

func (k *conn) write(c *Core, p []byte) {
	k.wrote += int64(len(p))
	if !k.link.Write(p) {
		k.lost(c)
		return
	}
	c.dirty = append(c.dirty, k.link)
}

func (k *conn) notice(c *Core, what EventFlags) {
	if k.at < 0 {
		return
	}
	if what&Readable != 0 && k.at >= 0 {
		k.dialect.gather(k, c)
	}
	if what&Closed != 0 && k.at >= 0 {
		k.lost(c)
	}
}

// settle makes a connection that has nothing to do carry the oldest errand, or lets it stand idle.
func (k *conn) settle(c *Core) {
	s := &c.stores[k.store]
	if k.addr != s.addr { // the store has moved meanwhile
		k.drop(c)
		c.resume(k.store)
		return
	}
	for len(s.waits) > 0 {
		e := s.waits[0]
		s.waits = append(s.waits[:0], s.waits[1:]...)
		if c.due(e) && c.stays(e) {
			k.ride(c, e)
			return
		}
		c.fail(k.store, e, balance.NotSent)
	}
	k.dialect.idles(k)
	k.code = ""
	k.idle, k.spent, k.since = true, false, c.now
	s.idle = append(s.idle, k)
}

// cut tells that the store drains, that its grace is over, and that the request needs more of it than it was asked.
func (k *conn) cut(c *Core) bool {
	s := &c.stores[k.store]
	return k.bolt != nil && k.errand.request >= 0 && s.cutAt > 0 && c.now >= s.cutAt && !k.bolt.course.StaysDuringDrain()
}

// resume starts the oldest errand that waits anew: the connection that would have carried it is no more.
func (c *Core) resume(i uint32) {
	if s := &c.stores[i]; len(s.waits) > 0 {
		e := s.waits[0]
		s.waits = append(s.waits[:0], s.waits[1:]...)
		c.start(i, e)
	}
}

// lost ends what a connection carried when it broke, or when what came on it made no sense.
func (k *conn) lost(c *Core) {
	e, busy := k.errand, k.ready && !k.idle && !k.spent
	r := balance.Result{Ending: balance.ConnectionLost, Note: k.note, Load: k.load, Since: k.up}
	k.drop(c) // Danger: until it is closed the system may take the rest of a query, so Sent counts only then.
	switch {
	case !k.ready:
		if s := &c.stores[k.store]; len(s.waits) > 0 {
			e = s.waits[0]
			s.waits = append(s.waits[:0], s.waits[1:]...)
			c.fail(k.store, e, balance.ConnectFailed) // also when the store says that it has too many
		}
		return
	case k.spent:
		c.resume(k.store)
		return
	case !busy:
		return
	}
	r.Ending = k.dialect.broken(k, c)
	c.end(k, e, r)
}

// owe keeps a result for the module.
func (c *Core) owe(b back) {
	if b.request >= 0 {
		c.requests[b.request].owed++
		if c.door != nil {
			c.door.AttemptEnded(c.now, b.request, b.r.Ending == balance.Served)
		}
	}
	c.backs = append(c.backs, b)
}

func (c *Core) end(k *conn, e errand, r balance.Result) {
	if e.request >= 0 {
		c.requests[e.request].attempt = nil
	}
	c.saw(k.store, e, r.Ending)
	if w := c.limits.PositionWatch; w != nil && (r.Ending <= balance.Overloaded || e.survey) {
		c.learned(w, k.store, e, r)
	}
	if e.survey && r.Ending != balance.Served {
		return // the module has not asked, and would blame the store for an older question
	}
	c.owe(back{e.request, e.attempt, k.store, r})
}

// learned tells the watch what an answer has shown. A commit's position is told rounded up, so it is none.
func (c *Core) learned(w PositionWatch, i uint32, e errand, r balance.Result) {
	position := r.Load.Position
	if e.request >= 0 && c.requests[e.request].class().Need != balance.Write {
		position = max(position, r.Note.Position)
	}
	switch {
	case position > 0:
		w.PositionObserved(c.stores[i].id, position)
	case e.survey:
		w.QueryFailed(c.stores[i].id)
	}
}

// drop is the one place where a store's connection is given back.
func (k *conn) drop(c *Core) {
	last := c.conns[len(c.conns)-1]
	c.conns[k.at], last.at = last, k.at
	c.conns = c.conns[:len(c.conns)-1]
	k.at = -1
	k.link.SetOwner(nil)
	if k.ready && !k.idle && !k.spent {
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

// recall gives up an attempt: a connection that carries it is closed, so that no late answer is taken for another's.
func (c *Core) recall(t task) {
	j := &c.requests[t.request]
	if !j.busy || t.attempt != j.sent-1 {
		return
	}
	if j.waits {
		s := &c.stores[j.store]
		for n, e := range s.waits {
			if e.request == t.request {
				s.waits = append(s.waits[:n], s.waits[n+1:]...)
				c.fail(j.store, e, balance.Cancelled)
				return
			}
		}
	}
	if k := j.attempt; k != nil {
		e := k.errand
		k.drop(c)
		c.end(k, e, balance.Result{Ending: balance.Cancelled})
	}
}

// hangUp closes the idle connections to a store.
func (c *Core) hangUp(i uint32) {
	for idle := c.stores[i].idle; len(idle) > 0; idle = c.stores[i].idle {
		idle[len(idle)-1].drop(c)
	}
}

// forget is the one place where a store's number is given back.
// Danger: nothing that still comes of the old store may count for the one that has the number next.
func (c *Core) forget(t task) {
	s := &c.stores[t.store]
	if !s.forgotten || s.id == "" {
		return
	}
	for n := len(c.conns) - 1; n >= 0; n-- {
		if k := c.conns[n]; k.store == t.store {
			k.drop(c)
			if k.ready && !k.idle && !k.spent {
				c.end(k, k.errand, balance.Result{Ending: balance.ConnectionLost})
			}
		}
	}
	for _, e := range s.waits {
		c.fail(t.store, e, balance.NotSent)
	}
	c.backs = slices.DeleteFunc(c.backs, func(b back) bool { return b.request < 0 && b.store == t.store })
	delete(c.storeOf, s.id)
	*s = store{}
	c.freeStores = append(c.freeStores, t.store)
}

// sweep ends all whose time is over.
func (c *Core) sweep() {
	for i := range c.stores {
		s := &c.stores[i]
		keep := s.waits[:0]
		for _, e := range s.waits {
			switch {
			case e.dialled && c.now >= e.since+c.host.DialTimeout:
				c.fail(uint32(i), e, balance.ConnectFailed)
			case !c.due(e): // Danger: a front that has no descriptor left must not blame the store.
				c.fail(uint32(i), e, balance.NotSent)
			default:
				keep = append(keep, e)
			}
		}
		s.waits = keep
	}
	var silent []*conn
	for n := len(c.conns) - 1; n >= 0; n-- {
		k := c.conns[n]
		switch {
		case !k.ready && c.now >= k.since+c.host.DialTimeout:
			k.drop(c)
		case k.idle && c.now >= k.since+c.host.IdleTimeout*3/4: // well before the store does
			k.drop(c)
		case k.spent: // the beginning of something stands behind its answer
			k.drop(c)
			c.resume(k.store)
		case k.ready && !k.idle && k.cut(c): // Danger: nothing new may go there, and what is open would go on
			k.lost(c)
		case k.ready && !k.idle && c.now >= k.errand.until:
			e, r := k.errand, balance.Result{Ending: balance.TimedOut}
			k.drop(c)
			if how := k.dialect.broken(k, c); how == balance.ConnectFailed || how == balance.Aborted {
				r.Ending = how
			}
			if e.request < 0 {
				silent = append(silent, k)
			}
			c.end(k, e, r)
		}
	}
	for _, k := range silent {
		// Danger: a machine that is cut off leaves its connections open, and each would cost an attempt of its own.
		// Those that stood idle through a probe's whole silence are as dead as the one that carried it.
		for _, o := range append([]*conn(nil), c.stores[k.store].idle...) {
			if o.since <= k.errand.since {
				o.drop(c)
			}
		}
	}
	c.sweepClients()
}
