package admission

// rateKnownDivisor gives the duration of sampling after which the virtual rate counts as known, as a part of
// the shortest expected time.
const rateKnownDivisor = 4

// averagingFactor is the duration over which rates are averaged, in multiples of the shortest expected time.
const averagingFactor = 2

// workBefore returns the waiting work that is served before a new request of that priority.
func (f *flow) workBefore(p priority) (work float64) {
	for _, part := range f.work[:p+1] {
		work += part
	}
	return work
}

// workBeforeClient returns the work that is served before the next request of a client if all clients with
// waiting requests have equal shares.
//
// If the wait were estimated from the whole queue, one client that keeps the queue full would cause the
// requests of the others to be refused.
func (f *flow) workBeforeClient(client uint64) float64 {
	clients := 0.0
	for _, tag := range f.clientFinishTags {
		if tag > f.virtualTime {
			clients++
		}
	}
	return max(f.clientFinishTags[client%clientBuckets]-f.virtualTime, 0) * clients
}

// rateKnown reports whether the virtual rate of the current contention is known.
func (s *scheduler) rateKnown(c *Controller) bool {
	return s.sampledSpan >= c.minExpectedTime/rateKnownDivisor
}

// expectedWait returns how long a request in a flow is expected to wait, in Time units, given the work ahead
// of it and the flow's share. It returns 0 while the virtual rate is unknown, so that the request may wait.
func (s *scheduler) expectedWait(c *Controller, f *flow, weight float64, p priority, client uint64) float64 {
	if !s.rateKnown(c) || s.virtualRate <= 0 {
		return 0
	}
	ahead := min(f.workBefore(p), f.workBeforeClient(client))
	if p != reserved { // reserved work is served before all other work
		ahead += float64(f.reservations.dueWork())
	}
	return (max(f.startTag-s.virtualTime, 0) + ahead/weight) / s.virtualRate
}

// update updates the rates, the handoff limit and the state of contention. It is called at each tick.
func (s *scheduler) update(c *Controller) {
	span := max(c.now-s.sampledAt, 1)
	if s.waiting > 0 {
		s.updateRate(c, span)
	}
	s.sampledAt = c.now
	s.sampledVirtualTime = s.virtualTime
	part := float32(min(float64(span)/(float64(c.minExpectedTime)*averagingFactor), 1))
	for k := range s.flows {
		f := &s.flows[k]
		f.firstTryRate += (f.firstTryWork/float32(span) - f.firstTryRate) * part
		f.firstTryWork = 0
	}
	s.updateHandoffLimit(c)
	s.logContention(c)
}

// updateRate updates the average rate at which virtual time passes. That is the rate at which a tenant of
// weight 1 is served if it always has requests waiting. It includes what tenants that request less than their
// shares leave to the others. The first samples of a contention have more weight.
func (s *scheduler) updateRate(c *Controller, span Time) {
	s.sampledSpan = min(s.sampledSpan+span, averagingFactor*c.minExpectedTime)
	rate := (s.virtualTime - s.sampledVirtualTime) / float64(span)
	s.virtualRate += (rate - s.virtualRate) * float64(span) / float64(s.sampledSpan)
}
