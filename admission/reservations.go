package admission

const (
	wheelSlots = 32 // of the calendar: the longest time that may be named, divided
	graceSlots = 8  // slots after which a promise that was not taken up is void
)

// reservationWheel holds the work that was promised to one customer, by when it was told to come back. It is a wheel:
// the slot that has just passed is the one furthest ahead.
type reservationWheel struct {
	reserved [wheelSlots]float32
	overdue  float32 // of slots that have passed, not taken up so far
	current  int64   // slots since the beginning of time, up to the present one
}

// advance lets slots pass until the present one is at. What has not been taken up by and by lapses.
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

// dueWork is the work that may be taken up now: of slots that have passed, of this one and of the next, since
// whoever comes back is early or late by a little.
func (w *reservationWheel) dueWork() float32 {
	return w.overdue + w.reserved[w.current%wheelSlots] + w.reserved[(w.current+1)%wheelSlots]
}

// release takes work off that was booked for a slot.
func (w *reservationWheel) release(slot int64, work float32) {
	slotWork := &w.overdue
	if slot >= w.current && slot < w.current+wheelSlots {
		slotWork = &w.reserved[slot%wheelSlots]
	}
	*slotWork = max(*slotWork-work, 0)
}

// reserve finds the first slot in which that much work fits, and gives how many slots ahead it is; 0: there is
// none. Before promises comes what is queued already, carried; each slot takes room. Where the drain has
// slowed, what was promised for a slot runs over into those behind it, and new promises are pushed back by as
// much.
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

// reservation is one time that was told: to whom, for which slot, and in which customer's calendar it stands.
type reservation struct {
	retryHash            uint64
	slot                 int64
	work                 float32
	scheduler, flowIndex int32
}

// reservationTable remembers who was told when to come, on shelves of a few by the token's hash. Danger: where
// anybody could take a promise up, those that come back unasked would use up the places of those that do as
// they were told.
type reservationTable [][bucketSize]reservation

func newReservationTable(n int) reservationTable { return make(reservationTable, max(n/bucketSize, 1)) }

func (t reservationTable) bucket(retryHash uint64) *[bucketSize]reservation {
	return &t[(retryHash*hashFactor>>32)%uint64(len(t))]
}

// entryFor gives a place for a promise to token: one that has lapsed by the slot at, or that token's own; nil:
// there is none, and no promise can be made.
func (t reservationTable) entryFor(retryHash uint64, current int64) (entry *reservation) {
	bucket := t.bucket(retryHash)
	for i := range bucket {
		if q := &bucket[i]; q.retryHash == retryHash && q.retryHash != 0 {
			return q
		} else if q.retryHash == 0 || current > q.slot+graceSlots {
			entry = q
		}
	}
	return entry
}

// take gives the promise to token if it has come due by the slot at, and forgets it.
func (t reservationTable) take(retryHash uint64, current int64) (q reservation, ok bool) {
	bucket := t.bucket(retryHash)
	for i := range bucket {
		if q = bucket[i]; q.retryHash == retryHash && retryHash != 0 && current >= q.slot-1 && current <= q.slot+graceSlots {
			bucket[i] = reservation{}
			return q, true
		}
	}
	return reservation{}, false
}
