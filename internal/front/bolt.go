package front

import (
	"encoding/binary"
	"fmt"
	"slices"

	"micatrack/balance"
	"micatrack/internal/bolt"
	"micatrack/internal/outcome"
	"micatrack/internal/pgwire"
)

const (
	mostBolt = pgwire.MaxQuerySize // bytes of a client's message with its headers
	mostTerm = 256                 // bytes of each of a request's terms
)

// boltClient is one client that speaks Bolt.
type boltClient struct {
	v     bolt.Version
	talk  *bolt.Dialogue
	in    bolt.Reader
	read  int    // bytes of the ring that belong to the request in hand
	late  []byte // a final answer that the client had asked nothing for yet: the next message's
	terms []byte // what the request's terms point into
}

func newBoltClient() *boltClient { return &boltClient{in: bolt.Reader{Most: mostBolt}} }

func (b *boltClient) greet(cl *client, c *Core, in []byte) int {
	v, n, err := bolt.Handshake(in)
	switch {
	case err != nil: // nothing can be said to what does not speak Bolt
		cl.finish(c, closedByViolation)
		return len(in)
	case n == 0:
	case v == bolt.Manifest:
		cl.write(c, bolt.AppendManifest(c.out[:0]))
		cl.next = b.choose
	default:
		b.begin(cl, c, v)
		cl.write(c, bolt.AppendVersion(c.out[:0], v))
		if v == 0 {
			cl.finish(c, closedByViolation)
		}
	}
	return n
}

func (b *boltClient) choose(cl *client, c *Core, in []byte) int {
	v, n, err := bolt.Chosen(in)
	if err != nil {
		cl.finish(c, closedByViolation)
		return len(in)
	}
	if n > 0 {
		b.begin(cl, c, v)
	}
	return n
}

func (b *boltClient) begin(cl *client, c *Core, v bolt.Version) {
	b.v, b.talk = v, bolt.NewDialogue(v)
	cl.next = func(cl *client, c *Core, _ []byte) int { b.more(cl, c); return 0 }
}

func (b *boltClient) decline(cl *client, c *Core, in []byte) int {
	cl.finish(c, closedDeclined)
	return len(in)
}

func (b *boltClient) overflow(cl *client, c *Core) { b.violate(cl, c, bolt.Format, "out of memory") }

func (b *boltClient) noRoom([]byte) []byte { return nil }

func (b *boltClient) stalled(cl *client, c *Core) {
	if b.talk != nil {
		cl.write(c, bolt.AppendFailure(c.out[:0], b.v, bolt.Format, "the message was not completed in time"))
	}
	cl.finish(c, closedStalled)
}

// violate ends a connection whose client does not keep to the protocol. A request in hand is left.
func (b *boltClient) violate(cl *client, c *Core, code, text string) {
	cl.write(c, bolt.AppendFailure(c.out[:0], b.v, code, text))
	cl.leave(c)
	cl.finish(c, closedByViolation)
}

// more takes one message after the other. Those of a request in hand stay in the ring until they are answered.
func (b *boltClient) more(cl *client, c *Core) {
	for !cl.ending && cl.at >= 0 {
		body, n, err := b.in.Next(cl.link.Peek()[b.read:])
		switch {
		case err != nil:
			b.violate(cl, c, bolt.Format, err.Error())
			return
		case n == 0:
			b.push(cl, c)
			return
		case len(body) == 0 && !b.talk.Busy(): // a chunk that means nothing
			cl.link.Discard(n)
			continue
		case len(body) == 0:
			b.read += n // it stays in front of the next message; stores pass over it as well
			b.talk.Pad(n)
			continue
		}
		r, err := bolt.ReadRequest(body)
		if err != nil {
			b.violate(cl, c, bolt.Format, err.Error())
			return
		}
		if b.late != nil && r.What != bolt.Reset && r.What != bolt.Goodbye {
			cl.write(c, b.late)
			b.late = nil
			cl.link.Discard(n)
			continue
		}
		switch b.talk.Ask(r, n) {
		case bolt.Leave:
			cl.leave(c)
			cl.finish(c, closedAtGoodbye)
		case bolt.Violate:
			b.violate(cl, c, bolt.Invalid, "unexpected "+r.What.String())
		case bolt.Ignore:
			cl.write(c, bolt.AppendBare(c.out[:0], bolt.Ignored))
			cl.link.Discard(n)
		case bolt.Reply:
			b.reply(cl, c, r)
			cl.link.Discard(n)
			cl.since = c.now
		case bolt.Abort:
			b.abort(cl, c, n)
		case bolt.Open:
			b.read = n
			b.open(cl, c, r)
		case bolt.Keep:
			b.read += n
		case bolt.Wait:
			b.in = bolt.Reader{Most: mostBolt} // it is read anew when there is room
			b.push(cl, c)
			return
		}
	}
}

