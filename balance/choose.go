package balance

import "math"

// The choice of a store: the least busy one that has passed the fence and has capacity, or else the
// primary.

// requiredPosition returns the log position that a read has to see.
func (b *Balancer) requiredPosition(req *request) Time {
	if class := &b.classes[req.class]; class.Need == Bounded {
		return b.now - class.Bound
	} else if class.Need == Session && !b.fencesCarried && req.fenceSlot >= 0 {
		// The session may have written while the request was waiting.
		req.fence = max(req.fence, b.fences[req.fenceSlot])
		if b.openWrites[req.fenceSlot] > 0 {
			// The answer of a write in flight may have been lost, and the write counts as known to the session a
			// tenth of a second after its answer.
			return max(req.fence, b.now-second/10+b.tickInterval)
		}
	}
	return req.fence
}

// chooseMember returns the index of the member for the request's next attempt, or -1 if it has to wait.
func (b *Balancer) chooseMember(req *request) int32 {
	group, class := &b.groups[req.group], &b.classes[req.class]
	primary := b.primary(group)
	if class.Need >= Fresh {
		if primary < 0 || !b.members[primary].roleConfirmed &&
			(class.Need != Write || b.members[primary].confirming) {
			// A primary that has denied its role is sent a single write. The rest follow once that is accepted.
			return -1
		} else if b.hasCapacity(&b.members[primary], class) {
			return primary
		}
		b.recordOverload()
		return -1
	}
	required, divertible := b.requiredPosition(req), b.divertibleSize(group)
	// Index 0: members known to have reached the required position; index 1: members that likely have.
	best, lowest, full := [2]int32{-1, -1}, [2]float64{}, false
	for _, i := range group.members {
		member := &b.members[i]
		if i == group.primary && member.roleConfirmed || !b.usable(member) {
			continue
		}
		// A member of a zone that comes back into use is idle and would attract all requests. So it gets only
		// the planned part of its fair share.
		if member.zoneShare < 1 && divertible > 0 && !b.randomHit(member.zoneShare*member.size/divertible) {
			continue
		}
		// A member may still lag by as much as when its position was last seen. Where stores check reads
		// themselves, this estimate is enough.
		estimated := member.position + b.now - member.positionSeenAt
		fresh := member.position >= required ||
			b.storesCheckReads && member.positionSeenAt > 0 && estimated >= required ||
			member.peerPosition >= required && class.Repeat == Idempotent && b.now >= b.distrustPeersUntil
		if !fresh && member.positionSeenAt > 0 && estimated+class.ExpectedTime/10 < required {
			continue
		}
		if !b.hasCapacity(member, class) {
			full = full || fresh
			continue
		}
		// The score is the load in relation to capacity, with a random part: fronts with few attempts see all
		// members idle, and would otherwise all choose the same one.
		score := (float64(member.inFlight) - math.Log(float64(b.randomBelow(1<<20)+1)/(1<<20))) /
			(member.size * b.capacityShare(member))
		if member.crossZone {
			// Traffic between zones has a price, so members of the own zone may be somewhat busier.
			score *= 2
		}
		if class.replayStalls > 0.5 && class.ExpectedTime > 2*b.tightestBound {
			// Long requests stop the log replay of a replica. Spread over all replicas, they would keep all of
			// them behind. So all fronts fill the one with the lowest store number first.
			score = float64(member.store)
		}
		tier := 0
		if !fresh {
			tier = 1
		}
		if best[tier] < 0 || score < lowest[tier] {
			best[tier], lowest[tier] = i, score
		}
	}
	if best[0] >= 0 {
		return best[0]
	}
	if best[1] >= 0 && b.mayProbe && b.now-req.arrivedAt < class.ExpectedTime/10 {
		// Each of many fronts sees few answers. The positions it knows grow old, and its reads would spill to
		// the primary. So a member that has likely caught up is probed first.
		if member := &b.members[best[1]]; b.now-member.probedAt > b.probeInterval/2 && req.probes < 2 {
			req.probes++
			b.sendProbe(member, required, true)
		}
		return -1
	}
	if !req.primaryBarred && primary >= 0 && b.members[primary].roleConfirmed &&
		b.hasCapacity(&b.members[primary], class) {
		// Where replicas lag, hundreds of fronts would spill reads to the primary together, each too few to see
		// it fill, and overwhelm its writes. So a read spills with a probability that follows how often spilled
		// reads came back in good time.
		if req.spilled = b.randomHit(b.spillOdds); req.spilled {
			return primary
		}
		req.primaryBarred = true
	}
	if full || primary >= 0 {
		b.recordOverload()
	}
	return -1
}
