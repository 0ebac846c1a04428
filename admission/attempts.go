package admission

// workSmoothing is the divisor that gives the weight of a new sample in the average work of a class.
const workSmoothing = 32

// AttemptStarted records that an attempt of a request has started.
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

// AttemptEnded records that the attempt of a request has ended and that no other one has started so far. If
// the attempt was answered, its duration is averaged into the work of the request's class.
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

// RequestEnded records that a request has had its final answer or that its client is gone. The request may be
// in any state, and may already have been forgotten.
//
// The tenant was charged for one attempt and is charged for the others here. Without this, a tenant whose
// attempts often fail would pay less than they cost.
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
