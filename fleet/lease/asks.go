package lease

import (
	"encoding/binary"
)

// timing is a lease as the leader times it.
type timing struct {
	until   Time
	open    bool   // an entry that would end it is proposed
	heard   uint64 // newest answer that its holder says it has heard,
	heardAt Time   // and since when it says so
	waiters []waiter
}

// waiter is who waits for one.
type waiter struct {
	ask  Request
	seen Time // when it asked last
}

// read is a question that waits until a quorum confirms that this is the leader.
type read struct {
	id    uint64
	ask   Request
	done  func() // in place of an answer to ask; nil: none
	index uint64 // from then on it is answered; 0: not confirmed
}

// HandleRequest takes a question in, of an asker or passed on by another voter.
func (v *Voter) HandleRequest(now Time, a Request) {
	defer v.recoverCore()
	v.now = now
	if v.aside != nil || !validName(a.Name) || !validName(a.From.Name) {
		return
	}
	if !v.leads {
		if lead := v.Leader(); lead != 0 && lead != v.id && a.ForwardedBy == 0 {
			a.ForwardedBy = v.id
			v.host.Forward(lead, a)
		}
		return // the asker tries another
	}
	if v.readyAt == 0 || v.open+len(v.reads) > maxOpen {
		return
	}
	g := v.book.find(a.Name)
	switch {
	case a.Op == Release:
		if g == nil || g.token != a.Token || g.holder != a.From {
			v.answer(a, Reply{}) // that is done
		} else {
			v.proposeGrant(a.Name, g.token)
		}
	case a.Op != Acquire && a.Op != Renew:
	case g == nil && a.Op == Renew, a.Op == Renew && (g.token != a.Token || g.holder != a.From):
		v.answer(a, Reply{})
	case g == nil:
		if t := v.timingOf(a.Name); t == nil {
			v.answer(a, Reply{}) // there are too many leases
		} else {
			v.queue(t, a)
			v.proposeGrant(a.Name, 0)
		}
	case g.holder == a.From && v.deaf(a):
		// Danger: a holder that asks and hears no answer would keep the lease for ever, and never act.
		if t := v.timingOf(a.Name); t != nil {
			v.queue(t, a)
		}
	case g.holder == a.From:
		v.confirm(a) // also for one whose grant was told in an answer that was lost
	default:
		t := v.timingOf(a.Name)
		if t == nil {
			return
		}
		v.answer(a, Reply{Holder: g.holder, QueuePosition: v.queue(t, a)})
	}
	v.handleReady()
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// deaf tells whether a holder has asked for a whole span and heard nothing.
func (v *Voter) deaf(a Request) bool {
	t := v.timingOf(a.Name)
	if t == nil {
		return false
	}
	if a.AckedSeq != t.heard || t.heardAt == 0 {
		t.heard, t.heardAt = a.AckedSeq, v.now
	}
	return v.now-t.heardAt > v.terms.Span
}

// queue puts who asks among those that wait, or notes that it still does, and tells how many are before it.
func (v *Voter) queue(t *timing, a Request) int {
	for k := range t.waiters {
		if t.waiters[k].ask.From == a.From {
			t.waiters[k] = waiter{a, v.now}
			return k
		}
	}
	if len(t.waiters) < mostWait {
		t.waiters = append(t.waiters, waiter{a, v.now})
	}
	return len(t.waiters) - 1
}

func (v *Voter) timingOf(name string) *timing {
	t := v.timed[name]
	if t == nil {
		if len(v.order) >= MaxLeases {
			return nil
		}
		t = &timing{}
		v.timed[name] = t
		v.order = append(v.order, name)
	}
	return t
}

// proposeGrant proposes that a lease goes to who has waited longest, or to nobody.
func (v *Voter) proposeGrant(name string, over uint64) {
	t := v.timingOf(name)
	if t == nil || t.open {
		return
	}
	e := entry{name: name, over: over}
	for len(t.waiters) > 0 && v.now-t.waiters[0].seen > v.terms.Span/2 { // it has stopped asking
		t.waiters = t.waiters[1:]
	}
	g := v.book.find(name)
	if g != nil && len(t.waiters) > 1 && t.waiters[0].ask.From == g.holder { // it is deaf
		t.waiters = append(t.waiters[1:], t.waiters[0])
	}
	if len(t.waiters) > 0 {
		e.holder = t.waiters[0].ask.From
	} else if over == 0 {
		return
	}
	if v.node.Propose(e.append(nil)) == nil {
		t.open = true
		v.open++
	}
}

// confirm answers a holder once most voters have said, after now, that this is still the leader.
func (v *Voter) confirm(a Request) {
	v.readIndex(read{ask: a})
}

// readIndex begins a read by quorum.
func (v *Voter) readIndex(r read) {
	v.readID++
	r.id = v.readID
	v.reads = append(v.reads, r)
	v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, r.id))
}

func (v *Voter) answer(a Request, r Reply) {
	r.Name, r.To, r.Seq = a.Name, a.From, a.Seq
	v.host.Reply(a.ForwardedBy, a.Addr, r)
}
