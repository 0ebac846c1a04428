package membership

// Constants for probes.
const (
	probeHelpers = 3 // members asked to ping a target on this front's behalf
	maxHealth    = 8 // limit of the local health multiplier, at which a period takes nine times as long
)

// Fractions of the period, as lengthened by local health: after the first one helpers are asked, after the
// second the probe has failed.
const (
	indirectNumerator, indirectDenominator = 2, 5
	failureNumerator, failureDenominator   = 9, 10
)

// probe is the probe of the current period. There is only one at a time.
type probe struct {
	target       int32 // noMember if no probe is in progress
	sequence     uint64
	sentAt       Time
	indirect     bool // helpers have been asked
	missingNacks int  // helpers asked that have not sent a Nack
}

// periodNow returns the protocol period as lengthened by local health.
func (m *Members) periodNow() Time { return m.config.Period * Time(1+m.health) }

// raiseHealth raises the local health multiplier, which means worse health.
func (m *Members) raiseHealth(by int) { m.health = min(m.health+by, maxHealth) }

// startProbe pings the next member of the next zone. Each zone is probed once in as many periods as there are
// zones.
func (m *Members) startProbe() {
	if m.probe.target >= 0 {
		return
	}
	for range m.zones {
		m.nextZone = (m.nextZone + 1) % len(m.zones)
		target := m.nextInRing(&m.zones[m.nextZone])
		if target == noMember {
			continue
		}
		m.sequence++
		m.probe = probe{target: target, sequence: m.sequence, sentAt: m.now}
		m.sendTo(target, Ping, m.sequence)
		return
	}
}

// nextInRing advances a zone's cursor to the next verified member that is not known to be dead, or returns
// noMember.
func (m *Members) nextInRing(z *zone) int32 {
	for range z.ring {
		z.cursor++
		if z.cursor >= len(z.ring) {
			z.cursor = 0
			m.shuffle(z.ring)
		}
		index := z.ring[z.cursor]
		entry := &m.members[index]
		if entry.verified && entry.state <= Suspect {
			return index
		}
	}
	return noMember
}

// shuffle puts a ring into a random order (Fisher–Yates), since SWIM probes in a new order in each round.
func (m *Members) shuffle(ring []int32) {
	for last := len(ring) - 1; last > 0; last-- {
		other := m.random.Below(int64(last + 1))
		ring[last], ring[other] = ring[other], ring[last]
	}
}

// checkProbe asks helpers if the target is late, and ends the probe once it has failed.
func (m *Members) checkProbe() {
	if m.probe.target < 0 {
		return
	}
	waited, period := m.now-m.probe.sentAt, m.periodNow()
	switch {
	case !m.probe.indirect && waited >= period*indirectNumerator/indirectDenominator:
		m.probe.indirect = true
		m.probe.missingNacks = m.askHelpers(m.probe.target, m.probe.sequence)
	case waited >= period*failureNumerator/failureDenominator:
		m.failProbe()
	}
}

// failProbe suspects the target of a probe that has not been answered. If helpers did not even send a Nack,
// the problem may be at this front, so its local health gets worse.
func (m *Members) failProbe() {
	target := m.probe.target
	entry := &m.members[target]
	if entry.verified && (m.probe.missingNacks > 0 || m.Isolated()) {
		m.raiseHealth(1)
	}
	if entry.state == Alive {
		m.suspect(target)
	}
	m.probe.target = noMember
}

// askHelpers asks members of different zones to ping a target, and returns how many it has asked.
func (m *Members) askHelpers(target int32, sequence uint64) (asked int) {
	entry := &m.members[target]
	for k := range probeHelpers {
		helper := m.pickMember((m.nextZone+k)%len(m.zones), target)
		if helper == noMember {
			continue
		}
		asked++
		m.message.Target = bytesOf(entry.name)
		m.message.TargetAddr = bytesOf(entry.addr)
		m.sendTo(helper, PingRequest, sequence)
	}
	return asked
}

// receiveAck handles an Ack for a first ping, for the probe, or for a ping on another front's behalf.
func (m *Members) receiveAck(from int32, sequence uint64) {
	m.finishFirstPing(sequence)
	if m.probe.target == from && m.probe.sequence == sequence {
		m.members[from].verified = true
		m.probe.target = noMember
		if !m.probe.indirect {
			m.health = max(m.health-1, 0)
		}
		return
	}
	m.finishRelay(sequence)
	if m.probe.target >= 0 && m.probe.indirect && m.probe.sequence == sequence {
		m.probe.target = noMember // sent by a helper, which the target has answered
	}
}

// receiveNack handles a Nack, which shows that a helper is healthy.
func (m *Members) receiveNack(sequence uint64) {
	if m.probe.target >= 0 && sequence == m.probe.sequence && m.probe.missingNacks > 0 {
		m.probe.missingNacks--
	}
}