// reply answers a message that no store is needed for.
func (b *boltClient) reply(cl *client, c *Core, r bolt.Request) {
	n, pairs := 0, func(dst []byte) []byte { return dst }
	b.late = nil // RESET makes up for it
	switch r.What {
	case bolt.Hello:
		cl.greeted = true
		n, pairs = 3, func(dst []byte) []byte {
			dst = bolt.AppendPair(dst, "server", fmt.Sprintf("Neo4j/%d.%d.0", b.v.Major(), b.v.Minor()))
			dst = bolt.AppendPair(dst, "connection_id", fmt.Sprintf("bolt-%d", cl.serial))
			return bolt.AppendMap(bolt.AppendString(dst, "hints"), 0)
		}
	case bolt.Route:
		n, pairs = 1, func(dst []byte) []byte { return c.table(dst, r) }
	}
	c.out = bolt.AppendSuccess(c.out[:0], n, pairs)
	b.talk.Replied(r.What, true)
	cl.write(c, c.out)
}

// table is the routing table: the front itself in all roles. Danger: a client that knew the stores would pass the rules
// by.
func (c *Core) table(dst []byte, r bolt.Request) []byte {
	address := c.limits.BoltAddress
	if a := r.Address(); len(a) > 0 {
		address = string(a)
	}
	dst = bolt.AppendMap(bolt.AppendString(dst, "rt"), 3)
	dst = bolt.AppendInt(bolt.AppendString(dst, "ttl"), 300)
	dst = bolt.AppendPair(dst, "db", string(r.Extra.Database))
	dst = bolt.AppendList(bolt.AppendString(dst, "servers"), 3)
	for _, role := range [...]string{"ROUTE", "READ", "WRITE"} {
		dst = bolt.AppendMap(dst, 2)
		dst = bolt.AppendString(bolt.AppendList(bolt.AppendString(dst, "addresses"), 1), address)
		dst = bolt.AppendPair(dst, "role", role)
	}
	return dst
}

// open makes a request of RUN or BEGIN.
func (b *boltClient) open(cl *client, c *Core, r bolt.Request) {
	t, err := r.Extra.Terms()
	code, why := bolt.Invalid, ""
	switch {
	case err == bolt.ErrFaultyBookmark:
		code, why = bolt.BadBookmark, err.Error()
	case err != nil:
		why = err.Error()
	case t.ReadAfter > c.now+c.classes.longest: // Danger: nothing would ever have come so far
		code, why = bolt.BadBookmark, "a bookmark is from the future"
	}
	b.terms = b.terms[:0]
	for _, v := range [...]*[]byte{&t.ID, &t.Class, &t.Tenant, &t.Key, &t.Session} {
		if len(*v) > mostTerm {
			why = "a term is too long"
			break
		}
		b.terms = append(b.terms, *v...)
		*v = b.terms[len(b.terms)-len(*v) : len(b.terms) : len(b.terms)]
	}
	if t.HasReadAfter {
		t.Session = nil // what the bookmark says goes before what this front remembers
	}
	if kind, ok := c.classes.byName[string(t.Class)]; ok && r.Extra.Reads && c.classes.settings[kind].Need == balance.Write {
		why = "a job that writes came in access mode r"
	}
	if why == "" {
		var f fault
		var index int32
		switch index, f, why = cl.begin(c, t, pgwire.TimeoutSpan{}); f {
		case sound:
			cl.request = index
		case noGroup:
			code = bolt.NoDatabase
		}
	}
	if why != "" {
		cl.write(c, bolt.AppendFailure(c.out[:0], b.v, code, why))
		b.done(cl, c, true)
	}
}

