package admission

// Tick is called once in a round of the settings or more often: it refuses what has waited too long, learns
// from what has passed, and lets in what there is room for.
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

// releaseFlow has a place forget the tenant that had it, and returns false if requests of it still wait.
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

// AdmitWaiting lets in what there is room for. It is called when attempts have ended.
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

// admitNext lets in the next request of the tenant whose turn it is.
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
