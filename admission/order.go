package admission

// startsBefore orders tenants by their tags.
func (s *scheduler) startsBefore(a, b int32) bool {
	x, y := s.flows[a].startTag, s.flows[b].startTag
	return x < y || x == y && a < b
}

// activate puts a tenant whose first request waits into the order of service.
func (s *scheduler) activate(c *Controller, flowIndex int32) {
	if s.order.before == nil {
		s.order.before = s.startsBefore
		s.order.grow(len(s.flows))
	}
	f := &s.flows[flowIndex]
	f.startTag = max(f.startTag, s.virtualTime)
	if c.tenants.isDedicated(flowIndex) {
		s.dedicatedWeight += c.weight(s, flowIndex)
	} else {
		s.sharedFlowsWaiting++
	}
	s.next = s.order.insert(s.next, flowIndex)
}

// deactivate takes a tenant out of the order of service.
func (s *scheduler) deactivate(c *Controller, flowIndex int32) {
	s.next = s.order.remove(s.next, flowIndex)
	if c.tenants.isDedicated(flowIndex) {
		s.dedicatedWeight -= c.weight(s, flowIndex)
	} else {
		s.sharedFlowsWaiting--
	}
	if s.next < 0 {
		s.dedicatedWeight = 0 // no remainder of rounding stays
	}
}

// charge moves a tenant's tag on by a request that is let in.
func (s *scheduler) charge(f *flow, weight, work float64) {
	start := max(f.startTag, s.virtualTime)
	s.virtualTime = start
	f.startTag = start + work/weight
	f.admittedWork += work
}

// reorder gives a tenant that is still in the order its new place there.
func (s *scheduler) reorder(flowIndex int32) {
	if s.flows[flowIndex].waiting > 0 {
		s.next = s.order.remove(s.next, flowIndex)
		s.next = s.order.insert(s.next, flowIndex)
	}
}

// adjustCharge charges a tenant for work afterwards, or gives some back, but no more than what was not yet made use
// of.
func (s *scheduler) adjustCharge(c *Controller, flowIndex int32, work float64) {
	f := &s.flows[flowIndex]
	if work == 0 || f.startTag <= s.virtualTime && work < 0 {
		return
	}
	if f.waiting > 0 {
		s.next = s.order.remove(s.next, flowIndex)
	}
	f.startTag = max(f.startTag+work/c.weight(s, flowIndex), min(f.startTag, s.virtualTime))
	if f.waiting > 0 {
		s.next = s.order.insert(s.next, flowIndex)
	}
}

// clientFinishTag returns a request's turn among those of its tenant's other clients: when its work would be done
// if each client had an equal part. It starts no sooner than what is served now.
func (f *flow) clientFinishTag(client uint64, work float64) float64 {
	tag := &f.clientFinishTags[client%clientBuckets]
	*tag = max(*tag, f.virtualTime) + work
	return *tag
}

// advance moves the tenant's own virtual time on.
//
// Danger: a number that only grows loses its low digits. It starts anew whenever nothing waits.
func (f *flow) advance(finishTag float64) {
	f.virtualTime = max(f.virtualTime, finishTag)
	if f.waiting == 0 {
		f.virtualTime = 0
		f.clientFinishTags = [clientBuckets]float64{}
	}
}
