package config

import (
	"micatrack/internal/random"
)

// node is what fronts and control machines have in common: it serves children, asks upstreams and passes
// reports on.
type node struct {
	fleet, name string
	now         Time
	source      random.Source
	budget      budget
	send        func(addr string, message []byte)
	buffer      []byte // of the message that is sent

	chain         *chain // the versions held
	topology      topology
	topologyKnown bool // topology was told
	children      children
	upstreams     []*upstream // the first is where reports go
	transfer      transfer
	recent        recentVersions
	reports       reports
	proof         proof
	onVersion     func(document *Document)      // a version was pulled; nil on a control machine
	onConfirmed   func(at Time, newest Version) // an upstream said how old it is; nil on a control machine
	dropped       uint64
}

func newNode(now Time, fleet, name string, seed uint64, send func(addr string, message []byte)) node {
	return node{fleet: fleet, name: name, now: now, source: random.New(seed), send: send}
}

// proof is a moment at which no version newer than the one held existed, by this machine's clock.
type proof struct {
	at  Time
	has bool
}

// record takes a moment in. Danger: an answer may have been under way for long, so the moment is never that of
// its arrival: it is that of the question, less the age that the answer tells.
func (p *proof) record(at Time) {
	if !p.has || at > p.at {
		p.at, p.has = at, true
	}
}

// age gives for how long nothing was proven, -1 if nothing ever was.
func (p *proof) age(now Time) Time {
	if !p.has {
		return -1
	}
	return max(now-p.at, 0)
}

func (n *node) id() uint64 { return nameID(n.name) }

// sendMessage sends a message, if the budget allows any. What is left out is asked for again.
func (n *node) sendMessage(addr string, m *message) bool {
	if addr == "" || !n.budget.allows(n.now) {
		return false
	}
	n.buffer = m.encode(n.buffer[:0], n.fleet)
	n.budget.spend(n.now, len(n.buffer))
	n.send(addr, n.buffer)
	return true
}

// receive takes a message in.
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

// setPeers takes a new list of machines in. Upstreams stay while they answer: see upstream.review.
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

// tick does what is due.
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

// nextTick is when beat must be called again.
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

// proveNewest takes in that nothing newer than a version existed at a moment. It says as much of any later
// version.
func (n *node) proveNewest(at Time, newest Version) {
	if newest > n.chain.version {
		return
	}
	n.proof.record(at)
	if n.onConfirmed != nil {
		n.onConfirmed(at, newest)
	}
}