// abort is RESET while a request is in hand: it is given up, and what was asked of it has no answer any more.
func (b *boltClient) abort(cl *client, c *Core, n int) {
	c.out = c.out[:0]
	for range b.talk.Aborted() {
		c.out = bolt.AppendBare(c.out, bolt.Ignored)
	}
	c.out = bolt.AppendSuccess(c.out, 0, nil)
	cl.leave(c)
	cl.write(c, c.out)
	b.done(cl, c, false)
	cl.link.Discard(n)
	cl.since = c.now
}

// done gives back what the request had of the ring. What came behind it is read anew.
func (b *boltClient) done(cl *client, _ *Core, failed bool) {
	if failed {
		b.talk.Refuse()
	}
	cl.link.Discard(b.talk.Settle())
	b.read, b.in = 0, bolt.Reader{Most: mostBolt}
}

func (b *boltClient) refusal(dst []byte, pause Time) []byte {
	text := "turned back, try again"
	if pause >= perMilli {
		text = fmt.Sprintf("turned back, try again after %d ms", pause/perMilli)
	}
	return b.word(dst, bolt.TurnedBack, text)
}

func (b *boltClient) failure(dst []byte, why string) []byte {
	return b.word(dst, bolt.WrittenOff, "written off: "+why)
}

func (b *boltClient) faulty(dst []byte, _ fault, why string) []byte {
	return b.word(dst, bolt.Invalid, why)
}

// word is a final answer of the core's own. Danger: a client that waits for no answer would take it for the next one's;
// it is kept for that.
func (b *boltClient) word(dst []byte, code, text string) []byte {
	if b.talk.Waits() {
		return bolt.AppendFailure(dst, b.v, code, text)
	}
	b.late = bolt.AppendFailure(nil, b.v, code, text)
	return dst
}

// resume goes on with a result that the client had no room for.
func (k *conn) resume(c *Core) {
	if k.at >= 0 && k.bolt.stalled {
		k.bolt.stalled = false
		k.dialect.gather(k, c)
	}
}

// push passes on what may be passed on.
func (b *boltClient) push(cl *client, c *Core) {
	if cl.request < 0 {
		return
	}
	k := c.requests[cl.request].attempt
	if k == nil || k.bolt == nil {
		return
	}
	if k.at >= 0 && cl.request >= 0 && c.requests[cl.request].attempt == k {
		k.pass(c, cl, b)
	}
}

// boltConn is what a connection to a store that speaks Bolt has of its own.
type boltConn struct {
	v       bolt.Version
	in      bolt.Reader
	owed    []owed // answers that the store owes, the oldest first
	course  outcome.Tracker
	shown   bool // the client has seen something of the request from here
	ready   bool // records are among what is kept back, so all of it may be shown
	stalled bool // the client has no room for what has come
}

type owed struct {
	what bolt.What
	end  int64 // of the message, among the bytes written
}

// boltStore speaks Bolt to stores.
type boltStore struct{}

func (boltStore) hail(dst []byte) []byte { return bolt.AppendHandshake(dst) }
func (boltStore) rises(k *conn)          { k.bolt = &boltConn{} }
func (boltStore) idles(*conn)            {}

func (k *conn) say(c *Core, w bolt.What, p []byte) {
	k.bolt.owed = append(k.bolt.owed, owed{w, k.wrote + int64(len(p))})
	k.write(c, p)
}

func (boltStore) ask(k *conn, c *Core, e errand) {
	k.bolt.course, k.bolt.shown, k.bolt.stalled, k.bolt.ready = outcome.Tracker{}, false, false, false
	if e.request < 0 {
		dst, at := bolt.Begin(c.out[:0])
		dst = bolt.AppendString(bolt.AppendStruct(dst, byte(bolt.Run), 3), "CALL micatrack.report()")
		c.out = bolt.End(bolt.AppendMap(bolt.AppendMap(dst, 0), 0), at)
		k.say(c, bolt.Run, c.out)
		if k.at >= 0 {
			k.say(c, bolt.Pull, pullAll)
		}
		return
	}
	cl := c.requests[e.request].client
	b := cl.speech.(*boltClient) // depart sends no other's
	b.talk.Again()
	k.bolt.course.Transaction = b.talk.Transaction()
	k.pass(c, cl, b)
}

