package membership

import "slices"

// maxZones limits the number of zones in a view.
const maxZones = 64

// member is one entry of the table.
type member struct {
	name, zone, addr string
	incarnation      uint64
	state            State
	stateSince       Time
	suspectUntil     Time   // when its suspicion times out
	suspectedBy      string // the last member counted as suspecting it
	confirmations    int    // other members that suspect it, up to maxConfirmations
	lastDirectAt     Time   // time of the last message that it sent itself, or 0
	verified         bool   // has answered a ping, so its address is correct
	firstPings       int    // pings sent to it while it was not verified
	firstPingAt      Time   // time of the last of them
	timesSent        int    // times that its newest fact has been sent
	queued           bool
	contested        bool // is listed in Members.contested
	used             bool
}

// zone holds the members of one zone in the order in which they are probed.
type zone struct {
	name        string
	ring        []int32
	cursor      int  // position in the ring that was probed last
	lastHeardAt Time // time of the last message of one of its members, or 0
}

// zoneIndex returns a zone's index, or adds the zone if it is unknown. If there are maxZones zones it reuses
// the entry of a zone without members. If there is none, the zone shares the last entry.
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

// addToRing inserts a member into its zone's ring at a random position, so that fronts do not all probe in
// the same order.
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

// moveMember updates a member's zone and address.
func (m *Members) moveMember(index int32, fact *Fact) {
	entry := &m.members[index]
	if entry.zone != string(fact.Zone) {
		m.removeFromRing(entry.zone, index)
		entry.zone = string(fact.Zone)
		m.addToRing(entry.zone, index)
	}
	entry.addr = string(fact.Addr)
	entry.verified = false
	entry.firstPings = 0
}

// allocateMember returns the index of an entry for a new member: a free one, or else that of the member that
// has been dead for the longest time. It returns noMember if there is neither.
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

// longestDead returns the index of the member that has been dead or gone for the longest time, or noMember.
func (m *Members) longestDead() int32 {
	oldest := noMember
	for index := 1; index < len(m.members); index++ {
		entry := &m.members[index]
		if entry.state >= Dead && (oldest == noMember || entry.stateSince < m.members[oldest].stateSince) {
			oldest = int32(index)
		}
	}
	return oldest
}

// removeMember frees a member's entry. No other function frees entries.
func (m *Members) removeMember(index int32) {
	entry := &m.members[index]
	m.removeFromRing(entry.zone, index)
	delete(m.byName, entry.name)
	if m.probe.target == index {
		m.probe.target = noMember
	}
	for k := range m.firstPings {
		if m.firstPings[k].target == index {
			m.firstPings[k].target = selfIndex
		}
	}
	*entry = member{queued: entry.queued}
	m.freeMembers = append(m.freeMembers, index)
}

// pickMember returns a random member, other than except, that is not known to be dead. It prefers verified
// members to others, and members of the given zone to those of the zones that follow it. It returns noMember
// if there is none.
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
			entry := &m.members[index]
			if index != except && entry.state <= Suspect && entry.verified == verified {
				return index
			}
		}
	}
	return noMember
}

// pickAnyZone returns a random member of a random zone, like pickMember.
func (m *Members) pickAnyZone() int32 {
	return m.pickMember(int(m.random.Below(int64(len(m.zones)))), selfIndex)
}
