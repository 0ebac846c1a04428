package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// transfer is a payload on its way to this machine.
type transfer struct {
	active      bool
	addr        string // whom it is asked of
	*payload           // nil: no chunk has come yet
	missing     int    // chunks
	awaited     []byte // chunks that were asked for, a bit each
	retryAt     Time   // when it is asked for again, or for more of it
	lastChunkAt Time   // when the last new chunk came
	attempts    int    // in a row without a new chunk
}

// Spans and bounds of a transfer.
const (
	pullTimeout        = 500 * Millisecond // after which an unanswered pull is sent again
	chunkTimeout       = 400 * Millisecond // the same where some chunks have come
	replaceTimeout     = 2 * Second        // without a new chunk, then another payload may take this one's place
	smallPayloadChunks = 4                 // chunks; so many are asked for at once,
	largeWindow        = 2                 // and of a larger one only these, so that the receiver sets the pace
	maxPullAttempts    = 8                 // in a row, then the transfer is given up and begun anew
	transferTimeout    = 60 * Second       // without a new chunk
	maxRecentVersions  = maxBases - 1      // versions kept beside the newest, so that an upstream finds a base
	maxRecentBytes     = 128 << 10         // bytes of them
)

// recentVersions are versions held before, as bytes, the newest last. An upstream that went from one version to a
// later one in one step knows those between no more: it needs a base that both have.
type recentVersions struct {
	list []recentVersion
	size int
}

type recentVersion struct {
	version  Version
	document []byte
}

