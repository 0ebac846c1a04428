package balance

import (
	"cmp"
	"slices"
)

// Discovery's list: which stores there are, and which may be given new work.

func (b *Balancer) UpdateMembers(now Time, news ListKind, list []Member) {
	b.now = now
	if news == ListFailed {
		// Danger: a drain told meanwhile binds within its grace, so the first call follows almost at once. But
		// fronts that failed together must not call again together: far longer waits each time, and spread.
		// And what it has counts as told by then all the same, so half of that is the longest wait.
		wait := min(b.askWithin/256<<(2*b.watchMiss), toldBy/3, b.askPace) // an own agent is asked for nothing
		b.watchMiss, b.watchAt = min(b.watchMiss+1, 3), now+wait/2+b.chance(wait)
		return
	}
	if news != ListCached {
		b.watchMiss, b.watchAt = 0, never
	}
	for i := range list {
		// Danger: a list older than one before knows nothing of a drain told since, and would open the store again.
		e := &list[i]
		if k, ok := b.memberOf[e.Store]; ok && news == ListStale && !b.members[k].open &&
			e.Started <= b.members[k].listed {
			e.Condition = Draining
		}
	}
	if news != ListChanges {
		for i := range b.members {
			b.members[i].open = b.members[i].open && b.onlyDrains
			b.members[i].gone = min(b.members[i].gone, b.now)
		}
	}
	for i := range list {
		b.entry(&list[i])
	}
}

// SetZoneShare takes the fleet's plan for a zone: the part of ordinary work that may go there, 1 for all. It is
// advice and only narrows: what a primary alone can do still goes there, and all of a group that has no
// replica elsewhere.
func (b *Balancer) SetZoneShare(now Time, zone string, part float64) {
	b.now = now
	if b.parts[zone] = part; part >= 1 {
		delete(b.parts, zone)
	}
	for i := range b.members {
		if m := &b.members[i]; m.zone == zone {
			m.part = part
		}
	}
}

// elsewhere gives the size of a group's replicas if one is in a zone that the plan leaves whole, else 0.
func (b *Balancer) elsewhere(g *group) (sizes float64) {
	if len(b.parts) == 0 {
		return 0
	}
	whole := false
	for _, i := range g.members {
		if m := &b.members[i]; m.open && (i != g.primary || !m.proven) {
			sizes, whole = sizes+m.size, whole || m.part == 1 && !m.suspect
		}
	}
	if !whole {
		return 0
	}
	return sizes
}

func (b *Balancer) groupAt(id uint64) int32 {
	g, ok := b.groupOf[id]
	if !ok {
		g = int32(len(b.groups))
		b.groupOf[id] = g
		b.groups = append(b.groups, group{primary: -1})
	}
	return g
}

// slot gives a new member its place: that of one gone and unheard for a cold time, nothing out, or another.
// Danger: where stores are replaced for good, tables would fill with them and each would thin out the probes.
func (b *Balancer) slot() int32 {
	for k := range b.members {
		m, i := &b.members[k], int32(k)
		if b.now-max(m.gone, m.heard, m.answered) < b.cold ||
			slices.ContainsFunc(b.requests, func(j request) bool { return j.out && j.member == i }) {
			continue
		}
		g := &b.groups[m.group]
		g.members = slices.DeleteFunc(g.members, func(k int32) bool { return k == i })
		if g.primary == i {
			g.primary = -1
		}
		delete(b.memberOf, m.store)
		b.front.Forget(m.store)
		return i
	}
	b.members = append(b.members, member{})
	return int32(len(b.members) - 1)
}

func (b *Balancer) entry(e *Member) {
	i, known := b.memberOf[e.Store]
	if !known {
		g := b.groupAt(e.Group)
		i = b.slot()
		b.memberOf[e.Store] = i
		b.members[i] = member{store: e.Store, group: g, limit: min(8, 8*b.least), reply: float64(b.beat),
			vary: float64(b.beat), probed: b.now - b.chance(b.cold), far: b.priced && e.Zone != b.zone,
			size: 1, proven: true, zone: e.Zone, part: 1}
		if part, ok := b.parts[e.Zone]; ok {
			b.members[i].part = part
		}
		b.groups[g].members = append(b.groups[g].members, i)
	}
	m := &b.members[i]
	if m.gone = never; e.Condition == Gone {
		m.gone = b.now
	}
	m.open = e.Condition == Ready || e.Condition == Gone && b.onlyDrains && (m.open || !known)
	m.size = cmp.Or(max(e.Size, 0), m.size)
	if m.listed = max(m.listed, e.Started); e.Started > m.started && b.now-e.Started < b.cold {
		m.started = e.Started
	}
	// The list is the weakest witness: it names a primary only where nothing better is known.
	if g := &b.groups[m.group]; e.Primary && m.open && g.primary < 0 && m.replicaAt == 0 {
		g.primary = i
	}
}
