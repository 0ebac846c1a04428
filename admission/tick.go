package admission

// Tick refuses the requests that have waited too long, updates the estimates, and admits waiting requests as
// far as there is room. It has to be called at least once in the interval that the settings give.
func (c *Controller) Tick(now Time) {
	c.now = now
	for c.nextToExpire >= 0 && c.requests[c.nextToExpire].waitDeadline <= now {
		request := c.nextToExpire
		c.dequeue(request)
		c.refuse(request)
	}
	for k := range c.schedulers {
		c.schedulers[k].update(c)
	}
	if now >= c.epochEnds {
		c.epochEnds = now + c.epoch
		c.tenants.endEpoch(c.releaseFlow)
	}
	c.AdmitWaiting(now)
}

// releaseFlow resets a dedicated flow so that it can be assigned to another tenant. It returns false if
// requests of the flow still wait.
func (c *Controller) releaseFlow(flowIndex int32) bool {
	for k := range c.schedulers {
		s := &c.schedulers[k]
		if s.flows != nil && s.flows[flowIndex].waiting > 0 {
			return false
		}
	}
	for k := range c.schedulers {
		s := &c.schedulers[k]
		if s.flows != nil {
			s.flows[flowIndex] = c.newFlow()
		}
	}
	return true
}

// AdmitWaiting admits waiting requests as far as there is room. It has to be called after attempts have
// ended.
func (c *Controller) AdmitWaiting(now Time) {
	c.now = now
	if c.waiting == 0 {
		return
	}
	for k := range c.schedulers {
		s := &c.schedulers[k]
		for s.waiting > 0 && s.mayHandOff(c) {
			c.admitNext(s)
		}
	}
}

// admitNext admits the next request in the order of service.
func (c *Controller) admitNext(s *scheduler) {
	flowIndex := s.next
	f := &s.flows[flowIndex]
	request := f.next
	c.dequeue(request)
	r := &c.requests[request]
	f.advance(r.finishTag)
	s.charge(f, c.weight(s, flowIndex), r.work)
	s.reorder(flowIndex)
	c.admitNow(request)
}
