package membership

import "slices"

// maxZones bounds the zones of a view.
const maxZones = 64

// member is one place of the table.
type member struct {
	name, zone, addr string
	incarnation      uint64
	state            State
	stateSince       Time
	suspectUntil     Time   // when its suspicion times out
	suspectedBy      string // the last member counted for its suspicion
	confirmations    int    // further members that suspect it, up to maxConfirmations
	lastDirectAt     Time   // last message of its own; 0: none
	verified         bool   // it has answered a ping, so it is where it says
	firstPings       int    // sent to it while it is not verified
	firstPingAt      Time   // of the last one
	timesSent        int    // times that its newest fact has been sent
	queued           bool
	contested        bool // it is in Members.contested
	used             bool
}

// zone is the ring of the members of one zone, in the order in which they are probed.
type zone struct {
	name        string
	ring        []int32
	cursor      int  // position in the ring that was probed last
	lastHeardAt Time // last message of one of its members; 0: never
}

// zoneIndex returns a zone's index and adds the zone if need be. Past maxZones it reuses a zone without
// members; if there is none, the last zone is shared.
func (m *Members) zoneIndex(name string) int {
	if index, known := m.zoneByName[name]; known {
		return index
	}
	if len(m.zones) < maxZones {
		m.zones = append(m.zones, zone{name: name})
		m.zoneByName[name] = len(m.zones) - 1
		return len(m.zones) - 1
	}
	for index := 1; index < maxZones; index++ {
		if len(m.zones[index].ring) > 0 {
			continue
		}
		delete(m.zoneByName, m.zones[index].name)
		m.zones[index] = zone{name: name}
		m.zoneByName[name] = index
		return index
	}
	return maxZones - 1
}

// addToRing puts a member into its zone's ring at a random position: fronts must not all probe in one order.
func (m *Members) addToRing(zoneName string, index int32) {
	z := &m.zones[m.zoneIndex(zoneName)]
	z.ring = append(z.ring, index)
	last := len(z.ring) - 1
	position := int(m.random.Below(int64(len(z.ring))))
	z.ring[position], z.ring[last] = z.ring[last], z.ring[position]
}

func (m *Members) removeFromRing(zoneName string, index int32) {
	z := &m.zones[m.zoneIndex(zoneName)]
	z.ring = slices.DeleteFunc(z.ring, func(other int32) bool { return other == index })
}

// moveMember takes over a member's new zone and address.
func (m *Members) moveMember(index int32, fact *Fact) {
	e := &m.members[index]
	if e.zone != string(fact.Zone) {
		m.removeFromRing(e.zone, index)
		e.zone = string(fact.Zone)
		m.addToRing(e.zone, index)
	}
	e.addr = string(fact.Addr)
	e.verified = false
	e.firstPings = 0
}

// allocateMember returns the index of a place for a new member: a free one, else that of the member that has
// been dead longest, else noMember.
func (m *Members) allocateMember() int32 {
	if len(m.freeMembers) == 0 && len(m.members) < m.config.MaxMembers {
		m.members = append(m.members, member{})
		return int32(len(m.members) - 1)
	}
	if len(m.freeMembers) == 0 {
		oldest := m.longestDead()
		if oldest == noMember {
			return noMember
		}
		m.removeMember(oldest)
	}
	index := m.freeMembers[len(m.freeMembers)-1]
	m.freeMembers = m.freeMembers[:len(m.freeMembers)-1]
	return index
}

// longestDead returns the index of the member that has been dead or gone longest, or noMember.
func (m *Members) longestDead() int32 {
	oldest := noMember
	for index := 1; index < len(m.members); index++ {
		e := &m.members[index]
		if e.state >= Dead && (oldest == noMember || e.stateSince < m.members[oldest].stateSince) {
			oldest = int32(index)
		}
	}
	return oldest
}

// removeMember frees a member's place, and is the only function that does.
func (m *Members) removeMember(index int32) {
	e := &m.members[index]
	m.removeFromRing(e.zone, index)
	delete(m.byName, e.name)
	if m.probe.target == index {
		m.probe.target = noMember
	}
	for k := range m.firstPings {
		if m.firstPings[k].target == index {
			m.firstPings[k].target = selfIndex
		}
	}
	*e = member{queued: e.queued}
	m.freeMembers = append(m.freeMembers, index)
}

// pickMember returns a random member of a zone that is not known to be dead, other than `except`: a verified
// one if there is any, and of the zones that follow where this one has none. It returns noMember if there is
// none at all.
func (m *Members) pickMember(zoneIndex int, except int32) int32 {
	if index := m.pickByVerified(zoneIndex, except, true); index >= 0 {
		return index
	}
	return m.pickByVerified(zoneIndex, except, false)
}

func (m *Members) pickByVerified(zoneIndex int, except int32, verified bool) int32 {
	for offset := range m.zones {
		ring := m.zones[(zoneIndex+offset)%len(m.zones)].ring
		if len(ring) == 0 {
			continue
		}
		start := int(m.random.Below(int64(len(ring))))
		for k := range ring {
			index := ring[(start+k)%len(ring)]
			e := &m.members[index]
			if index != except && e.state <= Suspect && e.verified == verified {
				return index
			}
		}
	}
	return noMember
}

// pickAnyZone returns a random member of a random zone, as pickMember does.
func (m *Members) pickAnyZone() int32 {
	return m.pickMember(int(m.random.Below(int64(len(m.zones)))), selfIndex)
}
