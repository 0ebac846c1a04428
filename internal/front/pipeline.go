package front

import (
	"bytes"
	"cmp"

	"micatrack/balance"
	"micatrack/internal/metadata"
	"micatrack/internal/pgwire"
)

const (
	maxPipelined              = 16      // requests of one client that may be in hand behind its first
	maxPipelinedTotal         = 1024    // the same of all clients
	maxArrivalMarks           = 16      // arrivals of one client's messages that are told apart
	defaultMaxBufferedReplies = 1 << 20 // bytes of answers that wait for their turn, where the limits name no other bound
)

// pipelinedRequest is a request that is in hand, or answered, behind another of its client. The answers go out in the order of
// the commands, so its own waits here until all before it are out.
type pipelinedRequest struct {
	request int32  // in hand, or -1 once reply is complete
	size    int    // bytes of the command in the client's ring
	reply   []byte // final answer
}

// pipeline is what a client has sent behind the request in hand.
//
// Danger: a client counts each request's time from its last byte. Were the commands taken one after the other, the
// last of n would wait for n-1 deadlines and be lost.
type pipeline struct {
	queue       []pipelinedRequest // in the order of the commands
	parsedBytes int                // bytes of the ring that the request in hand and those behind it have
	arrivals    arrivalTimes
}

// arrivalTimes tells when the last bytes of messages came in that have not been parsed yet. It keeps at most mostMarks moments:
// past that a message counts as come with the one before it, which is never later than it did.
type arrivalTimes struct {
	scanned int // bytes of the ring that whole messages have
	marks   [maxArrivalMarks]arrival
	count   int
}

// arrival is the moment by which the ring held end bytes.
type arrival struct {
	end int
	at  Time
}

// scan looks for the ends of messages in what the ring holds now.
func (a *arrivalTimes) scan(ring []byte, now Time) {
	for a.scanned <= len(ring) {
		_, _, size, err := pgwire.ParseMessage(ring[a.scanned:], pgwire.MaxQuerySize)
		if err != nil || size == 0 {
			return
		}
		a.scanned += size
		a.record(a.scanned, now)
	}
}

// record tells that a message ends where the ring holds end bytes.
func (a *arrivalTimes) record(end int, now Time) {
	if a.count > 0 && (a.count == maxArrivalMarks || a.marks[a.count-1].at == now) {
		a.marks[a.count-1].end = end
		return
	}
	a.marks[a.count] = arrival{end, now}
	a.count++
}

// arrivedAt gives the moment by which the ring held end bytes; now if nobody noted it.
func (a *arrivalTimes) arrivedAt(end int, now Time) Time {
	for _, mark := range a.marks[:a.count] {
		if mark.end >= end {
			return mark.at
		}
	}
	return now
}

// discard tells that the ring's first size bytes are gone.
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

// discard drops the ring's first size bytes, which belong to no request in hand any more.
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

// startPipelined begins the client's next command while others of its are in hand; false: it has to wait for them. What is
// no sound request waits, so that everything else is said between requests.
func (cl *client) startPipelined(c *Core) bool {
	if _, speaks := cl.protocol.(postgres); !speaks {
		return false
	}
	if len(cl.pipeline.queue) >= maxPipelined || c.pipelined >= maxPipelinedTotal {
		return false
	}
	offset := cl.pipeline.parsedBytes
	kind, body, size, err := pgwire.ParseMessage(cl.link.Peek()[offset:], pgwire.MaxQuerySize)
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
	request := &c.requests[index]
	request.offset = offset
	request.arrivedAt = cl.pipeline.arrivals.arrivedAt(offset+size, c.now)
	cl.pipeline.queue = append(cl.pipeline.queue, pipelinedRequest{request: index, size: size})
	cl.pipeline.parsedBytes += size
	c.pipelined++
	return true
}

// independent tells whether a request may run beside all that its client has in hand.
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

// mayRunConcurrently tells whether a request may run beside an earlier one of its connection: reads beside reads, writes never
// beside writes, and both beside each other where their sessions differ, since no fence holds from one to another.
//
// Danger: within its session a command has to see the effect of those before it, and none of those behind it.
func (c *Core) mayRunConcurrently(earlier int32, class int, query *metadata.Request) bool {
	before := &c.requests[earlier]
	writes, wrote := c.classes.settings[class].Need == balance.Write, before.class().Need == balance.Write
	if !writes && !wrote {
		return true
	}
	if writes && wrote {
		return false
	}
	return len(query.Session) > 0 && len(before.terms.Session) > 0 &&
		(query.Group != before.terms.Group || !bytes.Equal(query.Session, before.terms.Session))
}

// bufferReply stores the final answer of a request behind others until its turn comes.
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

// advance puts the next request of the client in hand, behind the one that was just answered. Answers that waited for
// their turn go out.
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

// abandonPipeline gives up all that the client has in hand behind its first request.
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
