package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// transfer is a payload on its way to this machine.
type transfer struct {
	active   bool
	addr     string // whom it is asked of
	*payload        // nil: no chunk has come yet
	missing  int    // chunks
	awaited  []byte // chunks that were asked for, a bit each
	retryAt  Time   // when it is asked for again, or for more of it
	cameAt   Time   // when the last new chunk came
	tries    int    // in a row without a new chunk
}

// Spans and bounds of a transfer.
const (
	pullSpan      = 500 * Millisecond // after which an unanswered pull is sent again
	chunkSpan     = 400 * Millisecond // the same where some chunks have come
	takeOverSpan  = 2 * Second        // without a new chunk, then another payload may take this one's place
	smallPayload  = 4                 // chunks; so many are asked for at once,
	largeWindow   = 2                 // and of a larger one only these, so that the receiver sets the pace
	maxPullTries  = 8                 // in a row, then the transfer is given up and begun anew
	giveUpSpan    = 60 * Second       // without a new chunk
	maxRecent     = maxBases - 1      // versions kept beside the newest, so that an upstream finds a base
	maxRecentSize = 128 << 10         // bytes of them
)

// recent are versions held before, as bytes, the newest last. An upstream that went from one version to a
// later one in one step knows those between no more: it needs a base that both have.
type recent struct {
	list []recentVersion
	size int
}

type recentVersion struct {
	version  Version
	document []byte
}

func (r *recent) add(v Version, document []byte) {
	if v == 0 {
		return
	}
	r.list = append(r.list, recentVersion{v, document})
	r.size += len(document)
	for len(r.list) > maxRecent || r.size > maxRecentSize && len(r.list) > 0 {
		r.size -= len(r.list[0].document)
		r.list = r.list[1:]
	}
}

// newPayload cuts an encoded delta into chunks.
func newPayload(from, to Version, encoded []byte) *payload {
	p := &payload{payloadID: payloadID{from, to, xxhash.Sum64(encoded)}}
	for len(encoded) > chunkSize {
		p.chunks = append(p.chunks, encoded[:chunkSize])
		encoded = encoded[chunkSize:]
	}
	p.chunks = append(p.chunks, encoded)
	return p
}

// passable tells whether a part has come in that children can be sent already.
func (t *transfer) passable() bool { return t.active && t.payload != nil && len(t.chunks) > 1 }

// suits tells whether a child that pulls can do with the payload that is on its way here.
func (t *transfer) suits(m *message) bool {
	if m.payload == t.payloadID {
		return true
	}
	for _, base := range m.bases {
		if base >= t.to {
			return false
		}
		if base == t.from {
			return true
		}
	}
	return len(m.bases) == 0 && t.from == 0
}

// wantNewer begins a transfer if an upstream has something newer.
func (n *node) wantNewer() {
	if n.adopted == nil || n.transfer.active {
		return
	}
	if addr := n.sourceOf(""); addr != "" {
		n.transfer = transfer{active: true, addr: addr, cameAt: n.now}
		n.ask()
	}
}

// sourceOf gives the address of a machine to pull from: an upstream with something newer, another than the
// one named if there is another, else the one named; a control machine where no upstream has a delta from
// what is held.
func (n *node) sourceOf(not string) string {
	found, stuck := "", false
	for _, u := range n.upstreams {
		switch {
		case u.version <= n.chain.version:
		case u.unableFrom == n.chain.version && u.unableFrom != 0:
			stuck = true
		case found == "" || found == not:
			found = u.addr
		}
	}
	if found == "" && stuck && len(n.topology.controls) > 0 {
		found = n.topology.controls[n.source.Below(int64(len(n.topology.controls)))].Addr
	}
	return found
}

// ask sends a pull for what is missing.
func (n *node) ask() {
	t := &n.transfer
	m := &message{kind: pull, version: n.chain.version}
	for _, r := range n.recent.list {
		m.bases = append(m.bases, r.version)
	}
	if n.chain.version != 0 {
		m.bases = append(m.bases, n.chain.version)
	}
	span := pullSpan
	if t.payload != nil {
		span = t.askSpan()
		t.awaited = t.nextBits()
		m.payload, m.wanted = t.payloadID, t.awaited
	}
	t.retryAt = n.now + span + n.source.Below(span/4)
	n.post(t.addr, m)
}

// askSpan gives after what span chunks that did not come are asked for again. Of a large payload that is
// longer with each try, since the sender may have spent its budget.
func (t *transfer) askSpan() Time {
	if len(t.chunks) <= smallPayload {
		return chunkSpan
	}
	return chunkSpan * Time(1+min(t.tries, 6))
}

// windowOf gives how many of a payload's chunks are asked for at once.
func windowOf(chunks int) int {
	if chunks > smallPayload {
		return largeWindow
	}
	return chunks
}

// nextBits gives the first few chunks that have not come.
func (t *transfer) nextBits() []byte {
	bits := make([]byte, (len(t.chunks)+7)/8)
	count := 0
	for k := range t.chunks {
		if t.chunks[k] == nil && count < windowOf(len(t.chunks)) {
			bits[k/8] |= 1 << (k % 8)
			count++
		}
	}
	return bits
}

