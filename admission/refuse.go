package admission

// refuse refuses a request that is not queued.
func (c *Controller) refuse(request int32) {
	r := &c.requests[request]
	pause := c.reserve(r)
	*r = requestRecord{}
	c.totals.Back++
	c.handler.Reject(request, pause)
}

// RetryAfter returns the pause after which the client of a request that the decision module has refused
// should retry. It returns otherwise, which is the pause that the module chose, if no time can be reserved.
func (c *Controller) RetryAfter(now Time, request int32, otherwise Time) Time {
	c.now = now
	if int(request) >= len(c.requests) || otherwise <= 0 {
		return otherwise
	}
	r := &c.requests[request]
	if r.state == absent || c.schedulers[r.scheduler].waiting == 0 {
		return otherwise
	}
	pause := c.reserve(r)
	if pause > 0 {
		return pause
	}
	return otherwise
}

// reserve reserves part of the future share of a request's tenant for a retry and returns the pause after
// which the client should retry. It returns 0 if the settings allow no pause, or if no time within the
// longest allowed pause has enough capacity.
func (c *Controller) reserve(r *requestRecord) Time {
	s := &c.schedulers[r.scheduler]
	s.refused++
	if c.maxPause <= 0 || s.flows == nil || !s.rateKnown(c) {
		return 0
	}
	f := &s.flows[r.flowIndex]
	f.reservations.advance(c.now / c.slotSpan)
	weight := c.weight(s, r.flowIndex)
	share := s.virtualRate * weight
	// First tries come before reservations in the share, but must not take all of it from clients that retry
	// at their reserved times.
	capacity := max(share-float64(f.firstTryRate), share/4) * float64(c.slotSpan)
	backlog := max(f.startTag-s.virtualTime, 0)*weight + f.workBefore(retry)
	entry := c.reservations.entryFor(r.retryHash, f.reservations.current)
	if entry == nil || r.retryHash == 0 {
		return 0
	}
	ahead := f.reservations.reserve(float32(r.work), float32(backlog), float32(capacity))
	if ahead == 0 {
		return 0
	}
	c.totals.Promised++
	slot := f.reservations.current + int64(ahead)
	*entry = reservation{retryHash: r.retryHash, slot: slot, work: float32(r.work), scheduler: r.scheduler,
		flowIndex: r.flowIndex}
	// Distributes the clients that are given the same slot over its duration.
	return min(max(slot*c.slotSpan+c.rng.Below(c.slotSpan)-c.now, 1), c.maxPause)
}

// takeReservation gives a retry its reserved priority and uses up its reservation, if there is one and it is
// due.
func (c *Controller) takeReservation(r *requestRecord) {
	taken, due := c.reservations.take(r.retryHash, c.now/c.slotSpan)
	if !due {
		return
	}
	r.priority = reserved
	flows := c.schedulers[taken.scheduler].flows
	if flows == nil {
		return
	}
	wheel := &flows[taken.flowIndex].reservations
	wheel.advance(c.now / c.slotSpan)
	wheel.release(taken.slot, taken.work)
}
