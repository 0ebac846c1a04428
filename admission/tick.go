package admission

// Tick is called once in a round of the settings or more often: it refuses what has waited too long, learns
// from what has passed, and lets in what there is room for.
func (d *Controller) Tick(now Time) {
	d.now = now
	for d.nextToFail >= 0 && d.tickets[d.nextToFail].failsAt <= now {
		request := d.nextToFail
		d.dequeue(request)
		d.refuse(request)
	}
	for k := range d.lanes {
		d.lanes[k].learn(d)
	}
	if now >= d.epochEnds {
		d.epochEnds = now + d.epoch
		d.names.turn(d.releasePlace)
	}
	d.AdmitWaiting(now)
}

// releasePlace has a place forget the tenant that had it, and returns false if requests of it still wait.
func (d *Controller) releasePlace(place int32) bool {
	for k := range d.lanes {
		l := &d.lanes[k]
		if l.flows != nil && l.flows[place].waiting > 0 {
			return false
		}
	}
	for k := range d.lanes {
		l := &d.lanes[k]
		if l.flows != nil {
			l.flows[place] = d.newFlow()
		}
	}
	return true
}

// AdmitWaiting lets in what there is room for. It is called when attempts have ended.
func (d *Controller) AdmitWaiting(now Time) {
	d.now = now
	if d.waiting == 0 {
		return
	}
	for k := range d.lanes {
		l := &d.lanes[k]
		for l.waiting > 0 && l.hasRoom(d) {
			d.letNextIn(l)
		}
	}
}

// letNextIn lets in the next request of the tenant whose turn it is.
func (d *Controller) letNextIn(l *lane) {
	place := l.next
	f := &l.flows[place]
	request := f.next
	d.dequeue(request)
	t := &d.tickets[request]
	f.serve(t.key)
	l.charge(f, d.weight(l, place), t.work)
	l.reorder(place)
	d.letIn(request)
}
