package tenantsim

import (
	"encoding/binary"

	"micatrack/admission"
)

// State is that of a try.
type State string

// The states.
const (
	Arrived   State = "came"
	Held      State = "held" // in the module
	Sent      State = "out"
	Delivered State = "delivered"
	Refused   State = "turned back"
)

// Figures of a client's retries.
const (
	impatientPause    = 10 * millisecond
	reservationJitter = 5 * millisecond // by which a client comes later than it was told
	defaultPause      = 200 * millisecond
	defaultPauseRange = 800 * millisecond // on top of it
)

// statementBytes is the size of each request's statement.
const statementBytes = 200

// group is that of all requests.
const group = 1

// Try is one try of a request.
type Try struct {
	Tenant    *Tenant
	class     int
	client    uint64
	arrivedAt Time
	timeLeft  Time
	state     State
	retryHistory
}

// retryHistory is what a try has from those before it; all but born is zero for a first try.
type retryHistory struct {
	id             uint64 // the same for all tries of a request
	number         int    // of tries before
	firstArrivedAt Time   // when the first try arrived
	reservedPause  Time   // the pause that it was told; 0: none
	refusedAt      Time
}

// arrive brings one try in.
func (s *Simulation) arrive(t *Tenant, previous retryHistory) {
	index := s.allocateTry()
	if previous.number == 0 {
		s.lastID++
		previous.id = s.lastID
		t.Requests++
		t.FirstTries++
	}
	client := t.Client
	if client == 0 {
		client = uint64(s.random.Below(int64(max(t.Clients, 1))))
	}
	timeLeft := s.Settings.Classes[t.Class].Deadline
	s.tries[index] = Try{Tenant: t, class: t.Class, client: client, arrivedAt: s.Now, timeLeft: timeLeft, state: Arrived,
		retryHistory: previous}
	name := t.nextName()
	if s.Admission == nil {
		s.Admit(index)
		return
	}
	s.Admission.Arrive(s.Now, admission.Arrival{
		Request:     index,
		Class:       t.Class,
		Tenant:      name,
		Client:      client,
		RetryKey:    binary.BigEndian.AppendUint64(nil, previous.id),
		Group:       group,
		TimeLeft:    timeLeft,
		MarkedRetry: previous.number > 0 && t.Marked,
		Bytes:       statementBytes,
	})
}

// allocateTry returns the index of a free place for a try.
func (s *Simulation) allocateTry() int32 {
	if len(s.free) == 0 {
		s.free = append(s.free, int32(len(s.tries)))
		s.tries = append(s.tries, Try{})
	}
	index := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	return index
}

// end ends a try.
func (s *Simulation) end(index int32, how State) {
	if s.OnEnd != nil {
		s.OnEnd(s, &s.tries[index], string(how))
	}
	s.tries[index].state = how
	s.free = append(s.free, index)
	if s.Admission != nil {
		s.Admission.RequestEnded(s.Now, index)
		s.sendHeld() // the module's turn comes first
		s.Admission.AdmitWaiting(s.Now)
	}
}

// refuse ends a try that was refused, by the door or by the module, and plans the client's next one.
func (s *Simulation) refuse(index int32, pause Time) {
	ended := s.tries[index]
	t := ended.Tenant
	t.Refused++
	if pause > s.Settings.MaxRetryAfter {
		s.reportViolation("pause %d", pause)
	}
	if ended.reservedPause > 0 {
		t.ReservationsMissed++
	}
	s.end(index, Refused)
	if ended.number >= t.Retries {
		return
	}
	next := retryHistory{id: ended.id, number: ended.number + 1, firstArrivedAt: ended.firstArrivedAt}
	switch {
	case t.IgnoresPause:
		s.schedule(impatientPause, func() { s.arrive(t, next) })
	case pause > 0:
		t.Reserved++
		next.reservedPause = pause
		next.refusedAt = s.Now
		s.schedule(pause+s.random.Below(reservationJitter), func() { s.arrive(t, next) })
	default:
		s.schedule(defaultPause+s.random.Below(defaultPauseRange), func() { s.arrive(t, next) })
	}
}
