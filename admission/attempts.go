package admission

// workWeight is the weight of a new value in the average work of a class, as a divisor.
const workSmoothing = 32

// AttemptStarted takes in that an attempt of a request has started.
func (c *Controller) AttemptStarted(now Time, request int32) {
	c.now = now
	if int(request) >= len(c.requests) || c.requests[request].state != admitted {
		return
	}
	r := &c.requests[request]
	r.state = attempting
	r.stateSince = now
	r.attempts++
	c.schedulers[r.scheduler].attempting++
}

// AttemptEnded takes in that a request's attempt has ended, and no other has started so far. The time of an attempt
// that was answered is averaged into the work of its class.
func (c *Controller) AttemptEnded(now Time, request int32, delivered bool) {
	c.now = now
	if int(request) >= len(c.requests) || c.requests[request].state != attempting {
		return
	}
	r := &c.requests[request]
	if delivered {
		class := &c.classes[r.class]
		class.work = max(class.work+(float64(now-r.stateSince)-class.work)/workSmoothing, 1)
	}
	r.state = admitted
	r.stateSince = now
	c.schedulers[r.scheduler].attempting--
}

// RequestEnded takes in that a request has had its final answer, or its client is gone. It may be in any state, or
// not be held any more.
//
// Danger: a tenant whose attempts often fail must not pay less than what they cost. It was charged for one
// attempt, and is charged for the others here.
func (c *Controller) RequestEnded(now Time, request int32) {
	c.now = now
	if int(request) >= len(c.requests) {
		return
	}
	r := &c.requests[request]
	s := &c.schedulers[r.scheduler]
	switch r.state {
	case absent:
		return
	case waiting:
		c.dequeue(request)
	case attempting, admitted:
		if r.state == attempting {
			s.attempting--
		}
		s.admitted--
		if s.flows != nil {
			s.adjustCharge(c, r.flowIndex, r.work*float64(r.attempts-1))
		}
	}
	*r = requestRecord{}
}
