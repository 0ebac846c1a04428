package balance

// How much work a member may be sent: a warm one by an adaptive concurrency limit, a cold one by a budget
// that is shared by all fronts.

// capacityShare returns the share of its capacity that a member has at least, up to 1. It marks the member
// as warm when the warm-up time is over.
func (b *Balancer) capacityShare(member *memberState) float64 {
	if member.startedAt == 0 || b.now-member.startedAt >= b.warmupTime {
		member.startedAt = 0
		return 1
	}
	return b.startCapacity + (1-b.startCapacity)*float64(max(b.now-member.startedAt, 0))/float64(b.warmupTime)
}

// hasCapacity reports whether the member can take one more attempt of the class in good time. For a cold
// member with less budget than an attempt needs, each call is a random draw.
func (b *Balancer) hasCapacity(member *memberState, class *classState) bool {
	if member.startedAt == 0 {
		if member.limit >= 1 ||
			member.inFlight == 0 && float64(b.now-member.returnedAt) >= class.typicalTime*(1/member.limit-1) {
			return float64(member.inFlight) < member.limit
		}
		// One attempt from each of hundreds of fronts overloads a store. So at a limit below one a front pauses
		// after each attempt. Requests that only a primary can take have nowhere else to go meanwhile, and
		// pause after every two.
		return class.Need >= Fresh && member.inFlight < 2 &&
			float64(b.now-member.previousSentAt) >= 2*class.typicalTime/member.limit
	}
	if member.inFlight > 0 && float64(member.inFlight) >= member.limit*min(1, 2*b.capacityShare(member)) {
		return false
	}
	// One attempt from each of hundreds of fronts is too much for a cold store. So a budget below the cost of
	// an attempt is the chance to send one; the draw uses it up whether it is won or lost.
	if member.coldBudget < class.typicalTime && !b.randomHit(member.coldBudget/class.typicalTime) {
		member.coldBudget = min(member.coldBudget, 0)
		return false
	}
	if member.coldBudget < class.typicalTime {
		member.coldBudget, member.budgetWonAt = class.typicalTime, b.now
	}
	return true
}

// recordOverload records that a request found no member with capacity. Overload counts as present for twice
// the shortest expected time from then on.
func (b *Balancer) recordOverload() {
	if b.now-b.overloadedAt > 2*b.shortestExpected {
		b.front.Log("overload seen")
	}
	b.overloadedAt = b.now
}
