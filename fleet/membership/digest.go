package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A digest tells what a view holds without its contents, so that a full exchange carries only what differs, as in the
// anti-entropy of Demers et al. ("Epidemic algorithms for replicated database maintenance", PODC 1987). Members and notes are
// spread over buckets by the hash of their names, and each bucket is the sum of the hashes of what it holds.
const (
	memberBuckets = 64
	noteBuckets   = 16
	// DigestBytes is the length of a digest.
	DigestBytes = 4 * (memberBuckets + noteBuckets)
)

// startingBuckets is how many buckets of members are filled at most where a front has just started.
const maxStartingBuckets = 3

// maxContested bounds the facts that a front tells again because another one holds older ones.
const maxContested = 128

// digest is the sums of all buckets, those of members first.
type digest [memberBuckets + noteBuckets]uint32

func memberBucket(name []byte) int { return int(xxhash.Sum64(name) % memberBuckets) }

func noteBucket(key []byte) int { return memberBuckets + int(xxhash.Sum64(key)%noteBuckets) }

// currentDigest returns the digest of what this front holds. Those that are dead or have left do not count: some fronts have
// forgotten them already.
func (m *Members) currentDigest() (sums digest) {
	hash := &m.hash
	for index := range m.members {
		e := &m.members[index]
		if !e.used || e.state >= Dead {
			continue
		}
		hash.Reset()
		hash.WriteString(e.name)
		hash.Write(binary.LittleEndian.AppendUint64(m.hashed[:0], e.incarnation<<1|uint64(e.state)))
		sums[memberBucket(bytesOf(e.name))] += uint32(hash.Sum64())
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

// appendDigest writes a digest as messages carry it.
func appendDigest(dst []byte, sums *digest) []byte {
	for _, sum := range sums {
		dst = binary.LittleEndian.AppendUint32(dst, sum)
	}
	return dst
}

// readDigest reads a digest of DigestBytes.
func readDigest(data []byte) (sums digest) {
	for k := range sums {
		sums[k] = binary.LittleEndian.Uint32(data[4*k:])
	}
	return sums
}

// rememberDigest keeps what the sender of a Whole holds for the Answer to it.
func (m *Members) rememberDigest(in *Message) {
	m.requesterSentDigest = len(in.Digest) == DigestBytes
	if m.requesterSentDigest {
		m.requesterDigest = readDigest(in.Digest)
	}
}

// fillSyncRequest fills the scratch message that begins an exchange: what this front holds as a digest, and the facts that the
// last one that answered held older ones of.
func (m *Members) fillSyncRequest() {
	sums := m.currentDigest()
	m.digestBytes = appendDigest(m.digestBytes[:0], &sums)
	m.message.Digest = m.digestBytes
	for _, index := range m.contested {
		e := &m.members[index]
		if e.used {
			e.contested = false
			m.messageFacts = append(m.messageFacts, m.factOf(index))
		}
	}
	m.contested = m.contested[:0]
}

// fillDifference fills the scratch message with what is in the buckets that differ from those of the asker, from another
// place on each time, as far as the budget reaches, and the least in any case.
//
// Danger: behind a cut each of hundreds of fronts asks the few on the other side for all that they hold.
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
		e := &m.members[index]
		if index == selfIndex || !e.used || sent >= room || !differs(memberBucket(bytesOf(e.name))) {
			continue
		}
		fact := m.factOf(index)
		m.messageFacts = append(m.messageFacts, fact)
		sent += fact.size()
	}
	budget.spend(sent)
}

// markContested has a fact told to whoever is asked next, if its sender holds an older one than this front.
//
// Danger: a member that one half holds for dead and the other for alive learns of it in no other way, and both go on.
func (m *Members) markContested(index int32, fact *Fact) {
	e := &m.members[index]
	newer := e.incarnation > fact.Incarnation || e.incarnation == fact.Incarnation && e.state > fact.State
	if newer && e.state == Dead && !e.contested && len(m.contested) < maxContested {
		e.contested = true
		m.contested = append(m.contested, index)
	}
}

// compareResponse looks at what an Answer tells of a member.
func (m *Members) compareResponse(fact *Fact) {
	index, known := m.byName[string(fact.Name)]
	if known && index != selfIndex {
		m.markContested(index, fact)
	}
}

// syncContested begins another exchange with whoever told something older, soon but not in a row.
//
// Danger: of a member that is dead in truth the other has to find that out first, and both would exchange all the while.
func (m *Members) syncContested(from int32) {
	if len(m.contested) == 0 || m.now < m.nextContestedSyncAt {
		return
	}
	m.nextContestedSyncAt = m.now + m.jitter(rejoinPeriods)
	m.host.StartSync(m.members[from].addr)
}

// nearlyEmpty reports whether a digest is that of a front that has just started and knows itself and few others.
func (d *digest) nearlyEmpty() bool {
	filled := 0
	for _, sum := range d[:memberBuckets] {
		if sum != 0 {
			filled++
		}
	}
	return filled <= maxStartingBuckets
}
