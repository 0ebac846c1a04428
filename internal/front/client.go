package front

import (
	"bytes"
	"strconv"

	"micatrack/balance"
	"micatrack/door"
	"micatrack/internal/pgwire"
)

// job is one request in hand. Its query stays in its client's ring until it is answered.
type job struct {
	id     string // its place in the slab, as the module knows it
	client *client
	query  pgwire.Statement
	kind   int  // its profile, as the charter numbers them
	left   Time // as its client said, less what has passed since
	came   Time
	sent   int   // trips
	trip   *conn // the one that is out on a connection
	waits  bool  // the one that is out waits for a connection
	store  uint32
	owed   int  // results that the module has yet to hear of
	final  bool // it has had its final answer, or needs none
	busy   bool // the place is taken
}

// client is one connection of a client.
type client struct {
	link    Link
	at      int // in Core.clients
	serial  uint64
	next    func(cl *client, c *Core, in []byte) (used int)
	since   Time  // when it came, or last said something or was answered
	job     int32 // in hand, or -1
	held    int   // bytes of its query
	skip    bool  // until the next Sync
	ending  bool
	greeted bool
}

func (c *Core) accept(l Link, what What) {
	if len(c.clients) >= c.limits.Links { // those that are being declined fill all that there is
		l.Close()
		return
	}
	c.serial++
	cl := &client{link: l, at: len(c.clients), serial: c.serial, job: -1, next: (*client).greet, since: c.now}
	l.Own(cl)
	c.clients = append(c.clients, cl)
	if len(c.clients) > c.limits.Clients && !c.evict(0) || len(c.clients)+len(c.conns) > c.limits.Links && !c.spare() {
		cl.next = (*client).decline
	}
	cl.notice(c, what)
}

// evict hangs up on the client that has asked nothing for longest; false: all have asked within rest.
// Danger: clients that ask once and keep their connections for good would shut all others out. One that has
// not even greeted counts its silence fourfold.
func (c *Core) evict(rest Time) bool {
	var idlest *client
	longest := max(rest, breath)
	for _, cl := range c.clients {
		idle := c.now - cl.since
		if !cl.greeted {
			idle *= 4
		}
		if idle >= longest && cl.idle() {
			idlest, longest = cl, idle
		}
	}
	if idlest != nil {
		idlest.link.Close()
		idlest.gone(c)
	}
	return idlest != nil
}

// idle: nothing of a command has come.
func (cl *client) idle() bool { return cl.job < 0 && !cl.ending && len(cl.link.Peek()) == 0 }

func (cl *client) notice(c *Core, what What) {
	if what&Readable != 0 && !cl.ending {
		cl.read(c)
	}
	if what&Closed != 0 {
		cl.gone(c)
	}
}

// read takes one command after the other; while a job is in hand the rest waits in the ring.
func (cl *client) read(c *Core) {
	for cl.job < 0 && !cl.ending {
		n := cl.next(cl, c, cl.link.Peek())
		if n == 0 {
			if cl.link.Full() && !cl.ending { // a long message, and all rings together may not grow any more
				cl.fatal(c, pgwire.TooMany, "out of memory")
			}
			return
		}
		if cl.job >= 0 {
			cl.held = n
			return
		}
		cl.link.Discard(n)
		cl.since = c.now
	}
}

// gone is the one place where a client's connection is given back.
func (cl *client) gone(c *Core) {
	if cl.at < 0 {
		return
	}
	last := c.clients[len(c.clients)-1]
	c.clients[cl.at], last.at = last, cl.at
	c.clients = c.clients[:len(c.clients)-1]
	cl.at, cl.ending = -1, true
	cl.link.Own(nil)
	if cl.job >= 0 {
		j := &c.jobs[cl.job]
		j.client, j.final = nil, true
		c.leavers = append(c.leavers, cl.job)
		cl.job = -1
	}
}

func (cl *client) write(c *Core, p []byte) {
	if cl.at < 0 {
		return
	}
	if !cl.link.Write(p) { // it does not read what it is sent
		cl.link.Close()
		cl.gone(c)
		return
	}
	c.dirty = append(c.dirty, cl.link)
}

