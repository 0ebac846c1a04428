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
	impatientPause  = 10 * millisecond
	promiseJitter   = 5 * millisecond // by which a client comes later than it was told
	unpromisedPause = 200 * millisecond
	unpromisedRange = 800 * millisecond // on top of it
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
	left      Time
	state     State
	retryOf
}

// retryOf is what a try has from those before it; all but born is zero for a first try.
type retryOf struct {
	id     uint64 // the same for all tries of a request
	number int    // of tries before
	born   Time   // when the first try arrived
	told   Time   // the pause that it was told; 0: none
	toldAt Time
}

// arrive brings one try in.
func (w *Simulation) arrive(t *Tenant, previous retryOf) {
	index := w.allocateTry()
	if previous.number == 0 {
		w.lastID++
		previous.id = w.lastID
		t.Requests++
		t.FirstTries++
	}
	client := t.Client
	if client == 0 {
		client = uint64(w.random.Below(int64(max(t.Clients, 1))))
	}
	left := w.Settings.Classes[t.Class].Deadline
	w.tries[index] = Try{Tenant: t, class: t.Class, client: client, arrivedAt: w.Now, left: left, state: Arrived,
		retryOf: previous}
	name := t.nextName()
	if w.Admission == nil {
		w.Admit(index)
		return
	}
	w.Admission.Arrive(w.Now, admission.Arrival{
		Request:     index,
		Class:       t.Class,
		Tenant:      name,
		Client:      client,
		RetryKey:    binary.BigEndian.AppendUint64(nil, previous.id),
		Group:       group,
		TimeLeft:    left,
		MarkedRetry: previous.number > 0 && t.Marked,
		Bytes:       statementBytes,
	})
}

// allocateTry returns the index of a free place for a try.
func (w *Simulation) allocateTry() int32 {
	if len(w.free) == 0 {
		w.free = append(w.free, int32(len(w.tries)))
		w.tries = append(w.tries, Try{})
	}
	index := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	return index
}

// end ends a try.
func (w *Simulation) end(index int32, how State) {
	if w.OnEnd != nil {
		w.OnEnd(w, &w.tries[index], string(how))
	}
	w.tries[index].state = how
	w.free = append(w.free, index)
	if w.Admission != nil {
		w.Admission.RequestEnded(w.Now, index)
		w.sendHeld() // the module's turn comes first
		w.Admission.AdmitWaiting(w.Now)
	}
}

// refuse ends a try that was refused, by the door or by the module, and plans the client's next one.
func (w *Simulation) refuse(index int32, pause Time) {
	ended := w.tries[index]
	t := ended.Tenant
	t.Refused++
	if pause > w.Settings.MaxRetryAfter {
		w.violated("pause %d", pause)
	}
	if ended.told > 0 {
		t.ReservationsMissed++
	}
	w.end(index, Refused)
	if ended.number >= t.Retries {
		return
	}
	next := retryOf{id: ended.id, number: ended.number + 1, born: ended.born}
	switch {
	case t.IgnoresPause:
		w.after(impatientPause, func() { w.arrive(t, next) })
	case pause > 0:
		t.Reserved++
		next.told = pause
		next.toldAt = w.Now
		w.after(pause+w.random.Below(promiseJitter), func() { w.arrive(t, next) })
	default:
		w.after(unpromisedPause+w.random.Below(unpromisedRange), func() { w.arrive(t, next) })
	}
}
