package config

import (
	"micatrack/internal/random"
)

// node is the part that fronts and control machines have in common: it serves children, pulls from
// upstreams and forwards reports.
type node struct {
	fleet  string
	name   string // name of this machine
	now    Time   // time of the current call
	source random.Source
	budget budget
	send   func(addr string, message []byte)
	buffer []byte // reused for encoding messages

	chain         *chain // versions held
	topology      topology
	topologyKnown bool // whether the topology was ever set
	children      children
	upstreams     []*upstream // the first one receives the reports
	transfer      transfer
	recent        recentVersions
	reports       reports
	proof         proof
	onVersion     func(document *Document)      // called with a version that was pulled; nil on a control machine
	onConfirmed   func(at Time, newest Version) // called when a version was proven newest; nil on a control machine
	dropped       uint64                        // malformed messages dropped
}

// newNode returns a node without versions, budget and upstreams.
func newNode(now Time, fleet, name string, seed uint64, send func(addr string, message []byte)) node {
	return node{fleet: fleet, name: name, now: now, source: random.New(seed), send: send}
}

// proof records the last time, by this machine's clock, at which no version newer than the one held was
// known to exist.
type proof struct {
	at  Time // that time; meaningful only if has is set
	has bool // whether there was a proof at all
}

// record records a proof for the given time, unless a later one is known. An acknowledgement can be delayed
// arbitrarily, so the time must not be that of its arrival. It is the time at which the heartbeat was sent,
// less the age in the acknowledgement.
func (p *proof) record(at Time) {
	if !p.has || at > p.at {
		p.at, p.has = at, true
	}
}

// age returns the time since the last proof, or -1 if there was none.
func (p *proof) age(now Time) Time {
	if !p.has {
		return -1
	}
	return max(now-p.at, 0)
}

// id returns the ID of this machine in reports.
func (n *node) id() uint64 { return nameID(n.name) }

// sendMessage sends a message and reports whether the budget allowed it. A message that is not sent is
// requested again by its receiver.
func (n *node) sendMessage(addr string, m *message) bool {
	if addr == "" || !n.budget.allows(n.now) {
		return false
	}
	n.buffer = m.encode(n.buffer[:0], n.fleet)
	n.budget.spend(n.now, len(n.buffer))
	n.send(addr, n.buffer)
	return true
}

// receive handles an encoded message from another machine.
func (n *node) receive(from string, encoded []byte) {
	n.budget.spend(n.now, len(encoded))
	m, err := readMessage(encoded, n.fleet)
	if err != nil || from == "" || len(from) > MaxAddress {
		n.dropped++
		return
	}
	switch m.kind {
	case heartbeat:
		n.handleHeartbeat(from, m)
	case pull:
		n.handlePull(from, m)
	case acknowledge:
		n.handleAcknowledge(from, m)
	case offer:
		n.handleOffer(from, m)
	case chunk:
		n.handleChunk(from, m)
	}
}

// setPeers sets the known machines. Upstreams that answer are kept; see upstream.review.
func (n *node) setPeers(peers Peers) {
	n.topology = newTopology(peers, n.name)
	if n.topologyKnown || n.onVersion == nil {
		return
	}
	n.topologyKnown = true
	for _, u := range n.upstreams {
		u.choose(n, 0)
	}
}

// tick performs the work that is due.
func (n *node) tick() {
	n.children.expire(n.now)
	for _, u := range n.upstreams {
		u.tick(n)
	}
	n.flushReports()
	n.tickTransfer()
	n.offerNewest()
	n.sendChunks()
}

// nextTick returns when tick must be called next.
func (n *node) nextTick() Time {
	at := n.now + Second
	for _, u := range n.upstreams {
		at = min(at, u.nextAt)
	}
	if n.reports.flushAt != 0 {
		at = min(at, max(n.reports.flushAt, n.now+10*Millisecond))
	}
	if n.transfer.active {
		at = min(at, n.transfer.retryAt)
	}
	if n.children.offerAt != 0 {
		at = min(at, n.children.offerAt)
	}
	if size := n.children.nextChunkBytes(); size > 0 {
		at = min(at, max(n.budget.chunkAllowedAt(n.now, size, 0), n.now+Millisecond))
	}
	return max(at, n.now+1)
}

// proveNewest records that no version later than newest existed at the given time. That also proves any
// later version held here to have been the newest.
func (n *node) proveNewest(at Time, newest Version) {
	if newest > n.chain.version {
		return
	}
	n.proof.record(at)
	if n.onConfirmed != nil {
		n.onConfirmed(at, newest)
	}
}
