package front

import (
	"strconv"
	"strings"

	"micatrack/balance"
	"micatrack/internal/pgwire"
)

const messageHead = 5 // bytes of a message's kind and length

// postgres is version 3 of PostgreSQL's protocol, to clients and to stores.
type postgres struct{}

func (postgres) more(*client, *Core) {}

func (postgres) done(cl *client, c *Core, _ bool) { cl.discard(c, cl.held) }

func (postgres) overflow(cl *client, c *Core) {
	cl.fatal(c, closedDeclined, pgwire.TooManyConnections, "out of memory")
}

func (postgres) noRoom(dst []byte) []byte {
	return pgwire.AppendError(dst, "FATAL", pgwire.TooManyConnections, "too many connections", "")
}

func (postgres) stalled(cl *client, c *Core) {
	cl.fatal(c, closedStalled, pgwire.ProtocolViolation, "the message was not completed in time")
}

func (postgres) refusal(dst []byte, pause Time) []byte {
	detail := ""
	if pause >= perMilli {
		detail = strconv.FormatInt(pause/perMilli, 10)
	}
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", pgwire.TooManyConnections, "turned back, try again", detail))
}

func (postgres) failure(dst []byte, why string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", pgwire.OutcomeUnknown, "written off: "+why, ""))
}

func (postgres) faulty(dst []byte, f fault, why string) []byte {
	code := [...]string{unreadable: pgwire.SyntaxError, noClass: pgwire.InvalidParameterValue, noGroup: pgwire.UnknownDatabase, inHand: pgwire.DuplicateObject}[f]
	return pgwire.AppendReady(pgwire.AppendError(dst, "ERROR", code, why, ""))
}

func (postgres) hail(dst []byte) []byte { return pgwire.AppendStartup(dst, "web", "orders") }

func (postgres) rises(k *conn) { k.next = greeted }
func (postgres) idles(k *conn) { k.next = rests }

func (postgres) ask(k *conn, c *Core, e errand) {
	switch {
	case e.request >= 0:
		j := &c.requests[e.request]
		text, _, _ := pgwire.ParseString(j.client.link.Peek()[j.offset+messageHead:])
		c.out = j.cut.AppendQuery(c.out[:0], text, max((e.until-c.now)/perMilli, 1))
	case c.host.LoadReports == "inline" || c.host.LoadReports == "on_probe":
		c.out = pgwire.AppendSimpleQuery(c.out[:0], "SHOW load")
	default:
		c.out = pgwire.AppendSimpleQuery(c.out[:0], "SELECT 1")
	}
	k.next = answered
	k.write(c, c.out)
}

// broken: what came before something senseless proves nothing, but a store's whole word does.
func (postgres) broken(k *conn, _ *Core) balance.Ending {
	switch {
	case k.code != "" && k.parts == 0:
		return ending(k.code)
	case k.link.SentBytes() < k.wrote:
		return balance.ConnectFailed
	}
	return balance.ConnectionLost
}

func (postgres) undone(*conn) bool { return false }

// fatal ends a connection whose stream cannot be followed any more.
func (cl *client) fatal(c *Core, cause closeCause, code, text string) {
	c.out = pgwire.AppendError(c.out[:0], "FATAL", code, text, "")
	cl.write(c, c.out)
	cl.finish(c, cause)
}

// decline reads as far as it must to tell a client that there is no room.
func (postgres) decline(cl *client, c *Core, in []byte) int {
	code, n, err := pgwire.ParseStartup(in)
	if err == nil && n > 0 && (code == pgwire.SSLRequest || code == pgwire.GSSENCRequest) {
		cl.write(c, []byte{'N'})
	} else if err == nil && n > 0 && code == pgwire.CancelRequest {
		c.cancelled(in[8:n])
		cl.finish(c, closedByCancel)
	} else if err != nil || n > 0 {
		cl.fatal(c, closedDeclined, pgwire.TooManyConnections, "too many connections")
	}
	return n
}

