package tenantsim

import "math"

// workDivisor gives the mean work of an attempt, as a part of the expected time of its class.
const workDivisor = 8

// Admit takes over a request that admission control has admitted.
func (s *Simulation) Admit(index int32) {
	try := &s.tries[index]
	if try.state != Arrived {
		s.reportViolation("request %d is admitted in state %q", index, try.state)
	}
	try.state = Held
	s.held = append(s.held, index)
	s.sendHeld()
}

// Reject processes the refusal of a request by admission control.
func (s *Simulation) Reject(index int32, pause Time) {
	try := &s.tries[index]
	if try.state != Arrived {
		s.reportViolation("request %d is refused in state %q", index, try.state)
	}
	waited := s.Now - try.arrivedAt
	if 2*waited > try.timeLeft {
		s.reportViolation("refused after waiting for %d of %d", waited, try.timeLeft)
	}
	if s.OverridePause != nil {
		pause = s.OverridePause(try.Tenant, try.client, pause)
	}
	s.refuse(index, pause)
}

// rank returns the priority of a request in the decision module: the exponent of its credit per time, as a
// power of two.
func (s *Simulation) rank(index int32) int {
	class := &s.Settings.Classes[s.tries[index].class]
	return math.Ilogb(class.Credit / float64(class.ExpectedTime))
}

// precedes reports whether the module sends the held request index before other, which it has held for
// longer.
func (s *Simulation) precedes(index, other int32) bool {
	if s.FIFO {
		return false
	}
	rank, otherRank := s.rank(index), s.rank(other)
	return rank > otherRank || rank == otherRank && s.tries[index].arrivedAt >= s.tries[other].arrivedAt
}

// sendHeld sends held requests while the stores have free slots.
func (s *Simulation) sendHeld() {
	for s.busy < s.slots && len(s.held) > 0 {
		best := 0
		for k, index := range s.held {
			if s.precedes(index, s.held[best]) {
				best = k
			}
		}
		index := s.held[best]
		s.held = append(s.held[:best], s.held[best+1:]...)
		s.send(index)
	}
}

// send starts an attempt of a request, and schedules its end.
func (s *Simulation) send(index int32) {
	s.busy++
	try := &s.tries[index]
	try.state = Sent
	if try.reservedPause > 0 {
		try.Tenant.ReservationsKept++
		pauseError := math.Abs(float64(s.Now-try.refusedAt-try.reservedPause)) / float64(try.reservedPause)
		try.Tenant.PauseErrors = append(try.Tenant.PauseErrors, pauseError)
	}
	if s.Admission != nil {
		s.Admission.AttemptStarted(s.Now, index)
	}
	expected := float64(s.Settings.Classes[try.class].ExpectedTime)
	work := Time(expected / workDivisor / s.Speed * (0.75 + float64(s.random.Below(1000))/2000))
	s.schedule(work, func() { s.deliver(index) })
}

// deliver ends an attempt with an answer.
func (s *Simulation) deliver(index int32) {
	try := &s.tries[index]
	s.busy--
	if s.Admission != nil {
		s.Admission.AttemptEnded(s.Now, index, true)
	}
	expected := s.Settings.Classes[try.class].ExpectedTime
	if s.Now-try.firstArrivedAt <= expected {
		try.Tenant.InTime++
	}
	if try.number == 0 && s.Now-try.arrivedAt <= expected {
		try.Tenant.FirstTriesInTime++
	}
	s.end(index, Delivered)
	s.sendHeld()
}

// refuseLate refuses held requests that can no longer be answered in time.
func (s *Simulation) refuseLate() {
	var late []int32
	keep := s.held[:0]
	for _, index := range s.held {
		if s.tooLate(&s.tries[index]) {
			late = append(late, index)
		} else {
			keep = append(keep, index)
		}
	}
	s.held = keep
	for _, index := range late {
		pause := s.Pause(s)
		if s.Admission != nil {
			pause = s.Admission.RetryAfter(s.Now, index, pause)
		}
		s.refuse(index, pause)
	}
}

// tooLate reports whether a held request can no longer be answered in time.
func (s *Simulation) tooLate(try *Try) bool {
	class := &s.Settings.Classes[try.class]
	doneAt := s.Now + class.ExpectedTime/workDivisor
	if class.LateCredit == 0 && doneAt > try.arrivedAt+class.ExpectedTime {
		return true
	}
	return doneAt > try.arrivedAt+try.timeLeft
}
