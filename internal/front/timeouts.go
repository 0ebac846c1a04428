package front

const (
	// stallLimit is the time after which a connection is ended whose client has stopped within a message or before its
	// startup. Clients have to get an error or a close within 3 s.
	stallLimit = 2500 * millisecond
	// messageLimit is the time after which a connection is ended whose client keeps sending, but has not completed a
	// message.
	messageLimit = 30 * 1000 * millisecond
	// unreadLogAfter is the time for which a client may read none of its output before that is logged.
	unreadLogAfter = 1000 * millisecond
	// unreadLimit is the time for which a client may read none of its output before it is closed.
	unreadLimit = 30 * 1000 * millisecond
)

// sweepClients ends the client connections whose time has run out.
func (c *Core) sweepClients() {
	c.makeRoom()
	for n := len(c.clients) - 1; n >= 0; n-- {
		cl := c.clients[n]
		if cl.ending {
			c.sweepEnding(cl)
		} else if cl.request < 0 {
			c.sweepWaiting(cl)
		}
		if cl.index >= 0 {
			c.sweepUnread(cl)
		}
	}
}

// sweepUnread closes a client that reads none of its output. One that reads slowly is kept.
func (c *Core) sweepUnread(cl *client) {
	if cl.link.Flushed() {
		cl.unreadSince = 0
		return
	}
	if sent := cl.link.SentBytes(); cl.unreadSince == 0 || sent != cl.unreadSent {
		cl.unreadSince, cl.unreadSent, cl.unreadLogged = c.now, sent, false
		return
	}
	unread := c.now - cl.unreadSince
	if unread >= unreadLogAfter && !cl.unreadLogged {
		cl.unreadLogged = true
		c.logLimited("answer not taken", "client", cl.serial, "sent", cl.unreadSent)
	}
	if unread >= unreadLimit {
		cl.closeNow(c, closedUnread)
	}
}

// makeRoom closes idle clients while many are connected.
//
// A resource that many clients share may be used up before this front's own limit is reached. So idle connections are
// closed while more than half of the room for clients is taken; from five to six eighths of it, the less room is left
// the sooner.
func (c *Core) makeRoom() {
	for n, maxClients := len(c.clients), c.limits.MaxClients; n > maxClients/2; n = len(c.clients) {
		if !c.evict(c.limits.ClientIdle * Time(max(min(6*maxClients-8*n, maxClients), 0)) / Time(maxClients)) {
			return
		}
	}
}

// sweepEnding closes a client that was told that its connection ends and does not close its side. Otherwise it could
// hold its descriptor, and delay the front's shutdown, forever.
func (c *Core) sweepEnding(cl *client) {
	limit := c.classes.longest
	if cl.link.Flushed() {
		limit = c.limits.ClientIdle
	}
	if c.now >= cl.activeAt+limit || c.Stopping() && c.now >= c.shutdownDeadline {
		cl.closeNow(c, closedStayed)
	}
}

// sweepWaiting ends the connection of a client without a pending request if the front shuts down, or if the client has
// stopped within a message.
func (c *Core) sweepWaiting(cl *client) {
	// During shutdown a partly received message is waited for, since its client sends the rest unaware of the shutdown.
	if c.Stopping() && c.now < c.shutdownDeadline && len(cl.link.Peek()) == 0 {
		cl.finishIfIdle(c, closedAtShutdown)
		return
	}
	if _, over := c.waitOver(cl); !over {
		return
	}
	// Input may have arrived that no event has told of yet: the rest of the message, or whole commands behind a rest.
	if !cl.receiveInput(c) || cl.ending || cl.request >= 0 {
		return
	}
	switch cause, over := c.waitOver(cl); {
	case !over:
	case cause == closedStalled:
		cl.protocol.messageStalled(cl, c)
	default:
		cl.finish(c, cause)
	}
}

// waitOver reports whether the front waits no longer for input of a client without a pending request, and why.
func (c *Core) waitOver(cl *client) (cause closeCause, over bool) {
	inMessage := len(cl.link.Peek()) > 0
	if !inMessage {
		cl.messageSince = 0
	} else if cl.messageSince == 0 {
		cl.messageSince = c.now
	}
	silence := c.now - cl.lastInput
	switch {
	case c.Stopping() && c.now >= c.shutdownDeadline:
		return closedAtShutdown, true
	case cl.turn.inBacklog: // whole commands wait
	case inMessage && (silence >= stallLimit || c.now-cl.messageSince >= messageLimit):
		return closedStalled, true
	case !cl.greeted && (silence >= stallLimit || c.now-cl.activeAt >= messageLimit):
		return closedUngreeted, true
	}
	return 0, false
}
