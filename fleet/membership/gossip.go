package membership

// Figures of gossip.
const (
	retransmitFactor = 4  // times that a fact is sent for each decimal digit of the fleet's size, and once more
	gossipFanout     = 3  // members that a round goes to
	roundsPerPeriod  = 10 // rounds of gossip in a protocol period
	bulkFactCount    = 32 // facts of other members in the queue past which each is sent fewer times
	bulkSends        = 4  // times that it is sent then
)

// maxSends returns how many times a fact is sent.
func (m *Members) maxSends() int { return retransmitFactor*m.fleetDigits() + 1 }

// factSends returns how many times a member's fact is sent. Where many have changed at once it is sent fewer times: of
// random messages that go to each member four times on average one in fifty misses it, and full exchanges tell it those.
func (m *Members) factSends() int {
	if m.factQueue.length > bulkFactCount {
		return bulkSends
	}
	return m.maxSends()
}

// spreadMember queues a member's fact, to be sent its full number of times: this front's own is urgent, and another's
// goes before those that have been sent already.
func (m *Members) spreadMember(index int32) {
	e := &m.members[index]
	e.timesSent = 0
	if e.queued {
		return
	}
	e.queued = true
	if index == selfIndex {
		m.urgentQueue.pushFront(index)
	} else {
		m.factQueue.pushFront(index)
	}
}

// spreadNote queues a note: an urgent one for its full number of times, another one for half of that.
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

// fillMessage fills the scratch message with what is queued, as far as a datagram and the budgets have room: what is urgent
// first, then notes, then facts. A suspect that it goes to is told of its suspicion in any case, so that it may refute
// it.
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

// fillFromQueue moves the subjects of a queue into the scratch message, each once, as far as the room and the budget reach, and
// returns the bytes that they take. A subject that is to be sent again goes to the queue's end.
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

// addFact adds a member's fact to the scratch message if it fits, and returns its size and whether it is to
// be sent again. A member that has been forgotten takes no room and leaves the queue.
func (m *Members) addFact(index int32, room int) (size int, fits, again bool) {
	e := &m.members[index]
	if !e.used {
		e.queued = false
		return 0, true, false
	}
	fact := m.factOf(index)
	size = fact.size()
	if size > room {
		return size, false, true
	}
	m.messageFacts = append(m.messageFacts, fact)
	e.timesSent++
	e.queued = e.timesSent < m.factSends()
	return size, true, e.queued
}

// addNote does the same for a note. One that is too old or no longer to be spread leaves the queue.
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

// send sends a datagram with as much of the queue as it has room for. `to` is the index of the member that it
// goes to, or noMember, and name is the member that it is meant for.
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
	e := &m.members[index]
	m.send(e.addr, kind, sequence, index, e.name)
}

// gossip plays one round: what is queued goes to random members of random zones, and last to any member.
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

// pickUnverified draws any member, verified or not, and returns the given one if the drawn one cannot be
// told.
//
// Danger: a front that is new to most of its fleet has answered few of them, and would be told last of all.
func (m *Members) pickUnverified(fallback int32) int32 {
	if len(m.members) <= 1 {
		return fallback
	}
	drawn := int32(1 + m.random.Below(int64(len(m.members)-1)))
	e := &m.members[drawn]
	if e.used && e.state <= Suspect {
		return drawn
	}
	return fallback
}
