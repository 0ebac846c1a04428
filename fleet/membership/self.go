package membership

// claimPeriods is the number of periods within which a process that reportedly uses this front's name has to
// answer.
const claimPeriods = 2

// claimant is another process that reportedly uses this front's name with a higher incarnation.
type claimant struct {
	addr        string // empty if there is none
	since       Time
	incarnation uint64
}

// applyFactOfSelf handles a fact that others hold about this front. It refutes suspicions and deaths, and
// pings another process that may use its name.
func (m *Members) applyFactOfSelf(fact *Fact) {
	entry := &m.members[selfIndex]
	if fact.Incarnation < entry.incarnation || m.leaving {
		return
	}
	if fact.State != Alive {
		m.refute(fact.Incarnation)
		m.raiseHealth(1)
		return
	}
	if fact.Incarnation == entry.incarnation {
		return
	}
	if string(fact.Addr) == entry.addr {
		m.refute(fact.Incarnation) // from an earlier run of this front, before its clock was set back
		return
	}
	if m.claimant.addr == "" {
		m.claimant = claimant{addr: string(fact.Addr), since: m.now, incarnation: fact.Incarnation}
		// If that process is running, it answers; otherwise it was an earlier run of this front.
		m.send(m.claimant.addr, Ping, 0, noMember, entry.name)
	}
}

// refute raises this front's incarnation above the given one and spreads the new fact.
func (m *Members) refute(incarnation uint64) {
	m.members[selfIndex].incarnation = incarnation + 1
	m.spreadMember(selfIndex)
}

// dismissClaimant gives up a claimant that has not answered and takes an incarnation above the claimant's.
func (m *Members) dismissClaimant() {
	if m.claimant.addr == "" || m.now-m.claimant.since <= claimPeriods*m.config.Period {
		return
	}
	highest := max(m.members[selfIndex].incarnation, m.claimant.incarnation)
	m.claimant = claimant{}
	m.refute(highest)
}

// resolveNameConflict handles a message from another process that uses this front's name. The newer process
// keeps the name, and the older one leaves the protocol. Without this, the two would refute each other
// forever.
func (m *Members) resolveNameConflict(sender *Fact) {
	entry := &m.members[selfIndex]
	addr := string(sender.Addr)
	if addr == entry.addr {
		return // sent by this front, or by its previous run
	}
	m.claimant = claimant{}
	if sender.Incarnation < entry.incarnation || sender.Incarnation == entry.incarnation && addr < entry.addr {
		m.send(addr, Ack, 0, noMember, entry.name)
		return
	}
	m.replaced = true
	m.host.Log("another front goes by this name, at " + addr + "; this one takes no part any more")
}
