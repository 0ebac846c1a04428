package admission

// Limits on the requests without an attempt that the decision module may hold.
const (
	// idleHandoffLimit is the limit while no request waits in the scheduler.
	idleHandoffLimit = 4
	// maxHandoffLimit is the value up to which the limit grows while no attempt is under way.
	maxHandoffLimit = 1 << 20
	// idleDivisor gives the time without an attempt after which the limit grows, as a part of the shortest
	// expected time.
	idleDivisor = 8
)

// mayHandOff reports whether one more request may be handed to the decision module.
//
// A request for which the module has no attempt would only wait there, where tenants have no shares: the
// module serves requests with the most credit first, and the newest of these, whoever sent them, so the
// oldest waits until it is too late. While requests wait in the scheduler, one request without an attempt is
// enough: once its attempt starts, the next one is admitted in the same call of AdmitWaiting.
func (s *scheduler) mayHandOff(c *Controller) bool {
	held := float64(s.admitted - s.attempting)
	return held < s.handoffLimit || s.waiting > 0 && (s.attempting < s.attemptsAtHold || c.now >= s.probeAt)
}

// updateHandoffLimit adapts the handoff limit. It is called at each tick. If no attempt is under way at all,
// the requests in the module do not wait for a busy store, and admission control cannot shorten their wait.
// The limit then grows, and the module refuses the requests that cannot be served.
func (s *scheduler) updateHandoffLimit(c *Controller) {
	if s.attempting > 0 || s.admitted == 0 {
		s.idleSince = c.now
	}
	switch {
	case s.waiting == 0:
		s.handoffLimit = idleHandoffLimit
	case c.now-s.idleSince > c.minExpectedTime/idleDivisor:
		s.handoffLimit = min(s.handoffLimit*2, maxHandoffLimit)
	default:
		s.handoffLimit = 1
	}
}

// learnFromAdmission updates the estimate of available capacity after a request has been admitted. If its
// attempt started at once, the stores have capacity. If the module holds it, either the attempts under way
// are all that the module allows, or this particular request waits for something else. So another request is
// handed over as soon as fewer attempts are under way, and also at intervals, which grow while these probes
// fail and shrink while they succeed.
func (s *scheduler) learnFromAdmission(c *Controller, started bool) {
	if started {
		s.probeInterval = max(s.probeInterval/2, c.tickInterval)
		return
	}
	s.attemptsAtHold = s.attempting
	s.probeInterval = min(max(2*s.probeInterval, c.tickInterval), c.minExpectedTime)
	s.probeAt = c.now + s.probeInterval
}
