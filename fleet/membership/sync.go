package membership

// Mean times between full exchanges, in periods.
const (
	syncPeriods    = 60 // with any member
	rejoinPeriods  = 8  // with a member that is dead, or with a seed
	joinPeriods    = 1  // with the seeds in turn, until one has answered
	catchUpPeriods = 4  // with any member, after an answer that told much
)

// minLearned is of how many members an answer has to tell something new to count as much.
const minLearned = 8

// SyncMessage returns the message that begins a full exchange (Whole) or answers the one that was taken in last (Answer). It is
// valid until the next call.
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

// fillEverything fills the scratch message with all that this front holds: the asker's program sends no digest.
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

// startExchanges asks for the full exchanges that are due.
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

// rejoin contacts one seed after the other until one has answered, and after that one address at a time that may belong to
// another half of a cut fleet.
//
// Danger: where a whole fleet starts, each seed is asked by all at once.
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

// catchUp has the next exchange follow soon where the last answer told of many members: there is more to be told then.
func (m *Members) catchUp() {
	if m.learned >= minLearned {
		m.nextSyncAt = min(m.nextSyncAt, m.now+m.jitter(catchUpPeriods))
	}
}

// unreachedAddr returns the address of a member that is dead, or of a seed that no living member has, from a
// random position on; or "".
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
		e := &m.members[position]
		if e.used && e.state == Dead && e.lastDirectAt > 0 {
			return e.addr
		}
	}
	return ""
}

// holdsAddr reports whether an address is this front's or that of a member that is not known to be dead.
func (m *Members) holdsAddr(addr string) bool {
	if addr == m.config.Addr {
		return true
	}
	for index := range m.members {
		e := &m.members[index]
		if e.addr == addr && e.state <= Suspect {
			return true
		}
	}
	return false
}
