package membership

// Mean times between full syncs, in periods.
const (
	syncPeriods    = 60 // with any member
	rejoinPeriods  = 8  // with a dead member or a seed
	joinPeriods    = 1  // with one seed after the other, until one has answered
	catchUpPeriods = 4  // with any member, after a response with much that was new
)

// minLearned is the number of members about which a response must contain something new to trigger another
// sync soon.
const minLearned = 8

// SyncMessage returns the message that begins a full sync (SyncRequest), or the one that answers the
// SyncRequest received last (SyncResponse). It is valid until the next call.
func (m *Members) SyncMessage(kind Kind) *Message {
	m.messageFacts = m.messageFacts[:0]
	m.messageNotes = m.messageNotes[:0]
	m.message = Message{Kind: kind, Sender: m.factOf(selfIndex)}
	switch {
	case kind == SyncRequest:
		m.fillSyncRequest()
	case m.requesterSentDigest && m.requesterDigest.nearlyEmpty():
		m.fillDifference(&m.startupBudget, minStartupBytes)
	case m.requesterSentDigest:
		m.fillDifference(&m.responseBudget, minResponseBytes)
	default:
		m.fillEverything()
	}
	m.requesterSentDigest = false
	m.message.Facts, m.message.Notes = m.messageFacts, m.messageNotes
	return &m.message
}

// fillEverything fills the reused message with all that this front holds, for a requester whose version sends
// no digest.
func (m *Members) fillEverything() {
	for index := 1; index < len(m.members); index++ {
		if m.members[index].used {
			m.messageFacts = append(m.messageFacts, m.factOf(int32(index)))
		}
	}
	for index := range m.notes {
		n := &m.notes[index]
		if n.used && !m.noteExpired(n) {
			m.messageNotes = append(m.messageNotes, m.noteMessage(n))
		}
	}
}

// startExchanges starts the full syncs that are due.
func (m *Members) startExchanges() {
	if m.now >= m.nextRejoinAt {
		m.nextRejoinAt = m.now + m.jitter(rejoinPeriods)
		m.rejoin()
	}
	if m.now >= m.nextSyncAt {
		m.nextSyncAt = m.now + m.jitter(syncPeriods)
		partner := m.pickAnyZone()
		if partner > selfIndex {
			m.host.StartSync(m.members[partner].addr)
		}
	}
}

// rejoin contacts one seed after the other until one has answered. After that it contacts one address at a
// time that may belong to another half of a partitioned fleet. Only one seed is contacted at a time because
// when a whole fleet starts, every front contacts the seeds at once.
func (m *Members) rejoin() {
	if m.joined {
		addr := m.unreachedAddr()
		if addr != "" {
			m.host.StartSync(addr)
		}
		return
	}
	m.nextRejoinAt = m.now + m.jitter(joinPeriods)
	for range m.config.Seeds {
		addr := m.config.Seeds[m.nextSeed]
		m.nextSeed = (m.nextSeed + 1) % len(m.config.Seeds)
		if addr != m.config.Addr {
			m.host.StartSync(addr)
			return
		}
	}
}

// catchUp schedules the next sync soon if the last response was about many members, since there is probably
// more to learn then.
func (m *Members) catchUp() {
	if m.learned >= minLearned {
		m.nextSyncAt = min(m.nextSyncAt, m.now+m.jitter(catchUpPeriods))
	}
}

// unreachedAddr returns the address of a dead member, or of a seed that is not the address of any living
// member, starting at a random position. It returns "" if there is none.
func (m *Members) unreachedAddr() string {
	count := len(m.members) + len(m.config.Seeds)
	start := int(m.random.Below(int64(count)))
	for k := range count {
		position := (start + k) % count
		if position >= len(m.members) {
			seed := m.config.Seeds[position-len(m.members)]
			if !m.holdsAddr(seed) {
				return seed
			}
			continue
		}
		entry := &m.members[position]
		if entry.used && entry.state == Dead && entry.lastDirectAt > 0 {
			return entry.addr
		}
	}
	return ""
}

// holdsAddr reports whether an address is this front's own or that of a member that is not known to be dead.
func (m *Members) holdsAddr(addr string) bool {
	if addr == m.config.Addr {
		return true
	}
	for index := range m.members {
		entry := &m.members[index]
		if entry.addr == addr && entry.state <= Suspect {
			return true
		}
	}
	return false
}
