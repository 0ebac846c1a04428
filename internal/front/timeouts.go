package front

const (
	// stallLimit ends a connection whose client has stopped inside a message, or before it was greeted. Clients are owed an
	// error or a close within 3 s.
	stallLimit = 2500 * millisecond
	// messageLimit ends one whose client goes on, but takes longer than this over one message.
	messageLimit = 30 * 1000 * millisecond
	// unreadPatience is for how long a client may take nothing of what it is sent before that is logged,
	unreadLogAfter = 1000 * millisecond
	// unreadLimit before it is hung up on.
	unreadLimit = 30 * 1000 * millisecond
)

// sweepClients ends the connections of clients whose time is over.
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

// sweepUnread hangs up on a client that takes nothing of what it is sent. One that does so slowly is waited for.
func (c *Core) sweepUnread(cl *client) {
	if cl.link.Flushed() {
		cl.unreadSince = 0
		return
	}
	if sent := cl.link.SentBytes(); cl.unreadSince == 0 || sent != cl.unreadSent {
		cl.unreadSince, cl.unreadSent, cl.unreadNoted = c.now, sent, false
		return
	}
	unread := c.now - cl.unreadSince
	if unread >= unreadLogAfter && !cl.unreadNoted {
		cl.unreadNoted = true
		c.logLimited("answer not taken", "client", cl.serial, "sent", cl.unreadSent)
	}
	if unread >= unreadLimit {
		cl.closeNow(c, closedUnread)
	}
}

// makeRoom hangs up on clients that ask nothing while many are connected.
//
// Danger: what many clients share among them, they may run out of before this front does. Connections that none of them
// asks on are given back while half of the room for clients is taken; from five to six eighths the sooner the less there is.
func (c *Core) makeRoom() {
	for n, all := len(c.clients), c.limits.MaxClients; n > all/2; n = len(c.clients) {
		if !c.evict(c.limits.ClientIdle * Time(max(min(6*all-8*n, all), 0)) / Time(all)) {
			return
		}
	}
}

// sweepEnding hangs up on a client that was told that its connection is over and does not close its side.
// Danger: one that never does would hold its descriptor, and the front's end, for ever.
func (c *Core) sweepEnding(cl *client) {
	patience := c.classes.longest
	if cl.link.Flushed() {
		patience = c.limits.ClientIdle
	}
	if c.now >= cl.activeAt+patience || c.Stopping() && c.now >= c.shutdownDeadline {
		cl.closeNow(c, closedStayed)
	}
}

// sweepWaiting ends the connection of a client without a request in hand if the front ends, or if the client has stopped
// inside a message.
func (c *Core) sweepWaiting(cl *client) {
	inMessage := len(cl.link.Peek()) > 0
	if !inMessage {
		cl.messageSince = 0
	} else if cl.messageSince == 0 {
		cl.messageSince = c.now
	}
	// At the end a message that has come in part is waited for: its client sends the rest without knowing.
	switch {
	case c.Stopping() && c.now >= c.shutdownDeadline:
		cl.finish(c, closedAtShutdown)
	case c.Stopping() && !inMessage:
		cl.finishIfIdle(c, closedAtShutdown)
	case inMessage && (c.now-cl.lastInput >= stallLimit || c.now-cl.messageSince >= messageLimit):
		cl.protocol.messageStalled(cl, c)
	case !cl.greeted && (c.now-cl.lastInput >= stallLimit || c.now-cl.activeAt >= messageLimit):
		cl.finish(c, closedUngreeted)
	}
}
