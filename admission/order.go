package admission

// startsBefore reports whether flow a is served before flow b.
func (s *scheduler) startsBefore(a, b int32) bool {
	x, y := s.flows[a].startTag, s.flows[b].startTag
	return x < y || x == y && a < b
}

// activate adds a flow to the order of service when its first request starts to wait.
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

// deactivate removes a flow from the order of service.
func (s *scheduler) deactivate(c *Controller, flowIndex int32) {
	s.next = s.order.remove(s.next, flowIndex)
	if c.tenants.isDedicated(flowIndex) {
		s.dedicatedWeight -= c.weight(s, flowIndex)
	} else {
		s.sharedFlowsWaiting--
	}
	if s.next < 0 {
		s.dedicatedWeight = 0 // discards rounding errors
	}
}

// charge advances the start tag of a flow by the work of a request that is admitted.
func (s *scheduler) charge(f *flow, weight, work float64) {
	start := max(f.startTag, s.virtualTime)
	s.virtualTime = start
	f.startTag = start + work/weight
	f.admittedWork += work
}

// reorder moves a flow with waiting requests to its new position in the order of service.
func (s *scheduler) reorder(flowIndex int32) {
	if s.flows[flowIndex].waiting > 0 {
		s.next = s.order.remove(s.next, flowIndex)
		s.next = s.order.insert(s.next, flowIndex)
	}
}

// adjustCharge charges a flow for additional work after the fact. Negative work is refunded, but at most as
// much as keeps the start tag from falling behind the virtual time.
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

// clientFinishTag returns the finish tag of a client's next request: the virtual time in the flow at which
// its work would be done if all clients of the tenant had equal shares. The request starts no earlier than
// the current virtual time of the flow.
func (f *flow) clientFinishTag(client uint64, work float64) float64 {
	tag := &f.clientFinishTags[client%clientBuckets]
	*tag = max(*tag, f.virtualTime) + work
	return *tag
}

// advance advances the virtual time within the flow, and resets it whenever the flow becomes empty. Without
// the reset, the ever-growing number would lose its low digits.
func (f *flow) advance(finishTag float64) {
	f.virtualTime = max(f.virtualTime, finishTag)
	if f.waiting == 0 {
		f.virtualTime = 0
		f.clientFinishTags = [clientBuckets]float64{}
	}
}
