package balance

import "cmp"

// Attempts: how one is sent, and what its result says about its store, its class and its session.

// send starts the request's next attempt at the given member.
func (b *Balancer) send(i, memberIndex int32) {
	req, member := &b.requests[i], &b.members[memberIndex]
	class := &b.classes[req.class]
	req.member, req.sentAt, req.attempts, req.inFlight, req.overdue =
		memberIndex, b.now, req.attempts+1, true, false
	req.onResult = (*Balancer).continueRequest
	member.inFlight, member.previousSentAt, member.lastSentAt = member.inFlight+1, member.lastSentAt, b.now
	member.confirming = member.confirming || class.Need == Write && !member.roleConfirmed
	if member.startedAt > 0 {
		member.coldBudget -= class.typicalTime
	}
	if class.Need == Write && req.fenceSlot >= 0 {
		b.openWrites[req.fenceSlot]++
	}
	if req.minPosition = b.requiredPosition(req); member.position >= req.minPosition || b.storesCheckReads ||
		memberIndex == b.groups[req.group].primary && member.roleConfirmed {
		req.minPosition = 0 // the answer need not show any position
	} else {
		// The answer has to show all that the peer reported, not only what the request needs now: the attempt
		// may wait for a connection, and the need may grow meanwhile.
		req.minPosition = member.peerPosition
	}
	b.front.Send(req.id, member.store, req.deadline, req.minPosition)
}

// MaySend reports whether an attempt that had to wait for a connection may still be sent. If not, the front
// returns it as NotSent and the request is placed again. All that allowed the attempt when it was placed has
// to hold still: meanwhile its store may have begun to drain, handed over as the primary or restarted, the
// last known position of the store may have become too old, or the window for repeats may have passed.
func (b *Balancer) MaySend(now Time, id string) bool {
	b.now = now
	i, ok := b.requestOf[id]
	return ok && b.maySend(&b.requests[i])
}

// maySend is MaySend for a request at hand.
func (b *Balancer) maySend(req *request) bool {
	member, class := &b.members[req.member], &b.classes[req.class]
	switch {
	case !member.accepting,
		class.Repeat == Keyed && req.mayHaveRunAt > 0 && b.now >= b.repeatDeadline(req),
		member.startedAt > 0 && member.restartSeenAt > req.sentAt: // not counted against its cold budget
		return false
	}
	return b.storeSuffices(req)
}

// storeSuffices reports whether the member of the request's last attempt is known to have what the class
// needs: the role of the primary, or data that is recent enough.
func (b *Balancer) storeSuffices(req *request) bool {
	member, need := &b.members[req.member], b.classes[req.class].Need
	isPrimary := b.groups[req.group].primary == req.member
	if isPrimary && member.roleConfirmed || need >= Fresh {
		return isPrimary && (member.roleConfirmed || need == Write)
	}
	return need == Any || b.storesCheckReads ||
		max(member.position, req.minPosition) >= b.requiredPosition(req)
}

// MayContinue reports whether the next statement of a transaction may be sent to its store. Between two
// statements the client may take its time, and what was known of the store when the transaction began may no
// longer do. The store is probed then.
func (b *Balancer) MayContinue(now Time, id string) Permission {
	b.now = now
	i, ok := b.requestOf[id]
	if !ok {
		return Denied
	}
	switch req, class := &b.requests[i], &b.classes[b.requests[i].class]; {
	case class.Need == Write || b.storeSuffices(req): // a store that is no primary rejects a write itself
		req.confirmingSince = 0
		return Allowed
	case !b.mayProbe || req.confirmingSince > 0 && now-req.confirmingSince >= class.ExpectedTime/10:
		return Denied
	case req.confirmingSince == 0:
		req.confirmingSince = now
		b.sendProbe(&b.members[req.member], b.requiredPosition(req), false)
	}
	return Pending
}

// AttemptDone takes in the result of a request's attempt with the given number at a store. A result that
// does not belong to the attempt in flight is ignored.
func (b *Balancer) AttemptDone(now Time, id string, attempt int, store uint32, r Result) {
	b.now = now
	i, ok := b.requestOf[id]
	if !ok || !b.requests[i].inFlight || attempt != b.requests[i].attempts-1 ||
		b.members[b.requests[i].member].store != store {
		return
	}
	req := &b.requests[i]
	groupIndex := req.group
	req.inFlight = false
	if b.classes[req.class].Need == Write && req.fenceSlot >= 0 {
		b.openWrites[req.fenceSlot]--
	}
	b.recordResult(req, r)
	if !r.Ending.NeverRan() {
		req.mayHaveRunAt = cmp.Or(req.mayHaveRunAt, req.sentAt)
		if r.Ending != ConnectionLost || float64(now-req.sentAt) > b.classes[req.class].typicalTime/8 {
			// It may have cost the store time. One whose connection was lost far sooner has not.
			req.ranAttempts++
		}
	}
	if r.Done {
		req.waiting, req.ended = false, true
	} else if !req.ended {
		req.onResult(b, i, r)
	}
	b.recycle(i)
	b.dispatchWaiting(groupIndex)
}

