package admission

// Figures of the room in the decision module.
const (
	quietRoom   = 4       // requests without an attempt that it may hold where nothing waits
	maxRoom     = 1 << 20 // the largest that the room grows to
	idleDivisor = 8       // part of the shortest expected time without an attempt after which the room grows
)

// hasRoom reports whether the module is handed one more request. What it has no attempt for would only wait
// there, where tenants have no shares: the one with most credit goes first and of these the newest, whoever
// sent it, and the oldest waits until it is too late. While requests wait here one is enough: as its attempt
// starts the next follows in the same turn.
func (l *lane) hasRoom(d *Controller) bool {
	held := float64(l.admitted - l.attempting)
	return held < l.room || l.waiting > 0 && (l.attempting < l.attemptsAtHold || d.now >= l.tryAt)
}

// learnRoom is called at each tick. Where no attempt is under way at all, what the module holds waits for no
// store, and that wait is none of this package's: the module is handed ever more, and refuses what is in
// vain.
func (l *lane) learnRoom(d *Controller) {
	if l.attempting > 0 || l.admitted == 0 {
		l.idleSince = d.now
	}
	switch {
	case l.waiting == 0:
		l.room = quietRoom
	case d.now-l.idleSince > d.quickest/idleDivisor:
		l.room = min(l.room*2, maxRoom)
	default:
		l.room = 1
	}
}

// learnFromAdmission learns from a request that was just let in. One whose attempt starts at once shows that
// the stores have room; one that is held, that as many attempts as are under way now is all that the module
// allows, or that this very request waits for something else. So another one is tried as soon as fewer are
// under way, and from time to time: ever more seldom while that is in vain, and more often while it is not.
func (l *lane) learnFromAdmission(d *Controller, started bool) {
	if started {
		l.tryPause = max(l.tryPause/2, d.tickSpan)
		return
	}
	l.attemptsAtHold = l.attempting
	l.tryPause = min(max(2*l.tryPause, d.tickSpan), d.quickest)
	l.tryAt = d.now + l.tryPause
}