var pullAll = func() []byte {
	dst, at := bolt.Begin(nil)
	dst = bolt.AppendMap(bolt.AppendStruct(dst, byte(bolt.Pull), 1), 1)
	return bolt.End(bolt.AppendInt(bolt.AppendString(dst, "n"), -1), at)
}()

// pass writes those messages of the request that may be written now.
func (k *conn) pass(c *Core, cl *client, b *boltClient) {
	s := &c.stores[k.store]
	for i, w, ok := b.talk.Next(); ok && k.at >= 0; i, w, ok = b.talk.Next() {
		if s.cutAt > 0 && c.now >= s.cutAt && !outcome.AllowedAfterDrain(w) {
			return // the next beat ends it
		}
		from, to := b.talk.Span(i)
		raw := cl.link.Peek()[from:to]
		if w == bolt.BeginTx || w == bolt.Run && !b.talk.Transaction() { // with the time that is left now
			in := bolt.Reader{Most: mostBolt}
			body, n, _ := in.Next(raw)
			for len(body) == 0 && n > 0 { // what meant nothing stands before it
				raw = raw[n:]
				body, n, _ = in.Next(raw)
			}
			r, err := bolt.ReadRequest(body)
			if err != nil {
				return // it was read before
			}
			c.out = r.AppendTimed(c.out[:0], max((k.errand.until-c.now)/perMilli, 1))
			raw = c.out
		}
		b.talk.Sent()
		k.say(c, w, raw)
	}
	if b.talk.Stuck() && k.at >= 0 {
		b.violate(cl, c, bolt.Invalid, "a message that makes no sense here")
	}
}

// gather looks at the messages that have come in whole. What is kept back from the client stays in the ring.
func (d boltStore) gather(k *conn, c *Core) {
	b := k.bolt
	if b.v == 0 && !d.version(k, c) {
		return
	}
	for k.at >= 0 && !b.stalled {
		in := k.link.Peek()
		body, n, err := b.in.Next(in[k.read:])
		if err == nil && n == 0 {
			if b.ready && (!d.flush(k, c) || k.at < 0) {
				return
			} else if in = k.link.Peek(); k.spent && len(b.owed) == 0 && len(in) == 0 {
				k.settle(c)
			} else if k.link.ReadBufferFull() {
				k.lost(c)
			}
			return
		}
		if err == nil && len(body) == 0 {
			if k.read += n; k.read == n {
				k.link.Discard(n)
				k.read = 0
			}
			continue
		}
		var a bolt.Answer
		if err == nil {
			a, err = bolt.ReadAnswer(body)
		}
		if err != nil || len(b.owed) == 0 || a.What == bolt.Record && b.owed[0].what != bolt.Pull {
			c.note("store connection closed", "store", k.store, "message", a.What.String())
			k.lost(c)
			return
		}
		if b.ready && (a.What != bolt.Record || k.read >= c.limits.MaxStoreMessage/pieces) {
			if !d.flush(k, c) {
				return
			}
			continue // it is looked at again, where it stands now
		}
		if !d.answered(k, c, a, in[k.read:k.read+n], n) {
			return
		}
	}
}

// version takes the version that the store has chosen, and logs on.
func (boltStore) version(k *conn, c *Core) bool {
	in := k.link.Peek()
	if len(in) < 4 {
		return false
	}
	v := bolt.Version(binary.BigEndian.Uint32(in))
	if !slices.Contains(bolt.Spoken, v) {
		k.lost(c)
		return false
	}
	k.link.Discard(4)
	k.bolt.v, k.bolt.in = v, bolt.Reader{Most: c.limits.MaxStoreMessage}
	for i, w := range []bolt.What{bolt.Hello, bolt.Logon} {
		if i > 0 && bolt.Start(v) != bolt.Negotiation {
			break
		}
		dst, at := bolt.Begin(c.out[:0])
		dst = bolt.AppendMap(bolt.AppendStruct(dst, byte(w), 1), 2)
		dst = bolt.AppendPair(dst, "user_agent", "micatrack/1")
		c.out = bolt.End(bolt.AppendPair(dst, "scheme", "none"), at)
		if k.say(c, w, c.out); k.at < 0 {
			return false
		}
	}
	return true
}

