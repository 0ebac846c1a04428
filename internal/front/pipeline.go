package front

import (
	"bytes"
	"cmp"

	"micatrack/balance"
	"micatrack/internal/metadata"
	"micatrack/internal/pgwire"
)

const (
	maxPipelined              = 16      // pending requests of one client behind its first
	maxPipelinedTotal         = 1024    // pending requests of all clients behind their first
	maxArrivalMarks           = 16      // distinct arrival times kept for one client's messages
	defaultMaxBufferedReplies = 1 << 20 // bytes of answers that wait for their turn, where Limits sets no bound
)

// pipelinedRequest is a request that is pending or answered behind another of its client. Answers are sent in the order
// of the commands, so its answer waits here until all earlier ones are sent.
type pipelinedRequest struct {
	request int32  // index of the pending request, or -1 once reply is complete
	size    int    // bytes of the command in the client's read buffer
	reply   []byte // final answer
}

// pipeline holds the requests that a client has sent behind its pending request.
//
// A client counts each request's time from its last byte. If commands were processed one after another, the last of n
// would wait for n-1 deadlines and be lost.
type pipeline struct {
	queue       []pipelinedRequest // in the order of the commands
	parsedBytes int                // bytes of the read buffer that belong to the pending request and those behind it
	arrivals    arrivalTimes
}

// arrivalTimes records when the last bytes of messages arrived that have not been parsed yet. It keeps at most
// maxArrivalMarks times; beyond that a message counts as arrived with the one before it, which is never later than it
// did.
type arrivalTimes struct {
	scanned int // bytes of the read buffer that belong to complete messages
	marks   [maxArrivalMarks]arrival
	count   int
}

// arrival is the time by which the read buffer held end bytes.
type arrival struct {
	end int
	at  Time
}

// scan looks for the ends of complete messages in the read buffer.
func (a *arrivalTimes) scan(buffer []byte, now Time) {
	for a.scanned <= len(buffer) {
		_, _, size, err := pgwire.ParseMessage(buffer[a.scanned:], pgwire.MaxQuerySize)
		if err != nil || size == 0 {
			return
		}
		a.scanned += size
		a.record(a.scanned, now)
	}
}

// record records that a message ends where the read buffer holds end bytes.
func (a *arrivalTimes) record(end int, now Time) {
	if a.count > 0 && (a.count == maxArrivalMarks || a.marks[a.count-1].at == now) {
		a.marks[a.count-1].end = end
		return
	}
	a.marks[a.count] = arrival{end, now}
	a.count++
}

// arrivedAt returns the time by which the read buffer held end bytes, or latest if none is recorded.
func (a *arrivalTimes) arrivedAt(end int, latest Time) Time {
	for _, mark := range a.marks[:a.count] {
		if mark.end >= end {
			return mark.at
		}
	}
	return latest
}

// discard adjusts the offsets after the first size bytes of the read buffer were dropped.
func (a *arrivalTimes) discard(size int) {
	a.scanned = max(a.scanned-size, 0)
	kept := 0
	for _, mark := range a.marks[:a.count] {
		if mark.end > size {
			a.marks[kept] = arrival{mark.end - size, mark.at}
			kept++
		}
	}
	a.count = kept
}

// discard drops the first size bytes of the read buffer, which belong to no pending request any more.
func (cl *client) discard(c *Core, size int) {
	cl.link.Discard(size)
	cl.pipeline.arrivals.discard(size)
	cl.pipeline.parsedBytes = max(cl.pipeline.parsedBytes-size, 0)
	for _, behind := range cl.pipeline.queue {
		if behind.request >= 0 {
			c.requests[behind.request].offset -= size
		}
	}
}

