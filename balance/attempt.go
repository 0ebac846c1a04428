package balance

import "cmp"

// One attempt: how it is sent, and what its result tells of its store, its class and its session.

func (b *Balancer) send(i, mi int32) {
	j, m := &b.requests[i], &b.members[mi]
	p := &b.classes[j.class]
	j.member, j.sentAt, j.sent, j.out, j.lost = mi, b.now, j.sent+1, true, false
	j.next = (*Balancer).proceed
	m.inFlight, m.sentBefore, m.sentLast = m.inFlight+1, m.sentLast, b.now
	m.scouted = m.scouted || p.Need == Write && !m.proven
	if m.started > 0 {
		m.budget -= p.typical
	}
	if p.Need == Write && j.slot >= 0 {
		b.writes[j.slot]++
	}
	if j.least = b.need(j); m.position >= j.least || b.checks || mi == b.groups[j.group].primary && m.proven {
		j.least = 0 // it need not show what it has
	} else {
		j.least = m.told // and not only what it needs now: it may wait for a connection
	}
	b.front.Send(j.id, m.store, j.limit, j.least)
}

// MaySend tells whether an attempt that has had to wait may still set out; if not it comes back, placed anew.
// Danger: meanwhile its store may drain, what is known there be too old, or its window have passed.
func (b *Balancer) MaySend(now Time, id string) bool {
	b.now = now
	i, ok := b.requestOf[id]
	return ok && b.due(&b.requests[i])
}

func (b *Balancer) due(j *request) bool {
	m, p := &b.members[j.member], &b.classes[j.class]
	switch {
	case !m.open || p.Repeat == Keyed && j.ranAt > 0 && b.now >= b.edge(j):
		return false
	case p.Need != Bounded && p.Need != Session || b.checks || j.member == b.groups[j.group].primary && m.proven:
		return true
	}
	return max(m.position, j.least) >= b.need(j)
}

func (b *Balancer) AttemptDone(now Time, id string, n int, store uint32, r Result) {
	b.now = now
	i, ok := b.requestOf[id]
	if !ok || !b.requests[i].out || n != b.requests[i].sent-1 || b.members[b.requests[i].member].store != store {
		return
	}
	j := &b.requests[i]
	gi := j.group
	j.out = false
	if b.classes[j.class].Need == Write && j.slot >= 0 {
		b.writes[j.slot]--
	}
	b.grade(j, r)
	if !r.Ending.NeverRan() {
		j.ranAt = cmp.Or(j.ranAt, j.sentAt)
		if r.Ending != ConnectionLost || float64(now-j.sentAt) > b.classes[j.class].typical/8 {
			j.further++ // it may have cost the store time; what breaks off far sooner has not
		}
	}
	if r.Done {
		j.held, j.ended = false, true
	} else if !j.ended {
		j.next(b, i, r)
	}
	b.recycle(i)
	b.release(gi)
}

func (b *Balancer) recycle(i int32) {
	if j := &b.requests[i]; j.ended && !j.out && j.id != "" {
		delete(b.requestOf, j.id)
		j.id = ""
		b.free = append(b.free, i)
	}
}

func (b *Balancer) grade(j *request, r Result) {
	m, p := &b.members[j.member], &b.classes[j.class]
	if !j.lost {
		m.inFlight--
	}
	m.backAt = b.now
	if r.Ending == Served || !r.Ending.NeverRan() {
		b.RecordWrite(b.now, j.id, r.Note.Position)
	}
	took := b.now - j.sentAt
	// Danger: lost answers look like load, and load like lost answers. A later attempt answered there tells.
	gone := r.Ending == ConnectionLost || r.Ending == Aborted || r.Ending >= TimedOut && j.sentAt < m.answered
	if j.spilled && r.Ending == Served && took < p.ExpectedTime*3/4 {
		b.spill = min(b.spill+1.0/16, 1)
	} else if j.spilled && r.Ending != NotEligible && !gone {
		b.spill = max(b.spill*3/4, 1.0/16)
	}
	j.spilled, j.barred, m.scouted = false, false, m.scouted && p.Need != Write
	if r.Ending <= Overloaded || r.Ending == Failed { // the store itself has answered
		note := r.Note
		if p.Need == Write {
			note.Position -= second / 1000 // a commit is told rounded up, a position must not be
		}
		m.proven = m.proven && note.Role != Replica || p.Need == Write && r.Ending == Served
		b.learn(j.member, note, b.now)
		b.learn(j.member, r.Load, 0)
		b.alive(j.member, r.Since)
	}
	switch {
	case r.Ending == Served:
		m.refusals, m.shut = 0, 0
	case r.Ending == NotEligible && j.least > 0:
		b.wary = b.now + b.cold // Danger: a peer that says too much has reads go there in vain.
	case r.Ending == NotEligible && p.Need == Write:
		// Danger: a draining primary turns writes away as a replica while its other answers still claim the
		// role, so a claim must be newer each time; and until it takes a write, no read relies on it.
		m.doubted = b.shun(m)
	case r.Ending == Overloaded, r.Ending == ConnectFailed, r.Ending == Aborted, r.Ending == Failed,
		r.Ending == ConnectionLost:
		m.shut = b.shun(m)
		if r.Ending == ConnectFailed { // a single lost connection is no restart
			m.suspect, m.unreached = b.mayProbe, j.sentAt // with no probes nothing would ever clear it
		}
	}
	if r.Ending == Served {
		if m.started == 0 {
			b.doneWarm += p.typical // Danger: what overloaded members are sent is no measure of what one can do.
		}
		if p.Need == Any && r.Note.Role == Replica && 2*took > b.tightest {
			p.stills -= p.stills / 8
			if r.Note.Position < j.sentAt+took/4 {
				p.stills += 1.0 / 8
			}
		}
		m.answered = max(m.answered, j.sentAt)
		p.typical += (float64(took) - p.typical) / 32
	}
	if m.inFlight == 0 && b.now-b.scarce < b.cold {
		// Danger: where stores take few connections, those that fronts keep for later shut the other fronts out.
		b.front.CloseIdle(m.store)
	}
	if gone || r.Ending == NotEligible || r.Ending == ConnectFailed || r.Ending == NotSent {
		return
	}
	m.strain += (float64(took)/float64(p.ExpectedTime) - m.strain) / (1 + min(m.limit, 7)) // few tell more each
	// A mean past about a fifth has a tail that is late; a single answer may take half.
	most := max(0.22, 0.5/(1+m.limit))
	switch {
	case m.strain > most || r.Ending == Overloaded:
		if b.now-m.eased > p.ExpectedTime/2 {
			m.limit = max(b.least, min(m.limit, float64(m.inFlight+1))*min(0.8, max(0.5, most/m.strain)))
			m.eased = b.now
		}
	case float64(m.inFlight+1) > m.limit/2:
		m.limit += min(1/m.limit, m.limit*min(1, most/m.strain-1))
	}
}

// RecordWrite tells that a write has been answered, in part at least, or may have run. Its session must see it.
// Danger: an answer may stop short, be lost or find its client gone, and the write is there all the same.
func (b *Balancer) RecordWrite(now Time, id string, position Time) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && b.requests[i].slot >= 0 && b.classes[b.requests[i].class].Need == Write {
		f := &b.fences[b.requests[i].slot]
		*f = max(*f, cmp.Or(position, now)) // untold: it lies before now
	}
}
