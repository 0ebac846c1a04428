package balance

import (
	"cmp"
	"fmt"
)

// Health of the stores: when one is probed for its position, avoided, or taken to be back.

// probeIfDue probes a member whose position has not been seen of late, and does so sooner while its group
// has no known primary.
func (b *Balancer) probeIfDue(member *memberState, group *groupState) {
	interval, lastSeen := b.currentProbeInterval, max(member.positionSeenAt, member.probedAt)
	searching := group.primarySoughtSince > 0 && len(group.waiting) > 0 && member.unansweredSince == 0 &&
		group.searchProbes >= 1
	if searching {
		// The interval grows as the search goes on: hundreds of fronts may be searching for a primary that
		// stays unreachable for long.
		interval, lastSeen = max(b.probeInterval/2, (b.now-group.primarySoughtSince)/4), member.probedAt
	} else if member.unansweredSince > 0 {
		// The interval grows while there is no answer: hundreds of fronts would otherwise probe a dead store at
		// a steady rate.
		interval = min(max(b.probeInterval, member.probedAt-member.unansweredSince), b.currentProbeInterval,
			b.warmupTime)
	}
	if !b.mayProbe || !member.accepting || b.now-lastSeen < interval ||
		member.zoneShare == 0 && !searching && b.divertibleSize(group) > 0 {
		return
	}
	need := b.now - interval
	if searching {
		need, group.searchProbes = 0, group.searchProbes-1
	}
	b.sendProbe(member, need, false)
	member.probedAt += b.randomBelow(interval / 8)
}

// sendProbe probes the member; Front.Probe describes need and anyMember.
func (b *Balancer) sendProbe(member *memberState, need Time, anyMember bool) {
	member.probedAt, member.unansweredSince = b.now, cmp.Or(member.unansweredSince, b.now)
	b.front.Probe(member.store, need, anyMember)
}

// ProbeDone takes in the result of a probe of a store.
func (b *Balancer) ProbeDone(now Time, store uint32, r Result) {
	b.now = now
	i, ok := b.memberOf[store]
	if !ok {
		return
	}
	if member := &b.members[i]; r.Ending != Served && r.Ending != Overloaded {
		if member.suspect = member.suspect || r.Ending != NotSent; r.Ending == ConnectFailed {
			member.connectFailedAt = member.probedAt
		}
		return
	}
	b.recordReport(i, r.Load, interval{})
	b.recordAlive(i, r.Since)
	b.dispatchWaiting(b.members[i].group)
}

// backoff returns the time until which to avoid a member that refuses or fails; the delay grows with each
// failure. Without it, a store that fails at once because it is full, broken or draining would look the
// least busy and attract every request.
func (b *Balancer) backoff(member *memberState) Time {
	member.failures = min(member.failures+1, 8)
	return b.now + min(b.tickInterval<<member.failures, b.shortestExpected)
}

// recordAlive records that the member has answered, on a connection that has been open since the given
// time; 0 is unknown.
func (b *Balancer) recordAlive(i int32, since Time) {
	member := &b.members[i]
	if member.unansweredSince > 0 && !member.suspect {
		diff := float64(b.now-member.unansweredSince) - member.replyMean
		member.replyMean += diff / 16
		member.replyDeviation += (max(diff, -diff) - member.replyDeviation) / 16
	}
	switch stayedUp := since > 0 && since < member.connectFailedAt; {
	case member.connectFailedAt == 0 || stayedUp && member.failures < 2: // one lost connection is no restart
	case stayedUp || member.position >= member.connectFailedAt:
		// The store or its log kept running while it accepted no connection: it did not restart, but has no
		// connections to spare.
		b.connectionsScarceAt = b.now
	default:
		// It may have restarted without notice, and would then be cold.
		member.startedAt, member.restartSeenAt = b.now, b.now
	}
	member.unansweredSince, member.connectFailedAt = 0, 0
	if member.suspect {
		member.suspect = false
		b.front.Log(fmt.Sprintf("store %d is back", member.store))
	}
}

// usable reports whether the member may be given new work now.
func (b *Balancer) usable(member *memberState) bool {
	return member.accepting && b.now >= member.backoffUntil && !member.suspect
}
