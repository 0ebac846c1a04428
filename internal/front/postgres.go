package front

import (
	"strconv"
	"strings"

	"micatrack/balance"
	"micatrack/internal/pgwire"
)

const messageHeaderSize = 5 // bytes of a message's type and length

// postgres implements version 3 of the PostgreSQL protocol, for clients and for stores.
type postgres struct{}

func (postgres) inputAvailable(*client, *Core) {}

func (postgres) requestDone(cl *client, c *Core, _ bool) { cl.discard(c, cl.requestBytes) }

func (postgres) messageTooLarge(cl *client, c *Core) {
	cl.fatal(c, closedDeclined, pgwire.TooManyConnections, "out of memory")
}

func (postgres) noRoomMessage(dst []byte) []byte {
	return pgwire.AppendError(dst, "FATAL", pgwire.TooManyConnections, "too many connections", "")
}

func (postgres) messageStalled(cl *client, c *Core) {
	cl.fatal(c, closedStalled, pgwire.ProtocolViolation, "the message was not completed in time")
}

func (postgres) refusalReply(dst []byte, pause Time) []byte {
	detail := ""
	if pause >= millisecond {
		detail = strconv.FormatInt(pause/millisecond, 10)
	}
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", pgwire.TooManyConnections, "turned back, try again", detail))
}

func (postgres) failureReply(dst []byte, why string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", pgwire.OutcomeUnknown, "written off: "+why, ""))
}

func (postgres) faultReply(dst []byte, f fault, why string) []byte {
	code := [...]string{unparsable: pgwire.SyntaxError, unknownClass: pgwire.InvalidParameterValue, unknownGroup: pgwire.UnknownDatabase, duplicateID: pgwire.DuplicateObject}[f]
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", code, why, ""))
}

func (postgres) appendStartup(dst []byte) []byte { return pgwire.AppendStartup(dst, "web", "orders") }

func (postgres) prepareNew(k *conn)  { k.onMessage = readStartup }
func (postgres) prepareIdle(k *conn) { k.onMessage = readWhileIdle }

// sendRequest writes a request's query with the time that is left, or a probe.
func (postgres) sendRequest(k *conn, c *Core, e pendingAttempt) {
	c.scratch = k.marker.begin(c.scratch[:0])
	switch {
	case e.request >= 0:
		req := &c.requests[e.request]
		text, _, _ := pgwire.ParseString(req.client.link.Peek()[req.offset+messageHeaderSize:])
		c.scratch = req.timeoutSpan.AppendQuery(c.scratch, text, max((e.until-c.now)/millisecond, 1))
	case c.host.LoadReports == "inline" || c.host.LoadReports == "on_probe":
		c.scratch = pgwire.AppendSimpleQuery(c.scratch, "SHOW load")
	default:
		c.scratch = pgwire.AppendSimpleQuery(c.scratch, "SELECT 1")
	}
	k.onMessage = readAnswer
	if k.marker.pending() {
		k.onMessage = readUntilAnswer
	}
	k.write(c, c.scratch)
}

// lossEnding returns what is proven about a request on a closed connection. Messages before one that cannot be parsed
// prove nothing, but a complete error of the store does.
func (postgres) lossEnding(k *conn, _ *Core) balance.Ending {
	switch {
	case k.errorCode != "" && k.parts == 0:
		return errorEnding(k.errorCode)
	case k.link.SentBytes() < k.writtenBytes:
		return balance.ConnectFailed
	}
	return balance.ConnectionLost
}

// provenNoEffect returns false, since a query that was written may have run.
func (postgres) provenNoEffect(*conn) bool { return false }

// fatal ends a connection whose stream cannot be parsed any further.
func (cl *client) fatal(c *Core, cause closeCause, code, text string) {
	c.scratch = pgwire.AppendError(c.scratch[:0], "FATAL", code, text, "")
	cl.write(c, c.scratch)
	cl.finish(c, cause)
}

// maxDeclinedEncryptions is the number of requests for encryption that a connection may make: one for TLS, one for GSSAPI.
const maxDeclinedEncryptions = 2

// declineEncryption answers a request for encryption, which is not offered, and reports whether code stands for one. A
// client that asks again and again would never be greeted and never be told.
func (cl *client) declineEncryption(c *Core, code uint32) bool {
	if code != pgwire.SSLRequest && code != pgwire.GSSENCRequest {
		return false
	}
	if cl.declined++; cl.declined > maxDeclinedEncryptions {
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, "encryption is not offered")
	} else {
		cl.write(c, []byte{'N'})
	}
	return true
}

// declineConnection reads as much as is needed to tell a client that there is no room.
func (postgres) declineConnection(cl *client, c *Core, in []byte) int {
	code, n, err := pgwire.ParseStartup(in)
	if err == nil && n > 0 && cl.declineEncryption(c, code) {
		return n
	} else if err == nil && n > 0 && code == pgwire.CancelRequest {
		c.handleCancel(in[8:n])
		cl.finish(c, closedByCancel)
	} else if err != nil || n > 0 {
		cl.fatal(c, closedDeclined, pgwire.TooManyConnections, "too many connections")
	}
	return n
}

