package membership

// Receive handles a received message. It returns whether the sender expects a SyncResponse, which
// SyncMessage(SyncResponse) returns. Messages that are malformed, exceed a limit, are meant for another
// member or come from an earlier incarnation of their sender are counted in Dropped.
func (m *Members) Receive(now Time, in *Message) (respond bool) {
	m.now = now
	if m.replaced || !m.acceptable(in) {
		m.Dropped++
		return false
	}
	if string(in.Sender.Name) == m.config.Name {
		m.resolveNameConflict(&in.Sender)
		return false
	}
	m.applyFact(&in.Sender)
	from, known := m.byName[string(in.Sender.Name)]
	if !known || from == selfIndex || m.replaced {
		return false
	}
	if in.Sender.Incarnation < m.members[from].incarnation {
		m.correctStaleSender(from, in)
		return in.Kind == SyncRequest
	}
	m.recordDirectMessage(from, &in.Sender)
	m.applyContents(in)
	if m.replaced {
		return false
	}
	return m.dispatch(from, in)
}

// acceptable reports whether a message is within the limits and meant for this front. A message that names
// another member was meant for a front that used this address before.
func (m *Members) acceptable(in *Message) bool {
	if !in.Sender.valid() || len(in.Facts) > MaxFacts || len(in.Notes) > MaxNotes {
		return false
	}
	return len(in.To) == 0 || string(in.To) == m.config.Name
}

// correctStaleSender handles a message of an earlier incarnation of a member, or of a restarted member whose
// clock was set back. If it is a ping, the sender is told the fact that this front holds about it.
func (m *Members) correctStaleSender(from int32, in *Message) {
	m.Dropped++
	if in.Kind != Ping {
		return
	}
	m.messageFacts = append(m.messageFacts[:0], m.factOf(from))
	m.message = Message{Kind: Gossip, Sender: m.factOf(selfIndex), To: in.Sender.Name, Facts: m.messageFacts}
	m.host.Send(string(in.Sender.Addr), &m.message)
}

// recordDirectMessage records that a member has sent a message itself. If the member is suspected and does
// not know it, the suspicion is queued again: the member finds it in the answer and refutes it for all.
func (m *Members) recordDirectMessage(from int32, sender *Fact) {
	entry := &m.members[from]
	entry.lastDirectAt = m.now
	m.lastHeardAt = m.now
	m.zones[m.zoneIndex(entry.zone)].lastHeardAt = m.now
	if sender.State == Alive && entry.state == Suspect && sender.Incarnation == entry.incarnation {
		m.spreadMember(from)
	}
}

// applyContents applies the facts and notes of a message. In a full sync a member that the sender holds for
// dead is only treated as suspected by the sender, so that it may refute that. Without this, the two halves
// of a partitioned fleet would declare each other's members dead when they meet again.
func (m *Members) applyContents(in *Message) {
	m.learned = 0
	for k := range in.Facts {
		fact := &in.Facts[k]
		if fact.State == Dead && in.Kind >= SyncRequest {
			fact.State = Suspect
			fact.By = in.Sender.Name
		}
		m.applyFact(fact)
		if in.Kind == SyncResponse {
			m.compareResponse(fact)
		}
	}
	for k := range in.Notes {
		m.applyNote(&in.Notes[k])
	}
}

// dispatch handles a message according to its kind, and returns whether a SyncResponse is expected.
func (m *Members) dispatch(from int32, in *Message) (respond bool) {
	switch in.Kind {
	case Ping:
		m.sendTo(from, Ack, in.Seq)
	case Ack:
		m.receiveAck(from, in.Seq)
	case PingRequest:
		m.startRelay(from, in)
	case Nack:
		m.receiveNack(in.Seq)
	case SyncRequest:
		m.joined = true
		m.rememberDigest(in)
		return true
	case SyncResponse:
		m.joined = true
		if m.replayDue {
			m.replayDue = false
			m.replayNotes()
		}
		m.catchUp()
		m.compareResponse(&in.Sender)
		m.syncContested(from)
	}
	return false
}