// recordResult updates what is known of the member, the class and the session by the result of the
// request's last attempt.
func (b *Balancer) recordResult(req *request, r Result) {
	member, class := &b.members[req.member], &b.classes[req.class]
	if !req.overdue {
		member.inFlight--
	}
	member.returnedAt = b.now
	if r.Ending == Served || !r.Ending.NeverRan() {
		b.RecordWrite(b.now, req.id, r.Note.Position)
	}
	took := b.now - req.sentAt
	// A lost answer looks like load, and load looks like a lost answer. It was lost if the member has served
	// an attempt that was sent later.
	answerLost := r.Ending == ConnectionLost || r.Ending == Aborted ||
		r.Ending >= TimedOut && req.sentAt < member.servedSentAt
	if req.spilled && r.Ending == Served && took < class.ExpectedTime*3/4 {
		b.spillOdds = min(b.spillOdds+1.0/16, 1)
	} else if req.spilled && r.Ending != NotEligible && !answerLost {
		b.spillOdds = max(b.spillOdds*3/4, 1.0/16)
	}
	req.spilled, req.primaryBarred, member.confirming = false, false, member.confirming && class.Need != Write
	if r.Ending <= Overloaded || r.Ending == Failed { // the store itself has answered
		report := r.Note
		if class.Need == Write {
			// The position of a commit is reported rounded up, but a member's position must not be.
			report.Position -= second / 1000
		}
		// A write that was sent before the member denied its role may have been served before that, too.
		member.roleConfirmed = member.roleConfirmed && report.Role != Replica ||
			class.Need == Write && r.Ending == Served && max(req.sentAt, report.Position) > member.replicaAt
		b.recordReport(req.member, report, interval{req.sentAt, b.now})
		b.recordReport(req.member, r.Load, interval{})
		b.recordAlive(req.member, r.Since)
	}
	switch {
	case r.Ending == Served:
		member.failures, member.backoffUntil = 0, 0
	case r.Ending == NotEligible && req.minPosition > 0:
		// A peer that reports too high a position causes reads to be sent there in vain.
		b.distrustPeersUntil = b.now + b.warmupTime
	case r.Ending == NotEligible && class.Need == Write:
		// A draining primary rejects writes as a replica would while its other answers still claim the primary
		// role. So each claim has to be newer than the last rejection, and no read relies on the role until the
		// member has accepted a write.
		member.ignoreClaimsUntil = b.backoff(member)
	case r.Ending == Overloaded, r.Ending == ConnectFailed, r.Ending == Aborted, r.Ending == Failed,
		r.Ending == ConnectionLost:
		member.backoffUntil = b.backoff(member)
		if r.Ending == ConnectFailed {
			// Only a failed attempt to connect hints at a restart; a single lost connection does not. Without
			// probes nothing would ever clear the suspicion.
			member.suspect, member.connectFailedAt = b.mayProbe, req.sentAt
		}
	}
	if r.Ending == Served {
		if member.startedAt == 0 {
			// Only served attempts count: what overloaded members are sent does not show what a member can do.
			b.servedWarm += class.typicalTime
		}
		if class.Need == Any && r.Note.Role == Replica && 2*took > b.tightestBound {
			class.replayStalls -= class.replayStalls / 8
			if r.Note.Position < req.sentAt+took/4 {
				class.replayStalls += 1.0 / 8
			}
		}
		member.servedSentAt = max(member.servedSentAt, req.sentAt)
		class.typicalTime += (float64(took) - class.typicalTime) / 32
	}
	if member.inFlight == 0 && b.now-b.connectionsScarceAt < b.warmupTime {
		// Where stores accept few connections, idle ones that some fronts keep for later lock out the other
		// fronts.
		b.front.CloseIdle(member.store)
	}
	if answerLost || r.Ending == NotEligible || r.Ending == ConnectFailed || r.Ending == NotSent {
		return
	}
	// At a low limit there are few answers, so each one weighs more.
	member.latencyRatio += (float64(took)/float64(class.ExpectedTime) - member.latencyRatio) /
		(1 + min(member.limit, 7))
	// If the mean is above about a fifth of the expected time, the slowest answers are late. A single answer
	// may take half of it.
	maxRatio := max(0.22, 0.5/(1+member.limit))
	switch {
	case member.latencyRatio > maxRatio || r.Ending == Overloaded:
		if b.now-member.limitCutAt > class.ExpectedTime/2 {
			member.limit = max(b.minLimit, min(member.limit, float64(member.inFlight+1))*
				min(0.8, max(0.5, maxRatio/member.latencyRatio)))
			member.limitCutAt = b.now
		}
	case float64(member.inFlight+1) > member.limit/2:
		member.limit += min(1/member.limit, member.limit*min(1, maxRatio/member.latencyRatio-1))
	}
}

// RecordWrite records that a write was answered, at least in part, or may have run, so that the reads of
// its session will see it. A position of 0 is unknown. The write exists even if its answer stops short, is
// lost or finds its client gone.
func (b *Balancer) RecordWrite(now Time, id string, position Time) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && b.requests[i].fenceSlot >= 0 &&
		b.classes[b.requests[i].class].Need == Write {
		fence := &b.fences[b.requests[i].fenceSlot]
		*fence = max(*fence, cmp.Or(position, now)) // if unknown, it lies before now
	}
}
