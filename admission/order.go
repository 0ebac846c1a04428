package admission

// servedFirst orders tenants by their tags.
func (l *lane) servedFirst(a, b int32) bool {
	x, y := l.flows[a].start, l.flows[b].start
	return x < y || x == y && a < b
}

// enter puts a tenant whose first request waits into the order of service.
func (l *lane) enter(d *Controller, place int32) {
	if l.order.before == nil {
		l.order.before = l.servedFirst
		l.order.grow(len(l.flows))
	}
	f := &l.flows[place]
	f.start = max(f.start, l.virtualTime)
	if d.names.owned(place) {
		l.ownWeight += d.weight(l, place)
	} else {
		l.sharedWaiting++
	}
	l.next = l.order.put(l.next, place)
}

// exit takes a tenant out of the order of service.
func (l *lane) exit(d *Controller, place int32) {
	l.next = l.order.cut(l.next, place)
	if d.names.owned(place) {
		l.ownWeight -= d.weight(l, place)
	} else {
		l.sharedWaiting--
	}
	if l.next < 0 {
		l.ownWeight = 0 // no remainder of rounding stays
	}
}

// charge moves a tenant's tag on by a request that is let in.
func (l *lane) charge(f *flow, weight, work float64) {
	start := max(f.start, l.virtualTime)
	l.virtualTime = start
	f.start = start + work/weight
	f.workDone += work
}

// reorder gives a tenant that is still in the order its new place there.
func (l *lane) reorder(place int32) {
	if l.flows[place].waiting > 0 {
		l.next = l.order.cut(l.next, place)
		l.next = l.order.put(l.next, place)
	}
}

// adjust charges a tenant for work afterwards, or gives some back, but no more than what was not yet made use
// of.
func (l *lane) adjust(d *Controller, place int32, work float64) {
	f := &l.flows[place]
	if work == 0 || f.start <= l.virtualTime && work < 0 {
		return
	}
	if f.waiting > 0 {
		l.next = l.order.cut(l.next, place)
	}
	f.start = max(f.start+work/d.weight(l, place), min(f.start, l.virtualTime))
	if f.waiting > 0 {
		l.next = l.order.put(l.next, place)
	}
}

// clientTurn returns a request's turn among those of its tenant's other clients: when its work would be done
// if each client had an equal part. It starts no sooner than what is served now.
func (f *flow) clientTurn(client uint64, work float64) float64 {
	turn := &f.clientTurns[client%clientPlaces]
	*turn = max(*turn, f.virtualTime) + work
	return *turn
}

// serve moves the tenant's own virtual time on.
//
// Danger: a number that only grows loses its low digits. It starts anew whenever nothing waits.
func (f *flow) serve(key float64) {
	f.virtualTime = max(f.virtualTime, key)
	if f.waiting == 0 {
		f.virtualTime = 0
		f.clientTurns = [clientPlaces]float64{}
	}
}
