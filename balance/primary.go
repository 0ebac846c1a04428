package balance

import "fmt"

// Which member of a group is its primary, by what the members have shown of themselves.

// learn takes what a member says of itself, and at is when it did so; 0 means some unknown time ago.
func (b *Balancer) learn(i int32, r Report, at Time) {
	m := &b.members[i]
	if r.Role == RoleUnknown || r.Position < m.position && at == 0 || r.Position > b.now+2*b.beat {
		return // older than what is known, or from a time to come: it says nothing
	}
	m.position, m.heard = max(m.position, r.Position), b.now
	if r.Role == Primary {
		b.claim(i, max(at, r.Position)) // a primary stands at the present of its report
	} else if at > 0 || r.Position > m.primaryAt {
		b.deny(i, max(at, r.Position))
	}
}

// claim: the member was surely the primary at that moment. Of two that claim, the newer claim holds.
func (b *Balancer) claim(i int32, at Time) {
	m := &b.members[i]
	g := &b.groups[m.group]
	if at <= max(m.replicaAt, m.doubted) {
		return
	}
	m.proven, m.primaryAt = m.proven || at > m.replicaAt+2*second, max(m.primaryAt, at)
	if g.primary != i && (g.primary < 0 || b.members[g.primary].primaryAt < at) {
		g.primary = i
		b.front.Log(fmt.Sprintf("primary of group %d is store %d", m.group, m.store))
	}
}

func (b *Balancer) deny(i int32, at Time) {
	m := &b.members[i]
	m.replicaAt = max(m.replicaAt, at)
	if g := &b.groups[m.group]; g.primary == i {
		g.primary = -1
		b.front.Log(fmt.Sprintf("primary of group %d lost: store %d is a replica", m.group, m.store))
	}
}

func (b *Balancer) primary(g *group) int32 {
	if g.primary < 0 || !b.usable(&b.members[g.primary]) {
		return -1
	}
	return g.primary
}

// PeerPosition takes in what another front says that a member has. The answer to a read sent for it has to prove it.
func (b *Balancer) PeerPosition(now Time, store uint32, position Time) {
	b.now = now
	if i, ok := b.memberOf[store]; ok && position <= now {
		b.members[i].told = max(b.members[i].told, position)
		b.release(b.members[i].group)
	}
}