func (r *recentVersions) add(v Version, document []byte) {
	if v == 0 {
		return
	}
	r.list = append(r.list, recentVersion{v, document})
	r.size += len(document)
	for len(r.list) > maxRecentVersions || r.size > maxRecentBytes && len(r.list) > 0 {
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

// canRelay tells whether a part has come in that children can be sent already.
func (t *transfer) canRelay() bool { return t.active && t.payload != nil && len(t.chunks) > 1 }

// usableFor tells whether a child that pulls can do with the payload that is on its way here.
func (t *transfer) usableFor(m *message) bool {
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

// startTransfer begins a transfer if an upstream has something newer.
func (n *node) startTransfer() {
	if n.onVersion == nil || n.transfer.active {
		return
	}
	if addr := n.pullSource(""); addr != "" {
		n.transfer = transfer{active: true, addr: addr, lastChunkAt: n.now}
		n.sendPull()
	}
}

// pullSource gives the address of a machine to pull from: an upstream with something newer, another than the
// one named if there is another, else the one named; a control machine where no upstream has a delta from
// what is held.
func (n *node) pullSource(avoid string) string {
	found, stuck := "", false
	for _, u := range n.upstreams {
		switch {
		case u.version <= n.chain.version:
		case u.noDeltaFrom == n.chain.version && u.noDeltaFrom != 0:
			stuck = true
		case found == "" || found == avoid:
			found = u.addr
		}
	}
	if found == "" && stuck && len(n.topology.controls) > 0 {
		found = n.topology.controls[n.source.Below(int64(len(n.topology.controls)))].Addr
	}
	return found
}

// sendPull sends a pull for what is missing.
func (n *node) sendPull() {
	t := &n.transfer
	m := &message{kind: pull, version: n.chain.version}
	for _, r := range n.recent.list {
		m.bases = append(m.bases, r.version)
	}
	if n.chain.version != 0 {
		m.bases = append(m.bases, n.chain.version)
	}
	span := pullTimeout
	if t.payload != nil {
		span = t.retryDelay()
		t.awaited = t.nextWanted()
		m.payload, m.wanted = t.payloadID, t.awaited
	}
	t.retryAt = n.now + span + n.source.Below(span/4)
	n.sendMessage(t.addr, m)
}

// retryDelay gives after what span chunks that did not come are asked for again. Of a large payload that is
// longer with each try, since the sender may have spent its budget.
func (t *transfer) retryDelay() Time {
	if len(t.chunks) <= smallPayloadChunks {
		return chunkTimeout
	}
	return chunkTimeout * Time(1+min(t.attempts, 6))
}

// windowSize gives how many of a payload's chunks are asked for at once.
func windowSize(chunks int) int {
	if chunks > smallPayloadChunks {
		return largeWindow
	}
	return chunks
}

// nextWanted gives the first few chunks that have not come.
func (t *transfer) nextWanted() []byte {
	bits := make([]byte, (len(t.chunks)+7)/8)
	count := 0
	for k := range t.chunks {
		if t.chunks[k] == nil && count < windowSize(len(t.chunks)) {
			bits[k/8] |= 1 << (k % 8)
			count++
		}
	}
	return bits
}

// replaceAfter gives after what span without a new chunk another payload may take this one's place.
func (t *transfer) replaceAfter() Time {
	if len(t.chunks) <= smallPayloadChunks {
		return pullTimeout // little is lost
	}
	return replaceTimeout
}

// awaiting tells whether a chunk that was asked for has not come.
func (t *transfer) awaiting() bool {
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

// tickTransfer asks again for what has not come, of another machine where that is possible.
func (n *node) tickTransfer() {
	t := &n.transfer
	if !t.active || n.now < t.retryAt {
		return
	}
	if !t.awaiting() {
		n.sendPull() // for more
		return
	}
	t.attempts++
	addr := n.pullSource(t.addr)
	if n.now-t.lastChunkAt > transferTimeout || t.payload == nil && (t.attempts > maxPullAttempts || addr == "") {
		n.dropTransfer()
		n.startTransfer()
		return
	}
	if addr != "" {
		t.addr = addr
	}
	n.sendPull()
}

// dropTransfer gives a transfer up. Who waits for its chunks asks again.
func (n *node) dropTransfer() {
	for k := range n.children.list {
		c := &n.children.list[k]
		if c.outgoing != nil && c.outgoing.payload == n.transfer.payload {
			c.outgoing = nil
		}
	}
	n.transfer = transfer{}
}

// handleNoDelta notes that a machine has no delta from what is held here.
func (n *node) handleNoDelta(addr string) {
	if u := n.upstreamAt(addr); u != nil {
		u.noDeltaFrom = n.chain.version
	}
	t := &n.transfer
	if t.active && t.addr == addr && t.payload == nil {
		n.dropTransfer()
		n.startTransfer()
	}
}

// handleChunk takes a part of a payload in.
// Danger: chunks of two payloads, or what nobody asked for, would make a text of two versions.
func (n *node) handleChunk(from string, m *message) {
	t := &n.transfer
	if n.onVersion == nil || m.payload.to <= n.chain.version || !n.holdsVersion(m.payload.from) {
		return
	}
	if n.upstreamAt(from) == nil && (!t.active || from != t.addr) {
		return
	}
	if !t.active { // an upstream sent it unasked
		n.transfer = transfer{active: true, addr: from, lastChunkAt: n.now}
	}
	if t.payload != nil && t.payloadID != m.payload && n.now-t.lastChunkAt > t.replaceAfter() {
		n.dropTransfer()
		n.transfer = transfer{active: true, addr: from, lastChunkAt: n.now}
		t = &n.transfer
	}
	if t.payload == nil {
		t.payload = &payload{m.payload, make([][]byte, m.total)}
		t.missing = int(m.total)
		t.awaited = firstChunksBitmap(windowSize(len(t.chunks)))
	}
	if t.payloadID != m.payload || int(m.total) != len(t.chunks) || t.chunks[m.index] != nil {
		return
	}
	t.chunks[m.index] = bytes.Clone(m.data)
	t.missing--
	t.lastChunkAt, t.attempts, t.retryAt = n.now, 0, n.now+chunkTimeout
	if t.missing == 0 {
		n.finishTransfer()
		return
	}
	if !t.awaiting() { // Danger: a sender with a larger budget than this machine's
		t.retryAt = n.budget.chunkAllowedAt(n.now, windowSize(len(t.chunks))*chunkSize, chunkReserve(len(t.chunks)))
	}
	if len(t.chunks)-t.missing == 1 {
		n.scheduleOffer()
	}
	n.sendChunks()
}

// holdsVersion tells whether a version's document is here.
func (n *node) holdsVersion(v Version) bool {
	_, has := n.documentOf(v)
	return has
}

func (n *node) documentOf(v Version) ([]byte, bool) {
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

// finishTransfer takes the version of a whole payload over. Danger: a spoilt payload; nothing of it counts, and it is
// asked for of another machine.
func (n *node) finishTransfer() {
	p := n.transfer.payload
	document, encoded := n.decodePayload(p)
	if document == nil {
		n.dropped++
		addr := n.transfer.addr
		n.dropTransfer()
		if other := n.pullSource(addr); other != "" {
			n.transfer = transfer{active: true, addr: other, lastChunkAt: n.now, retryAt: n.now + pullTimeout}
		}
		return
	}
	n.transfer = transfer{}
	n.cachePayload(p)
	old := n.chain.version
	var d *delta
	if old != 0 {
		d = makeDelta(n.chain.document, encoded)
	}
	n.recent.add(old, n.chain.document)
	n.chain.add(old, p.to, encoded, d)
	n.onVersion(document)
	n.scheduleOffer()
	n.sendChunks()
	n.startTransfer()
}

// decodePayload gives the document that a payload leads to, nil if it leads to none.
func (n *node) decodePayload(p *payload) (*Document, []byte) {
	joined := bytes.Join(p.chunks, nil)
	if xxhash.Sum64(joined) != p.sum {
		return nil, nil
	}
	d, err := readDelta(joined)
	if err != nil {
		return nil, nil
	}
	old, _ := n.documentOf(p.from)
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