// greet reads the startup message.
func (postgres) greet(cl *client, c *Core, in []byte) int {
	code, n, err := pgwire.ParseStartup(in)
	switch {
	case err != nil:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, err.Error())
	case n == 0:
	case code == pgwire.SSLRequest || code == pgwire.GSSENCRequest:
		cl.write(c, []byte{'N'})
	case code == pgwire.CancelRequest:
		c.cancelled(in[8:n])
		cl.finish(c, closedByCancel)
	case code>>16 != pgwire.Version>>16:
		cl.fatal(c, closedByViolation, pgwire.FeatureNotSupported, "only version 3 of the protocol is spoken here")
	default:
		c.out = pgwire.AppendStartupReply(c.out[:0], code&0xffff, c.key(cl))
		cl.write(c, c.out)
		cl.next, cl.greeted = postgres{}.command, true
	}
	return n
}

// command reads one message between requests.
func (postgres) command(cl *client, c *Core, in []byte) int {
	kind, body, n, err := pgwire.ParseMessage(in, pgwire.MaxQuerySize)
	switch {
	case err != nil:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, err.Error())
	case n == 0:
	case kind == 'X':
		cl.finish(c, closedAtGoodbye)
	case cl.skip && kind != 'S':
	case kind == 'S':
		cl.skip = false
		cl.write(c, pgwire.AppendReady(c.out[:0]))
	case kind == 'Q':
		cl.query(c, body)
	case kind == 'd' || kind == 'c' || kind == 'f': // copy data that nothing waits for
	case kind == 'P' || kind == 'B' || kind == 'D' || kind == 'E' || kind == 'C' || kind == 'H':
		cl.skip = true
		cl.write(c, pgwire.AppendError(c.out[:0], "ERROR", pgwire.FeatureNotSupported, "only simple queries are served", ""))
	case kind == 'F':
		cl.reject(c, pgwire.FeatureNotSupported, "function calls are not served")
	default:
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, "unexpected message")
	}
	return n
}

// reject answers a command that is no request.
func (cl *client) reject(c *Core, code, text string) {
	c.out = pgwire.AppendError(c.out[:0], "ERROR", code, text, "")
	cl.write(c, pgwire.AppendReady(c.out))
}

func (cl *client) query(c *Core, body []byte) {
	text, rest, ok := pgwire.ParseString(body)
	if !ok || len(rest) > 0 {
		cl.fatal(c, closedByViolation, pgwire.ProtocolViolation, "malformed query message")
		return
	}
	if blank(text) {
		cl.write(c, pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(c.out[:0])))
		return
	}
	s, err := pgwire.ParseQuery(text)
	if err != nil {
		cl.write(c, cl.speech.faulty(c.out[:0], unreadable, err.Error()))
		return
	}
	index, f, why := cl.begin(c, s.Request, s.TimeoutSpan)
	if f != sound {
		cl.write(c, cl.speech.faulty(c.out[:0], f, why))
		return
	}
	cl.request = index
}

func blank(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\n' && b != '\r' && b != ';' {
			return false
		}
	}
	return true
}

// gather looks at the messages that have come in whole. What may be passed on stays in the ring.
func (postgres) gather(k *conn, c *Core) {
	in := k.link.Peek()
	for k.at >= 0 {
		kind, body, n, err := pgwire.ParseMessage(in[k.read:], c.limits.MaxStoreMessage)
		if err != nil || n > 0 && !k.next(k, c, kind, body) {
			if k.ready {
				k.code = "" // Danger: what came before something senseless proves nothing.
			}
			c.note("store connection closed", "store", k.store, "message", string(kind), "code", k.code)
			k.lost(c)
			return
		}
		if n == 0 {
			if e := k.errand; k.parts > 0 && !k.shown && !k.idle && !k.spent && e.request >= 0 {
				k.shown = true
				c.module.RecordWrite(c.now, c.requests[e.request].id, k.note.Position)
			}
			if k.spent && len(in) == 0 {
				k.settle(c)
			} else if k.link.ReadBufferFull() { // more than a value may be, or all rings together may not grow any more
				k.lost(c)
			}
			return
		}
		k.read += n
		if kind == 'Z' || k.idle || k.spent { // all up to here has been used
			k.link.Discard(k.read)
			if k.read = 0; !k.idle && !k.spent {
				// Danger: what stands behind the end of an answer would be taken for the next one's.
				k.spent, k.next = true, rests
			}
			in = k.link.Peek()
		}
	}
}

