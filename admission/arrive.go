package admission

// waitEighths is how many eighths of its remaining time a request may wait.
const waitEighths = 3

// Arrive processes the arrival of a request. The request is admitted, queued or refused before Arrive
// returns.
func (c *Controller) Arrive(now Time, a Arrival) {
	c.now = now
	c.grow(int(a.Request) + 1)
	class := &c.classes[a.Class]
	isRetry := class.tries.Observe(a.TimeLeft, 2*c.tickInterval) || a.MarkedRetry
	flowIndex := c.tenants.flowIndex(a.Tenant)
	index := c.schedulerIndex(a.Group, class.Need)
	s := &c.schedulers[index]
	c.requests[a.Request] = requestRecord{
		scheduler: index,
		flowIndex: flowIndex,
		class:     int32(a.Class),
		bytes:     int32(a.Bytes),
		retryHash: c.tenants.retryHash(a.Tenant, a.RetryKey),
		work:      class.work,
		arrivedAt: now,
		older:     none,
		newer:     none,
	}
	if s.flows == nil && s.mayHandOff(c) {
		c.totals.Passed++
		c.admitNow(a.Request)
		return
	}
	if s.flows == nil {
		s.flows = c.newFlows()
	}
	c.admitOrQueue(&a, s, isRetry)
}

// admitOrQueue admits, queues or refuses a request, depending on its tenant's share.
func (c *Controller) admitOrQueue(a *Arrival, s *scheduler, isRetry bool) {
	r := &c.requests[a.Request]
	f := &s.flows[r.flowIndex]
	f.reservations.advance(c.now / c.slotSpan)
	c.prioritize(r, f, isRetry)
	weight := c.weight(s, r.flowIndex)
	if s.waiting == 0 && s.mayHandOff(c) {
		if r.priority == retry {
			f.retryCredit = max(f.retryCredit-1, 0)
		}
		c.totals.Passed++
		s.charge(f, weight, r.work)
		c.admitNow(a.Request)
		return
	}
	if !c.mayWait(a, s) {
		c.refuse(a.Request)
		return
	}
	if c.full(a.Bytes) && !c.displace(s, r.flowIndex, r) {
		c.totals.Displaced++
		c.refuse(a.Request)
		return
	}
	c.totals.Queued++
	c.enqueue(a.Request, s, a.Client)
}

// prioritize sets the priority of a request. A retry that arrives at its reserved time uses up its
// reservation. A first try earns retry credit for its tenant.
func (c *Controller) prioritize(r *requestRecord, f *flow, isRetry bool) {
	r.priority = firstTry
	if isRetry {
		r.priority = retry
		c.takeReservation(r)
	}
	switch r.priority {
	case firstTry:
		f.retryCredit = min(f.retryCredit+c.bounds.RetriesPerRequest, c.maxRetryCredit())
		f.firstTryWork += float32(r.work)
	case reserved:
		c.totals.Kept++
	}
}

// mayWait reports whether a request may wait. A retry may wait only while its tenant has retry credit, and
// any request only if it is expected to be admitted before its wait deadline.
//
// Without the credit, clients that retry at once would keep filling the queue that refused them.
func (c *Controller) mayWait(a *Arrival, s *scheduler) bool {
	r := &c.requests[a.Request]
	f := &s.flows[r.flowIndex]
	if r.priority == retry {
		if f.retryCredit < 1 {
			return false
		}
		f.retryCredit--
	}
	r.waitDeadline = c.now + c.classes[a.Class].waitLimit(r.priority, a.TimeLeft)
	wait := Time(s.expectedWait(c, f, c.weight(s, r.flowIndex), r.priority, a.Client))
	return c.now+wait <= r.waitDeadline
}

// waitLimit returns how long a request may wait: well under half of its remaining time. If the class gives no
// credit for late answers, the limit also leaves enough time to answer within the expected time. That does
// not apply to a request with a reservation: it has usually exceeded its expected time already, and it must
// be served all the same.
func (c *requestClass) waitLimit(p priority, timeLeft Time) Time {
	limit := timeLeft * waitEighths / 8
	if c.LateCredit == 0 && p != reserved {
		limit = min(limit, max(c.ExpectedTime-Time(2*c.work), c.ExpectedTime/4))
	}
	return limit
}

// admitNow hands a request that is not queued to the decision module.
func (c *Controller) admitNow(request int32) {
	r := &c.requests[request]
	r.state = admitted
	r.stateSince = c.now
	s := &c.schedulers[r.scheduler]
	s.admitted++
	c.handler.Admit(request)
	if r.state != absent {
		s.learnFromAdmission(c, r.state == attempting)
	}
}
