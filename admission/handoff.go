package admission

// Figures of the room in the decision module.
const (
	idleHandoffLimit = 4       // requests without an attempt that it may hold where nothing waits
	maxHandoffLimit  = 1 << 20 // the largest that the room grows to
	idleDivisor      = 8       // part of the shortest expected time without an attempt after which the room grows
)

// mayHandOff reports whether the module is handed one more request. What it has no attempt for would only wait
// there, where tenants have no shares: the one with most credit goes first and of these the newest, whoever
// sent it, and the oldest waits until it is too late. While requests wait here one is enough: as its attempt
// starts the next follows in the same turn.
func (s *scheduler) mayHandOff(c *Controller) bool {
	held := float64(s.admitted - s.attempting)
	return held < s.handoffLimit || s.waiting > 0 && (s.attempting < s.attemptsAtHold || c.now >= s.probeAt)
}

// updateHandoffLimit is called at each tick. Where no attempt is under way at all, what the module holds waits for no
// store, and that wait is none of this package's: the module is handed ever more, and refuses what is in
// vain.
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

// learnFromAdmission learns from a request that was just let in. One whose attempt starts at once shows that
// the stores have room; one that is held, that as many attempts as are under way now is all that the module
// allows, or that this very request waits for something else. So another one is tried as soon as fewer are
// under way, and from time to time: ever more seldom while that is in vain, and more often while it is not.
func (s *scheduler) learnFromAdmission(c *Controller, started bool) {
	if started {
		s.probeInterval = max(s.probeInterval/2, c.tickInterval)
		return
	}
	s.attemptsAtHold = s.attempting
	s.probeInterval = min(max(2*s.probeInterval, c.tickInterval), c.minExpectedTime)
	s.probeAt = c.now + s.probeInterval
}
