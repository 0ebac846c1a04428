package lease

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// expireLeases ends leases on which their holders can no longer rely, and grants free leases that a front waits for.
func (v *Voter) expireLeases() {
	for k := 0; k < len(v.timerNames) && v.openProposals < maxOpen; k++ {
		name := v.timerNames[k]
		t, g := v.timers[name], v.grants.find(name)
		switch {
		case t.proposalPending:
		case g != nil && v.now >= t.expiresAt:
			v.proposeGrant(name, g.token)
		case g == nil && len(t.waiters) > 0:
			v.proposeGrant(name, 0)
		case g == nil: // nobody holds it or waits for it
			delete(v.timers, name)
			v.timerNames[k] = v.timerNames[len(v.timerNames)-1]
			v.timerNames = v.timerNames[:len(v.timerNames)-1]
			k--
		}
	}
}

// startTimers starts the timers of all leases when this voter has become the leader. The previous leader may have
// renewed any of them a moment ago, so each is kept for a whole span, with drift and margin, from the moment at which
// this voter knows all grants.
func (v *Voter) startTimers() {
	v.timers, v.timerNames, v.reads, v.openProposals = map[string]*leaseTimer{}, nil, nil, 0
	for _, g := range v.grants.grants {
		if g.name != "" {
			v.timerFor(g.name).expiresAt = v.now + v.terms.leaderHold()
		}
	}
}

// applyEntry applies a committed change of the grants and, on the leader, replies to the new holder.
func (v *Voter) applyEntry(e *pb.Entry) {
	change, err := decodeEntry(e.Data)
	if err != nil {
		return // entry of a later version, which this one ignores
	}
	g, _, applied := v.grants.apply(e.GetIndex(), change)
	if !v.leading || v.readyTerm == 0 {
		return
	}
	t := v.timerFor(change.name)
	if t == nil {
		return
	}
	if t.proposalPending {
		t.proposalPending = false
		v.openProposals--
	}
	if !applied || g == nil {
		return
	}
	t.expiresAt, t.ackedSince = v.now+v.terms.leaderHold(), 0
	for k := range t.waiters {
		if w := t.waiters[k].request; w.From == g.holder {
			v.reply(w, Reply{Token: g.token})
			t.waiters = append(t.waiters[:k], t.waiters[k+1:]...)
			break
		}
	}
}

// answerReads completes the reads that a quorum has confirmed: it renews the leases and replies to their holders.
func (v *Voter) answerReads() {
	for len(v.reads) > 0 && v.reads[0].confirmedIndex != 0 && v.grants.Applied >= v.reads[0].confirmedIndex {
		r := v.reads[0]
		v.reads = v.reads[1:]
		if !v.leading || v.readyTerm == 0 {
			continue
		}
		if r.done != nil {
			r.done()
			continue
		}
		g, t := v.grants.find(r.request.Name), v.timers[r.request.Name]
		switch {
		case g == nil || g.holder != r.request.From:
			v.reply(r.request, Reply{})
		case t == nil || t.proposalPending:
			// No renewal: an entry that ends the grant is proposed, and would take effect after the renewal.
		default:
			t.expiresAt = max(t.expiresAt, v.now+v.terms.leaderHold())
			v.reply(r.request, Reply{Token: g.token})
		}
	}
}

// Grant is the status of one granted lease, as shown to operators. Its field names are part of the JSON output.
type Grant struct {
	Name    string
	Holder  Instance
	Token   uint64
	Left    Time // until the leader may grant the lease to another front; 0 on voters that do not lead
	Waiters int  // number of fronts that wait for the lease; 0 on voters that do not lead
}

// Grants returns all granted leases.
func (v *Voter) Grants() (grants []Grant) {
	for _, g := range v.grants.grants {
		if g.name == "" {
			continue
		}
		status := Grant{Name: g.name, Holder: g.holder, Token: g.token}
		if t := v.timers[g.name]; t != nil && v.readyTerm != 0 {
			status.Left, status.Waiters = max(t.expiresAt-v.now, 0), len(t.waiters)
		}
		grants = append(grants, status)
	}
	return grants
}