// answered takes one message of the store, raw, of n bytes; false: nothing more is to be taken now.
func (d boltStore) answered(k *conn, c *Core, a bolt.Answer, raw []byte, n int) bool {
	b := k.bolt
	w := b.owed[0].what
	drop := func() { k.link.Discard(k.read + n); k.read = 0 }
	if a.What != bolt.Record {
		b.owed = b.owed[1:]
	}
	switch {
	case w == bolt.Hello || w == bolt.Logon:
		drop()
		if a.What != bolt.Success {
			k.lost(c)
			return false
		}
		if len(b.owed) == 0 {
			k.ready, k.up = true, c.now
			k.settle(c)
		}
		return k.at >= 0
	case w == bolt.Reset:
		drop()
		if a.What != bolt.Success {
			k.lost(c)
			return false
		}
		return true // settled once nothing more is owed
	case k.spent: // of a request that is over
		drop()
		return true
	case k.errand.request < 0:
		return d.probed(k, c, a, drop)
	}
	j := &c.requests[k.errand.request]
	cl := j.client
	if cl == nil { // it has left, and the module calls the attempt back
		drop()
		return false
	}
	t := cl.speech.(*boltClient)
	if a.What == bolt.Record {
		k.read, b.ready = k.read+n, true
		return true
	}
	b.course.MessageWritten(w, true)
	b.course.MessageAnswered(w, a.What == bolt.Success, a.More, a.Code)
	if a.What == bolt.Success && (w == bolt.Pull || w == bolt.Discard || w == bolt.Commit || w == bolt.Rollback) {
		r := bolt.ReadReport(a.Fields)
		k.note = balance.Report{Position: r.Position}
		if r.Primary {
			k.note.Role = balance.Primary
		} else if r.Replica {
			k.note.Role = balance.Replica
		}
		k.load, _ = report(string(r.Load))
	}
	if a.What != bolt.Success {
		d.failed(k, c, t, a, raw)
		return k.at >= 0
	}
	hold, over := t.talk.Answered(true, a.More)
	if hold {
		k.read += n
		return true
	}
	c.out = append(c.out[:0], k.link.Peek()[:k.read]...)
	if w == bolt.Run || w == bolt.BeginTx {
		c.out = append(c.out, raw...)
	} else {
		var mark []byte
		if over && w != bolt.Rollback && j.class().Need == balance.Write && k.note.Position > 0 {
			mark = bolt.AppendBookmark(nil, j.terms.Group, k.note.Position)
		}
		c.out, _ = bolt.AppendSummary(c.out, a.Fields, mark) // it could be read before
	}
	drop()
	if over {
		e := k.errand
		k.spent = true
		c.end(k, e, balance.Result{Ending: balance.Served, Note: k.note, Load: k.load, Since: k.up})
		c.answer(e.request, c.out, endServed)
		return true
	}
	cl.write(c, c.out)
	if cl.at < 0 { // it does not read what it is sent
		return false
	}
	k.show(c, j)
	if k.at >= 0 && cl.at >= 0 {
		k.pass(c, cl, t)
	}
	return k.at >= 0
}

const pieces = 8 // into which as much of a result as a ring holds is cut to be passed on

// flush passes on what was kept back; false: the client has no room for it. Danger: record by record each would move all
// that the ring holds, and cost the system a call.
func (boltStore) flush(k *conn, c *Core) bool {
	j := &c.requests[k.errand.request]
	if j.client == nil {
		return false
	}
	if !j.client.link.Write(k.link.Peek()[:k.read]) { // it reads too slowly: what comes waits with the system
		k.bolt.stalled = true
		c.stalled = append(c.stalled, k)
		return false
	}
	c.dirty = append(c.dirty, j.client.link)
	k.link.Discard(k.read)
	k.read, k.bolt.ready = 0, false
	k.show(c, j)
	return true
}

