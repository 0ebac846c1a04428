package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A digest summarizes what a view holds without its contents, so that a full sync carries only the
// differences, as in the anti-entropy protocol of Demers et al. ("Epidemic algorithms for replicated database
// maintenance", PODC 1987). Members and notes are assigned to buckets by the hash of their names, and the
// value of a bucket is the sum of the hashes of its contents.
const (
	memberBuckets = 64
	noteBuckets   = 16
	// DigestBytes is the length of a digest on the wire.
	DigestBytes = 4 * (memberBuckets + noteBuckets)
)

// maxStartingBuckets is the largest number of non-empty member buckets in the digest of a front that has just
// started.
const maxStartingBuckets = 3

// maxContested limits the number of facts to be sent again because another front holds older ones.
const maxContested = 128

// digest holds the sums of all buckets, those of members first.
type digest [memberBuckets + noteBuckets]uint32

func memberBucket(name []byte) int { return int(xxhash.Sum64(name) % memberBuckets) }

func noteBucket(key []byte) int { return memberBuckets + int(xxhash.Sum64(key)%noteBuckets) }

// currentDigest returns the digest of what this front holds. Members that are dead or have left are omitted,
// since some fronts have already removed them.
func (m *Members) currentDigest() (sums digest) {
	hash := &m.hash
	for index := range m.members {
		entry := &m.members[index]
		if !entry.used || entry.state >= Dead {
			continue
		}
		hash.Reset()
		hash.WriteString(entry.name)
		hash.Write(binary.LittleEndian.AppendUint64(m.hashed[:0], entry.incarnation<<1|uint64(entry.state)))
		sums[memberBucket(bytesOf(entry.name))] += uint32(hash.Sum64())
	}
	for index := range m.notes {
		n := &m.notes[index]
		if !n.used || m.noteExpired(n) {
			continue
		}
		hash.Reset()
		hash.WriteString(n.key)
		hash.Write(binary.LittleEndian.AppendUint64(m.hashed[:0], n.version))
		sums[noteBucket(bytesOf(n.key))] += uint32(hash.Sum64())
	}
	return sums
}

// appendDigest appends a digest in its wire format.
func appendDigest(dst []byte, sums *digest) []byte {
	for _, sum := range sums {
		dst = binary.LittleEndian.AppendUint32(dst, sum)
	}
	return dst
}

// readDigest decodes a digest of DigestBytes bytes.
func readDigest(data []byte) (sums digest) {
	for k := range sums {
		sums[k] = binary.LittleEndian.Uint32(data[4*k:])
	}
	return sums
}

// rememberDigest keeps the digest of a SyncRequest until the SyncResponse is built.
func (m *Members) rememberDigest(in *Message) {
	m.requesterSentDigest = len(in.Digest) == DigestBytes
	if m.requesterSentDigest {
		m.requesterDigest = readDigest(in.Digest)
	}
}

// fillSyncRequest fills the reused message of a SyncRequest with the digest of what this front holds, and
// with the contested facts: those for which the last responder held older ones.
func (m *Members) fillSyncRequest() {
	sums := m.currentDigest()
	m.digestBytes = appendDigest(m.digestBytes[:0], &sums)
	m.message.Digest = m.digestBytes
	for _, index := range m.contested {
		entry := &m.members[index]
		if entry.used {
			entry.contested = false
			m.messageFacts = append(m.messageFacts, m.factOf(index))
		}
	}
	m.contested = m.contested[:0]
}

// fillDifference fills the reused message with the contents of the buckets in which this front differs from
// the requester, starting at a random position, up to what the budget allows, but at least minBytes. Without
// the budget, after a partition, each of hundreds of fronts would ask the few on the other side for
// everything that they hold.
func (m *Members) fillDifference(budget *tokenBucket, minBytes int64) {
	sums := m.currentDigest()
	room := int(max(budget.available(m.now), minBytes))
	sent := 0
	differs := func(bucket int) bool { return sums[bucket] != m.requesterDigest[bucket] }
	for k := range m.notes {
		n := &m.notes[k]
		if n.used && !m.noteExpired(n) && differs(noteBucket(bytesOf(n.key))) && sent < room/2 {
			note := m.noteMessage(n)
			m.messageNotes = append(m.messageNotes, note)
			sent += note.size()
		}
	}
	first := int(m.random.Below(int64(len(m.members))))
	for k := range m.members {
		index := int32((first + k) % len(m.members))
		entry := &m.members[index]
		if index == selfIndex || !entry.used || sent >= room || !differs(memberBucket(bytesOf(entry.name))) {
			continue
		}
		fact := m.factOf(index)
		m.messageFacts = append(m.messageFacts, fact)
		sent += fact.size()
	}
	budget.spend(sent)
}

// markContested marks a member's fact to be sent with the next SyncRequest if the sender of the given fact
// holds an older one than this front. Only facts of dead members are marked: a member that one half of the
// fleet holds for dead and the other for alive would not learn of it otherwise, and both halves would keep
// their views.
func (m *Members) markContested(index int32, fact *Fact) {
	entry := &m.members[index]
	newer := entry.incarnation > fact.Incarnation || entry.incarnation == fact.Incarnation && entry.state > fact.State
	if newer && entry.state == Dead && !entry.contested && len(m.contested) < maxContested {
		entry.contested = true
		m.contested = append(m.contested, index)
	}
}

// compareResponse checks a fact from a SyncResponse against the table.
func (m *Members) compareResponse(fact *Fact) {
	index, known := m.byName[string(fact.Name)]
	if known && index != selfIndex {
		m.markContested(index, fact)
	}
}

// syncContested starts another sync with a front that holds older facts, soon but not repeatedly: if a
// contested member is really dead, the other front first has to detect that itself, and without the delay
// both would sync over and over until then.
func (m *Members) syncContested(from int32) {
	if len(m.contested) == 0 || m.now < m.nextContestedSyncAt {
		return
	}
	m.nextContestedSyncAt = m.now + m.jitter(rejoinPeriods)
	m.host.StartSync(m.members[from].addr)
}

// nearlyEmpty reports whether the digest is that of a front that has just started and knows only itself and a
// few others.
func (d *digest) nearlyEmpty() bool {
	filled := 0
	for _, sum := range d[:memberBuckets] {
		if sum != 0 {
			filled++
		}
	}
	return filled <= maxStartingBuckets
}
