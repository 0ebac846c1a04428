package balance

import "fmt"

// Which member of a group is its primary, by what the members report of themselves.

// recordReport takes in what a member reports of itself, and when the report was made; the zero interval is
// an unknown time in the past. A report may arrive late. So the member counts as the primary from the
// earliest time at which it can have claimed to be, and as a replica until the latest at which it can have
// denied it.
func (b *Balancer) recordReport(i int32, r Report, made interval) {
	member, timeKnown := &b.members[i], made != interval{}
	if r.Role == RoleUnknown || r.Position < member.position && !timeKnown ||
		r.Position > b.now+2*b.tickInterval {
		return // no role, older than what is known, or from the future
	}
	member.position, member.positionSeenAt = max(member.position, r.Position), b.now
	if r.Role == Primary {
		b.recordPrimary(i, max(made.from, r.Position)) // a primary's position is the time of its report
	} else if timeKnown || r.Position > member.primaryAt {
		b.recordReplica(i, max(made.to, r.Position))
	}
}

// RecordReport takes in what a member has reported of itself, other than in the answer to a request or a
// probe. It was asked for the report at the time asked.
func (b *Balancer) RecordReport(now Time, store uint32, r Report, asked Time) {
	b.now = now
	if i, ok := b.memberOf[store]; ok {
		b.members[i].roleConfirmed = b.members[i].roleConfirmed && r.Role != Replica
		b.recordReport(i, r, interval{asked, now})
	}
}

// recordPrimary records that the member was certainly the primary at that time. If two members claim the
// role, the newer claim holds.
func (b *Balancer) recordPrimary(i int32, at Time) {
	member := &b.members[i]
	group := &b.groups[member.group]
	if at <= max(member.replicaAt, member.ignoreClaimsUntil) {
		return
	}
	member.roleConfirmed, member.primaryAt =
		member.roleConfirmed || at > member.replicaAt+2*second, max(member.primaryAt, at)
	if group.primary != i && (group.primary < 0 || b.members[group.primary].primaryAt < at) {
		group.primary = i
		b.front.Log(fmt.Sprintf("primary of group %d is store %d", member.group, member.store))
	}
}

// recordReplica records that the member was certainly not the primary at that time.
func (b *Balancer) recordReplica(i int32, at Time) {
	member := &b.members[i]
	member.replicaAt = max(member.replicaAt, at)
	if group := &b.groups[member.group]; group.primary == i {
		group.primary = -1
		b.front.Log(fmt.Sprintf("primary of group %d lost: store %d is a replica", member.group, member.store))
	}
}

// primary returns the index of the group's primary, or -1 if it is unknown or not usable.
func (b *Balancer) primary(group *groupState) int32 {
	if group.primary < 0 || !b.usable(&b.members[group.primary]) {
		return -1
	}
	return group.primary
}

// PeerPosition takes in the position of a store as another front reports it. The answer to a read that is
// sent there because of it has to prove the position.
func (b *Balancer) PeerPosition(now Time, store uint32, position Time) {
	b.now = now
	if i, ok := b.memberOf[store]; ok && position <= now {
		b.members[i].peerPosition = max(b.members[i].peerPosition, position)
		b.dispatchWaiting(b.members[i].group)
	}
}
