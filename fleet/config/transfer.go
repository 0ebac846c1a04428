package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// transfer is a payload that this machine is receiving.
type transfer struct {
	active      bool   // a payload is wanted
	addr        string // machine that it is pulled from
	*payload           // chunks received so far; nil before the first one
	missing     int    // number of chunks not received
	awaited     []byte // bitmap of the chunks that were requested
	retryAt     Time   // when missing or further chunks are requested
	lastChunkAt Time   // when the last new chunk arrived
	attempts    int    // consecutive requests without a new chunk
}

// Timeouts and limits of a transfer.
const (
	pullTimeout        = 500 * Millisecond // after which an unanswered pull is sent again
	chunkTimeout       = 400 * Millisecond // the same once some chunks have arrived
	replaceTimeout     = 2 * Second        // without a new chunk, after which another payload may replace this one
	smallPayloadChunks = 4                 // chunks; payloads up to this size are requested at once
	largeWindow        = 2                 // chunks of a larger payload requested at once, so the receiver sets the pace
	maxPullAttempts    = 8                 // consecutive attempts, after which the transfer is restarted
	transferTimeout    = 60 * Second       // without a new chunk, after which the transfer is restarted
	maxRecentVersions  = maxBases - 1      // versions kept besides the newest, so that an upstream finds a common base
	maxRecentBytes     = 128 << 10         // bytes of those versions
)

// recentVersions holds earlier versions, newest last. An upstream that went from one version to a later one
// in a single step does not know the versions between; a delta from it needs a base that both machines
// have.
type recentVersions struct {
	list []recentVersion
	size int // bytes of the documents
}

// recentVersion is one earlier version.
type recentVersion struct {
	version  Version
	document []byte // encoded
}

// add appends a version and drops the oldest ones beyond the limits.
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

// newPayload splits an encoded delta into chunks.
func newPayload(from, to Version, encoded []byte) *payload {
	p := &payload{payloadID: payloadID{from, to, xxhash.Sum64(encoded)}}
	for len(encoded) > chunkSize {
		p.chunks = append(p.chunks, encoded[:chunkSize])
		encoded = encoded[chunkSize:]
	}
	p.chunks = append(p.chunks, encoded)
	return p
}

// canRelay reports whether chunks have arrived that can already be sent to children.
func (t *transfer) canRelay() bool { return t.active && t.payload != nil && len(t.chunks) > 1 }

// usableFor reports whether the payload that is being received would serve a child that sent the pull m.
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

// startTransfer starts a transfer if an upstream has a newer version.
func (n *node) startTransfer() {
	if n.onVersion == nil || n.transfer.active {
		return
	}
	if addr := n.pullSource(""); addr != "" {
		n.transfer = transfer{active: true, addr: addr, lastChunkAt: n.now}
		n.sendPull()
	}
}

// pullSource returns the address of a machine to pull from: an upstream with a newer version, preferably
// another one than avoid; or a control machine, if no upstream has a delta from the versions held here. It
// returns "" if there is none.
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

// sendPull requests the missing chunks, or any payload if none has arrived.
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

// retryDelay returns the time after which missing chunks are requested again. For a large payload it grows
// with each attempt, since the sender may have used up its budget.
func (t *transfer) retryDelay() Time {
	if len(t.chunks) <= smallPayloadChunks {
		return chunkTimeout
	}
	return chunkTimeout * Time(1+min(t.attempts, 6))
}

// windowSize returns how many chunks of a payload with the given number of chunks are requested at once.
func windowSize(chunks int) int {
	if chunks > smallPayloadChunks {
		return largeWindow
	}
	return chunks
}

// nextWanted returns a bitmap of the first missing chunks, as many as the window allows.
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

// replaceAfter returns the time without a new chunk after which another payload may replace this one.
func (t *transfer) replaceAfter() Time {
	if len(t.chunks) <= smallPayloadChunks {
		return pullTimeout // little progress is lost
	}
	return replaceTimeout
}

// awaiting reports whether a chunk that was requested has not arrived.
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

// tickTransfer requests missing chunks again when that is due, from another machine if possible.
func (n *node) tickTransfer() {
	t := &n.transfer
	if !t.active || n.now < t.retryAt {
		return
	}
	if !t.awaiting() {
		n.sendPull() // requests the next window
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

// dropTransfer abandons the transfer. Children that wait for its chunks will pull again.
func (n *node) dropTransfer() {
	for k := range n.children.list {
		c := &n.children.list[k]
		if c.outgoing != nil && c.outgoing.payload == n.transfer.payload {
			c.outgoing = nil
		}
	}
	n.transfer = transfer{}
}

// handleNoDelta records that a machine has no delta from the versions held here.
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

// handleChunk stores a chunk. Chunks of another payload and chunks from a machine that is neither an
// upstream nor the source of the transfer are ignored; without this, the result could be a mix of two
// versions.
func (n *node) handleChunk(from string, m *message) {
	t := &n.transfer
	if n.onVersion == nil || m.payload.to <= n.chain.version || !n.holdsVersion(m.payload.from) {
		return
	}
	if n.upstreamAt(from) == nil && (!t.active || from != t.addr) {
		return
	}
	if !t.active { // pushed by an upstream
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
	if !t.awaiting() { // paced by this machine's budget, since the sender's may be larger
		t.retryAt = n.budget.chunkAllowedAt(n.now, windowSize(len(t.chunks))*chunkSize, chunkReserve(len(t.chunks)))
	}
	if len(t.chunks)-t.missing == 1 {
		n.scheduleOffer()
	}
	n.sendChunks()
}

// holdsVersion reports whether the document of a version is known here.
func (n *node) holdsVersion(v Version) bool {
	_, has := n.documentOf(v)
	return has
}

// documentOf returns the encoded document of a version and whether it is known here. Version 0 is known and
// empty.
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

// finishTransfer adopts the version of a complete payload. A corrupt payload is discarded as a whole and
// requested from another machine.
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

// decodePayload returns the document that a payload produces and its encoding, or nil if the payload is not
// valid.
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