// startConnection reads the startup message.
func (postgres) startConnection(cl *client, c *Core, in []byte) int {
	code, n, err := pgwire.ParseStartup(in)
	switch {
	case err != nil:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, err.Error())
	case n == 0:
	case cl.declineEncryption(c, code):
	case code == pgwire.CancelRequest:
		c.handleCancel(in[8:n])
		cl.finish(c, closedByCancel)
	case code>>16 != pgwire.Version>>16:
		cl.fatal(c, closedByViolation, pgwire.FeatureNotSupported, "only version 3 of the protocol is spoken here")
	default:
		c.scratch = pgwire.AppendStartupReply(c.scratch[:0], code&0xffff, c.cancelKey(cl))
		cl.write(c, c.scratch)
		cl.readNext, cl.greeted = postgres{}.readMessage, true
	}
	return n
}

// readMessage reads one message between requests.
func (postgres) readMessage(cl *client, c *Core, in []byte) int {
	kind, body, n, err := pgwire.ParseMessage(in, pgwire.MaxQuerySize)
	switch {
	case err != nil:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, err.Error())
	case n == 0:
	case kind == 'X':
		cl.finish(c, closedAtGoodbye)
	case cl.skipToSync && kind != 'S':
	case kind == 'S':
		cl.skipToSync = false
		cl.write(c, pgwire.AppendReady(c.scratch[:0]))
	case kind == 'Q':
		cl.handleQuery(c, body)
	case kind == 'd' || kind == 'c' || kind == 'f': // copy data that nothing expects
	case kind == 'P' || kind == 'B' || kind == 'D' || kind == 'E' || kind == 'C' || kind == 'H':
		cl.skipToSync = true
		cl.write(c, pgwire.AppendError(c.scratch[:0], "ERROR", pgwire.FeatureNotSupported, "only simple queries are served", ""))
	case kind == 'F':
		cl.reject(c, pgwire.FeatureNotSupported, "function calls are not served")
	default:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, "unexpected message")
	}
	return n
}

// reject sends an error for a command that is not a request.
func (cl *client) reject(c *Core, code, text string) {
	c.scratch = pgwire.AppendError(c.scratch[:0], "ERROR", code, text, "")
	cl.write(c, pgwire.AppendReady(c.scratch))
}

// handleQuery starts the request of a simple query message.
func (cl *client) handleQuery(c *Core, body []byte) {
	text, rest, ok := pgwire.ParseString(body)
	if !ok || len(rest) > 0 {
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, "malformed query message")
		return
	}
	if blank(text) {
		cl.write(c, pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(c.scratch[:0])))
		return
	}
	s, err := pgwire.ParseQuery(text)
	if err != nil {
		cl.write(c, cl.protocol.faultReply(c.scratch[:0], unparsable, err.Error()))
		return
	}
	index, f, why := cl.startRequest(c, s.Request, s.TimeoutSpan)
	if f != noFault {
		cl.write(c, cl.protocol.faultReply(c.scratch[:0], f, why))
		return
	}
	cl.request = index
}

// blank reports whether a query text contains no statement.
func blank(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\n' && b != '\r' && b != ';' {
			return false
		}
	}
	return true
}

// readAnswers processes the complete messages that have arrived. What may be forwarded stays in the read buffer.
func (postgres) readAnswers(k *conn, c *Core) {
	in, unsolicited := k.link.Peek(), 0
	for k.index >= 0 {
		outsideAnswer := k.idle || k.answerDone || k.ready && k.marker.pending()
		kind, body, n, err := pgwire.ParseMessage(in[k.parsedBytes:], c.limits.MaxStoreMessage)
		if err != nil || n > 0 && !k.onMessage(k, c, kind, body) {
			if k.ready {
				k.errorCode = "" // messages before one that cannot be parsed prove nothing
			}
			c.logLimited("store connection closed", "store", k.store, "message", string(kind), "code", k.errorCode)
			k.connectionLost(c)
			return
		}
		if n == 0 {
			if e := k.current; k.parts > 0 && !k.writeReported && !k.idle && !k.answerDone && e.request >= 0 {
				k.writeReported = true
				c.balancer.RecordWrite(c.now, c.requests[e.request].id, k.report.Position)
			}
			if k.answerDone && len(in) == 0 {
				k.becomeIdle(c)
			} else if !k.link.ReadOn() { // larger than a value may be, or the total size of all read buffers may not grow
				k.connectionLost(c)
			}
			return
		}
		k.parsedBytes += n
		if kind == 'Z' || outsideAnswer { // all messages so far are processed
			if unsolicited++; unsolicited > maxUnsolicited {
				k.connectionLost(c)
				return
			}
			k.link.Discard(k.parsedBytes)
			if k.parsedBytes = 0; !outsideAnswer {
				// Messages behind the end of an answer would be taken for the next request's answer.
				k.answerDone, k.onMessage = true, readWhileIdle
			}
			in = k.link.Peek()
		}
	}
}

