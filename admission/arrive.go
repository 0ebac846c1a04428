package admission

// waitEighths is how many eighths of its time a request may wait.
const waitEighths = 3

// Arrive takes in a request. It is let in, queued or refused before Arrive returns.
func (d *Controller) Arrive(now Time, a Arrival) {
	d.now = now
	d.grow(int(a.Request) + 1)
	class := &d.classes[a.Class]
	again := class.tries.Observe(a.TimeLeft, 2*d.tickSpan) || a.MarkedRetry
	place := d.names.at(a.Tenant)
	laneIndex := d.laneAt(a.Group, class.Need)
	l := &d.lanes[laneIndex]
	d.tickets[a.Request] = ticket{
		lane:      laneIndex,
		place:     place,
		class:     int32(a.Class),
		bytes:     int32(a.Bytes),
		token:     d.names.token(a.Tenant, a.RetryKey),
		work:      class.work,
		arrivedAt: now,
		older:     none,
		newer:     none,
	}
	if l.flows == nil && l.hasRoom(d) {
		d.totals.Passed++
		d.letIn(a.Request)
		return
	}
	if l.flows == nil {
		l.flows = d.newFlows()
	}
	d.admit(&a, l, again)
}

// admit lets a request in, has it wait, or refuses it, by its tenant's share.
func (d *Controller) admit(a *Arrival, l *lane, again bool) {
	t := &d.tickets[a.Request]
	f := &l.flows[t.place]
	f.calendar.advance(d.now / d.slot)
	d.prioritize(t, f, again)
	weight := d.weight(l, t.place)
	if l.waiting == 0 && l.hasRoom(d) {
		if t.priority == retry {
			f.retryCredit = max(f.retryCredit-1, 0)
		}
		d.totals.Passed++
		l.charge(f, weight, t.work)
		d.letIn(a.Request)
		return
	}
	if !d.mayWait(a, l) {
		d.refuse(a.Request)
		return
	}
	if d.full(a.Bytes) && !d.displace(l, t.place, t) {
		d.totals.Displaced++
		d.refuse(a.Request)
		return
	}
	d.totals.Queued++
	d.enqueue(a.Request, l, a.Client)
}

// prioritize sets a request's priority. A retry that comes as it was told takes its promise up; a first try
// earns its tenant credit for retries.
func (d *Controller) prioritize(t *ticket, f *flow, again bool) {
	t.priority = firstTry
	if again {
		t.priority = retry
		d.takePromise(t)
	}
	switch t.priority {
	case firstTry:
		f.retryCredit = min(f.retryCredit+d.bounds.RetriesPerRequest, d.maxRetryCredit())
		f.firstTryWork += float32(t.work)
	case promised:
		d.totals.Kept++
	}
}

// mayWait reports whether a request may wait: a retry as far as its tenant has credit, and any request that
// would be let in in time.
//
// Danger: tries that come again at once feed the queue that refused them.
func (d *Controller) mayWait(a *Arrival, l *lane) bool {
	t := &d.tickets[a.Request]
	f := &l.flows[t.place]
	if t.priority == retry {
		if f.retryCredit < 1 {
			return false
		}
		f.retryCredit--
	}
	t.failsAt = d.now + d.classes[a.Class].waitLimit(t.priority, a.TimeLeft)
	wait := Time(l.expectedWait(d, f, d.weight(l, t.place), t.priority, a.Client))
	return d.now+wait <= t.failsAt
}

// waitLimit returns how long a request may wait: well under half its time, and not past what it needs to be
// answered within its expected time where nothing is left of its credit after that. A request that was told
// to come has mostly outlived that time, and is owed the place all the same.
func (c *requestClass) waitLimit(p priority, left Time) Time {
	limit := left * waitEighths / 8
	if c.LateCredit == 0 && p != promised {
		limit = min(limit, max(c.ExpectedTime-Time(2*c.work), c.ExpectedTime/4))
	}
	return limit
}

// letIn hands a request that is in no queue to the module.
func (d *Controller) letIn(request int32) {
	t := &d.tickets[request]
	t.state = admitted
	t.stateSince = d.now
	l := &d.lanes[t.lane]
	l.admitted++
	d.gate.Admit(request)
	if t.state != absent {
		l.learnFromAdmission(d, t.state == attempting)
	}
}
