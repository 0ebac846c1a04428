package admission

// refuse refuses a request that is in no queue.
func (d *Controller) refuse(request int32) {
	t := &d.tickets[request]
	pause := d.promise(t)
	*t = ticket{}
	d.totals.Back++
	d.gate.Reject(request, pause)
}

// RetryAfter returns when the client of a request that the module has refused should come back. Otherwise is the
// module's own answer, which is returned where this package has none.
func (d *Controller) RetryAfter(now Time, request int32, otherwise Time) Time {
	d.now = now
	if int(request) >= len(d.tickets) || otherwise <= 0 {
		return otherwise
	}
	t := &d.tickets[request]
	if t.state == absent || d.lanes[t.lane].waiting == 0 {
		return otherwise
	}
	pause := d.promise(t)
	if pause > 0 {
		return pause
	}
	return otherwise
}

// promise books a request's work against its tenant's future share and returns when its client should come
// back. It returns 0 if the settings allow no time, or none within the longest allowed could be kept.
func (d *Controller) promise(t *ticket) Time {
	l := &d.lanes[t.lane]
	l.refused++
	if d.mostPause <= 0 || l.flows == nil || !l.learned(d) {
		return 0
	}
	f := &l.flows[t.place]
	f.calendar.advance(d.now / d.slot)
	weight := d.weight(l, t.place)
	share := l.pace * weight
	// First tries have the rest of the share, but must not take all of it from those who come back when told.
	room := max(share-float64(f.firstTryRate), share/4) * float64(d.slot)
	carried := max(f.start-l.virtualTime, 0)*weight + f.workBefore(retry)
	entry := d.promises.free(t.token, f.calendar.at)
	if entry == nil || t.token == 0 {
		return 0
	}
	ahead := f.calendar.book(float32(t.work), float32(carried), float32(room))
	if ahead == 0 {
		return 0
	}
	d.totals.Promised++
	slot := f.calendar.at + int64(ahead)
	*entry = promise{token: t.token, slot: slot, work: float32(t.work), lane: t.lane, place: t.place}
	// Clients that are told alike come spread over the slot.
	return min(max(slot*d.slot+d.chance.Below(d.slot)-d.now, 1), d.mostPause)
}

// takePromise has a retry take up the promise that was made to it, if that is due.
func (d *Controller) takePromise(t *ticket) {
	taken, due := d.promises.take(t.token, d.now/d.slot)
	if !due {
		return
	}
	t.priority = promised
	flows := d.lanes[taken.lane].flows
	if flows == nil {
		return
	}
	booked := &flows[taken.place].calendar
	booked.advance(d.now / d.slot)
	booked.strike(taken.slot, taken.work)
}
