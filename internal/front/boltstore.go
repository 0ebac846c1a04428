package front

import (
	"encoding/binary"
	"slices"

	"micatrack/balance"
	"micatrack/internal/bolt"
	"micatrack/internal/outcome"
)

// boltConn is the part of a store connection's state that is specific to Bolt.
type boltConn struct {
	version         bolt.Version        // 0: the store has not chosen yet
	reader          bolt.Reader         // parses the store's messages
	unanswered      []unansweredMessage // messages that the store has yet to answer, the oldest first
	outcome         outcome.Tracker     // of the current request
	forwarded       bool                // the client has seen part of the request's answer from this connection
	recordsBuffered bool                // records are among the buffered answers, so all of them may be forwarded
	stalled         bool                // the client has no room for what has arrived
	resets          int                 // RESETs ahead of the current request
	lastResult      int64               // number of the newest result in the transaction; negative: none is known
}

// maxResets is the larger of the numbers of RESETs between which requests on a used connection alternate.
const maxResets = 2

// unansweredMessage is a message written to a store that has yet to be answered.
type unansweredMessage struct {
	kind bolt.MessageType
	end  int64 // offset of the message's end in the bytes written
}

// boltStore implements storeProtocol for stores that speak Bolt.
type boltStore struct{}

func (boltStore) appendStartup(dst []byte) []byte { return bolt.AppendHandshake(dst) }
func (boltStore) prepareNew(k *conn)              { k.bolt = &boltConn{} }
func (boltStore) prepareIdle(*conn)               {}

// writeMessage writes one message and records that the store owes its answer.
func (k *conn) writeMessage(c *Core, w bolt.MessageType, p []byte) {
	k.bolt.unanswered = append(k.bolt.unanswered, unansweredMessage{w, k.writtenBytes + int64(len(p))})
	k.write(c, p)
}

// sendRequest writes the messages of a request that may be written now, or a probe.
func (boltStore) sendRequest(k *conn, c *Core, e pendingAttempt) {
	k.bolt.outcome, k.bolt.forwarded, k.bolt.stalled, k.bolt.recordsBuffered = outcome.Tracker{}, false, false, false
	k.bolt.lastResult = -1
	if k.writeResets(c); k.index < 0 {
		return
	}
	if e.request < 0 {
		dst, at := bolt.BeginMessage(c.scratch[:0])
		dst = bolt.AppendString(bolt.AppendStruct(dst, byte(bolt.Run), 3), "CALL micatrack.report()")
		c.scratch = bolt.EndMessage(bolt.AppendMap(bolt.AppendMap(dst, 0), 0), at)
		k.writeMessage(c, bolt.Run, c.scratch)
		if k.index >= 0 {
			k.writeMessage(c, bolt.Pull, pullAll)
		}
		return
	}
	cl := c.requests[e.request].client
	b := cl.protocol.(*boltClient) // startAttempt sends only requests of Bolt clients here
	b.dialogue.Restart()
	k.bolt.outcome.Transaction = b.dialogue.InTransaction()
	k.forwardRequest(c, cl, b)
}

// writeResets writes RESETs ahead of a request on a connection that has carried another.
//
// A store may send a second copy of an earlier answer, and that may arrive behind the beginning of this request. It
// would have to fit the RESETs and the request in turn to be taken for their answers: RUN is answered with the columns
// of its result, RESET without any. Since a copy may hold the answers to the RESETs of the request before, the number
// of them alternates.
func (k *conn) writeResets(c *Core) {
	if !k.used {
		return
	}
	k.bolt.resets = k.bolt.resets%maxResets + 1
	for range k.bolt.resets {
		if k.index >= 0 {
			k.writeMessage(c, bolt.Reset, bolt.AppendEmpty(c.scratch[:0], bolt.Reset))
		}
	}
}

// expects reports whether a message can be the answer that the store owes next. If not, it belongs to an earlier
// message.
func (b *boltConn) expects(a *bolt.Response) bool {
	if len(b.unanswered) == 0 || !a.Answers(b.unanswered[0].kind) {
		return false
	}
	isRepeated := b.unanswered[0].kind == bolt.Run && a.QueryID >= 0 && a.QueryID == b.lastResult
	return !isRepeated
}

