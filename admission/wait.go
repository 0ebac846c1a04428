package admission

// learnedDivisor gives the part of the shortest expected time after which the pace counts as learned.
const rateKnownDivisor = 4

// averageFactor is the span of averages, in shortest expected times.
const averagingFactor = 2

// workBefore returns the work that waits and goes before a request of that priority.
func (f *flow) workBefore(p priority) (work float64) {
	for _, part := range f.work[:p+1] {
		work += part
	}
	return work
}

// workBeforeClient returns the work that is served before a client's next request if each of those that wait
// has an equal part.
//
// Danger: by the whole queue, one client that keeps it full would have the others refused.
func (f *flow) workBeforeClient(client uint64) float64 {
	clients := 0.0
	for _, tag := range f.clientFinishTags {
		if tag > f.virtualTime {
			clients++
		}
	}
	return max(f.clientFinishTags[client%clientBuckets]-f.virtualTime, 0) * clients
}

// rateKnown reports whether the pace of this contention is known.
func (s *scheduler) rateKnown(c *Controller) bool {
	return s.sampledSpan >= c.minExpectedTime/rateKnownDivisor
}

// expectedWait returns how long a request of the tenant would wait, in Time, by what is ahead of it at its
// tenant's share. Until the pace is known that is 0, and the request may wait.
func (s *scheduler) expectedWait(c *Controller, f *flow, weight float64, p priority, client uint64) float64 {
	if !s.rateKnown(c) || s.virtualRate <= 0 {
		return 0
	}
	ahead := min(f.workBefore(p), f.workBeforeClient(client))
	if p != reserved { // what was booked is ahead of all that was not
		ahead += float64(f.reservations.dueWork())
	}
	return (max(f.startTag-s.virtualTime, 0) + ahead/weight) / s.virtualRate
}

// update is called at each tick.
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

// updateRate averages how fast virtual time passes: as fast as a tenant of weight 1 is served that always has
// more to ask for. Tenants that ask for less than their share leave it to the others, and that is in it. The
// first values count for more.
func (s *scheduler) updateRate(c *Controller, span Time) {
	s.sampledSpan = min(s.sampledSpan+span, averagingFactor*c.minExpectedTime)
	rate := (s.virtualTime - s.sampledVirtualTime) / float64(span)
	s.virtualRate += (rate - s.virtualRate) * float64(span) / float64(s.sampledSpan)
}