// fatal ends a connection whose stream cannot be followed any more.
func (cl *client) fatal(c *Core, code, text string) {
	c.out = pgwire.AppendError(c.out[:0], "FATAL", code, text, "")
	cl.write(c, c.out)
	cl.finish(c)
}

func (cl *client) finish(c *Core) {
	if cl.at >= 0 {
		cl.ending = true
		cl.link.Finish()
	}
}

// decline reads as far as it must to tell a client that there is no room.
func (cl *client) decline(c *Core, in []byte) int {
	code, n, err := pgwire.Startup(in)
	if err == nil && n > 0 && (code == pgwire.SSLReq || code == pgwire.GSSReq) {
		cl.write(c, []byte{'N'})
	} else if err != nil || n > 0 {
		cl.fatal(c, pgwire.TooMany, "too many connections")
	}
	return n
}

// greet reads the startup message.
func (cl *client) greet(c *Core, in []byte) int {
	code, n, err := pgwire.Startup(in)
	switch {
	case err != nil:
		cl.fatal(c, pgwire.Violation, err.Error())
	case n == 0:
	case code == pgwire.SSLReq || code == pgwire.GSSReq:
		cl.write(c, []byte{'N'})
	case code == pgwire.CancelReq:
		cl.finish(c)
	case code>>16 != pgwire.Version>>16:
		cl.fatal(c, pgwire.Unsupported, "only version 3 of the protocol is spoken here")
	default:
		c.out = pgwire.AppendWelcome(c.out[:0], code&0xffff)
		cl.write(c, c.out)
		cl.next, cl.greeted = (*client).command, true
	}
	return n
}

// command reads one message between jobs.
func (cl *client) command(c *Core, in []byte) int {
	kind, body, n, err := pgwire.Message(in, pgwire.MostQuery)
	switch {
	case err != nil:
		cl.fatal(c, pgwire.Violation, err.Error())
	case n == 0:
	case kind == 'X':
		cl.finish(c)
	case cl.skip && kind != 'S':
	case kind == 'S':
		cl.skip = false
		cl.write(c, pgwire.AppendReady(c.out[:0]))
	case kind == 'Q':
		cl.query(c, body)
	case kind == 'd' || kind == 'c' || kind == 'f': // copy data that nothing waits for
	case kind == 'P' || kind == 'B' || kind == 'D' || kind == 'E' || kind == 'C' || kind == 'H':
		cl.skip = true
		cl.write(c, pgwire.AppendError(c.out[:0], "ERROR", pgwire.Unsupported, "only simple queries are served", ""))
	case kind == 'F':
		cl.reject(c, pgwire.Unsupported, "function calls are not served")
	default:
		cl.fatal(c, pgwire.Violation, "unexpected message")
	}
	return n
}

// reject answers a command that is no job.
func (cl *client) reject(c *Core, code, text string) {
	c.out = pgwire.AppendError(c.out[:0], "ERROR", code, text, "")
	cl.write(c, pgwire.AppendReady(c.out))
}

func (cl *client) query(c *Core, body []byte) {
	text, rest, ok := pgwire.Text(body)
	if !ok || len(rest) > 0 {
		cl.fatal(c, pgwire.Violation, "malformed query message")
		return
	}
	if blank(text) {
		cl.write(c, pgwire.AppendReady(pgwire.AppendEmpty(c.out[:0])))
		return
	}
	s, err := pgwire.Query(text)
	if err != nil {
		cl.reject(c, pgwire.Syntax, err.Error())
		return
	}
	kind, ok := c.profiles[string(s.Profile)]
	if !ok {
		cl.reject(c, pgwire.BadValue, "unknown class")
		return
	}
	if len(c.groups) > 0 && !c.groups[s.Group] {
		cl.reject(c, pgwire.NoDatabase, "unknown cluster")
		return
	}
	for k := range c.jobs {
		if j := &c.jobs[k]; j.busy && !j.final && bytes.Equal(j.query.ID, s.ID) {
			// Danger: a store would turn one of the two away or break off, and count as crowded or broken for it.
			cl.reject(c, pgwire.Duplicate, "a request with this id is in hand")
			return
		}
	}
	if len(c.freeJobs) == 0 {
		i := int32(len(c.jobs))
		c.jobs = append(c.jobs, job{id: strconv.Itoa(int(i))})
		c.freeJobs = append(c.freeJobs, i)
	}
	i := c.freeJobs[len(c.freeJobs)-1]
	c.freeJobs = c.freeJobs[:len(c.freeJobs)-1]
	c.inHand++
	j := &c.jobs[i]
	*j = job{id: j.id, client: cl, query: s, kind: kind, came: c.now, left: s.Left, busy: true}
	cl.job = i
	c.arrivals = append(c.arrivals, i)
}

