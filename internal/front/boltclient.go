package front

import (
	"fmt"

	"micatrack/balance"
	"micatrack/internal/bolt"
	"micatrack/internal/pgwire"
)

const (
	maxBoltMessage = pgwire.MaxQuerySize // bytes of a client's message with its headers
	maxTermBytes   = 256                 // bytes of each metadata field of a request
)

// boltClient is the state of one client connection that speaks Bolt.
type boltClient struct {
	version      bolt.Version   // 0: not negotiated yet
	dialogue     *bolt.Dialogue // nil until the version is negotiated
	reader       bolt.Reader    // parses the client's messages
	requestBytes int            // bytes of the read buffer that belong to the pending request
	// pendingFailure is a final answer given while the client awaited none; it answers the client's next message.
	pendingFailure []byte
	termBytes      []byte // the bytes that the request's metadata fields point into
}

func newBoltClient() *boltClient { return &boltClient{reader: bolt.Reader{MaxSize: maxBoltMessage}} }

func (b *boltClient) startConnection(cl *client, c *Core, in []byte) int {
	v, n, err := bolt.Handshake(in)
	switch {
	case err != nil: // a peer that doesn't speak Bolt cannot be sent an error
		cl.finish(c, closedByViolation)
		return len(in)
	case n == 0:
	case v == bolt.Manifest:
		cl.write(c, bolt.AppendManifest(c.scratch[:0]))
		cl.readNext = b.readChosenVersion
	default:
		b.startDialogue(cl, c, v)
		cl.write(c, bolt.AppendVersion(c.scratch[:0], v))
		if v == 0 {
			cl.finish(c, closedByViolation)
		}
	}
	return n
}

// readChosenVersion reads the version that the client has chosen from the manifest.
func (b *boltClient) readChosenVersion(cl *client, c *Core, in []byte) int {
	v, n, err := bolt.ReadChosenVersion(in)
	if err != nil {
		cl.finish(c, closedByViolation)
		return len(in)
	}
	if n > 0 {
		b.startDialogue(cl, c, v)
	}
	return n
}

// startDialogue begins to process messages of the negotiated version.
func (b *boltClient) startDialogue(cl *client, c *Core, v bolt.Version) {
	b.version, b.dialogue = v, bolt.NewDialogue(v)
	cl.readNext = func(cl *client, c *Core, _ []byte) int { b.inputAvailable(cl, c); return 0 }
}

func (b *boltClient) declineConnection(cl *client, c *Core, in []byte) int {
	cl.finish(c, closedDeclined)
	return len(in)
}

func (b *boltClient) messageTooLarge(cl *client, c *Core) {
	b.violate(cl, c, bolt.InvalidFormat, "out of memory")
}

// noRoomMessage returns nothing, since Bolt has no error before the handshake.
func (b *boltClient) noRoomMessage([]byte) []byte { return nil }

func (b *boltClient) messageStalled(cl *client, c *Core) {
	if b.dialogue != nil {
		cl.write(c, bolt.AppendFailure(c.scratch[:0], b.version, bolt.InvalidFormat, "the message was not completed in time"))
	}
	cl.finish(c, closedStalled)
}

// violate ends the connection of a client that violates the protocol. A pending request is abandoned.
func (b *boltClient) violate(cl *client, c *Core, code, text string) {
	cl.write(c, bolt.AppendFailure(c.scratch[:0], b.version, code, text))
	cl.abandonAll(c)
	cl.finish(c, closedByViolation)
}

// inputAvailable processes the messages that have arrived. Those of a pending request stay in the read buffer until
// they are answered.
func (b *boltClient) inputAvailable(cl *client, c *Core) {
	for !cl.ending && cl.index >= 0 {
		if len(cl.link.Peek()) > b.requestBytes && !cl.takeTurn(c) {
			b.forwardRequest(cl, c)
			return
		}
		body, n, err := b.reader.Next(cl.link.Peek()[b.requestBytes:])
		switch {
		case err != nil:
			b.violate(cl, c, bolt.InvalidFormat, err.Error())
			return
		case n == 0:
			cl.link.ReadOn()
			b.forwardRequest(cl, c)
			return
		}
		cl.messageSince = 0
		c.countCommand(cl, n)
		switch {
		case len(body) == 0 && !b.dialogue.Busy(): // an empty chunk, which is a no-op
			cl.link.Discard(n)
			continue
		case len(body) == 0:
			b.requestBytes += n // it stays in front of the next message; stores skip it as well
			b.dialogue.NoOp(n)
			continue
		}
		r, err := bolt.ReadRequest(body)
		if err != nil {
			b.violate(cl, c, bolt.InvalidFormat, err.Error())
			return
		}
		if b.pendingFailure != nil && r.Type != bolt.Reset && r.Type != bolt.Goodbye {
			cl.write(c, b.pendingFailure)
			b.pendingFailure = nil
			cl.link.Discard(n)
			continue
		}
		switch b.dialogue.Request(r, n) {
		case bolt.Disconnect:
			cl.abandonAll(c)
			cl.finish(c, closedAtGoodbye)
		case bolt.Reject:
			b.violate(cl, c, bolt.Invalid, "unexpected "+r.Type.String())
		case bolt.Ignore:
			cl.write(c, bolt.AppendEmpty(c.scratch[:0], bolt.Ignored))
			cl.link.Discard(n)
		case bolt.Reply:
			b.replyLocally(cl, c, r)
			cl.link.Discard(n)
			cl.activeAt = c.now
		case bolt.Abort:
			b.resetRequest(cl, c, n)
		case bolt.StartRequest:
			b.requestBytes = n
			b.openRequest(cl, c, r)
		case bolt.Enqueue:
			b.requestBytes += n
		case bolt.Wait:
			b.reader = bolt.Reader{MaxSize: maxBoltMessage} // the message is parsed again when there is room
			b.forwardRequest(cl, c)
			return
		}
	}
}

