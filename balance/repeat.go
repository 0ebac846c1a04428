package balance

// What follows an attempt: one more, or the final answer.

// mayGoAgain: no further attempts while overload is seen, else up to two. What cost no store time is free.
func (b *Balancer) mayGoAgain(j *request, further int) bool {
	return j.sent < b.mostAttempts && (further == 0 || further <= 2 && b.now-b.crowded > 2*b.quickest)
}

// proceed places a request that is new or whose attempt came back, or gives it up.
func (b *Balancer) proceed(i int32, r Result) {
	j := &b.requests[i]
	if r.Ending == NotSent && b.due(j) || b.now >= j.limit-b.beat || !b.mayRepeat(j) {
		b.giveUp(i)
	} else {
		b.place(i)
	}
}

// mayRepeat tells whether the rules and the house's custom allow the request one more attempt.
func (b *Balancer) mayRepeat(j *request) bool {
	p := &b.classes[j.class]
	switch {
	case j.sent >= b.mostAttempts:
		return false
	case j.ranAt == 0:
		return true // proven never to have run
	case p.Repeat == AtMostOnce:
		return false // Danger: an effect twice.
	case p.Repeat == Keyed && b.now >= b.edge(j):
		return false // Attempts never leave the request's group.
	}
	return b.mayGoAgain(j, j.further)
}

// edge is when a repeat of what may have run has to be on its way.
// Danger: past its window a repeat is not dropped, and it counts from when the store begins it: the way there
// and what stands before it in the queue take no longer than such an attempt takes in all.
func (b *Balancer) edge(j *request) Time {
	p := &b.classes[j.class]
	return j.ranAt + p.Window - b.beat - Time(p.typical)
}

// review ends a request whose time is up or cannot be kept, and calls an attempt back from a silent store.
func (b *Balancer) review(i int32) {
	j := &b.requests[i]
	p := &b.classes[j.class]
	if j.out && !j.lost && float64(b.now-j.sentAt) > 6*p.typical {
		// Danger: attempts whose answers are lost fill a member's limit until their clients give up.
		j.lost = true
		b.members[j.member].inFlight--
	}
	stuck := j.out && (j.lost || b.members[j.member].suspect)
	late := p.LateCredit == 0 && b.now+Time(p.typical) > j.wanted
	switch {
	case b.now >= j.limit-b.beat, j.held && (late || b.now+Time(p.typical/2) > j.limit):
		b.giveUp(i)
	case stuck && j.limit < never && p.Repeat == Idempotent && b.mayCancel && b.mayGoAgain(j, j.further+1):
		b.front.Cancel(j.id, j.sent-1)
	}
}

// giveUp gives the final answer of a request that will not be served, at once.
func (b *Balancer) giveUp(i int32) {
	j := &b.requests[i]
	p := &b.classes[j.class]
	if p.Repeat == Idempotent || j.ranAt == 0 && !j.out || p.Repeat == Keyed && p.Anywhere {
		b.front.Refuse(j.id, b.mostPause/2+b.chance(b.mostPause/2))
	} else {
		b.front.Fail(j.id)
	}
	b.end(i)
}

// end closes a request and calls its attempt off, so that a store may stop working on them.
func (b *Balancer) end(i int32) {
	j := &b.requests[i]
	j.held, j.ended = false, true
	if j.out && b.mayCancel {
		b.front.Cancel(j.id, j.sent-1)
	}
	b.recycle(i)
}

func (b *Balancer) ClientGone(now Time, id string) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && !b.requests[i].ended {
		b.end(i)
	}
}

// SetShutdownDeadline tells that the front is ended by force at that time, and what it finds unanswered then is lost.
func (b *Balancer) SetShutdownDeadline(now, by Time) {
	b.now, b.closing = now, by
	for i := range b.requests {
		if j := &b.requests[i]; j.limit < never {
			j.limit = min(j.limit, by)
		}
	}
}

// ResponseStarted tells that the request's answer has begun, and its limits no longer run.
func (b *Balancer) ResponseStarted(now Time, id string) {
	b.now = now
	if i, ok := b.requestOf[id]; ok {
		b.requests[i].limit, b.requests[i].wanted = never, never
	}
}
