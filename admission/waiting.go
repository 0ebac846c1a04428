package admission

// full reports whether one more request with a statement of that many bytes would exceed the bounds.
func (c *Controller) full(bytes int) bool {
	return c.waiting >= c.bounds.MaxRequests || c.bytes+bytes > c.bounds.MaxBytes
}

// enqueue adds a request to its flow.
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

// dequeue removes a request from its flow. No other function removes requests from flows.
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
		f.work = [priorities]float64{} // discards rounding errors
		s.deactivate(c, r.flowIndex)
	}
	if s.waiting == 0 {
		s.work = 0
	}
}

// unlink removes a request from the list of its flow's requests by arrival.
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

// displace makes room for a request by refusing the newest requests of another flow: in the scheduler with
// the most waiting work, the flow with the most waiting work relative to its weight. It returns false if that
// is the request's own flow, or if there is still not enough room.
//
// If the newest request were refused instead, one tenant could occupy all the room in the queues.
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

// heaviestFlow returns the index of the flow with the most waiting work relative to its weight, or none.
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
