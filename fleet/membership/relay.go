package membership

// maxRelays is the maximum number of unanswered pings on behalf of others.
const maxRelays = 16

// nackDivisor is the divisor of the protocol period that gives the time after which a helper sends a Nack.
const nackDivisor = 4

// relay is a ping on behalf of another front.
type relay struct {
	sequence          uint64 // sequence number of this front's ping
	requesterSequence uint64 // sequence number that the requester waits for
	requesterAddr     string // empty if the entry is free
	requesterName     string
	sentAt            Time
	nackSent          bool
}

// startRelay pings the target of a PingRequest. It pings only members of its table, at the address in the
// table: a front that pings any address that it is given could be used to flood others.
func (m *Members) startRelay(from int32, request *Message) {
	addrLength := len(request.TargetAddr)
	if addrLength == 0 || addrLength > MaxAddrBytes || len(request.Target) > MaxNameBytes {
		m.Dropped++
		return
	}
	target, known := m.byName[string(request.Target)]
	if !known || target == selfIndex {
		m.Dropped++
		return
	}
	m.sequence++
	m.relays[m.sequence%maxRelays] = relay{
		sequence:          m.sequence,
		requesterSequence: request.Seq,
		requesterAddr:     m.members[from].addr,
		requesterName:     m.members[from].name,
		sentAt:            m.now,
	}
	m.sendTo(target, Ping, m.sequence)
}

// finishRelay forwards an Ack to the front that requested the ping.
func (m *Members) finishRelay(sequence uint64) {
	r := &m.relays[sequence%maxRelays]
	if r.sequence != sequence || r.requesterAddr == "" {
		return
	}
	m.send(r.requesterAddr, Ack, r.requesterSequence, noMember, r.requesterName)
	*r = relay{}
}

// sendNacks tells requesters whose target has not answered in time that this front itself is healthy.
func (m *Members) sendNacks() {
	for k := range m.relays {
		r := &m.relays[k]
		if r.requesterAddr == "" || r.nackSent || m.now-r.sentAt < m.config.Period/nackDivisor {
			continue
		}
		r.nackSent = true
		m.send(r.requesterAddr, Nack, r.requesterSequence, noMember, r.requesterName)
	}
}
