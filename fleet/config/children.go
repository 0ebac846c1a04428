package config

import "slices"

// children are the machines that pull versions from this one.
type children struct {
	list        []child    // in order of arrival
	limit       int        // how many children this machine accepts
	lastServed  int        // round-robin position in list
	offerAt     Time       // when children are told of a newer version; 0: nothing to announce
	offeredAt   Time       // when they were last told
	burstOffers int        // consecutive offers with less than burstIdle between them
	cache       []*payload // payloads made or received recently
}

// child is one machine that pulls versions from this one.
type child struct {
	addr        string
	heardAt     Time             // when it last sent a heartbeat or a pull
	version     Version          // newest version that it said it has
	reportsHere bool             // this machine is the upstream that it sends reports to
	outgoing    *outgoingPayload // payload being sent to it; nil if none
}

// outgoingPayload is a payload that is being sent to one child.
type outgoingPayload struct {
	payload *payload
	wanted  []byte // bitmap of the chunks still to be sent
}

// payload is an encoded delta in chunks, complete or partly received.
type payload struct {
	payloadID
	chunks [][]byte // nil for a chunk that has not been received
}

// Timeouts and limits for children.
const (
	childTimeout      = 5 * Second         // without a message, after which a child is removed
	minOfferInterval  = 150 * Millisecond  // minimum time between two offers, so that a burst of changes is sent together
	budgetOfferDelay  = 1000 * Millisecond // added to minOfferInterval in proportion to the budget used
	maxOfferDoublings = 3                  // of the interval between offers on a control machine
	burstIdle         = 3 * Second         // without an offer, after which a burst has ended
	maxPushedChunks   = 2                  // chunks of a payload that is pushed without a pull
	maxCachedPayloads = 4                  // payloads
	maxBudgetUsed     = 700                // thousandths of the budget, above which no new child is accepted
)

// getOrAdd returns the child at addr, adding it if there is room and the budget is not nearly used up. It
// returns nil otherwise. Without this check, a relay that inherits all children of a failed one would
// answer none of them in time, and all of them would move on to the next relay together.
func (c *children) getOrAdd(now Time, addr string, spent int64) *child {
	for k := range c.list {
		if c.list[k].addr == addr {
			c.list[k].heardAt = now
			return &c.list[k]
		}
	}
	if len(c.list) >= c.limit || spent > maxBudgetUsed {
		return nil
	}
	c.list = append(c.list, child{addr: addr, heardAt: now})
	return &c.list[len(c.list)-1]
}

// expire removes the children that have sent nothing for childTimeout.
func (c *children) expire(now Time) {
	c.list = slices.DeleteFunc(c.list, func(x child) bool { return now-x.heardAt > childTimeout })
}

// nextChunkBytes returns the smallest number of bytes that the budget must hold before a chunk can be sent
// to any child, including the reserve for that chunk; 0 if no child is waiting.
func (c *children) nextChunkBytes() int {
	least := 0
	for k := range c.list {
		size, reserve := c.list[k].nextChunkSize()
		if size > 0 && (least == 0 || size+reserve < least) {
			least = size + reserve
		}
	}
	return least
}

// nextChunkSize returns the size of the next chunk that can be sent to a child, and the reserve that
// sending it must leave. Both are 0 if there is none.
func (c *child) nextChunkSize() (size, reserve int) {
	if c.outgoing == nil {
		return 0, 0
	}
	index := c.outgoing.nextReady()
	if index < 0 {
		return 0, 0
	}
	return len(c.outgoing.payload.chunks[index]), chunkReserve(len(c.outgoing.payload.chunks))
}

// nextReady returns the index of the first wanted chunk that is available, or -1 if there is none.
func (s *outgoingPayload) nextReady() int {
	for k := range s.payload.chunks {
		if s.payload.chunks[k] != nil && hasBit(s.wanted, k) {
			return k
		}
	}
	return -1
}

// hasBit reports whether bit k is set; bits beyond the end are not.
func hasBit(bits []byte, k int) bool { return k/8 < len(bits) && bits[k/8]&(1<<(k%8)) != 0 }

// handleHeartbeat records what a child has and acknowledges its heartbeat.
func (n *node) handleHeartbeat(from string, m *message) {
	answer := &message{kind: acknowledge, seq: m.seq, version: n.chain.version}
	if n.transfer.canRelay() {
		answer.receiving = n.transfer.to
	}
	answer.proven, answer.age = n.proof.has, n.proof.age(n.now)
	c := n.children.getOrAdd(n.now, from, n.budget.usedPermille(n.now))
	if c == nil {
		answer.full = true
		n.sendMessage(from, answer)
		return
	}
	c.version, c.reportsHere = m.version, m.reportUpstream
	for _, frontReport := range m.reports {
		n.reports.add(n.now, frontReport)
	}
	n.sendMessage(from, answer)
}

// scheduleOffer schedules an offer of a newer version to the children. In a burst of changes, without the
// delay, each change would be sent to each child separately and use up the budget.
func (n *node) scheduleOffer() {
	n.children.offerAt = max(n.now, n.children.offeredAt+n.offerInterval())
	n.offerNewest()
}

// offerInterval returns the time between the last offer and the next. On a front it grows with the budget
// used. A control machine's own budget says nothing about the fronts' budgets, so in a burst it doubles the
// interval with each offer; its offers then pass down the tree at a pace that the fronts can follow.
func (n *node) offerInterval() Time {
	if n.onVersion == nil {
		return minOfferInterval << min(n.children.burstOffers, maxOfferDoublings)
	}
	return minOfferInterval + budgetOfferDelay*n.budget.usedPermille(n.now)/1000
}

