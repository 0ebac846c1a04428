package config

import "slices"

// children are the machines that ask this one.
type children struct {
	list        []child // in the order in which they came
	limit       int
	lastServed  int  // whose chunk is sent next
	offerAt     Time // when children are told of something newer; 0: nothing is to be told
	offeredAt   Time // when they were told last
	burstOffers int  // offers in a row with less than burstSpan between them
	cache       []*payload
}

type child struct {
	addr        string
	heardAt     Time
	version     Version // that it has, as far as it said
	reportsHere bool    // this machine is the one that it reports to
	outgoing    *outgoingPayload
}

// outgoingPayload is a payload on its way to one child.
type outgoingPayload struct {
	payload *payload
	wanted  []byte // chunks still to be sent, a bit each
}

// payload is an encoded delta, whole or as far as it has come in.
type payload struct {
	payloadID
	chunks [][]byte // nil: not here yet
}

// Spans and bounds of children.
const (
	childTimeout      = 5 * Second         // without a heartbeat, then a child is forgotten
	minOfferInterval  = 150 * Millisecond  // between two offers at least, so that a burst goes together,
	budgetOfferDelay  = 1000 * Millisecond // and so much more where the budget is spent
	maxOfferDoublings = 3                  // of the gap on a control machine
	burstIdle         = 3 * Second         // without an offer, then a burst is over
	maxPushedChunks   = 2                  // chunks of a payload that is sent unasked
	maxCachedPayloads = 4                  // payloads
	maxBudgetUsed     = 700                // thousandths of the budget, then no child is taken
)

// getOrAdd finds a child, or makes a place for it while there is one and the budget is not nearly spent.
// Danger: a relay that all children of a dead one turn to answers nobody in time, and all go on to the next
// together.
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

func (c *children) expire(now Time) {
	c.list = slices.DeleteFunc(c.list, func(x child) bool { return now-x.heardAt > childTimeout })
}

// nextChunkBytes gives the bytes that have to be in the budget for the next chunk that a child waits for, its
// reserve included; 0 if there is none.
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

// nextChunkSize gives the bytes of the chunk that can be sent to a child, 0 if there is none, and the reserve
// that it leaves.
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

// nextReady gives the number of a chunk that can be sent, -1 if there is none.
func (s *outgoingPayload) nextReady() int {
	for k := range s.payload.chunks {
		if s.payload.chunks[k] != nil && hasBit(s.wanted, k) {
			return k
		}
	}
	return -1
}

func hasBit(bits []byte, k int) bool { return k/8 < len(bits) && bits[k/8]&(1<<(k%8)) != 0 }

// handleHeartbeat answers a heartbeat.
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

// scheduleOffer has children told of something newer, soon.
// Danger: in a burst of changes each would go to each child by itself, and use up the budget.
func (n *node) scheduleOffer() {
	n.children.offerAt = max(n.now, n.children.offeredAt+n.offerInterval())
	n.offerNewest()
}

// offerInterval gives how long after the last offer the next one goes. In a burst control machines, whose budget
// is no measure for that of the fronts, double it with each; what they send then goes down the tree in step.
func (n *node) offerInterval() Time {
	if n.onVersion == nil {
		return minOfferInterval << min(n.children.burstOffers, maxOfferDoublings)
	}
	return minOfferInterval + budgetOfferDelay*n.budget.usedPermille(n.now)/1000
}

// offerNewest tells children of what they do not have, when that is due.
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

// tryPush sends a small payload at once to a child that reports here, which spares a round trip on each hop.
// Other children are only told, since their first upstream sends it.
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

// size gives the bytes of a whole payload.
func (p *payload) size() int {
	total := 0
	for _, part := range p.chunks {
		total += len(part)
	}
	return total
}

// message gives the message with one of a payload's chunks.
func (p *payload) message(index int) *message {
	m := &message{kind: chunk, payload: p.payloadID, total: uint64(len(p.chunks)), index: uint64(index)}
	m.data = p.chunks[index]
	return m
}

// handlePull takes in what a child asks for.
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

// firstChunksBitmap gives a list of chunks with the first few.
func firstChunksBitmap(count int) []byte {
	bits := make([]byte, (count+7)/8)
	for k := range count {
		bits[k/8] |= 1 << (k % 8)
	}
	return bits
}

// payloadFor finds what brings a child to a newer version: the payload that it has a part of already, else
// one from the newest of its versions that is known here, else, to one that has none, everything.
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

// cachedPayload gives a payload that was made or received before.
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

// payloadFrom gives the payload from a base, 0 for everything, to the newest version.
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

func (n *node) cachePayload(p *payload) {
	if len(n.children.cache) >= maxCachedPayloads {
		n.children.cache = n.children.cache[1:]
	}
	n.children.cache = append(n.children.cache, p)
}

// sendChunks sends chunks, one to each child in turn, as the budget allows.
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

// nextReceiver gives the next child, in turn, that a chunk may be sent to.
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