// pullAll is a PULL message for all records of a result.
var pullAll = func() []byte {
	dst, at := bolt.BeginMessage(nil)
	dst = bolt.AppendMap(bolt.AppendStruct(dst, byte(bolt.Pull), 1), 1)
	return bolt.EndMessage(bolt.AppendInt(bolt.AppendString(dst, "n"), -1), at)
}()

// forwardRequest writes those messages of the request that may be written now.
func (k *conn) forwardRequest(c *Core, cl *client, b *boltClient) {
	s := &c.stores[k.store]
	for i, w, ok := b.dialogue.Next(); ok && k.index >= 0; i, w, ok = b.dialogue.Next() {
		if s.drainUntil > 0 && c.now >= s.drainUntil && !outcome.AllowedAfterDrain(w) {
			return // the next sweep ends the request
		}
		if w == bolt.Run && b.dialogue.InTransaction() && !k.mayContinue(c) {
			return
		}
		from, to := b.dialogue.Span(i)
		raw := cl.link.Peek()[from:to]
		// Rewrite the timeout to the time that is left now.
		if w == bolt.BeginTx || w == bolt.Run && !b.dialogue.InTransaction() {
			in := bolt.Reader{MaxSize: maxBoltMessage}
			body, n, _ := in.Next(raw)
			for len(body) == 0 && n > 0 { // skip empty chunks in front of the message
				raw = raw[n:]
				body, n, _ = in.Next(raw)
			}
			r, err := bolt.ReadRequest(body)
			if err != nil {
				return // cannot happen: the message was parsed before
			}
			c.scratch = r.AppendWithTimeout(c.scratch[:0], max((k.current.until-c.now)/millisecond, 1))
			raw = c.scratch
		}
		b.dialogue.MarkSent()
		k.writeMessage(c, w, raw)
	}
	if b.dialogue.Invalid() && k.index >= 0 {
		b.violate(cl, c, bolt.Invalid, "a message that makes no sense here")
	}
}

// resumeStalled continues to forward a result for which the client had no room.
func (k *conn) resumeStalled(c *Core) {
	if k.index >= 0 && k.bolt.stalled {
		k.bolt.stalled = false
		k.protocol.readAnswers(k, c)
	}
}

// mayContinue reports whether the next statement of the connection's transaction may be written. If not, it waits for
// the store's position, or the transaction is ended: nothing of it has been committed.
func (k *conn) mayContinue(c *Core) bool {
	e := k.current
	switch c.balancer.MayContinue(c.now, c.requests[e.request].id) {
	case balance.Allowed:
		return true
	case balance.Pending:
		if !slices.Contains(c.heldConns, k) {
			c.heldConns = append(c.heldConns, k)
		}
	case balance.Denied:
		k.release(c)
		k.protocol.lossEnding(k, c) // answers a client that has been sent part of an answer
		c.endAttempt(k, e, balance.Result{Ending: balance.NotSent})
	}
	return false
}

// resumeHeld writes the statement that waits for the store's position, if it may be written now.
func (k *conn) resumeHeld(c *Core) {
	if k.index < 0 || k.idle || k.answerDone || k.current.request < 0 {
		return
	}
	if cl := c.requests[k.current.request].client; cl != nil {
		k.forwardRequest(c, cl, cl.protocol.(*boltClient))
	}
}

