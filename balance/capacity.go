package balance

// How much a store may be sent: warm ones by a limit that adapts, cold ones by a budget shared by all fronts.

// warmth is the part of its capacity that a member surely has.
func (b *Balancer) warmth(m *member) float64 {
	if m.started == 0 || b.now-m.started >= b.cold {
		m.started = 0
		return 1
	}
	return b.startShare + (1-b.startShare)*float64(max(b.now-m.started, 0))/float64(b.cold)
}

// room tells whether the member takes one more attempt in good time.
func (b *Balancer) room(m *member, p *class) bool {
	if m.started == 0 {
		if m.limit >= 1 || m.inFlight == 0 && float64(b.now-m.backAt) >= p.typical*(1/m.limit-1) {
			return float64(m.inFlight) < m.limit
		}
		// Danger: hundreds of fronts with one each crowd a store. Under one attempt a front rests after each; what
		// only a primary takes has nowhere else to go meanwhile, and rests after every two.
		return p.Need >= Fresh && m.inFlight < 2 && float64(b.now-m.sentBefore) >= 2*p.typical/m.limit
	}
	if m.inFlight > 0 && float64(m.inFlight) >= m.limit*min(1, 2*b.warmth(m)) {
		return false
	}
	// Danger: one attempt from each of hundreds of fronts is too much. What is saved is a chance, won or lost.
	if m.budget < p.typical && !b.odds(m.budget/p.typical) {
		m.budget = min(m.budget, 0)
		return false
	}
	if m.budget < p.typical {
		m.budget, m.won = p.typical, b.now
	}
	return true
}

// overload: a request found no room. It counts as seen for twice the shortest expected time.
func (b *Balancer) overload() {
	if b.now-b.crowded > 2*b.quickest {
		b.front.Log("overload seen")
	}
	b.crowded = b.now
}