// idleSpan gives after what span without a new chunk another payload may take this one's place.
func (t *transfer) idleSpan() Time {
	if len(t.chunks) <= smallPayload {
		return pullSpan // little is lost
	}
	return takeOverSpan
}

// open tells whether a chunk that was asked for has not come.
func (t *transfer) open() bool {
	if t.payload == nil {
		return true
	}
	for k := range t.chunks {
		if t.chunks[k] == nil && hasBit(t.awaited, k) {
			return true
		}
	}
	return false
}

// beatTransfer asks again for what has not come, of another machine where that is possible.
func (n *node) beatTransfer() {
	t := &n.transfer
	if !t.active || n.now < t.retryAt {
		return
	}
	if !t.open() {
		n.ask() // for more
		return
	}
	t.tries++
	addr := n.sourceOf(t.addr)
	if n.now-t.cameAt > giveUpSpan || t.payload == nil && (t.tries > maxPullTries || addr == "") {
		n.dropTransfer()
		n.wantNewer()
		return
	}
	if addr != "" {
		t.addr = addr
	}
	n.ask()
}

// dropTransfer gives a transfer up. Who waits for its chunks asks again.
func (n *node) dropTransfer() {
	for k := range n.children.list {
		c := &n.children.list[k]
		if c.serving != nil && c.serving.payload == n.transfer.payload {
			c.serving = nil
		}
	}
	n.transfer = transfer{}
}

// unableToServe notes that a machine has no delta from what is held here.
func (n *node) unableToServe(addr string) {
	if u := n.from(addr); u != nil {
		u.unableFrom = n.chain.version
	}
	t := &n.transfer
	if t.active && t.addr == addr && t.payload == nil {
		n.dropTransfer()
		n.wantNewer()
	}
}

// chunkCame takes a part of a payload in.
// Danger: chunks of two payloads, or what nobody asked for, would make a text of two versions.
func (n *node) chunkCame(from string, m *message) {
	t := &n.transfer
	if n.adopted == nil || m.payload.to <= n.chain.version || !n.holds(m.payload.from) {
		return
	}
	if n.from(from) == nil && (!t.active || from != t.addr) {
		return
	}
	if !t.active { // an upstream sent it unasked
		n.transfer = transfer{active: true, addr: from, cameAt: n.now}
	}
	if t.payload != nil && t.payloadID != m.payload && n.now-t.cameAt > t.idleSpan() {
		n.dropTransfer()
		n.transfer = transfer{active: true, addr: from, cameAt: n.now}
		t = &n.transfer
	}
	if t.payload == nil {
		t.payload = &payload{m.payload, make([][]byte, m.total)}
		t.missing = int(m.total)
		t.awaited = firstBits(windowOf(len(t.chunks)))
	}
	if t.payloadID != m.payload || int(m.total) != len(t.chunks) || t.chunks[m.index] != nil {
		return
	}
	t.chunks[m.index] = bytes.Clone(m.data)
	t.missing--
	t.cameAt, t.tries, t.retryAt = n.now, 0, n.now+chunkSpan
	if t.missing == 0 {
		n.finish()
		return
	}
	if !t.open() { // Danger: a sender with a larger budget than this machine's
		t.retryAt = n.budget.chunkAt(n.now, windowOf(len(t.chunks))*chunkSize, reserve(len(t.chunks)))
	}
	if len(t.chunks)-t.missing == 1 {
		n.newVersion()
	}
	n.serve()
}

// holds tells whether a version's document is here.
func (n *node) holds(v Version) bool {
	_, has := n.held(v)
	return has
}

func (n *node) held(v Version) ([]byte, bool) {
	if v == 0 {
		return nil, true
	}
	if v == n.chain.version {
		return n.chain.document, true
	}
	for _, r := range n.recent.list {
		if r.version == v {
			return r.document, true
		}
	}
	return nil, false
}

// finish takes the version of a whole payload over. Danger: a spoilt payload; nothing of it counts, and it is
// asked for of another machine.
func (n *node) finish() {
	p := n.transfer.payload
	document, encoded := n.unpacked(p)
	if document == nil {
		n.dropped++
		addr := n.transfer.addr
		n.dropTransfer()
		if other := n.sourceOf(addr); other != "" {
			n.transfer = transfer{active: true, addr: other, cameAt: n.now, retryAt: n.now + pullSpan}
		}
		return
	}
	n.transfer = transfer{}
	n.remember(p)
	old := n.chain.version
	var d *delta
	if old != 0 {
		d = makeDelta(n.chain.document, encoded)
	}
	n.recent.add(old, n.chain.document)
	n.chain.add(old, p.to, encoded, d)
	n.adopted(document)
	n.newVersion()
	n.serve()
	n.wantNewer()
}

// unpacked gives the document that a payload leads to, nil if it leads to none.
func (n *node) unpacked(p *payload) (*Document, []byte) {
	joined := bytes.Join(p.chunks, nil)
	if xxhash.Sum64(joined) != p.sum {
		return nil, nil
	}
	d, err := readDelta(joined)
	if err != nil {
		return nil, nil
	}
	old, _ := n.held(p.from)
	encoded, err := d.apply(old)
	if err != nil {
		return nil, nil
	}
	document, err := ReadDocument(encoded)
	if err != nil || document.Version != p.to {
		return nil, nil
	}
	return document, encoded
}