// readAnswers processes the complete messages that have arrived. Those that are not yet forwarded to the client stay in
// the read buffer.
func (d boltStore) readAnswers(k *conn, c *Core) {
	b := k.bolt
	if b.version == 0 && !d.readVersion(k, c) {
		return
	}
	for unsolicited := 0; k.index >= 0 && !b.stalled; {
		in := k.link.Peek()
		body, n, err := b.reader.Next(in[k.parsedBytes:])
		if err == nil && n == 0 {
			if b.recordsBuffered && (!d.forwardBuffered(k, c) || k.index < 0) {
				return
			} else if in = k.link.Peek(); k.answerDone && len(b.unanswered) == 0 && len(in) == 0 {
				k.becomeIdle(c)
			} else if !k.link.ReadOn() {
				k.connectionLost(c)
			}
			return
		}
		if err == nil && len(body) == 0 {
			if unsolicited++; unsolicited > maxUnsolicited {
				k.connectionLost(c)
				return
			}
			if k.parsedBytes += n; k.parsedBytes == n {
				k.link.Discard(n)
				k.parsedBytes = 0
			}
			continue
		}
		var a bolt.Response
		if err == nil {
			a, err = bolt.ReadResponse(body)
		}
		if err != nil || !b.expects(&a) {
			if err == nil {
				c.counts.strayAnswers++
			}
			c.logLimited("store connection closed", "store", k.store, "message", a.Type.String())
			k.connectionLost(c)
			return
		}
		if b.recordsBuffered && (a.Type != bolt.Record || k.parsedBytes >= c.limits.MaxStoreMessage/flushFraction) {
			if !d.forwardBuffered(k, c) {
				return
			}
			continue // look at the message again at its new offset
		}
		if !d.handleAnswer(k, c, a, in[k.parsedBytes:k.parsedBytes+n], n) {
			return
		}
	}
}

// readVersion reads the version that the store has chosen, and logs on.
func (boltStore) readVersion(k *conn, c *Core) bool {
	in := k.link.Peek()
	if len(in) < 4 {
		return false
	}
	v := bolt.Version(binary.BigEndian.Uint32(in))
	if !slices.Contains(bolt.SupportedVersions, v) {
		k.connectionLost(c)
		return false
	}
	k.link.Discard(4)
	k.bolt.version, k.bolt.reader = v, bolt.Reader{MaxSize: c.limits.MaxStoreMessage}
	for i, w := range []bolt.MessageType{bolt.Hello, bolt.Logon} {
		if i > 0 && bolt.InitialState(v) != bolt.Negotiation {
			break
		}
		dst, at := bolt.BeginMessage(c.scratch[:0])
		dst = bolt.AppendMap(bolt.AppendStruct(dst, byte(w), 1), 2)
		dst = bolt.AppendPair(dst, "user_agent", "micatrack/1")
		c.scratch = bolt.EndMessage(bolt.AppendPair(dst, "scheme", "none"), at)
		if k.writeMessage(c, w, c.scratch); k.index < 0 {
			return false
		}
	}
	return true
}