// readStartup handles the messages of a connection's startup up to the first ReadyForQuery.
func readStartup(k *conn, c *Core, kind byte, body []byte) bool {
	switch kind {
	case 'R':
		return len(body) == 4 && body[0]|body[1]|body[2]|body[3] == 0
	case 'S', 'K', 'N', 'v':
	case 'E':
		k.errorCode = pgwire.SQLState(body)
		return false
	case 'Z':
		k.ready, k.connectedAt = true, c.now
	default:
		return false
	}
	return true
}

// readWhileIdle handles messages while no request is on the connection, which may only be changed parameters and
// notices.
func readWhileIdle(k *conn, c *Core, kind byte, body []byte) bool {
	return kind == 'S' || kind == 'N'
}

// readAnswer handles the messages of the answer to a query.
func readAnswer(k *conn, c *Core, kind byte, body []byte) bool {
	switch kind {
	case 'T', 'D', 'C':
		if k.errorCode != "" || k.parts != strings.IndexByte("TDC", kind) {
			return false
		}
		if kind == 'D' {
			v, ok := pgwire.ColumnValue(body)
			if !ok {
				return false
			}
			if k.current.request < 0 {
				k.probeValue = string(v)
			}
		}
		k.partStart[k.parts], k.partEnd[k.parts] = k.parsedBytes, k.parsedBytes+5+len(body)
		k.parts++
	case 'E':
		k.errorCode = pgwire.SQLState(body)
		return k.errorCode != ""
	case 'S':
		return k.readParameter(body)
	case 'N':
	case 'Z':
		return k.completeAnswer(c)
	default:
		return false
	}
	return true
}

// readParameter reads what a store reports about itself along with an answer. A value that cannot be parsed is ignored;
// it must not invalidate the answer of a query that has run.
func (k *conn) readParameter(body []byte) bool {
	name, rest, ok := pgwire.ParseString(body)
	value, _, ok2 := pgwire.ParseString(rest)
	if !ok || !ok2 {
		return false
	}
	switch string(name) {
	case "role":
		k.report.Role = map[string]balance.Role{"primary": balance.Primary, "replica": balance.Replica}[string(value)]
	case "applied_ms":
		n, err := strconv.ParseInt(string(value), 10, 58)
		if err != nil || n < 0 {
			n = 0
		}
		k.report.Position = n * millisecond
	case "load":
		k.loadReport, _ = parseLoadReport(string(value))
	}
	return true
}

// parseLoadReport parses the values of a load report that the balancer uses. Positions in the report are in seconds.
func parseLoadReport(text string) (r balance.Report, ok bool) {
	for text != "" {
		pair, more, _ := strings.Cut(text, ",")
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found {
			return balance.Report{}, false
		}
		switch name {
		case "x0":
			whole, part, _ := strings.Cut(value, ".")
			n, err := strconv.ParseInt(whole, 10, 40)
			if err != nil || n < 0 {
				return balance.Report{}, false
			}
			part = (part + "0000")[:4] // truncated, never rounded up
			tenths, err := strconv.ParseUint(part, 10, 16)
			if err != nil {
				return balance.Report{}, false
			}
			r.Position = n*1000*millisecond + int64(tenths)
		case "x1":
			r.Role = balance.Replica
			if v, err := strconv.ParseFloat(value, 64); err != nil {
				return balance.Report{}, false
			} else if v == 1 {
				r.Role = balance.Primary
			}
		}
		text = more
	}
	return r, true
}

// completeAnswer handles the end of an answer: it reports the result to the balancer and sends the value to the client.
func (k *conn) completeAnswer(c *Core) bool {
	e := k.current
	r := balance.Result{Note: k.report, Load: k.loadReport, Since: k.connectedAt}
	switch {
	case k.errorCode == "" && k.parts == 3:
		r.Ending = balance.Served
	case k.errorCode == "":
		return false
	case k.parts > 0: // an error after part of an answer is not a refusal
		r.Ending = balance.Failed
	default:
		r.Ending = errorEnding(k.errorCode)
	}
	if e.request < 0 {
		if r.Ending == balance.Served {
			r.Load, _ = parseLoadReport(k.probeValue)
		}
		c.endAttempt(k, e, r)
		return true
	}
	if r.Ending == balance.Served && k.report.Position < c.requests[e.request].minPosition {
		// Another front's report that this store has reached the position may be wrong, and the read would be stale.
		r.Ending = balance.NotEligible
	}
	if r.Ending == balance.Served && !c.requests[e.request].concluded {
		in := k.link.Peek()
		c.scratch = c.scratch[:0]
		for p := range k.parts {
			c.scratch = append(c.scratch, in[k.partStart[p]:k.partEnd[p]]...)
		}
	}
	c.endAttempt(k, e, r)
	if r.Ending == balance.Served {
		c.answer(e.request, pgwire.AppendReady(c.scratch), endServed)
	}
	return true
}

// errorEnding returns the ending that a store's SQLSTATE means. A request not known never to have run may have run.
func errorEnding(code string) balance.Ending {
	switch code {
	case pgwire.ReadOnlyTransaction, pgwire.SnapshotTooOld:
		return balance.NotEligible
	case pgwire.TooManyConnections, pgwire.CannotConnectNow:
		return balance.Overloaded
	}
	return balance.Failed
}
