package balance

import (
	"cmp"
	"slices"
)

// The member list from service discovery: which stores there are, and which may be given new work.

// UpdateMembers takes in a list of members, or the failure of a call for it (ListFailed). It may change the
// entries of list.
func (b *Balancer) UpdateMembers(now Time, kind ListKind, list []Member) {
	b.now = now
	if kind == ListFailed {
		// A drain reported meanwhile binds within its grace period, so the first call after a failure follows
		// almost at once. Fronts that failed together must not call again together, so each further wait is
		// much longer, and random. Even so a front has to act on what discovery has by discoveryDeadline, and
		// hence the longest wait is half of that. A call of the front's own agent costs nothing.
		wait := min(b.listInterval/256<<(2*b.listFailures), discoveryDeadline/3, b.agentInterval)
		b.listFailures, b.nextListAt = min(b.listFailures+1, 3), now+wait/2+b.randomBelow(wait)
		return
	}
	if kind != ListCached {
		b.listFailures, b.nextListAt = 0, never
	}
	for i := range list {
		// A list that is older than an earlier one lacks the drains reported since, and would open the store
		// again.
		entry := &list[i]
		if k, ok := b.memberOf[entry.Store]; ok && kind == ListStale && !b.members[k].accepting &&
			entry.Started <= b.members[k].listedStart {
			entry.Condition = Draining
		}
	}
	if kind != ListChanges {
		for i := range b.members {
			b.members[i].accepting = b.members[i].accepting && b.onlyDrainingBinds
			b.members[i].goneAt = min(b.members[i].goneAt, b.now)
		}
	}
	for i := range list {
		b.applyEntry(&list[i])
	}
}

// SetZoneShare sets the share of ordinary work that the fleet's plan lets go to a zone, 1 for all. The plan
// is advisory and only narrows: requests that only a primary can take still go there, and so does all work
// of a group that has no replica elsewhere.
func (b *Balancer) SetZoneShare(now Time, zone string, share float64) {
	b.now = now
	if b.zoneShares[zone] = share; share >= 1 {
		delete(b.zoneShares, zone)
	}
	for i := range b.members {
		if member := &b.members[i]; member.zone == zone {
			member.zoneShare = share
		}
	}
}

// divertibleSize returns the total size of the group's replicas if at least one is in a zone that the plan
// does not narrow, else 0.
func (b *Balancer) divertibleSize(group *groupState) (total float64) {
	if len(b.zoneShares) == 0 {
		return 0
	}
	unrestricted := false
	for _, i := range group.members {
		if member := &b.members[i]; member.accepting && (i != group.primary || !member.roleConfirmed) {
			total, unrestricted = total+member.size, unrestricted || member.zoneShare == 1 && !member.suspect
		}
	}
	if !unrestricted {
		return 0
	}
	return total
}

// groupIndex returns the index of the group with the given ID, and adds the group if it is new.
func (b *Balancer) groupIndex(id uint64) int32 {
	index, ok := b.groupOf[id]
	if !ok {
		index = int32(len(b.groups))
		b.groupOf[id] = index
		b.groups = append(b.groups, groupState{primary: -1})
	}
	return index
}

// memberSlot returns the index of a free slot for a new member: that of a member that has been gone and
// silent for the warm-up time and has no attempt in flight, or one at the end. Without the reuse, tables
// would fill up where stores are replaced for good, and each entry would leave fewer probes for the others.
func (b *Balancer) memberSlot() int32 {
	for k := range b.members {
		member, i := &b.members[k], int32(k)
		if b.now-max(member.goneAt, member.positionSeenAt, member.servedSentAt) < b.warmupTime ||
			slices.ContainsFunc(b.requests, func(req request) bool { return req.inFlight && req.member == i }) {
			continue
		}
		group := &b.groups[member.group]
		group.members = slices.DeleteFunc(group.members, func(k int32) bool { return k == i })
		if group.primary == i {
			group.primary = -1
		}
		delete(b.memberOf, member.store)
		b.front.Forget(member.store)
		return i
	}
	b.members = append(b.members, memberState{})
	return int32(len(b.members) - 1)
}

// applyEntry takes in one line of the list.
func (b *Balancer) applyEntry(entry *Member) {
	i, known := b.memberOf[entry.Store]
	if !known {
		g := b.groupIndex(entry.Group)
		i = b.memberSlot()
		b.memberOf[entry.Store] = i
		b.members[i] = memberState{store: entry.Store, group: g, limit: min(8, 8*b.minLimit),
			replyMean: float64(b.tickInterval), replyDeviation: float64(b.tickInterval),
			probedAt: b.now - b.randomBelow(b.warmupTime), crossZone: b.crossZonePriced && entry.Zone != b.zone,
			size: 1, roleConfirmed: true, zone: entry.Zone, zoneShare: 1}
		if share, ok := b.zoneShares[entry.Zone]; ok {
			b.members[i].zoneShare = share
		}
		b.groups[g].members = append(b.groups[g].members, i)
	}
	member := &b.members[i]
	if member.goneAt = never; entry.Condition == Gone {
		member.goneAt = b.now
	}
	member.accepting = entry.Condition == Ready ||
		entry.Condition == Gone && b.onlyDrainingBinds && (member.accepting || !known)
	member.size = cmp.Or(max(entry.Size, 0), member.size)
	if member.listedStart = max(member.listedStart, entry.Started); entry.Started > member.startedAt &&
		b.now-entry.Started < b.warmupTime {
		member.startedAt, member.restartSeenAt = entry.Started, b.now
	}
	// The list is the weakest evidence: it names a primary only where nothing better is known.
	if group := &b.groups[member.group]; entry.Primary && member.accepting && group.primary < 0 &&
		member.replicaAt == 0 {
		group.primary = i
	}
}
