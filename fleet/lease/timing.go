package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// expire ends leases whose holders can rely on them no longer.
func (v *Voter) expire() {
	for k := 0; k < len(v.order) && v.open < maxOpen; k++ {
		name := v.order[k]
		t, g := v.timed[name], v.book.find(name)
		switch {
		case t.open:
		case g != nil && v.now >= t.until:
			v.proposeGrant(name, g.token)
		case g == nil && len(t.waiters) > 0:
			v.proposeGrant(name, 0)
		case g == nil: // nobody has it or waits for it
			delete(v.timed, name)
			v.order[k] = v.order[len(v.order)-1]
			v.order = v.order[:len(v.order)-1]
			k--
		}
	}
}

// startTiming begins to time leases. Danger: the leader before may have renewed any of them just now, so each
// is kept for a whole span from the moment at which this one knows all that was granted.
func (v *Voter) startTiming() {
	v.timed, v.order, v.reads, v.open = map[string]*timing{}, nil, nil, 0
	for _, g := range v.book.grants {
		if g.name != "" {
			v.timingOf(g.name).until = v.now + v.terms.waits()
		}
	}
}

// applyEntry takes a committed change of the book, and tells its asker if this voter leads.
func (v *Voter) applyEntry(e *pb.Entry) {
	x, err := readEntry(e.Data)
	if err != nil {
		return // of a later version: it says nothing here
	}
	g, _, done := v.book.apply(e.GetIndex(), x)
	if !v.leads || v.readyAt == 0 {
		return
	}
	t := v.timingOf(x.name)
	if t == nil {
		return
	}
	if t.open {
		t.open = false
		v.open--
	}
	if !done || g == nil {
		return
	}
	t.until, t.heardAt = v.now+v.terms.waits(), 0
	for k := range t.waiters {
		if w := t.waiters[k].ask; w.From == g.holder {
			v.answer(w, Reply{Token: g.token})
			t.waiters = append(t.waiters[:k], t.waiters[k+1:]...)
			break
		}
	}
}

// answerReads renews what a quorum has confirmed.
func (v *Voter) answerReads() {
	for len(v.reads) > 0 && v.reads[0].index != 0 && v.book.Applied >= v.reads[0].index {
		r := v.reads[0]
		v.reads = v.reads[1:]
		if !v.leads || v.readyAt == 0 {
			continue
		}
		if r.done != nil {
			r.done()
			continue
		}
		g, t := v.book.find(r.ask.Name), v.timed[r.ask.Name]
		switch {
		case g == nil || g.holder != r.ask.From:
			v.answer(r.ask, Reply{})
		case t == nil || t.open: // Danger: an entry that ends it is on its way, and would count after this renewal.
		default:
			t.until = max(t.until, v.now+v.terms.waits())
			v.answer(r.ask, Reply{Token: g.token})
		}
	}
}

// Grant is one lease, as it is shown.
type Grant struct {
	Name    string
	Holder  Instance
	Token   uint64
	Left    Time
	Waiters int
}

// Grants gives all leases, by name, with how long the leader keeps each (0 where this voter does not lead).
func (v *Voter) Grants() (list []Grant) {
	for _, g := range v.book.grants {
		if g.name == "" {
			continue
		}
		x := Grant{Name: g.name, Holder: g.holder, Token: g.token}
		if t := v.timed[g.name]; t != nil && v.readyAt != 0 {
			x.Left, x.Waiters = max(t.until-v.now, 0), len(t.waiters)
		}
		list = append(list, x)
	}
	return list
}
