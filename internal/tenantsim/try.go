package tenantsim

import (
	"encoding/binary"

	"micatrack/admission"
)

// State is the state of a try.
type State string

// States of a try.
const (
	Arrived   State = "came"        // arrived, and not decided yet or waiting in admission control
	Held      State = "held"        // admitted, and held by the decision module
	Sent      State = "out"         // sent to a store
	Delivered State = "delivered"   // answered
	Refused   State = "turned back" // refused by admission control or by the decision module
)

// Pauses before a client retries.
const (
	// impatientPause is the pause of a client that ignores the one it is given.
	impatientPause = 10 * millisecond
	// reservationJitter limits by how much a client retries later than it was told to.
	reservationJitter = 5 * millisecond
	// defaultPause is the shortest pause of a client that is given none.
	defaultPause = 200 * millisecond
	// defaultPauseRange limits the random time that is added to defaultPause.
	defaultPauseRange = 800 * millisecond
)

// statementBytes is the size of the statement of each request.
const statementBytes = 200

// group is the group of all requests.
const group = 1

// Try is one try of a request.
type Try struct {
	Tenant    *Tenant // the tenant that sent it
	class     int     // its class, as an index in the settings
	client    uint64  // the client that sent it
	arrivedAt Time    // when it arrived
	timeLeft  Time    // time from its arrival until the client gives it up
	state     State
	retryHistory
}

// retryHistory is what a try takes over from the tries before it. It is given to arrive with all fields but
// firstArrivedAt 0 for a first try.
type retryHistory struct {
	id             uint64 // equal for all tries of a request
	number         int    // number of tries before this one
	firstArrivedAt Time   // when the first try arrived
	reservedPause  Time   // the pause that the client was given, or 0
	refusedAt      Time   // when the client was given reservedPause
}

// arrive simulates the arrival of one try.
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

// allocateTry returns the index of a free element of tries.
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
		s.sendHeld() // the decision module sends its held requests first
		s.Admission.AdmitWaiting(s.Now)
	}
}

// refuse ends a try that was refused, by admission control or by the decision module, and schedules the
// client's next one.
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
