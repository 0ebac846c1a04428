package admission

const (
	slots = 32 // of the calendar: the longest time that may be named, divided
	lapse = 8  // slots after which a promise that was not taken up is void
)

// calendar holds the work that was promised to one customer, by when it was told to come back. It is a wheel:
// the slot that has just passed is the one furthest ahead.
type calendar struct {
	booked [slots]float32
	ripe   float32 // of slots that have passed, not taken up so far
	at     int64   // slots since the beginning of time, up to the present one
}

// advance lets slots pass until the present one is at. What has not been taken up by and by lapses.
func (c *calendar) advance(at int64) {
	if at-c.at >= slots+4*lapse {
		*c = calendar{at: at}
		return
	}
	for ; c.at < at; c.at++ {
		b := &c.booked[c.at%slots]
		c.ripe += *b - c.ripe/lapse
		*b = 0
	}
}

// due is the work that may be taken up now: of slots that have passed, of this one and of the next, since
// whoever comes back is early or late by a little.
func (c *calendar) due() float32 {
	return c.ripe + c.booked[c.at%slots] + c.booked[(c.at+1)%slots]
}

// strike takes work off that was booked for a slot.
func (c *calendar) strike(slot int64, work float32) {
	b := &c.ripe
	if slot >= c.at && slot < c.at+slots {
		b = &c.booked[slot%slots]
	}
	*b = max(*b-work, 0)
}

// book finds the first slot in which that much work fits, and gives how many slots ahead it is; 0: there is
// none. Before promises comes what is queued already, carried; each slot takes room. Where the drain has
// slowed, what was promised for a slot runs over into those behind it, and new promises are pushed back by as
// much.
func (c *calendar) book(work, carried, room float32) int {
	if room <= 0 {
		return 0
	}
	carried += c.ripe
	for ahead := 0; ahead < slots; ahead++ {
		b := &c.booked[(c.at+int64(ahead))%slots]
		if free := room - carried - *b; ahead > 0 && (free >= work || carried <= 0 && *b == 0) {
			*b += work
			return ahead
		}
		carried = max(carried+*b-room, 0)
	}
	return 0
}

// promise is one time that was told: to whom, for which slot, and in which customer's calendar it stands.
type promise struct {
	token       uint64
	slot        int64
	work        float32
	lane, place int32
}

// promises remembers who was told when to come, on shelves of a few by the token's hash. Danger: where
// anybody could take a promise up, those that come back unasked would use up the places of those that do as
// they were told.
type promises [][ways]promise

func newPromises(n int) promises { return make(promises, max(n/ways, 1)) }

func (p promises) shelf(token uint64) *[ways]promise {
	return &p[(token*hashFactor>>32)%uint64(len(p))]
}

// free gives a place for a promise to token: one that has lapsed by the slot at, or that token's own; nil:
// there is none, and no promise can be made.
func (p promises) free(token uint64, at int64) (place *promise) {
	shelf := p.shelf(token)
	for i := range shelf {
		if q := &shelf[i]; q.token == token && q.token != 0 {
			return q
		} else if q.token == 0 || at > q.slot+lapse {
			place = q
		}
	}
	return place
}

// take gives the promise to token if it has come due by the slot at, and forgets it.
func (p promises) take(token uint64, at int64) (q promise, ok bool) {
	shelf := p.shelf(token)
	for i := range shelf {
		if q = shelf[i]; q.token == token && token != 0 && at >= q.slot-1 && at <= q.slot+lapse {
			shelf[i] = promise{}
			return q, true
		}
	}
	return promise{}, false
}
