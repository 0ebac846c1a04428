package membership

// Receive takes in a received message. It returns whether the sender expects a full exchange in answer:
// Open(Answer) gives that message. Messages that are malformed, out of bounds, meant for another member or of
// an earlier life of their sender are counted in Dropped.
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

// acceptable reports whether a message keeps to the bounds and is meant for this front; one that names
// another member was meant for a front that had this address before.
func (m *Members) acceptable(in *Message) bool {
	if !in.Sender.valid() || len(in.Facts) > MaxFacts || len(in.Notes) > MaxNotes {
		return false
	}
	return len(in.To) == 0 || string(in.To) == m.config.Name
}

// correctStaleSender answers a message of an earlier life of a member, or of a life whose clock was set back.
// If it was a ping the sender is told what is held of it.
func (m *Members) correctStaleSender(from int32, in *Message) {
	m.Dropped++
	if in.Kind != Ping {
		return
	}
	m.messageFacts = append(m.messageFacts[:0], m.factOf(from))
	m.message = Message{Kind: Gossip, Sender: m.factOf(selfIndex), To: in.Sender.Name, Facts: m.messageFacts}
	m.host.Send(string(in.Sender.Addr), &m.message)
}

// recordDirectMessage records that a member has sent a message itself. If it is suspected and does not know so,
// the suspicion is queued again: the member reads it in the answer, and refutes it for all.
func (m *Members) recordDirectMessage(from int32, sender *Fact) {
	e := &m.members[from]
	e.lastDirectAt = m.now
	m.lastHeardAt = m.now
	m.zones[m.zoneIndex(e.zone)].lastHeardAt = m.now
	if sender.State == Alive && e.state == Suspect && sender.Incarnation == e.incarnation {
		m.spreadMember(from)
	}
}

// applyContents takes in the facts and notes of a message.
//
// Danger: two halves of a cut fleet would declare each other's members dead when they meet. In a full
// exchange a dead member counts as suspected by the sender, so that it may refute that.
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

// dispatch acts on the kind of a message, and returns whether a full exchange is expected in answer.
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
