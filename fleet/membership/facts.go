package membership

// factOf returns this front's fact about a member. Its byte slices alias the strings of the table.
func (m *Members) factOf(index int32) Fact {
	entry := &m.members[index]
	return Fact{
		Name:        bytesOf(entry.name),
		Zone:        bytesOf(entry.zone),
		Addr:        bytesOf(entry.addr),
		By:          bytesOf(entry.suspectedBy),
		Incarnation: entry.incarnation,
		State:       entry.state,
	}
}

// applyFact applies one fact about a member according to SWIM's order of precedence.
func (m *Members) applyFact(fact *Fact) {
	if !fact.valid() {
		m.Dropped++
		return
	}
	index, known := m.byName[string(fact.Name)]
	switch {
	case !known:
		m.addMember(fact)
	case index == selfIndex:
		m.applyFactOfSelf(fact)
	default:
		m.updateMember(index, fact)
	}
}

// addMember adds a member that is not in the table. A member that is dead or has left is not added.
func (m *Members) addMember(fact *Fact) {
	if fact.State == Dead || fact.State == Left {
		return
	}
	index := m.allocateMember()
	if index == noMember {
		m.Dropped++
		return
	}
	entry := &m.members[index]
	*entry = member{
		name:        string(fact.Name),
		zone:        string(fact.Zone),
		addr:        string(fact.Addr),
		incarnation: fact.Incarnation,
		state:       Dead,
		stateSince:  m.now,
		queued:      entry.queued,
		used:        true,
	}
	m.byName[entry.name] = index
	m.addToRing(entry.zone, index)
	m.setState(index, fact)
}

// updateMember applies a fact about a known member. A fact of an older incarnation changes nothing; within
// one incarnation the larger state wins.
func (m *Members) updateMember(index int32, fact *Fact) {
	entry := &m.members[index]
	newer := fact.Incarnation > entry.incarnation
	switch {
	case fact.Incarnation < entry.incarnation:
	case newer && fact.State <= Suspect:
		if entry.zone != string(fact.Zone) || entry.addr != string(fact.Addr) {
			m.moveMember(index, fact)
		}
		m.setState(index, fact)
	case fact.State == Suspect && entry.state == Suspect:
		m.confirmSuspicion(index, fact.By)
	case fact.State > entry.state && (fact.State != Left || entry.state != Dead):
		m.setState(index, fact)
	}
}

// setState sets a member's state and incarnation, queues the fact for spreading, and notifies the host if the
// state has changed.
func (m *Members) setState(index int32, fact *Fact) {
	entry := &m.members[index]
	previous := entry.state
	entry.incarnation = fact.Incarnation
	entry.state = fact.State
	entry.stateSince = m.now
	entry.suspectedBy = ""
	entry.confirmations = 0
	if fact.State == Suspect {
		entry.suspectedBy = string(fact.By)
		entry.suspectUntil = m.now + m.suspicionTimeout(0)
	}
	m.spreadMember(index)
	m.learned++
	if previous != entry.state || previous == Dead {
		m.host.MemberChanged(entry.name, entry.zone, entry.state)
	}
}
