package admission

// full reports whether so many more bytes, or one more request, would exceed the bounds.
func (c *Controller) full(bytes int) bool {
	return c.waiting >= c.bounds.MaxRequests || c.bytes+bytes > c.bounds.MaxBytes
}

// enqueue has a request wait in its tenant's queue.
func (c *Controller) enqueue(request int32, s *scheduler, client uint64) {
	r := &c.requests[request]
	f := &s.flows[r.flowIndex]
	r.state = waiting
	r.finishTag = f.clientFinishTag(client, r.work/c.classes[r.class].rank)
	if f.waiting == 0 {
		s.activate(c, r.flowIndex)
	}
	r.older = f.newest
	if r.older >= 0 {
		c.requests[r.older].newer = request
	}
	f.newest = request
	f.next = c.queue.insert(f.next, request)
	c.nextToExpire = c.deadlines.insert(c.nextToExpire, request)
	f.waiting++
	f.work[r.priority] += r.work
	s.waiting++
	s.work += r.work
	c.waiting++
	c.bytes += int(r.bytes)
}

// dequeue takes a request out of its queue, and is the only function that does.
func (c *Controller) dequeue(request int32) {
	r := &c.requests[request]
	s := &c.schedulers[r.scheduler]
	f := &s.flows[r.flowIndex]
	f.next = c.queue.remove(f.next, request)
	c.nextToExpire = c.deadlines.remove(c.nextToExpire, request)
	c.unlink(r, f)
	f.waiting--
	f.work[r.priority] -= r.work
	s.waiting--
	s.work -= r.work
	c.waiting--
	c.bytes -= int(r.bytes)
	if f.waiting == 0 {
		f.work = [priorities]float64{} // no remainder of rounding stays
		s.deactivate(c, r.flowIndex)
	}
	if s.waiting == 0 {
		s.work = 0
	}
}

// unlink takes a request out of its tenant's list by arrival.
func (c *Controller) unlink(r *requestRecord, f *flow) {
	if r.newer >= 0 {
		c.requests[r.newer].older = r.older
	} else {
		f.newest = r.older
	}
	if r.older >= 0 {
		c.requests[r.older].newer = r.newer
	}
	r.older = none
	r.newer = none
}

// displace makes room for a request by refusing the newest ones of the tenant that has most work waiting for
// its weight. It returns false if that tenant is the request's own, or there is not enough room then.
//
// Danger: refusing whatever comes last lets one tenant hold all the room that there is.
func (c *Controller) displace(own *scheduler, flowIndex int32, r *requestRecord) bool {
	longest := own
	for k := range c.schedulers {
		if c.schedulers[k].work > longest.work {
			longest = &c.schedulers[k]
		}
	}
	heaviest := c.heaviestFlow(longest)
	if heaviest == none || longest == own && heaviest == flowIndex {
		return false
	}
	f := &longest.flows[heaviest]
	for f.waiting > 0 && c.full(int(r.bytes)) {
		victim := f.newest
		c.dequeue(victim)
		c.totals.Displaced++
		c.refuse(victim)
	}
	return !c.full(int(r.bytes))
}

// heaviestFlow returns the place with most work waiting for its weight, or none.
func (c *Controller) heaviestFlow(s *scheduler) int32 {
	heaviest, most := none, 0.0
	for k := range s.flows {
		f := &s.flows[k]
		if f.waiting == 0 {
			continue
		}
		work := f.workBefore(retry) / c.weight(s, int32(k))
		if work > most {
			heaviest, most = int32(k), work
		}
	}
	return heaviest
}
