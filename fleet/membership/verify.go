package membership

// Figures of verification.
const (
	maxVerifications = 4  // members looked at in one period
	firstPingTries   = 4  // first pings to one member; helpers send the last
	maxFirstPings    = 64 // first pings whose answer is awaited
)

// firstPing is a ping to a member that has not answered any yet.
type firstPing struct {
	sequence uint64
	target   int32 // selfIndex: none is awaited
}

// verifyMembers pings some of the members that have never answered, besides the ordinary probe, and suspects
// those that have let all tries pass.
//
// Danger: hundreds of made-up members would take the probes of those that live, and look like a network that
// is down.
func (m *Members) verifyMembers() {
	remaining := maxVerifications
	// All fronts have the table in much the same order, and would leave the same members for last.
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

func (m *Members) needsVerification(e *member) bool {
	return e.used && !e.verified && e.state <= Suspect && m.now-e.firstPingAt >= m.config.Period
}

// verifyMember sends the next first ping, the last one through helpers; after that it suspects the member.
func (m *Members) verifyMember(index int32) {
	e := &m.members[index]
	e.firstPingAt = m.now
	if e.firstPings >= firstPingTries {
		e.firstPings = 0
		if e.state == Alive && !m.Isolated() {
			m.suspect(index)
		}
		return
	}
	e.firstPings++
	m.sequence++
	m.firstPings[m.sequence%maxFirstPings] = firstPing{m.sequence, index}
	if e.firstPings == firstPingTries {
		m.askHelpers(index, m.sequence)
	} else {
		m.sendTo(index, Ping, m.sequence)
	}
}

// finishFirstPing marks a member verified that has answered a first ping, to this front or to a helper.
func (m *Members) finishFirstPing(sequence uint64) {
	ping := &m.firstPings[sequence%maxFirstPings]
	if ping.sequence != sequence || ping.target == selfIndex {
		return
	}
	m.members[ping.target].verified = true
	ping.target = selfIndex
}
