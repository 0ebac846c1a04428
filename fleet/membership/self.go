package membership

// claimPeriods is how long a process that is said to use this front's name has to answer, in periods.
const claimPeriods = 2

// claimant is another process that is said to use this front's name under a higher incarnation.
type claimant struct {
	addr        string // empty: there is none
	since       Time
	incarnation uint64
}

// applyFactOfSelf takes in what others say of this front: it refutes suspicions and deaths, and asks after
// another process of its name.
func (m *Members) applyFactOfSelf(fact *Fact) {
	e := &m.members[selfIndex]
	if fact.Incarnation < e.incarnation || m.leaving {
		return
	}
	if fact.State != Alive {
		m.refute(fact.Incarnation)
		m.raiseHealth(1)
		return
	}
	if fact.Incarnation == e.incarnation {
		return
	}
	if string(fact.Addr) == e.addr {
		m.refute(fact.Incarnation) // it is of an earlier life of this front, from before its clock was set back
		return
	}
	if m.claimant.addr == "" {
		m.claimant = claimant{addr: string(fact.Addr), since: m.now, incarnation: fact.Incarnation}
		// If that process lives it answers; else it was an earlier life of this front.
		m.send(m.claimant.addr, Ping, 0, noMember, e.name)
	}
}

// refute makes this front alive under a higher incarnation than the given one, and spreads that.
func (m *Members) refute(incarnation uint64) {
	m.members[selfIndex].incarnation = incarnation + 1
	m.spreadMember(selfIndex)
}

// dismissClaimant takes the name back from a claimant that has not answered.
func (m *Members) dismissClaimant() {
	if m.claimant.addr == "" || m.now-m.claimant.since <= claimPeriods*m.config.Period {
		return
	}
	highest := max(m.members[selfIndex].incarnation, m.claimant.incarnation)
	m.claimant = claimant{}
	m.refute(highest)
}

// resolveNameConflict takes in a message from another process that uses this front's name. The newer life
// keeps the name, and the older one takes no further part.
//
// Danger: otherwise the two would refute each other for ever.
func (m *Members) resolveNameConflict(sender *Fact) {
	e := &m.members[selfIndex]
	addr := string(sender.Addr)
	if addr == e.addr {
		return // of this front's own, or of its previous life
	}
	m.claimant = claimant{}
	if sender.Incarnation < e.incarnation || sender.Incarnation == e.incarnation && addr < e.addr {
		m.send(addr, Ack, 0, noMember, e.name)
		return
	}
	m.replaced = true
	m.host.Log("another front goes by this name, at " + addr + "; this one takes no part any more")
}
