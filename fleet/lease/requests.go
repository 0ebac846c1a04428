package lease

import (
	"encoding/binary"
)

// leaseTimer is the leader's volatile state of one lease: its expiry and the fronts that wait for it.
type leaseTimer struct {
	expiresAt       Time     // when the leader may grant the lease to another front
	proposalPending bool     // whether an entry that changes the grant is proposed and not yet applied
	ackedSeq        uint64   // newest reply that the holder reports to have received
	ackedSince      Time     // when the holder first reported ackedSeq; 0 if it has not
	waiters         []waiter // fronts that wait for the lease, in the order of their first requests
}

// waiter is a front that waits for a lease.
type waiter struct {
	request  Request // its newest request
	lastSeen Time    // when that request came
}

// quorumRead is a read that is completed once a quorum has confirmed that this voter is the leader.
type quorumRead struct {
	id             uint64
	request        Request // renewal to reply to, if done is nil
	done           func()  // called in place of a reply to request; may be nil
	confirmedIndex uint64  // log index that must be applied before the read completes; 0 if not confirmed yet
}

// HandleRequest handles a request that came from a front or was forwarded by another voter. A voter that does not
// lead forwards it to the leader, if it knows one, and only if nobody has forwarded it before.
func (v *Voter) HandleRequest(now Time, req Request) {
	defer v.recoverPanic()
	v.now = now
	if v.err != nil || !validName(req.Name) || !validName(req.From.Name) {
		return
	}
	if !v.leading {
		if lead := v.Leader(); lead != 0 && lead != v.id && req.ForwardedBy == 0 {
			req.ForwardedBy = v.id
			v.host.Forward(lead, req)
		}
		return // the front retries with another voter
	}
	if v.readyTerm == 0 || v.openProposals+len(v.reads) > maxOpen {
		return
	}
	g := v.grants.find(req.Name)
	switch {
	case req.Op == Release:
		if g == nil || g.token != req.Token || g.holder != req.From {
			v.reply(req, Reply{}) // the lease is already released
		} else {
			v.proposeGrant(req.Name, g.token)
		}
	case req.Op != Acquire && req.Op != Renew:
	case g == nil && req.Op == Renew, req.Op == Renew && (g.token != req.Token || g.holder != req.From):
		v.reply(req, Reply{})
	case g == nil:
		if t := v.timerFor(req.Name); t == nil {
			v.reply(req, Reply{}) // MaxLeases reached
		} else {
			v.enqueueWaiter(t, req)
			v.proposeGrant(req.Name, 0)
		}
	case g.holder == req.From && v.missesReplies(req):
		// Without this, a holder whose requests arrive but that receives no replies would keep the lease for ever
		// and never act on it. So it is not renewed, and queues behind the fronts that wait already.
		if t := v.timerFor(req.Name); t != nil {
			v.enqueueWaiter(t, req)
		}
	case g.holder == req.From:
		v.confirmHolder(req) // also if the reply that carried the grant was lost
	default:
		t := v.timerFor(req.Name)
		if t == nil {
			return
		}
		v.reply(req, Reply{Holder: g.holder, QueuePosition: v.enqueueWaiter(t, req)})
	}
	v.handleReady()
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// missesReplies reports whether a holder has sent requests for longer than Span without receiving a reply.
func (v *Voter) missesReplies(req Request) bool {
	t := v.timerFor(req.Name)
	if t == nil {
		return false
	}
	if req.AckedSeq != t.ackedSeq || t.ackedSince == 0 {
		t.ackedSeq, t.ackedSince = req.AckedSeq, v.now
	}
	return v.now-t.ackedSince > v.terms.Span
}

// enqueueWaiter adds the sender of a request to the waiters of a lease, or refreshes its entry, and returns how many
// wait before it. A sender beyond maxWaiters is not added.
func (v *Voter) enqueueWaiter(t *leaseTimer, req Request) int {
	for k := range t.waiters {
		if t.waiters[k].request.From == req.From {
			t.waiters[k] = waiter{req, v.now}
			return k
		}
	}
	if len(t.waiters) < maxWaiters {
		t.waiters = append(t.waiters, waiter{req, v.now})
	}
	return len(t.waiters) - 1
}

// timerFor returns the timer of a lease, creating it if needed. It returns nil if there are MaxLeases timers already.
func (v *Voter) timerFor(name string) *leaseTimer {
	t := v.timers[name]
	if t == nil {
		if len(v.timerNames) >= MaxLeases {
			return nil
		}
		t = &leaseTimer{}
		v.timers[name] = t
		v.timerNames = append(v.timerNames, name)
	}
	return t
}

// proposeGrant proposes to end the grant with the given token (0 if there is none) and to grant the lease to the front
// that has waited longest, or to nobody if none waits.
func (v *Voter) proposeGrant(name string, previousToken uint64) {
	t := v.timerFor(name)
	if t == nil || t.proposalPending {
		return
	}
	e := entry{name: name, previousToken: previousToken}
	for len(t.waiters) > 0 && v.now-t.waiters[0].lastSeen > v.terms.Span/2 { // that front has stopped sending requests
		t.waiters = t.waiters[1:]
	}
	g := v.grants.find(name)
	if g != nil && len(t.waiters) > 1 && t.waiters[0].request.From == g.holder { // the holder receives no replies: another front goes first
		t.waiters = append(t.waiters[1:], t.waiters[0])
	}
	if len(t.waiters) > 0 {
		e.holder = t.waiters[0].request.From
	} else if previousToken == 0 {
		return
	}
	if v.node.Propose(e.append(nil)) == nil {
		t.proposalPending = true
		v.openProposals++
	}
}

// confirmHolder renews the lease of a request's sender once a quorum has confirmed, after now, that this voter is still
// the leader.
func (v *Voter) confirmHolder(req Request) {
	v.startRead(quorumRead{request: req})
}

// startRead starts a quorum read (raft's ReadIndex).
func (v *Voter) startRead(r quorumRead) {
	v.readID++
	r.id = v.readID
	v.reads = append(v.reads, r)
	v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, r.id))
}

// reply sends a reply to the sender of a request, through the voter that forwarded it, if one did.
func (v *Voter) reply(req Request, r Reply) {
	r.Name, r.To, r.Seq = req.Name, req.From, req.Seq
	v.host.Reply(req.ForwardedBy, req.Addr, r)
}