// replyLocally answers a message that needs no store.
func (b *boltClient) replyLocally(cl *client, c *Core, r bolt.Request) {
	n, pairs := 0, func(dst []byte) []byte { return dst }
	b.pendingFailure = nil // RESET clears the failure
	switch r.Type {
	case bolt.Hello:
		cl.greeted = true
		n, pairs = 3, func(dst []byte) []byte {
			dst = bolt.AppendPair(dst, "server", fmt.Sprintf("Neo4j/%d.%d.0", b.version.Major(), b.version.Minor()))
			dst = bolt.AppendPair(dst, "connection_id", fmt.Sprintf("bolt-%d", cl.serial))
			return bolt.AppendMap(bolt.AppendString(dst, "hints"), 0)
		}
	case bolt.Route:
		n, pairs = 1, func(dst []byte) []byte { return c.appendRoutingTable(dst, r) }
	}
	c.scratch = bolt.AppendSuccess(c.scratch[:0], n, pairs)
	b.dialogue.Replied(r.Type, true)
	cl.write(c, c.scratch)
}

// appendRoutingTable appends the routing table, which names this front in all roles. A client that knew the stores'
// addresses would bypass the router's rules.
func (c *Core) appendRoutingTable(dst []byte, r bolt.Request) []byte {
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

// openRequest starts a request from RUN or BEGIN.
func (b *boltClient) openRequest(cl *client, c *Core, r bolt.Request) {
	t, err := r.Extra.ParseRequest()
	code, why := bolt.Invalid, ""
	switch {
	case err == bolt.ErrInvalidBookmark:
		code, why = bolt.InvalidBookmark, err.Error()
	case err != nil:
		why = err.Error()
	case t.ReadAfter > c.now+c.classes.longest: // no store would ever have reached that position
		code, why = bolt.InvalidBookmark, "a bookmark is from the future"
	}
	b.termBytes = b.termBytes[:0]
	for _, v := range [...]*[]byte{&t.ID, &t.Class, &t.Tenant, &t.Key, &t.Session} {
		if len(*v) > maxTermBytes {
			why = "a term is too long"
			break
		}
		b.termBytes = append(b.termBytes, *v...)
		*v = b.termBytes[len(b.termBytes)-len(*v) : len(b.termBytes) : len(b.termBytes)]
	}
	if kind, ok := c.classes.byName[string(t.Class)]; ok && r.Extra.ReadOnly && c.classes.settings[kind].Need == balance.Write {
		why = "a job that writes came in access mode r"
	}
	if why == "" {
		var f fault
		var index int32
		switch index, f, why = cl.startRequest(c, t, pgwire.TimeoutSpan{}); f {
		case noFault:
			cl.request = index
		case unknownGroup:
			code = bolt.DatabaseNotFound
		}
	}
	if why != "" {
		cl.write(c, bolt.AppendFailure(c.scratch[:0], b.version, code, why))
		b.requestDone(cl, c, true)
	}
}

// resetRequest handles RESET while a request is pending: the request is abandoned, and its messages are answered with
// IGNORED.
func (b *boltClient) resetRequest(cl *client, c *Core, n int) {
	c.scratch = c.scratch[:0]
	for range b.dialogue.Aborted() {
		c.scratch = bolt.AppendEmpty(c.scratch, bolt.Ignored)
	}
	c.scratch = bolt.AppendSuccess(c.scratch, 0, nil)
	cl.abandonAll(c)
	cl.write(c, c.scratch)
	b.requestDone(cl, c, false)
	cl.link.Discard(n)
	cl.activeAt = c.now
}

// requestDone releases the read buffer space of the request. What arrived behind it is parsed again.
func (b *boltClient) requestDone(cl *client, _ *Core, failed bool) {
	if failed {
		b.dialogue.Fail()
	}
	cl.link.Discard(b.dialogue.Release())
	b.requestBytes, b.reader = 0, bolt.Reader{MaxSize: maxBoltMessage}
}

func (b *boltClient) refusalReply(dst []byte, pause Time) []byte {
	text := "turned back, try again"
	if pause >= millisecond {
		text = fmt.Sprintf("turned back, try again after %d ms", pause/millisecond)
	}
	return b.ownAnswer(dst, bolt.NoThreadsAvailable, text)
}

func (b *boltClient) failureReply(dst []byte, why string) []byte {
	return b.ownAnswer(dst, bolt.UnknownError, "written off: "+why)
}

func (b *boltClient) faultReply(dst []byte, _ fault, why string) []byte {
	return b.ownAnswer(dst, bolt.Invalid, why)
}

// ownAnswer returns a final answer that the front itself gives. A client that awaits no answer would take it for the
// answer to its next message; so it is kept until that message arrives.
func (b *boltClient) ownAnswer(dst []byte, code, text string) []byte {
	if b.dialogue.ClientWaiting() {
		return bolt.AppendFailure(dst, b.version, code, text)
	}
	b.pendingFailure = bolt.AppendFailure(nil, b.version, code, text)
	return dst
}

// forwardRequest writes to the store those messages of the pending request that may be written now.
func (b *boltClient) forwardRequest(cl *client, c *Core) {
	if cl.request < 0 {
		return
	}
	k := c.requests[cl.request].attemptConn
	if k == nil || k.bolt == nil {
		return
	}
	if k.index >= 0 && cl.request >= 0 && c.requests[cl.request].attemptConn == k {
		k.forwardRequest(c, cl, b)
	}
}
