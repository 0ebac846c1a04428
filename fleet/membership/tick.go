package membership

import "fmt"

// stallHealth is by how much a stall worsens local health.
const stallHealthPenalty = 2

// leaveFanout is how many members a leaving front tells at once.
const leaveFanout = 2 * gossipFanout

// Tick does what is due. It must be called at the time that Next returns; a call before that does nothing.
func (m *Members) Tick(now Time) {
	lateBy := now - m.nextTickAt
	m.now = now
	if lateBy < 0 {
		return
	}
	m.nextTickAt = now + max(m.config.Period/roundsPerPeriod, 1)
	if m.replaced {
		return
	}
	if lateBy > m.config.Period {
		m.resumeAfterStall(lateBy)
	}
	if m.leaving {
		m.gossip()
		return
	}
	if m.Isolated() && len(m.byName) > 1 {
		m.health = maxHealth
	}
	m.dismissClaimant()
	m.checkProbe()
	m.sendNacks()
	if now >= m.nextProbeAt {
		m.nextProbeAt = now + m.periodNow()
		m.verifyMembers()
		m.startProbe()
	}
	m.expireMembers()
	m.expireNotes()
	m.gossip()
	m.startExchanges()
}

// resumeAfterStall drops what would be judged by a time in which this process stood still.
//
// Danger: whoever did not answer meanwhile may have; it was this front that did not listen.
func (m *Members) resumeAfterStall(lateBy Time) {
	m.probe.target = noMember
	m.raiseHealth(stallHealthPenalty)
	m.lastHeardAt = max(m.lastHeardAt, m.now-m.config.Period)
	m.nextProbeAt = m.now
	for index := range m.members {
		e := &m.members[index]
		if e.state == Suspect {
			e.suspectUntil += lateBy
		}
	}
	m.nextRejoinAt = m.now
	m.nextSyncAt = m.now
	m.replayDue = true
	m.host.Log(fmt.Sprintf("stood still for %d ms; nobody is judged by that", lateBy/timePerMillisecond))
}

// Leave announces this front's end to some members at once. Tick spreads it further until the front ends.
func (m *Members) Leave(now Time) {
	m.now = now
	if m.leaving || m.replaced {
		return
	}
	m.leaving = true
	m.members[selfIndex].state = Left
	m.spreadMember(selfIndex)
	for range leaveFanout {
		to := m.pickAnyZone()
		if to > selfIndex {
			m.sendTo(to, Gossip, 0)
			m.spreadMember(selfIndex)
		}
	}
}