func blank(text []byte) bool {
	for _, b := range text {
		if b != ' ' && b != '\t' && b != '\n' && b != '\r' && b != ';' {
			return false
		}
	}
	return true
}

// arrive hands a new job to the door, or to the module where there is none.
func (c *Core) arrive(i int32) {
	j := &c.jobs[i]
	switch {
	case !j.busy || j.final: // its client left at once
	case c.door == nil:
		c.take(i)
	default:
		mark := j.query.Key
		if len(mark) == 0 {
			mark = j.query.Session
		}
		c.door.Arrive(c.now, door.Arrival{Job: i, Profile: j.kind, Customer: j.query.Customer, Client: j.client.serial,
			Mark: mark, Group: j.query.Group, Left: j.left, Repeated: j.query.Repeated, Bytes: len(j.client.link.Peek())})
	}
}

// take hands a job to the module.
func (c *Core) take(i int32) {
	j := &c.jobs[i]
	s := &j.query
	waited := c.now - j.came
	in := balance.Job{ID: j.id, Profile: string(s.Profile), Customer: string(s.Customer), Group: s.Group,
		Left: j.left - waited, Waited: waited, Repeated: s.Repeated, WriteAge: -1}
	if need := c.needs[j.kind]; need == balance.Write || need == balance.Session {
		in.Session = string(s.Session)
	}
	if s.Carried {
		// Positions are whole milliseconds and rounded up for commits, so one may lie ahead by less than that.
		in.WriteAge = max(c.now-s.After, 0)
	}
	if c.stopAt > 0 { // Danger: what the end by force finds unanswered is lost.
		in.Left = min(in.Left, c.endAt-c.now)
	}
	if err := c.module.Take(c.now, in); err != nil {
		c.answer(i, pgwire.AppendError(c.out[:0], "ERROR", pgwire.BadValue, err.Error(), ""))
	}
}

func (c *Core) turnBack(t task) {
	detail := ""
	if t.at >= perMilli {
		detail = strconv.FormatInt(t.at/perMilli, 10)
	}
	c.answer(t.job, pgwire.AppendError(c.out[:0], "ERROR", pgwire.TooMany, "turned back, try again", detail))
}

func (c *Core) writeOff(t task) {
	c.answer(t.job, pgwire.AppendError(c.out[:0], "ERROR", pgwire.Unresolved, "written off: not known to have run", ""))
}

// answer gives the job's final answer and lets its client's next command follow.
func (c *Core) answer(i int32, text []byte) {
	j := &c.jobs[i]
	if !j.busy || j.final {
		return
	}
	if c.door != nil {
		c.door.Ended(c.now, i)
	}
	cl := j.client
	j.final, j.client = true, nil
	c.out = pgwire.AppendReady(text)
	cl.job, cl.since = -1, c.now
	cl.link.Discard(cl.held)
	if cl.at >= 0 && !cl.link.Write(c.out) { // Danger: a job is lost if its client is hung up on for want of room here.
		c.out = pgwire.AppendError(c.out[:0], "ERROR", pgwire.Unresolved, "written off: no memory for the answer", "")
		cl.write(c, pgwire.AppendReady(c.out))
	} else if cl.at >= 0 {
		c.dirty = append(c.dirty, cl.link)
	}
	if c.Stopping() && cl.at >= 0 {
		cl.finish(c)
	} else {
		cl.read(c)
	}
	c.free(i)
}

// free is the one place where a job's place is given back: after its answer and the return of its last trip.
func (c *Core) free(i int32) {
	j := &c.jobs[i]
	if !j.busy || !j.final || j.trip != nil || j.waits || j.owed > 0 {
		return
	}
	*j = job{id: j.id}
	c.inHand--
	c.freeJobs = append(c.freeJobs, i)
}