// startPipelined starts the client's next command while others of its are pending. It returns false if the command has
// to wait for them. A command that is not a valid request waits, so that everything else is answered between requests.
func (cl *client) startPipelined(c *Core) bool {
	if _, isPostgres := cl.protocol.(postgres); !isPostgres {
		return false
	}
	if len(cl.pipeline.queue) >= maxPipelined || c.pipelined >= maxPipelinedTotal {
		return false
	}
	offset := cl.pipeline.parsedBytes
	kind, body, size, err := pgwire.ParseMessage(cl.link.Peek()[offset:], pgwire.MaxQuerySize)
	if err == nil && size == 0 {
		cl.link.ReadOn()
	}
	if err != nil || size == 0 || kind != 'Q' {
		return false
	}
	text, rest, whole := pgwire.ParseString(body)
	if !whole || len(rest) > 0 || blank(text) {
		return false
	}
	query, err := pgwire.ParseQuery(text)
	if err != nil {
		return false
	}
	class, known := c.classes.byName[string(query.Request.Class)]
	if !known || !cl.independent(c, class, &query.Request) {
		return false
	}
	index, fault, _ := cl.startRequest(c, query.Request, query.TimeoutSpan)
	if fault != noFault {
		return false
	}
	req := &c.requests[index]
	req.offset = offset
	req.arrivedAt = cl.pipeline.arrivals.arrivedAt(offset+size, cl.latestArrival(c))
	cl.pipeline.queue = append(cl.pipeline.queue, pipelinedRequest{request: index, size: size})
	cl.pipeline.parsedBytes += size
	c.pipelined++
	c.countCommand(cl, size)
	return true
}

// independent reports whether a request may run concurrently with all pending requests of its client.
func (cl *client) independent(c *Core, class int, query *metadata.Request) bool {
	if !c.mayRunConcurrently(cl.request, class, query) {
		return false
	}
	for _, behind := range cl.pipeline.queue {
		if behind.request >= 0 && !c.mayRunConcurrently(behind.request, class, query) {
			return false
		}
	}
	return true
}

// mayRunConcurrently reports whether a request may run concurrently with an earlier one of its connection. Reads may
// run beside reads; writes never run beside writes; a read and a write run concurrently only if their sessions differ,
// since no fence applies from one session to another.
//
// Within its session a command has to see the effect of the commands before it, and none of those behind it.
func (c *Core) mayRunConcurrently(earlier int32, class int, query *metadata.Request) bool {
	before := &c.requests[earlier]
	writes, wrote := c.classes.settings[class].Need == balance.Write, before.class().Need == balance.Write
	if !writes && !wrote {
		return true
	}
	if writes && wrote {
		return false
	}
	return len(query.Session) > 0 && len(before.metadata.Session) > 0 &&
		(query.Group != before.metadata.Group || !bytes.Equal(query.Session, before.metadata.Session))
}

// bufferReply stores the final answer of a pipelined request until its turn comes.
func (cl *client) bufferReply(c *Core, index int32, text []byte) {
	if c.bufferedBytes+len(text) > cmp.Or(c.limits.MaxBufferedReplies, defaultMaxBufferedReplies) {
		text = cl.protocol.failureReply(nil, "no memory for the answer")
	}
	for i := range cl.pipeline.queue {
		behind := &cl.pipeline.queue[i]
		if behind.request == index {
			behind.request, behind.reply = -1, bytes.Clone(text)
			c.bufferedBytes += len(behind.reply)
			return
		}
	}
}

// advance makes the client's next request the pending one, after the previous one was answered. Answers whose turn has
// come are sent.
func (cl *client) advance(c *Core) {
	cl.request = -1
	for cl.index >= 0 && len(cl.pipeline.queue) > 0 {
		next := cl.pipeline.queue[0]
		cl.pipeline.queue = append(cl.pipeline.queue[:0], cl.pipeline.queue[1:]...)
		c.pipelined--
		if next.request >= 0 {
			cl.request, cl.requestBytes = next.request, next.size
			return
		}
		c.bufferedBytes -= len(next.reply)
		cl.discard(c, next.size)
		cl.reply(c, next.reply)
	}
}

// abandonPipeline abandons all requests behind the client's first.
func (cl *client) abandonPipeline(c *Core) {
	for _, behind := range cl.pipeline.queue {
		if behind.request >= 0 {
			c.abandon(behind.request, endAbandoned)
		}
		c.bufferedBytes -= len(behind.reply)
	}
	c.pipelined -= len(cl.pipeline.queue)
	cl.pipeline.queue = nil
}
