package front

import "micatrack/internal/pgwire"

const (
	// turnInterval is the time between two turns of clients whose input holds more commands than one turn allows.
	turnInterval = 1 * millisecond
	// commandsPerTurn bounds the commands of one client that are processed in one turn.
	commandsPerTurn = 32
	// bytesPerTurn is the size of a client's commands in one turn from which on no further one is processed in it.
	bytesPerTurn = 2 * pgwire.MaxQuerySize
	// backlogCommandsPerTurn bounds the commands of all clients in the backlog that are processed in one turn.
	backlogCommandsPerTurn = 128
	// backlogBytesPerTurn is the size of the commands in one turn from which on no further client in the backlog is
	// given its turn.
	backlogBytesPerTurn = pgwire.MaxQuerySize
	// bytesPerStep is the size of the commands in one step from which on only clients with little input are served at
	// once.
	bytesPerStep = 4 * pgwire.MaxQuerySize
	// littleInput is the size of input, in bytes, up to which a client is served in any step.
	littleInput = 4 << 10
)

// isFull reports whether a client's next command has to wait, since the step has done enough.
func (w *stepWork) isFull(cl *client) bool {
	return w.bytes >= w.byteLimit && len(cl.link.Peek())-cl.pipeline.parsedBytes > littleInput
}

// turn is a client's part in the front's time. Without a bound on it, a client that sends small commands as fast as
// they are answered would hold the loop, and all other clients would be answered late.
type turn struct {
	endsAt    Time
	commands  int  // processed in this turn
	bytes     int  // of these commands
	inBacklog bool // the client waits in Core.backlog for its next turn
}

// backlog holds the clients whose turn has ended with commands left, in the order of their next turns.
type backlog struct {
	clients []*client
	nextAt  Time // when the next turn begins
}

// takeTurn reports whether a client's next command may be processed now. If not, the client joins the backlog.
func (cl *client) takeTurn(c *Core) bool {
	t := &cl.turn
	if t.inBacklog {
		return false
	}
	if c.now >= t.endsAt {
		*t = turn{endsAt: c.now + turnInterval}
	}
	if t.commands < commandsPerTurn && t.bytes < bytesPerTurn && !c.work.isFull(cl) {
		return true
	}
	if len(c.backlog.clients) == 0 {
		c.backlog.nextAt = c.now + turnInterval
	}
	t.inBacklog = true
	c.backlog.clients = append(c.backlog.clients, cl)
	return false
}

// processBacklog gives clients in the backlog their next turn, as many as backlogCommandsPerTurn allows.
func (c *Core) processBacklog() {
	b := &c.backlog
	if len(b.clients) == 0 || c.now < b.nextAt {
		return
	}
	b.nextAt = c.now + turnInterval
	commands := c.work.commands + backlogCommandsPerTurn - commandsPerTurn
	c.work.byteLimit = c.work.bytes + backlogBytesPerTurn
	// Clients that have more left are appended behind the others.
	for n := len(b.clients); n > 0 && c.work.commands <= commands && c.work.bytes < c.work.byteLimit; n-- {
		cl := b.clients[0]
		b.clients = append(b.clients[:0], b.clients[1:]...)
		cl.turn = turn{endsAt: c.now + turnInterval}
		if cl.request >= 0 && !cl.ending {
			cl.protocol.inputAvailable(cl, c)
		}
		cl.read(c)
	}
}

// stepWork counts the commands of clients that one step has processed, and which client sent most of them.
type stepWork struct {
	commands         int
	bytes            int    // of the commands
	byteLimit        int    // from this number of bytes on only clients with little input are served at once
	busiestClient    uint64 // serial number; 0: none
	busiestCommands  int
	currentClient    uint64 // client whose commands are being counted
	commandsOfClient int    // its commands so far
}

// countCommand counts one command of a client, of size bytes.
func (w *stepWork) countCommand(client uint64, size int) {
	if client != w.currentClient {
		w.currentClient, w.commandsOfClient = client, 0
	}
	w.commands++
	w.bytes += size
	w.commandsOfClient++
	if w.commandsOfClient > w.busiestCommands {
		w.busiestClient, w.busiestCommands = client, w.commandsOfClient
	}
}
