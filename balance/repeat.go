package balance

// What follows an attempt: another one, or the final answer.

// mayRetryNow reports whether another attempt is allowed after the given number of attempts that may have
// run: while there is overload none is, else up to two. Attempts that cost the store no time do not count.
func (b *Balancer) mayRetryNow(req *request, ranAttempts int) bool {
	return req.attempts < b.maxAttempts &&
		(ranAttempts == 0 || ranAttempts <= 2 && b.now-b.overloadedAt > 2*b.shortestExpected)
}

// continueRequest places a request that is new or whose attempt has returned, or gives it up.
func (b *Balancer) continueRequest(i int32, r Result) {
	req := &b.requests[i]
	if r.Ending == NotSent && b.maySend(req) || b.now >= req.deadline-b.tickInterval || !b.mayRepeat(req) {
		b.giveUp(i)
	} else {
		b.dispatch(i)
	}
}

// mayRepeat reports whether the class's rules and the limits on retries allow the request another attempt.
func (b *Balancer) mayRepeat(req *request) bool {
	class := &b.classes[req.class]
	switch {
	case req.attempts >= b.maxAttempts:
		return false
	case req.mayHaveRunAt == 0:
		return true // certain never to have run
	case class.Repeat == AtMostOnce, // a repeat could take effect twice
		class.Repeat == Keyed && b.now >= b.repeatDeadline(req): // attempts never leave the group
		return false
	}
	return b.mayRetryNow(req, req.ranAttempts)
}

// repeatDeadline returns the time by which a repeat of a keyed request that may have run has to be sent.
// After the window a repeat is no longer dropped, and what counts is when the store begins it. The way
// there and the queue before it are taken to last no longer than a typical attempt in all.
func (b *Balancer) repeatDeadline(req *request) Time {
	class := &b.classes[req.class]
	return req.mayHaveRunAt + class.Window - b.tickInterval - Time(class.typicalTime)
}

// reviewRequest ends a request whose deadline has come or cannot be met, and cancels an attempt at a silent
// store.
func (b *Balancer) reviewRequest(i int32) {
	req := &b.requests[i]
	class := &b.classes[req.class]
	if req.inFlight && !req.overdue && float64(b.now-req.sentAt) > 6*class.typicalTime {
		// Attempts whose answers are lost would otherwise fill a member's limit until their clients give up.
		req.overdue = true
		b.members[req.member].inFlight--
	}
	stuck := req.inFlight && (req.overdue || b.members[req.member].suspect)
	late := class.LateCredit == 0 && b.now+Time(class.typicalTime) > req.expectedBy
	switch {
	case b.now >= req.deadline-b.tickInterval,
		req.waiting && (late || b.now+Time(class.typicalTime/2) > req.deadline):
		b.giveUp(i)
	case stuck && !req.responseStarted && class.Repeat == Idempotent && b.mayCancel &&
		b.mayRetryNow(req, req.ranAttempts+1):
		b.front.Cancel(req.id, req.attempts-1)
	}
}

// giveUp gives a request that will not be served its final answer at once: it is refused if the client may
// safely repeat it, else it fails.
func (b *Balancer) giveUp(i int32) {
	req := &b.requests[i]
	class := &b.classes[req.class]
	if class.Repeat == Idempotent || req.mayHaveRunAt == 0 && !req.inFlight ||
		class.Repeat == Keyed && class.Anywhere {
		b.front.Refuse(req.id, b.maxRetryAfter/2+b.randomBelow(b.maxRetryAfter/2))
	} else {
		b.front.Fail(req.id)
	}
	b.endRequest(i)
}

// endRequest closes a request and cancels its attempt, so that the store may stop working on it.
func (b *Balancer) endRequest(i int32) {
	req := &b.requests[i]
	req.waiting, req.ended = false, true
	if req.inFlight && b.mayCancel {
		b.front.Cancel(req.id, req.attempts-1)
	}
	b.recycle(i)
}

// ClientGone reports that the request's client has gone; the request needs no answer.
func (b *Balancer) ClientGone(now Time, id string) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && !b.requests[i].ended {
		b.endRequest(i)
	}
}

// SetShutdownDeadline reports that the front will be terminated at the given time. Requests without an
// answer by then are lost, so all deadlines are brought forward to it.
func (b *Balancer) SetShutdownDeadline(now, deadline Time) {
	b.now, b.shutdownAt = now, deadline
	for i := range b.requests {
		if req := &b.requests[i]; req.deadline < never {
			req.deadline = min(req.deadline, deadline)
		}
	}
}

// ResponseStarted reports that the client has been sent part of an answer to the request, which cannot be
// sent to another store any more. Once that is part of the result, its time limits no longer apply.
func (b *Balancer) ResponseStarted(now Time, id string, ofResult bool) {
	b.now = now
	if i, ok := b.requestOf[id]; ok {
		b.requests[i].responseStarted = true
		if ofResult {
			b.requests[i].deadline, b.requests[i].expectedBy = never, never
		}
	}
}
