package tenantsim

import "math"

// workDivisor gives the mean work of an attempt as a part of the class's expected time.
const workDivisor = 8

// Admit takes in a request that the door lets in.
func (w *Simulation) Admit(index int32) {
	try := &w.tries[index]
	if try.state != Arrived {
		w.violated("job %d is let in when it is %s", index, try.state)
	}
	try.state = Held
	w.held = append(w.held, index)
	w.sendHeld()
}

// Reject takes in a request that the door refuses.
func (w *Simulation) Reject(index int32, pause Time) {
	try := &w.tries[index]
	if try.state != Arrived {
		w.violated("job %d is turned back when it is %s", index, try.state)
	}
	waited := w.Now - try.arrivedAt
	if 2*waited > try.left {
		w.violated("turned back after %d of %d", waited, try.left)
	}
	if w.OverridePause != nil {
		pause = w.OverridePause(try.Tenant, try.client, pause)
	}
	w.refuse(index, pause)
}

// rank is the module's: by powers of two of the credit for the time.
func (w *Simulation) rank(index int32) int {
	class := &w.Settings.Classes[w.tries[index].class]
	return math.Ilogb(class.Credit / float64(class.ExpectedTime))
}

// precedes reports whether the module sends one held request before another that was held before it.
func (w *Simulation) precedes(index, other int32) bool {
	if w.FIFO {
		return false
	}
	rank, otherRank := w.rank(index), w.rank(other)
	return rank > otherRank || rank == otherRank && w.tries[index].arrivedAt >= w.tries[other].arrivedAt
}

// sendHeld sends held requests while the stores have places.
func (w *Simulation) sendHeld() {
	for w.busy < w.places && len(w.held) > 0 {
		best := 0
		for k, index := range w.held {
			if w.precedes(index, w.held[best]) {
				best = k
			}
		}
		index := w.held[best]
		w.held = append(w.held[:best], w.held[best+1:]...)
		w.send(index)
	}
}

func (w *Simulation) send(index int32) {
	w.busy++
	try := &w.tries[index]
	try.state = Sent
	if try.told > 0 {
		try.Tenant.ReservationsKept++
		off := math.Abs(float64(w.Now-try.toldAt-try.told)) / float64(try.told)
		try.Tenant.PauseErrors = append(try.Tenant.PauseErrors, off)
	}
	if w.Admission != nil {
		w.Admission.AttemptStarted(w.Now, index)
	}
	expected := float64(w.Settings.Classes[try.class].ExpectedTime)
	work := Time(expected / workDivisor / w.Speed * (0.75 + float64(w.random.Below(1000))/2000))
	w.after(work, func() { w.deliver(index) })
}

// deliver ends an attempt with an answer.
func (w *Simulation) deliver(index int32) {
	try := &w.tries[index]
	w.busy--
	if w.Admission != nil {
		w.Admission.AttemptEnded(w.Now, index, true)
	}
	expected := w.Settings.Classes[try.class].ExpectedTime
	if w.Now-try.born <= expected {
		try.Tenant.InTime++
	}
	if try.number == 0 && w.Now-try.arrivedAt <= expected {
		try.Tenant.FirstTriesInTime++
	}
	w.end(index, Delivered)
	w.sendHeld()
}

// refuseLate refuses held requests that cannot be delivered in time any more.
func (w *Simulation) refuseLate() {
	var late []int32
	keep := w.held[:0]
	for _, index := range w.held {
		if w.tooLate(&w.tries[index]) {
			late = append(late, index)
		} else {
			keep = append(keep, index)
		}
	}
	w.held = keep
	for _, index := range late {
		pause := w.Pause(w)
		if w.Admission != nil {
			pause = w.Admission.RetryAfter(w.Now, index, pause)
		}
		w.refuse(index, pause)
	}
}

func (w *Simulation) tooLate(try *Try) bool {
	class := &w.Settings.Classes[try.class]
	doneAt := w.Now + class.ExpectedTime/workDivisor
	if class.LateCredit == 0 && doneAt > try.arrivedAt+class.ExpectedTime {
		return true
	}
	return doneAt > try.arrivedAt+try.left
}
