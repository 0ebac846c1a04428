package admission

// learnedDivisor gives the part of the shortest expected time after which the pace counts as learned.
const learnedDivisor = 4

// averageFactor is the span of averages, in shortest expected times.
const averageFactor = 2

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
	for _, turn := range f.clientTurns {
		if turn > f.virtualTime {
			clients++
		}
	}
	return max(f.clientTurns[client%clientPlaces]-f.virtualTime, 0) * clients
}

// learned reports whether the pace of this contention is known.
func (l *lane) learned(d *Controller) bool { return l.learnedSpan >= d.quickest/learnedDivisor }

// expectedWait returns how long a request of the tenant would wait, in Time, by what is ahead of it at its
// tenant's share. Until the pace is known that is 0, and the request may wait.
func (l *lane) expectedWait(d *Controller, f *flow, weight float64, p priority, client uint64) float64 {
	if !l.learned(d) || l.pace <= 0 {
		return 0
	}
	ahead := min(f.workBefore(p), f.workBeforeClient(client))
	if p != promised { // what was booked is ahead of all that was not
		ahead += float64(f.calendar.due())
	}
	return (max(f.start-l.virtualTime, 0) + ahead/weight) / l.pace
}

// learn is called at each tick.
func (l *lane) learn(d *Controller) {
	span := max(d.now-l.learnedAt, 1)
	if l.waiting > 0 {
		l.learnPace(d, span)
	}
	l.learnedAt = d.now
	l.learnedAtVirtual = l.virtualTime
	part := float32(min(float64(span)/(float64(d.quickest)*averageFactor), 1))
	for k := range l.flows {
		f := &l.flows[k]
		f.firstTryRate += (f.firstTryWork/float32(span) - f.firstTryRate) * part
		f.firstTryWork = 0
	}
	l.learnRoom(d)
	l.logContention(d)
}

// learnPace averages how fast virtual time passes: as fast as a tenant of weight 1 is served that always has
// more to ask for. Tenants that ask for less than their share leave it to the others, and that is in it. The
// first values count for more.
func (l *lane) learnPace(d *Controller, span Time) {
	l.learnedSpan = min(l.learnedSpan+span, averageFactor*d.quickest)
	pace := (l.virtualTime - l.learnedAtVirtual) / float64(span)
	l.pace += (pace - l.pace) * float64(span) / float64(l.learnedSpan)
}