// offerNewest offers the newest version to each child that lacks it, if an offer is due.
func (n *node) offerNewest() {
	if n.children.offerAt == 0 || n.now < n.children.offerAt {
		return
	}
	n.children.burstOffers++
	if n.now-n.children.offeredAt > burstIdle {
		n.children.burstOffers = 0
	}
	n.children.offerAt, n.children.offeredAt = 0, n.now
	version := n.chain.version
	if n.transfer.canRelay() {
		version = max(version, n.transfer.to)
	}
	for k := range n.children.list {
		if c := &n.children.list[k]; c.version < version && !n.tryPush(c) {
			n.sendMessage(c.addr, &message{kind: offer, version: version})
		}
	}
}

// tryPush sends a small payload to a child that reports to this machine, without waiting for a pull, which
// saves a round trip on each hop. It reports whether it did. Other children only get an offer, since their
// primary upstream pushes the payload to them.
func (n *node) tryPush(c *child) bool {
	if !c.reportsHere || !n.chain.hasDeltaFrom(c.version) {
		return false
	}
	p := n.payloadFrom(c.version)
	if len(p.chunks) > maxPushedChunks || !n.budget.allowsChunk(n.now, p.size(), smallReserve) {
		return false
	}
	for k := range p.chunks {
		n.sendMessage(c.addr, p.message(k))
	}
	return true
}

// size returns the size of all chunks in bytes.
func (p *payload) size() int {
	total := 0
	for _, part := range p.chunks {
		total += len(part)
	}
	return total
}

// message returns the message that carries one chunk.
func (p *payload) message(index int) *message {
	m := &message{kind: chunk, payload: p.payloadID, total: uint64(len(p.chunks)), index: uint64(index)}
	m.data = p.chunks[index]
	return m
}

// handlePull starts sending a payload to a child that asks for one.
func (n *node) handlePull(from string, m *message) {
	c := n.children.getOrAdd(n.now, from, n.budget.usedPermille(n.now))
	if c == nil {
		n.sendMessage(from, &message{kind: acknowledge, full: true, noDelta: true, version: n.chain.version})
		return
	}
	c.version = m.version
	p := n.payloadFor(m)
	if p == nil {
		c.outgoing = nil
		unable := n.chain.version > m.version
		n.sendMessage(from, &message{kind: acknowledge, noDelta: unable, version: n.chain.version})
		return
	}
	wanted := slices.Clone(m.wanted)
	if p.payloadID != m.payload || len(wanted) == 0 {
		wanted = firstChunksBitmap(windowSize(len(p.chunks)))
	}
	c.outgoing = &outgoingPayload{p, wanted}
	n.sendChunks()
}

// firstChunksBitmap returns a bitmap of the first count chunks.
func firstChunksBitmap(count int) []byte {
	bits := make([]byte, (count+7)/8)
	for k := range count {
		bits[k/8] |= 1 << (k % 8)
	}
	return bits
}

// payloadFor returns a payload that brings a child to a newer version: the payload that the child has
// already received a part of; otherwise a delta from the newest of its versions that is known here;
// otherwise, for a child without any version, the whole document. It returns nil if there is none.
func (n *node) payloadFor(m *message) *payload {
	if p := n.cachedPayload(m.payload); p != nil {
		return p
	}
	if n.transfer.canRelay() && n.transfer.usableFor(m) {
		return n.transfer.payload
	}
	base, has := Version(0), len(m.bases) == 0 || n.onVersion == nil
	for _, b := range m.bases {
		if b >= n.chain.version {
			return nil
		}
		if b > base && n.chain.hasDeltaFrom(b) {
			base, has = b, true
		}
	}
	if !has || n.chain.version == 0 {
		return nil
	}
	return n.payloadFrom(base)
}

// cachedPayload returns the payload with an ID if it was made or received recently, or nil.
func (n *node) cachedPayload(id payloadID) *payload {
	if id.to == 0 {
		return nil
	}
	for _, p := range n.children.cache {
		if p.payloadID == id {
			return p
		}
	}
	return nil
}

// payloadFrom returns the payload from a base version, or from nothing if base is 0, to the newest version.
func (n *node) payloadFrom(base Version) *payload {
	for _, p := range n.children.cache {
		if p.from == base && p.to == n.chain.version {
			return p
		}
	}
	p := newPayload(base, n.chain.version, n.chain.deltaFrom(base).encode())
	n.cachePayload(p)
	return p
}

// cachePayload adds a payload to the cache and evicts the oldest if the cache is full.
func (n *node) cachePayload(p *payload) {
	if len(n.children.cache) >= maxCachedPayloads {
		n.children.cache = n.children.cache[1:]
	}
	n.children.cache = append(n.children.cache, p)
}

// sendChunks sends chunks to the children in round-robin order for as long as the budget allows.
func (n *node) sendChunks() {
	for {
		c := n.nextReceiver()
		if c == nil {
			return
		}
		p, index := c.outgoing.payload, c.outgoing.nextReady()
		c.outgoing.wanted[index/8] &^= 1 << (index % 8)
		n.sendMessage(c.addr, p.message(index))
	}
}

// nextReceiver returns the next child in round-robin order that a chunk may be sent to now, or nil.
func (n *node) nextReceiver() *child {
	c := &n.children
	for range c.list {
		c.lastServed++
		x := &c.list[c.lastServed%len(c.list)]
		if size, reserve := x.nextChunkSize(); size > 0 && n.budget.allowsChunk(n.now, size, reserve) {
			return x
		}
	}
	return nil
}
