package membership

// Constants for verification.
const (
	maxVerifications = 4  // members pinged in one period
	firstPingTries   = 4  // first pings to one member; the last is sent through helpers
	maxFirstPings    = 64 // first pings whose answer is awaited
)

// firstPing is a ping to a member that has never answered one.
type firstPing struct {
	sequence uint64
	target   int32 // selfIndex if no answer is awaited
}

// verifyMembers pings some of the members that have never answered, in addition to the ordinary probe, and
// suspects those that have not answered any of their first pings. Without this separation, hundreds of
// made-up members would use up the probes that belong to live members, and look like a network failure.
func (m *Members) verifyMembers() {
	remaining := maxVerifications
	// All fronts have the table in much the same order; without a random start, all of them would verify the
	// same members last.
	m.verifyCursor = int32(m.random.Below(int64(len(m.members))))
	for range m.members {
		m.verifyCursor++
		if int(m.verifyCursor) >= len(m.members) {
			m.verifyCursor = 1
		}
		if int(m.verifyCursor) >= len(m.members) {
			return
		}
		if !m.needsVerification(&m.members[m.verifyCursor]) {
			continue
		}
		m.verifyMember(m.verifyCursor)
		remaining--
		if remaining == 0 {
			return
		}
	}
}

func (m *Members) needsVerification(entry *member) bool {
	return entry.used && !entry.verified && entry.state <= Suspect && m.now-entry.firstPingAt >= m.config.Period
}

// verifyMember sends the next first ping, the last one through helpers. After that it suspects the member.
func (m *Members) verifyMember(index int32) {
	entry := &m.members[index]
	entry.firstPingAt = m.now
	if entry.firstPings >= firstPingTries {
		entry.firstPings = 0
		if entry.state == Alive && !m.Isolated() {
			m.suspect(index)
		}
		return
	}
	entry.firstPings++
	m.sequence++
	m.firstPings[m.sequence%maxFirstPings] = firstPing{m.sequence, index}
	if entry.firstPings == firstPingTries {
		m.askHelpers(index, m.sequence)
	} else {
		m.sendTo(index, Ping, m.sequence)
	}
}

// finishFirstPing marks a member as verified that has answered a first ping, either to this front or to a
// helper.
func (m *Members) finishFirstPing(sequence uint64) {
	ping := &m.firstPings[sequence%maxFirstPings]
	if ping.sequence != sequence || ping.target == selfIndex {
		return
	}
	m.members[ping.target].verified = true
	ping.target = selfIndex
}
