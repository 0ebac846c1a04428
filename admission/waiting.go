package admission

// full reports whether so many more bytes, or one more request, would exceed the bounds.
func (d *Controller) full(bytes int) bool {
	return d.waiting >= d.bounds.MaxRequests || d.bytes+bytes > d.bounds.MaxBytes
}

// enqueue has a request wait in its tenant's queue.
func (d *Controller) enqueue(request int32, l *lane, client uint64) {
	t := &d.tickets[request]
	f := &l.flows[t.place]
	t.state = waiting
	t.key = f.clientTurn(client, t.work/d.classes[t.class].rank)
	if f.waiting == 0 {
		l.enter(d, t.place)
	}
	t.older = f.newest
	if t.older >= 0 {
		d.tickets[t.older].newer = request
	}
	f.newest = request
	f.next = d.queue.put(f.next, request)
	d.nextToFail = d.deadlines.put(d.nextToFail, request)
	f.waiting++
	f.work[t.priority] += t.work
	l.waiting++
	l.work += t.work
	d.waiting++
	d.bytes += int(t.bytes)
}

// dequeue takes a request out of its queue, and is the only function that does.
func (d *Controller) dequeue(request int32) {
	t := &d.tickets[request]
	l := &d.lanes[t.lane]
	f := &l.flows[t.place]
	f.next = d.queue.cut(f.next, request)
	d.nextToFail = d.deadlines.cut(d.nextToFail, request)
	d.unlink(t, f)
	f.waiting--
	f.work[t.priority] -= t.work
	l.waiting--
	l.work -= t.work
	d.waiting--
	d.bytes -= int(t.bytes)
	if f.waiting == 0 {
		f.work = [priorities]float64{} // no remainder of rounding stays
		l.exit(d, t.place)
	}
	if l.waiting == 0 {
		l.work = 0
	}
}

// unlink takes a request out of its tenant's list by arrival.
func (d *Controller) unlink(t *ticket, f *flow) {
	if t.newer >= 0 {
		d.tickets[t.newer].older = t.older
	} else {
		f.newest = t.older
	}
	if t.older >= 0 {
		d.tickets[t.older].newer = t.newer
	}
	t.older = none
	t.newer = none
}

// displace makes room for a request by refusing the newest ones of the tenant that has most work waiting for
// its weight. It returns false if that tenant is the request's own, or there is not enough room then.
//
// Danger: refusing whatever comes last lets one tenant hold all the room that there is.
func (d *Controller) displace(own *lane, place int32, t *ticket) bool {
	longest := own
	for k := range d.lanes {
		if d.lanes[k].work > longest.work {
			longest = &d.lanes[k]
		}
	}
	heaviest := d.heaviestPlace(longest)
	if heaviest == none || longest == own && heaviest == place {
		return false
	}
	f := &longest.flows[heaviest]
	for f.waiting > 0 && d.full(int(t.bytes)) {
		victim := f.newest
		d.dequeue(victim)
		d.totals.Displaced++
		d.refuse(victim)
	}
	return !d.full(int(t.bytes))
}

// heaviestPlace returns the place with most work waiting for its weight, or none.
func (d *Controller) heaviestPlace(l *lane) int32 {
	heaviest, most := none, 0.0
	for k := range l.flows {
		f := &l.flows[k]
		if f.waiting == 0 {
			continue
		}
		work := f.workBefore(retry) / d.weight(l, int32(k))
		if work > most {
			heaviest, most = int32(k), work
		}
	}
	return heaviest
}
