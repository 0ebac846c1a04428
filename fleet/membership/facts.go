package membership

// factOf returns what this front holds of a member. Its bytes are those of the table's strings.
func (m *Members) factOf(index int32) Fact {
	e := &m.members[index]
	return Fact{
		Name:        bytesOf(e.name),
		Zone:        bytesOf(e.zone),
		Addr:        bytesOf(e.addr),
		By:          bytesOf(e.suspectedBy),
		Incarnation: e.incarnation,
		State:       e.state,
	}
}

// applyFact takes in one statement about a member, by SWIM's order of precedence.
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

// addMember takes in a member that is not in the table. One that is dead or has left is not added.
func (m *Members) addMember(fact *Fact) {
	if fact.State == Dead || fact.State == Left {
		return
	}
	index := m.allocateMember()
	if index == noMember {
		m.Dropped++
		return
	}
	e := &m.members[index]
	*e = member{
		name:        string(fact.Name),
		zone:        string(fact.Zone),
		addr:        string(fact.Addr),
		incarnation: fact.Incarnation,
		state:       Dead,
		stateSince:  m.now,
		queued:      e.queued,
		used:        true,
	}
	m.byName[e.name] = index
	m.addToRing(e.zone, index)
	m.setState(index, fact)
}

// updateMember takes in a statement about a known member. An older incarnation changes nothing; within one
// incarnation the larger state holds.
func (m *Members) updateMember(index int32, fact *Fact) {
	e := &m.members[index]
	newer := fact.Incarnation > e.incarnation
	switch {
	case fact.Incarnation < e.incarnation:
	case newer && fact.State <= Suspect:
		if e.zone != string(fact.Zone) || e.addr != string(fact.Addr) {
			m.moveMember(index, fact)
		}
		m.setState(index, fact)
	case fact.State == Suspect && e.state == Suspect:
		m.confirmSuspicion(index, fact.By)
	case fact.State > e.state && (fact.State != Left || e.state != Dead):
		m.setState(index, fact)
	}
}

// setState changes a member's state and incarnation, spreads that, and tells the host if the state is another
// one.
func (m *Members) setState(index int32, fact *Fact) {
	e := &m.members[index]
	previous := e.state
	e.incarnation = fact.Incarnation
	e.state = fact.State
	e.stateSince = m.now
	e.suspectedBy = ""
	e.confirmations = 0
	if fact.State == Suspect {
		e.suspectedBy = string(fact.By)
		e.suspectUntil = m.now + m.suspicionTimeout(0)
	}
	m.spreadMember(index)
	m.learned++
	if previous != e.state || previous == Dead {
		m.host.MemberChanged(e.name, e.zone, e.state)
	}
}