// handleAnswer processes one message of the store, whose n bytes are raw. It returns false if no further message may be
// processed now.
func (d boltStore) handleAnswer(k *conn, c *Core, a bolt.Response, raw []byte, n int) bool {
	b := k.bolt
	w := b.unanswered[0].kind
	drop := func() { k.link.Discard(k.parsedBytes + n); k.parsedBytes = 0 }
	if a.Type != bolt.Record {
		b.unanswered = b.unanswered[1:]
	}
	if w == bolt.Run && a.Type == bolt.Success {
		b.lastResult = a.QueryID
	}
	switch {
	case w == bolt.Hello || w == bolt.Logon:
		drop()
		if a.Type != bolt.Success {
			k.connectionLost(c)
			return false
		}
		if len(b.unanswered) == 0 {
			k.ready, k.connectedAt = true, c.now
			k.becomeIdle(c)
		}
		return k.index >= 0
	case w == bolt.Reset:
		drop()
		if a.Type != bolt.Success {
			k.connectionLost(c)
			return false
		}
		return true // the connection is reused once no more answers are outstanding
	case k.answerDone: // an answer to a request that has ended
		drop()
		return true
	case k.current.request < 0:
		return d.handleProbeAnswer(k, c, a, drop)
	}
	req := &c.requests[k.current.request]
	cl := req.client
	if cl == nil { // the client has disconnected, and the balancer will cancel the attempt
		drop()
		return false
	}
	t := cl.protocol.(*boltClient)
	if a.Type == bolt.Record {
		k.parsedBytes, b.recordsBuffered = k.parsedBytes+n, true
		return true
	}
	b.outcome.MessageWritten(w, true)
	b.outcome.MessageAnswered(w, a.Type == bolt.Success, a.More, a.Code)
	if a.Type == bolt.Success && (w == bolt.Pull || w == bolt.Discard || w == bolt.Commit || w == bolt.Rollback) {
		r := bolt.ReadReport(a.Fields)
		k.report = balance.Report{Position: r.Position}
		if r.Primary {
			k.report.Role = balance.Primary
		} else if r.Replica {
			k.report.Role = balance.Replica
		}
		k.loadReport, _ = parseLoadReport(string(r.Load))
	}
	if a.Type != bolt.Success {
		d.handleFailure(k, c, t, a, raw)
		return k.index >= 0
	}
	hold, over := t.dialogue.Responded(true, a.More)
	if hold {
		k.parsedBytes += n
		return true
	}
	c.scratch = append(c.scratch[:0], k.link.Peek()[:k.parsedBytes]...)
	if w == bolt.Run || w == bolt.BeginTx {
		c.scratch = append(c.scratch, raw...)
	} else {
		var mark []byte
		if over && w != bolt.Rollback && req.class().Need == balance.Write && k.report.Position > 0 {
			mark = bolt.AppendBookmark(nil, req.metadata.Group, k.report.Position)
		}
		c.scratch, _ = bolt.AppendSummary(c.scratch, a.Fields, mark) // cannot fail: the fields were parsed before
	}
	drop()
	if over {
		e := k.current
		k.answerDone = true
		c.endAttempt(k, e, balance.Result{Ending: balance.Served, Note: k.report, Load: k.loadReport, Since: k.connectedAt})
		c.answer(e.request, c.scratch, endServed)
		return true
	}
	cl.write(c, c.scratch)
	if cl.index < 0 { // the connection was closed because the client does not read
		return false
	}
	k.noteForwarded(c, req, w != bolt.Run && w != bolt.BeginTx)
	if k.index >= 0 && cl.index >= 0 {
		k.forwardRequest(c, cl, t)
	}
	return k.index >= 0
}

const flushFraction = 8 // a buffered result is forwarded once it takes 1/flushFraction of MaxStoreMessage

// forwardBuffered forwards the buffered answers to the client. It returns false if the client has no room for them.
// Forwarding each record by itself would move the whole rest of the read buffer and cost a system call per record.
func (boltStore) forwardBuffered(k *conn, c *Core) bool {
	req := &c.requests[k.current.request]
	if req.client == nil {
		return false
	}
	// The client reads too slowly: further input stays in the system's buffers.
	if !req.client.link.Write(k.link.Peek()[:k.parsedBytes]) {
		k.bolt.stalled = true
		c.stalledConns = append(c.stalledConns, k)
		return false
	}
	c.unflushed = append(c.unflushed, req.client.link)
	k.link.Discard(k.parsedBytes)
	k.parsedBytes, k.bolt.recordsBuffered = 0, false
	k.noteForwarded(c, req, true)
	return true
}

// noteForwarded records that the client has seen part of an answer. ofResult tells whether that holds some of the result,
// not only what comes before it. A result that is being read is limited by the time in which no part of it is forwarded;
// until it begins, and in a transaction, the client's deadline holds.
func (k *conn) noteForwarded(c *Core, req *request, ofResult bool) {
	k.bolt.outcome.ResultForwarded()
	b := req.client.protocol.(*boltClient)
	n := b.dialogue.Delivered()
	b.requestBytes -= n
	req.client.link.Discard(n)
	ofResult = ofResult && !k.bolt.outcome.Transaction
	// Otherwise the balancer would cancel an attempt that takes long, and send the request to another store.
	c.balancer.ResponseStarted(c.now, req.id, ofResult)
	k.bolt.forwarded = true
	if ofResult {
		k.current.until = c.now + c.classes.longest
	}
}

