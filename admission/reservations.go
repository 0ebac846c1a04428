package admission

const (
	// wheelSlots is the number of slots in a reservationWheel. Together they span the longest allowed pause.
	wheelSlots = 32
	// graceSlots is the number of slots after which a reservation that was not used lapses.
	graceSlots = 8
)

// reservationWheel holds the work that is reserved for the retries of one tenant, by the slot in which they
// are due. It is a ring: the slot that has just passed becomes the one furthest ahead.
type reservationWheel struct {
	reserved [wheelSlots]float32 // work reserved in each slot
	overdue  float32             // work reserved in past slots and not used so far
	current  int64               // number of the current slot, counted from time 0
}

// advance makes slot the current one. Reserved work that is not used decays gradually once its slot has
// passed.
func (w *reservationWheel) advance(slot int64) {
	if slot-w.current >= wheelSlots+4*graceSlots {
		*w = reservationWheel{current: slot}
		return
	}
	for ; w.current < slot; w.current++ {
		slotWork := &w.reserved[w.current%wheelSlots]
		w.overdue += *slotWork - w.overdue/graceSlots
		*slotWork = 0
	}
}

// dueWork returns the reserved work that may be used now: that of past slots, of the current slot and of the
// next one, because clients return a little early or late.
func (w *reservationWheel) dueWork() float32 {
	return w.overdue + w.reserved[w.current%wheelSlots] + w.reserved[(w.current+1)%wheelSlots]
}

// release removes work that was reserved in a slot.
func (w *reservationWheel) release(slot int64, work float32) {
	slotWork := &w.overdue
	if slot >= w.current && slot < w.current+wheelSlots {
		slotWork = &w.reserved[slot%wheelSlots]
	}
	*slotWork = max(*slotWork-work, 0)
}

// reserve reserves work in the first slot with enough free capacity and returns how many slots ahead that is,
// or 0 if there is none. Each slot has the given capacity. The backlog of work that is already queued is
// served before any reservation.
//
// If the service rate has dropped, work reserved in a slot carries over into the following ones, and new
// reservations are pushed back accordingly.
func (w *reservationWheel) reserve(work, backlog, capacity float32) int {
	if capacity <= 0 {
		return 0
	}
	backlog += w.overdue
	for ahead := 0; ahead < wheelSlots; ahead++ {
		slotWork := &w.reserved[(w.current+int64(ahead))%wheelSlots]
		if free := capacity - backlog - *slotWork; ahead > 0 && (free >= work || backlog <= 0 && *slotWork == 0) {
			*slotWork += work
			return ahead
		}
		backlog = max(backlog+*slotWork-capacity, 0)
	}
	return 0
}

// reservation is the reserved time of one retry, and where its work is recorded.
type reservation struct {
	retryHash uint64  // identifies the request; 0 in an unused entry
	slot      int64   // the slot in which the retry is due
	work      float32 // the reserved work
	scheduler int32   // index of the scheduler that holds the work
	flowIndex int32   // index of the flow whose wheel holds the work
}

// reservationTable finds reservations by retry hash, in buckets of bucketSize entries. If any request could
// use a reservation, clients that return at other times than they were told to would use up the capacity
// reserved for those that comply.
type reservationTable [][bucketSize]reservation

// newReservationTable returns a table of about n entries.
func newReservationTable(n int) reservationTable { return make(reservationTable, max(n/bucketSize, 1)) }

// bucket returns the bucket for a retry hash.
func (t reservationTable) bucket(retryHash uint64) *[bucketSize]reservation {
	return &t[(retryHash*hashFactor>>32)%uint64(len(t))]
}

// entryFor returns the entry in which to store a reservation for a retry hash: the existing one for that
// hash, or one that is unused or has lapsed by the current slot. It returns nil if there is none, in which
// case no reservation can be made.
func (t reservationTable) entryFor(retryHash uint64, current int64) (entry *reservation) {
	bucket := t.bucket(retryHash)
	for i := range bucket {
		if r := &bucket[i]; r.retryHash == retryHash && r.retryHash != 0 {
			return r
		} else if r.retryHash == 0 || current > r.slot+graceSlots {
			entry = r
		}
	}
	return entry
}

// take removes and returns the reservation for a retry hash if it is due in the current slot.
func (t reservationTable) take(retryHash uint64, current int64) (r reservation, ok bool) {
	bucket := t.bucket(retryHash)
	for i := range bucket {
		if r = bucket[i]; r.retryHash == retryHash && retryHash != 0 && current >= r.slot-1 && current <= r.slot+graceSlots {
			bucket[i] = reservation{}
			return r, true
		}
	}
	return reservation{}, false
}
