package membership

// Constants for gossip.
const (
	retransmitFactor = 4  // times that a fact is sent per decimal digit of the fleet's size; one more is added
	gossipFanout     = 3  // members that a round is sent to
	roundsPerPeriod  = 10 // rounds of gossip in a protocol period
	bulkFactCount    = 32 // queued facts about other members above which each is sent fewer times
	bulkSends        = 4  // times that it is sent then
)

// maxSends returns how many times a fact is sent.
func (m *Members) maxSends() int { return retransmitFactor*m.fleetDigits() + 1 }

// factSends returns how many times a member's fact is sent. If many members have changed at once, each fact
// is sent fewer times: with random messages that reach each member four times on average, one member in fifty
// misses a fact and learns of it from a full sync.
func (m *Members) factSends() int {
	if m.factQueue.length > bulkFactCount {
		return bulkSends
	}
	return m.maxSends()
}

// spreadMember queues a member's fact to be sent the full number of times. This front's own fact is urgent; a
// fact about another member is queued before those that have been sent already.
func (m *Members) spreadMember(index int32) {
	entry := &m.members[index]
	entry.timesSent = 0
	if entry.queued {
		return
	}
	entry.queued = true
	if index == selfIndex {
		m.urgentQueue.pushFront(index)
	} else {
		m.factQueue.pushFront(index)
	}
}

// spreadNote queues a note: an urgent one to be sent the full number of times, another one half as often.
func (m *Members) spreadNote(index int32, spread Spread) {
	n := &m.notes[index]
	n.timesSent = 0
	n.maxSends = m.maxSends()
	if spread != SpreadUrgently {
		n.maxSends = (n.maxSends + 1) / 2
	}
	if n.queued {
		return
	}
	n.queued = true
	switch spread {
	case SpreadUrgently:
		m.urgentQueue.pushFront(subjectOfNote(index))
	case SpreadSoon:
		m.soonQueue.pushFront(subjectOfNote(index))
	default:
		m.quietQueue.pushBack(subjectOfNote(index))
	}
}

// fillMessage fills the reused message with queued facts and notes, up to the limits of a datagram and of the
// budgets: urgent ones first, then notes, then facts. If the receiver is suspected, the message always tells
// it so, to let it refute the suspicion.
func (m *Members) fillMessage(to int32) {
	m.messageFacts = m.messageFacts[:0]
	m.messageNotes = m.messageNotes[:0]
	room := datagramBytes
	if to > selfIndex && m.members[to].state == Suspect {
		fact := m.factOf(to)
		m.messageFacts = append(m.messageFacts, fact)
		room -= fact.size()
	}
	room -= m.fillFromQueue(&m.urgentQueue, &m.urgentBudget, room)
	room -= m.fillFromQueue(&m.soonQueue, &m.soonBudget, room)
	room -= m.fillFromQueue(&m.quietQueue, &m.quietBudget, room)
	m.fillFromQueue(&m.factQueue, &m.factBudget, room)
	m.message.Facts = m.messageFacts
	m.message.Notes = m.messageNotes
}

// fillFromQueue moves queued subjects into the reused message, each at most once, up to the given room and
// the budget, and returns the bytes used. A subject that is to be sent again is put at the end of the queue.
func (m *Members) fillFromQueue(queue *broadcastQueue, budget *tokenBucket, room int) (used int) {
	room = min(room, budget.room(m.now))
	for subjects := queue.length; subjects > 0; subjects-- {
		next := queue.pop()
		size, fits, again := 0, false, false
		if next >= 0 {
			size, fits, again = m.addFact(next, room-used)
		} else {
			size, fits, again = m.addNote(subjectOfNote(next), room-used)
		}
		if !fits {
			queue.pushFront(next)
			break
		}
		used += size
		if again {
			queue.pushBack(next)
		}
	}
	budget.spend(used)
	return used
}

// addFact adds a member's fact to the reused message if it fits. It returns the fact's size and whether it is
// to be sent again. A member that has been removed takes no room and leaves the queue.
func (m *Members) addFact(index int32, room int) (size int, fits, again bool) {
	entry := &m.members[index]
	if !entry.used {
		entry.queued = false
		return 0, true, false
	}
	fact := m.factOf(index)
	size = fact.size()
	if size > room {
		return size, false, true
	}
	m.messageFacts = append(m.messageFacts, fact)
	entry.timesSent++
	entry.queued = entry.timesSent < m.factSends()
	return size, true, entry.queued
}

// addNote does the same for a note. A note that has expired or is no longer spread leaves the queue.
func (m *Members) addNote(index int32, room int) (size int, fits, again bool) {
	n := &m.notes[index]
	if !n.used || n.maxSends == 0 || m.noteExpired(n) {
		n.queued = false
		return 0, true, false
	}
	message := m.noteMessage(n)
	size = message.size()
	if size > room {
		return size, false, true
	}
	m.messageNotes = append(m.messageNotes, message)
	n.timesSent++
	n.queued = n.timesSent < n.maxSends
	return size, true, n.queued
}

// send sends a datagram with as much from the queues as fits. The parameter to is the index of the receiving
// member, or noMember, and name is the name of the intended receiver.
func (m *Members) send(addr string, kind Kind, sequence uint64, to int32, name string) {
	if m.replaced || addr == "" {
		return
	}
	m.fillMessage(to)
	m.message.Digest = nil
	m.message.Kind = kind
	m.message.Seq = sequence
	m.message.Sender = m.factOf(selfIndex)
	m.message.To = bytesOf(name)
	m.host.Send(addr, &m.message)
	m.message.Target = nil
	m.message.TargetAddr = nil
}

// sendTo sends a datagram to a member of the table.
func (m *Members) sendTo(index int32, kind Kind, sequence uint64) {
	entry := &m.members[index]
	m.send(entry.addr, kind, sequence, index, entry.name)
}

// gossip sends one round: queued facts and notes go to random members of random zones, and the last message
// of the round to any random member.
func (m *Members) gossip() {
	for k := 0; k < gossipFanout && m.mayGossip(); k++ {
		to := m.pickAnyZone()
		if k == gossipFanout-1 {
			to = m.pickUnverified(to)
		}
		if to > selfIndex {
			m.sendTo(to, Gossip, 0)
		}
	}
}

// pickUnverified picks any random member, verified or not. It returns the fallback if the picked entry is
// free or its member is dead or has left. Without it, a front that is new to most of its fleet, and so is
// verified by few members, would be the last to be told anything.
func (m *Members) pickUnverified(fallback int32) int32 {
	if len(m.members) <= 1 {
		return fallback
	}
	drawn := int32(1 + m.random.Below(int64(len(m.members)-1)))
	entry := &m.members[drawn]
	if entry.used && entry.state <= Suspect {
		return drawn
	}
	return fallback
}