// handleProbeAnswer processes one message of the answer to a probe.
func (boltStore) handleProbeAnswer(k *conn, c *Core, a bolt.Response, drop func()) bool {
	r := balance.Result{Ending: balance.Served, Since: k.connectedAt}
	switch {
	case a.Type == bolt.Record:
		v := bolt.NewDecoder(a.Fields)
		if v.List() == 1 && v.Kind() == bolt.String {
			k.probeValue = string(v.String())
		}
		drop()
		return true
	case a.Type == bolt.Success && len(k.bolt.unanswered) > 0: // the answer to RUN
		drop()
		return true
	case a.Type == bolt.Success:
		r.Load, _ = parseLoadReport(k.probeValue)
	default:
		r.Ending = failureEnding(a.Code)
	}
	drop()
	k.answerDone = true
	c.endAttempt(k, k.current, r)
	if a.Type != bolt.Success {
		k.writeMessage(c, bolt.Reset, bolt.AppendEmpty(c.scratch[:0], bolt.Reset))
	}
	return k.index >= 0
}

// failureEnding returns the ending that a store's error code means.
func failureEnding(code []byte) balance.Ending {
	switch bolt.ClassifyFailure(code) {
	case bolt.RejectedBehind:
		return balance.NotEligible
	case bolt.RejectedOverloaded:
		return balance.Overloaded
	}
	return balance.Failed
}

// handleFailure processes a store's failure: either the client is sent it, or the balancer is told that another store
// may be given the request.
func (boltStore) handleFailure(k *conn, c *Core, t *boltClient, a bolt.Response, raw []byte) {
	e, req := k.current, &c.requests[k.current.request]
	r := balance.Result{Ending: failureEnding(a.Code), Note: k.report, Load: k.loadReport, Since: k.connectedAt}
	var answer []byte
	end := endFailed
	switch k.bolt.outcome.Verdict(req.class().Repeat == balance.Idempotent) {
	case outcome.Failed:
		if r.Ending = balance.Failed; bolt.IsClientError(a.Code) {
			r.Ending = balance.Served // the store is healthy; the statement is at fault
		}
		answer, end = append(append(answer, k.link.Peek()[:k.parsedBytes]...), raw...), endServed
		t.dialogue.Responded(false, false)
	case outcome.Refused:
		answer, end = t.refusalReply(nil, 0), endRefused
	case outcome.Unknown:
		r.Ending = balance.Failed
		if k.bolt.forwarded {
			answer = t.failureReply(nil, "the store failed")
		}
	}
	k.link.Discard(k.parsedBytes + len(raw))
	k.parsedBytes, k.answerDone = 0, true
	c.endAttempt(k, e, r)
	if answer != nil {
		c.answer(e.request, answer, end)
	}
	if k.index >= 0 { // the store ignores what is pipelined behind the failure up to this RESET
		k.writeMessage(c, bolt.Reset, bolt.AppendEmpty(c.scratch[:0], bolt.Reset))
	}
}

// lossEnding records which messages were written completely, which is final now that the connection is closed, and
// returns what that proves.
func (boltStore) lossEnding(k *conn, c *Core) balance.Ending {
	b := k.bolt
	nothingAnswered := !b.outcome.AnyWritten()
	for _, o := range b.unanswered {
		if o.end <= k.link.SentBytes() && o.kind != bolt.Reset {
			b.outcome.MessageWritten(o.kind, true)
		}
	}
	if k.current.request >= 0 && b.forwarded {
		// Another store's answer must not follow the beginning of this one: the client would take both for a single
		// answer.
		if req := &c.requests[k.current.request]; req.client != nil {
			s := req.client.protocol
			if b.outcome.Verdict(req.class().Repeat == balance.Idempotent) == outcome.Refused {
				c.answer(k.current.request, s.refusalReply(c.scratch[:0], 0), endRefused)
			} else {
				c.answer(k.current.request, s.failureReply(c.scratch[:0], "the store is lost"), endFailed)
			}
		}
	}
	switch {
	case nothingAnswered && !b.outcome.AnyWritten():
		return balance.ConnectFailed
	case b.outcome.Proof() == outcome.NeverRan:
		return balance.Aborted
	}
	return balance.ConnectionLost
}

// provenNoEffect reports whether the request is a transaction without an unanswered COMMIT.
func (boltStore) provenNoEffect(k *conn) bool {
	if !k.bolt.outcome.Transaction {
		return false
	}
	return !slices.ContainsFunc(k.bolt.unanswered, func(o unansweredMessage) bool { return o.kind == bolt.Commit })
}