// greeted follows the connection's start up to its first ReadyForQuery.
func greeted(k *conn, c *Core, kind byte, body []byte) bool {
	switch kind {
	case 'R':
		return len(body) == 4 && body[0]|body[1]|body[2]|body[3] == 0
	case 'S', 'K', 'N', 'v':
	case 'E':
		k.code = pgwire.SQLState(body)
		return false
	case 'Z':
		k.ready, k.up = true, c.now
	default:
		return false
	}
	return true
}

// rests: a connection that nothing is asked on brings changed parameters and notices at most.
func rests(k *conn, c *Core, kind byte, body []byte) bool {
	return kind == 'S' || kind == 'N'
}

// answered gathers the answer to a query.
func answered(k *conn, c *Core, kind byte, body []byte) bool {
	switch kind {
	case 'T', 'D', 'C':
		if k.code != "" || k.parts != strings.IndexByte("TDC", kind) {
			return false
		}
		if kind == 'D' {
			v, ok := pgwire.ColumnValue(body)
			if !ok {
				return false
			}
			if k.errand.request < 0 {
				k.value = string(v)
			}
		}
		k.from[k.parts], k.to[k.parts] = k.read, k.read+5+len(body)
		k.parts++
	case 'E':
		k.code = pgwire.SQLState(body)
		return k.code != ""
	case 'S':
		return k.learn(body)
	case 'N':
	case 'Z':
		return k.complete(c)
	default:
		return false
	}
	return true
}

// learn takes what a store says of itself beside its answer.
// Danger: a value that cannot be read says nothing, and must not spoil an answer that has run.
func (k *conn) learn(body []byte) bool {
	name, rest, ok := pgwire.ParseString(body)
	value, _, ok2 := pgwire.ParseString(rest)
	if !ok || !ok2 {
		return false
	}
	switch string(name) {
	case "role":
		k.note.Role = map[string]balance.Role{"primary": balance.Primary, "replica": balance.Replica}[string(value)]
	case "applied_ms":
		n, err := strconv.ParseInt(string(value), 10, 58)
		if err != nil || n < 0 {
			n = 0
		}
		k.note.Position = n * perMilli
	case "load":
		k.load, _ = report(string(value))
	}
	return true
}

// report reads the values of a load report that the module goes by; a position counts in seconds there.
func report(text string) (r balance.Report, ok bool) {
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
			part = (part + "0000")[:4] // cut off, never rounded up
			tenths, err := strconv.ParseUint(part, 10, 16)
			if err != nil {
				return balance.Report{}, false
			}
			r.Position = n*1000*perMilli + int64(tenths)
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

// complete is the end of an answer: what it was to the module, and the value to the client.
func (k *conn) complete(c *Core) bool {
	e := k.errand
	r := balance.Result{Note: k.note, Load: k.load, Since: k.up}
	switch {
	case k.code == "" && k.parts == 3:
		r.Ending = balance.Served
	case k.code == "":
		return false
	case k.parts > 0: // a refusal after part of an answer is none
		r.Ending = balance.Failed
	default:
		r.Ending = ending(k.code)
	}
	if e.request < 0 {
		if r.Ending == balance.Served {
			r.Load, _ = report(k.value)
		}
		c.end(k, e, r)
		return true
	}
	if r.Ending == balance.Served && k.note.Position < c.requests[e.request].least {
		// Danger: another front's word that this store has the log so far may be wrong, and the read stale.
		r.Ending = balance.NotEligible
	}
	if r.Ending == balance.Served && !c.requests[e.request].final {
		in := k.link.Peek()
		c.out = c.out[:0]
		for p := range k.parts {
			c.out = append(c.out, in[k.from[p]:k.to[p]]...)
		}
	}
	c.end(k, e, r)
	if r.Ending == balance.Served {
		c.answer(e.request, pgwire.AppendReady(c.out), endServed)
	}
	return true
}

// ending tells what a store's error is to the module. What is not known never to have run may have.
func ending(code string) balance.Ending {
	switch code {
	case pgwire.ReadOnlyTransaction, pgwire.SnapshotTooOld:
		return balance.NotEligible
	case pgwire.TooManyConnections, pgwire.CannotConnectNow:
		return balance.Overloaded
	}
	return balance.Failed
}
