package admission

// workWeight is the weight of a new value in the average work of a class, as a divisor.
const workWeight = 32

// AttemptStarted takes in that an attempt of a request has started.
func (d *Controller) AttemptStarted(now Time, request int32) {
	d.now = now
	if int(request) >= len(d.tickets) || d.tickets[request].state != admitted {
		return
	}
	t := &d.tickets[request]
	t.state = attempting
	t.stateSince = now
	t.attempts++
	d.lanes[t.lane].attempting++
}

// AttemptEnded takes in that a request's attempt has ended, and no other has started so far. The time of an attempt
// that was answered is averaged into the work of its class.
func (d *Controller) AttemptEnded(now Time, request int32, delivered bool) {
	d.now = now
	if int(request) >= len(d.tickets) || d.tickets[request].state != attempting {
		return
	}
	t := &d.tickets[request]
	if delivered {
		class := &d.classes[t.class]
		class.work = max(class.work+(float64(now-t.stateSince)-class.work)/workWeight, 1)
	}
	t.state = admitted
	t.stateSince = now
	d.lanes[t.lane].attempting--
}

// RequestEnded takes in that a request has had its final answer, or its client is gone. It may be in any state, or
// not be held any more.
//
// Danger: a tenant whose attempts often fail must not pay less than what they cost. It was charged for one
// attempt, and is charged for the others here.
func (d *Controller) RequestEnded(now Time, request int32) {
	d.now = now
	if int(request) >= len(d.tickets) {
		return
	}
	t := &d.tickets[request]
	l := &d.lanes[t.lane]
	switch t.state {
	case absent:
		return
	case waiting:
		d.dequeue(request)
	case attempting, admitted:
		if t.state == attempting {
			l.attempting--
		}
		l.admitted--
		if l.flows != nil {
			l.adjust(d, t.place, t.work*float64(t.attempts-1))
		}
	}
	*t = ticket{}
}