// show notes that the client has seen a part of an answer. A result that is being read is bounded by how long nothing
// of it moves, a transaction by its client's time as before.
func (k *conn) show(c *Core, j *request) {
	k.bolt.course.ResultForwarded()
	b := j.client.speech.(*boltClient)
	n := b.talk.Shown()
	b.read -= n
	j.client.link.Discard(n)
	if !k.bolt.shown { // Danger: the module would call it back when it is out for long, and send it elsewhere
		c.module.ResponseStarted(c.now, j.id)
	}
	if k.bolt.shown = true; !k.bolt.course.Transaction {
		k.errand.until = c.now + c.classes.longest
	}
}

// probed takes the answer to a probe.
func (boltStore) probed(k *conn, c *Core, a bolt.Answer, drop func()) bool {
	r := balance.Result{Ending: balance.Served, Since: k.up}
	switch {
	case a.What == bolt.Record:
		v := bolt.Unpack(a.Fields)
		if v.List() == 1 && v.Kind() == bolt.String {
			k.value = string(v.String())
		}
		drop()
		return true
	case a.What == bolt.Success && len(k.bolt.owed) > 0: // of RUN
		drop()
		return true
	case a.What == bolt.Success:
		r.Load, _ = report(k.value)
	default:
		r.Ending = proven(a.Code)
	}
	drop()
	k.spent = true
	c.end(k, k.errand, r)
	if a.What != bolt.Success {
		k.say(c, bolt.Reset, bolt.AppendBare(c.out[:0], bolt.Reset))
	}
	return k.at >= 0
}

func proven(code []byte) balance.Ending {
	switch bolt.Refused(code) {
	case bolt.WasBehind:
		return balance.NotEligible
	case bolt.WasFull:
		return balance.Overloaded
	}
	return balance.Failed
}

// failed takes a store's failure: the client is told it, or the module hears that another store may have the request.
func (boltStore) failed(k *conn, c *Core, t *boltClient, a bolt.Answer, raw []byte) {
	e, j := k.errand, &c.requests[k.errand.request]
	r := balance.Result{Ending: proven(a.Code), Note: k.note, Load: k.load, Since: k.up}
	var answer []byte
	end := endFailed
	switch k.bolt.course.Verdict(j.class().Repeat == balance.Idempotent) {
	case outcome.Failed:
		if r.Ending = balance.Failed; bolt.Clients(a.Code) {
			r.Ending = balance.Served // the store is well; the statement is not
		}
		answer, end = append(append(answer, k.link.Peek()[:k.read]...), raw...), endServed
		t.talk.Answered(false, false)
	case outcome.Refused:
		answer, end = t.refusal(nil, 0), endRefused
	case outcome.Unknown:
		r.Ending = balance.Failed
		if k.bolt.shown {
			answer = t.failure(nil, "the store failed")
		}
	}
	k.link.Discard(k.read + len(raw))
	k.read, k.spent = 0, true
	c.end(k, e, r)
	if answer != nil {
		c.answer(e.request, answer, end)
	}
	if k.at >= 0 { // what is pipelined behind it the store ignores, up to here
		k.say(c, bolt.Reset, bolt.AppendBare(c.out[:0], bolt.Reset))
	}
}

// broken: the connection is closed now, so what was written whole is known.
func (boltStore) broken(k *conn, c *Core) balance.Ending {
	b := k.bolt
	none := !b.course.AnyWritten()
	for _, o := range b.owed {
		if o.end <= k.link.SentBytes() {
			b.course.MessageWritten(o.what, true)
		}
	}
	if k.errand.request >= 0 && b.shown {
		// Danger: another store's answer behind this one's beginning would be taken for one.
		if j := &c.requests[k.errand.request]; j.client != nil {
			s := j.client.speech
			if b.course.Verdict(j.class().Repeat == balance.Idempotent) == outcome.Refused {
				c.answer(k.errand.request, s.refusal(c.out[:0], 0), endRefused)
			} else {
				c.answer(k.errand.request, s.failure(c.out[:0], "the store is lost"), endFailed)
			}
		}
	}
	switch {
	case none && !b.course.AnyWritten():
		return balance.ConnectFailed
	case b.course.Proof() == outcome.NeverRan:
		return balance.Aborted
	}
	return balance.ConnectionLost
}

func (boltStore) undone(k *conn) bool {
	if !k.bolt.course.Transaction {
		return false
	}
	return !slices.ContainsFunc(k.bolt.owed, func(o owed) bool { return o.what == bolt.Commit })
}
