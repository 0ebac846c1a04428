package membership

import "fmt"

// stallHealthPenalty is the amount by which a stall raises the local health multiplier.
const stallHealthPenalty = 2

// leaveFanout is the number of members that a leaving front notifies at once.
const leaveFanout = 2 * gossipFanout

// Tick performs the periodic work. It must be called at the time that Next returns; a call before that does
// nothing.
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

// resumeAfterStall discards or extends all deadlines that ran while this process was stopped. Members that
// seem not to have answered meanwhile may have done so; it was this front that did not receive anything.
func (m *Members) resumeAfterStall(lateBy Time) {
	m.probe.target = noMember
	m.raiseHealth(stallHealthPenalty)
	m.lastHeardAt = max(m.lastHeardAt, m.now-m.config.Period)
	m.nextProbeAt = m.now
	for index := range m.members {
		entry := &m.members[index]
		if entry.state == Suspect {
			entry.suspectUntil += lateBy
		}
	}
	m.nextRejoinAt = m.now
	m.nextSyncAt = m.now
	m.replayDue = true
	m.host.Log(fmt.Sprintf("stood still for %d ms; nobody is judged by that", lateBy/timePerMillisecond))
}

// Leave announces to some members at once that this front is leaving. Tick keeps spreading the announcement
// until the process ends.
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
