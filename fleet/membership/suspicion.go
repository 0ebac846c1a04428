package membership

// Constants for Lifeguard's dynamic suspicion timeout.
const (
	minSuspicionPeriods = 4 // shortest timeout in periods, per decimal digit of the fleet's size
	maxSuspicionFactor  = 4 // timeout without confirmations, as a multiple of the shortest one
	maxConfirmations    = 3 // confirmations from which the timeout is the shortest
)

// Times in periods after which dead members are removed from the table.
const (
	deadRetentionPeriods       = 1200
	unverifiedRetentionPeriods = 8 // for a member that has never sent a message itself
)

// suspicionTimeout returns how long a suspicion with the given number of confirmations lasts. Local health
// lengthens it.
func (m *Members) suspicionTimeout(confirmations int) Time {
	shortest := minSuspicionPeriods * Time(m.fleetDigits()) * m.config.Period * Time(1+m.health)
	confirmed := min(confirmations, maxConfirmations)
	return shortest * Time(maxSuspicionFactor-(maxSuspicionFactor-1)*confirmed/maxConfirmations)
}

// suspect makes this front suspect a member that does not answer.
func (m *Members) suspect(index int32) {
	fact := m.factOf(index)
	fact.By = bytesOf(m.config.Name)
	fact.State = Suspect
	m.applyFact(&fact)
}

// confirmSuspicion counts another member that suspects a suspected member, and shortens the timeout.
func (m *Members) confirmSuspicion(index int32, by []byte) {
	entry := &m.members[index]
	if entry.confirmations >= maxConfirmations || string(by) == entry.suspectedBy {
		return
	}
	entry.confirmations++
	entry.suspectedBy = string(by)
	entry.suspectUntil = min(entry.suspectUntil, entry.stateSince+m.suspicionTimeout(entry.confirmations))
	m.spreadMember(index)
}

// expireMembers declares suspects dead whose suspicion has timed out, and removes members that have been dead
// long enough.
func (m *Members) expireMembers() {
	for k := 1; k < len(m.members); k++ {
		index := int32(k)
		entry := &m.members[index]
		switch {
		case !entry.used:
		case entry.state == Suspect && m.now >= entry.suspectUntil:
			m.expireSuspicion(index)
		case entry.state >= Dead && m.now-entry.stateSince > m.deadRetention(entry):
			m.removeMember(index)
		}
	}
}

// expireSuspicion declares a suspect dead. While no other member is heard the suspicion is extended instead:
// otherwise a front that has lost its own network would declare all others dead, and spread that once its
// network is back.
func (m *Members) expireSuspicion(index int32) {
	entry := &m.members[index]
	if m.Isolated() {
		entry.suspectUntil = m.now + m.config.Period
		return
	}
	fact := m.factOf(index)
	fact.By = nil
	fact.State = Dead
	m.applyFact(&fact)
}

// deadRetention returns how long a dead member stays in the table.
func (m *Members) deadRetention(entry *member) Time {
	if entry.lastDirectAt == 0 {
		return unverifiedRetentionPeriods * m.config.Period
	}
	return deadRetentionPeriods * m.config.Period
}
