package membership

// Figures of Lifeguard's dynamic suspicion timeout.
const (
	minSuspicionPeriods = 4 // shortest timeout in periods, for each decimal digit of the fleet's size
	maxSuspicionFactor  = 4 // times the shortest that it is without confirmations
	maxConfirmations    = 3 // confirmations after which the timeout is the shortest
)

// Lives of dead members in the table, in periods.
const (
	deadRetentionPeriods       = 1200
	unverifiedRetentionPeriods = 8 // of a member that has never sent a message itself
)

// suspicionTimeout returns how long a suspicion lasts that has so many confirmations. Local health lengthens
// it.
func (m *Members) suspicionTimeout(confirmations int) Time {
	shortest := minSuspicionPeriods * Time(m.fleetDigits()) * m.config.Period * Time(1+m.health)
	confirmed := min(confirmations, maxConfirmations)
	return shortest * Time(maxSuspicionFactor-(maxSuspicionFactor-1)*confirmed/maxConfirmations)
}

// suspect has this front suspect a member that does not answer it.
func (m *Members) suspect(index int32) {
	fact := m.factOf(index)
	fact.By = bytesOf(m.config.Name)
	fact.State = Suspect
	m.applyFact(&fact)
}

// confirmSuspicion counts a further member that suspects a suspect, and shortens the timeout.
func (m *Members) confirmSuspicion(index int32, by []byte) {
	e := &m.members[index]
	if e.confirmations >= maxConfirmations || string(by) == e.suspectedBy {
		return
	}
	e.confirmations++
	e.suspectedBy = string(by)
	e.suspectUntil = min(e.suspectUntil, e.stateSince+m.suspicionTimeout(e.confirmations))
	m.spreadMember(index)
}

// expireMembers declares suspects dead whose suspicion has timed out, and forgets those that have been dead
// for long.
func (m *Members) expireMembers() {
	for k := 1; k < len(m.members); k++ {
		index := int32(k)
		e := &m.members[index]
		switch {
		case !e.used:
		case e.state == Suspect && m.now >= e.suspectUntil:
			m.expireSuspicion(index)
		case e.state >= Dead && m.now-e.stateSince > m.deadRetention(e):
			m.removeMember(index)
		}
	}
}

// expireSuspicion declares a suspect dead.
//
// Danger: a front without its own network would declare all others dead, and spread that once it is back.
// While no other member is heard the suspicion is extended.
func (m *Members) expireSuspicion(index int32) {
	e := &m.members[index]
	if m.Isolated() {
		e.suspectUntil = m.now + m.config.Period
		return
	}
	fact := m.factOf(index)
	fact.By = nil
	fact.State = Dead
	m.applyFact(&fact)
}

// deadRetention returns how long a dead member stays in the table.
func (m *Members) deadRetention(e *member) Time {
	if e.lastDirectAt == 0 {
		return unverifiedRetentionPeriods * m.config.Period
	}
	return deadRetentionPeriods * m.config.Period
}
