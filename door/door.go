// Package door holds the queues at the point of entry of one front: what waits there, who is let in next, who is
// turned back and when it had better come again. Which store serves a job, and whether it makes another trip,
// the decision module (package balance) says as before; the door only keeps the queue in front of it instead of
// in it, because there it can be fair.
//
// Fair is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each customer carries a tag, the virtual
// time at which its next job starts; the smallest tag is served first and moves on by the job's work over the
// customer's weight. It needs no knowledge of how fast the stores drain, which changes all the time.
//
// The caller owns the jobs and numbers them from 0; it calls one function at a time with the present moment, in
// tenths of a millisecond. The door does no I/O and reads no clock, and the same calls lead to the same actions.
package door

import (
	"fmt"

	"micatrack/balance"
	"micatrack/internal/mwc"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = balance.Time

// Gate is what the door can do. Each job that arrives is let in or turned back, once.
type Gate interface {
	LetIn(job int32)                // to the decision module; Sent may be called before it returns
	TurnBack(job int32, pause Time) // never sent: trying again is harmless; pause: when to come back, 0: not said
	Log(text string)
}

// Bounds is how much the door may hold.
type Bounds struct {
	Jobs      int     // that wait at once
	Bytes     int     // of their statements
	Customers int     // with places of their own, beside those that the charter names
	Places    int     // shared by all others
	Strangers float64 // weight of those together, as a part of what the customers with own places weigh
	Further   float64 // further tries let in for each first try
}

// Arrival is a job as it comes to the door. Nothing of it is kept but numbers.
type Arrival struct {
	Job      int32
	Profile  int // as the charter numbers them
	Customer []byte
	Client   uint64 // the connection, or whoever else stands for one client of that customer
	Mark     []byte // the same for all tries of a job, as far as can be told; empty: nothing tells them
	Group    uint64
	Left     Time // until the client gives this try up
	Repeated bool // marked as a further try
	Bytes    int
}

const (
	mostLanes = 64 // of a group and a need each; past that lanes are shared
	backlog   = 3  // eighths of its time that a job may wait at the door
)

// state of a job's ticket.
type state uint8

const (
	absent  state = iota
	waiting       // at the door
	inside        // let in, and no trip is out
	out           // let in, and a trip is
)

// class orders the jobs of one customer: those that were told to come now, first tries, further tries.
type class uint8

const (
	told class = iota
	first
	further
)

// ticket is one job in hand.
type ticket struct {
	state       state
	class       class
	flow, lane  int32
	profile     int32
	trips       int32
	bytes       int32
	older       int32 // in its flow, by arrival; -1: none
	newer       int32
	token       uint64
	key         float64 // order within its class
	work        float64 // that it was charged
	came, until Time    // until: it is turned back unless it was let in
	since       Time    // it was let in, or its trip set out
}

// profile is what the door knows of one kind of job.
type profile struct {
	balance.Class
	work  float64 // of a trip, learned; tenths of a millisecond
	rank  float64 // credit for the work, as a part of the mean over all profiles
	tries balance.Tries
}

// Door is the queues of one front.
type Door struct {
	gate             Gate
	now              Time
	bounds           Bounds
	chance           mwc.Source
	profiles         []profile
	names            *names
	promises         promises
	quotas           []float64 // weight of each customer of the charter
	lanes            []lane    // never moved: each refers to itself
	laneOf           map[laneKey]int32
	tickets          []ticket
	queue            piles // tickets in their flows
	late             piles // tickets by the moment they are turned back
	lateTop          int32
	jobs, bytes      int // that wait
	epochEnds, epoch Time
	beat, quickest   Time
	slot, mostPause  Time
	totals           Totals
}

// Totals counts what the door has done since its start.
type Totals struct {
	Passed    int64 // let in within the turn they came
	Queued    int64 // had to wait
	Back      int64 // turned back at the door
	Displaced int64 // of them, for want of room here
	Promised  int64 // of them, told when to come
	Kept      int64 // came back as told, and were let in as told
	Contended int64 // times that contention began
}

// New opens a door. The charter gives the profiles, the customers and their quotas, the rounds and the longest
// pause; a charter or bounds out of range are an error.
func New(now Time, c balance.Charter, b Bounds, gate Gate) (*Door, error) {
	if len(c.Classes) == 0 {
		return nil, fmt.Errorf("door: no profiles")
	}
	if b.Jobs < 1 || b.Bytes < 1 || b.Customers < 1 || b.Places < 1 || b.Strangers <= 0 || b.Further < 0 {
		return nil, fmt.Errorf("door: bounds out of range: %+v", b)
	}
	d := &Door{gate: gate, now: now, bounds: b, chance: mwc.New(c.Seed + 1), lateTop: -1, mostPause: c.MostPause,
		laneOf: make(map[laneKey]int32, mostLanes), lanes: make([]lane, 0, mostLanes), beat: max(c.Round, 1), quickest: c.Classes[0].ExpectedTime,
		epoch: c.Classes[0].Deadline}
	credit := 0.0
	for _, p := range c.Classes {
		if p.ExpectedTime <= 0 || p.Deadline <= 0 {
			return nil, fmt.Errorf("door: profile %q: times out of range", p.Name)
		}
		q := profile{Class: p, work: float64(p.ExpectedTime) / 4}
		d.profiles = append(d.profiles, q)
		credit += p.Credit / q.work
		d.quickest = min(d.quickest, p.ExpectedTime)
		d.epoch = min(d.epoch, p.Deadline)
	}
	for i := range d.profiles {
		p := &d.profiles[i]
		// Credit counts inside one customer, but must not starve what earns little.
		p.rank = min(max(p.Credit/p.work*float64(len(c.Classes))/max(credit, 1e-9), 0.25), 4)
	}
	mean, names := 0.0, []string{}
	for _, q := range c.Tenants {
		mean += q.Quota / float64(len(c.Tenants))
		names = append(names, q.Name)
	}
	for _, q := range c.Tenants {
		weight := 1.0
		if mean > 0 {
			weight = max(q.Quota/mean, 1.0/64) // one with no quota still gets something
		}
		d.quotas = append(d.quotas, weight)
	}
	d.slot = max(c.MostPause/slots, 1)
	d.promises = newPromises(b.Jobs)
	d.names = newNames(c.Seed, names, b.Customers, b.Places)
	d.epochEnds = now + d.epoch
	d.queue.before = func(a, b int32) bool {
		x, y := &d.tickets[a], &d.tickets[b]
		if x.class != y.class {
			return x.class < y.class
		}
		return x.key < y.key || x.key == y.key && a < b
	}
	d.late.before = func(a, b int32) bool {
		x, y := d.tickets[a].until, d.tickets[b].until
		return x < y || x == y && a < b
	}
	return d, nil
}

// Waiting is how many jobs wait at the door.
func (d *Door) Waiting() int { return d.jobs }

// Totals gives the counts so far.
func (d *Door) Totals() Totals { return d.totals }

// Arrive takes a job. It is let in, queued or turned back before Arrive returns.
func (d *Door) Arrive(now Time, a Arrival) {
	d.now = now
	d.grow(int(a.Job) + 1)
	p := &d.profiles[a.Profile]
	again := p.tries.Further(a.Left, 2*d.beat) || a.Repeated
	place := d.names.at(a.Customer)
	li := d.laneAt(a.Group, p.Need)
	l := &d.lanes[li]
	t := &d.tickets[a.Job]
	*t = ticket{lane: li, flow: place, profile: int32(a.Profile), bytes: int32(a.Bytes), token: d.names.token(a.Customer, a.Mark), work: p.work,
		came: now, older: -1, newer: -1}
	if l.flows == nil {
		if l.open(d) {
			d.totals.Passed++
			d.letIn(a.Job)
			return
		}
		l.flows = d.newFlows()
	}
	d.queueUp(a, l, place, again)
}

// queueUp lets a job in by its customer's turn, or has it wait for that.
func (d *Door) queueUp(a Arrival, l *lane, place int32, again bool) {
	p, t, f := &d.profiles[a.Profile], &d.tickets[a.Job], &l.flows[place]
	f.calendar.advance(d.now / d.slot)
	t.class = first
	if again {
		t.class = further
		if q, ok := d.promises.take(t.token, d.now/d.slot); ok {
			t.class = told
			if g := d.lanes[q.lane].flows; g != nil {
				g[q.place].calendar.advance(d.now / d.slot)
				g[q.place].calendar.strike(q.slot, q.work)
			}
		}
	}
	switch t.class {
	case first:
		f.tries = min(f.tries+d.bounds.Further, d.mostTries())
		f.asked += float32(p.work)
	case told:
		d.totals.Kept++
	}
	if l.waiting == 0 && l.open(d) {
		if t.class == further {
			f.tries = max(f.tries-1, 0)
		}
		d.totals.Passed++
		l.charge(f, d.weigh(l, place), t.work)
		d.letIn(a.Job)
		return
	}
	if t.class == further {
		// Danger: tries that come again at once feed the queue that turned them away.
		if f.tries < 1 {
			d.turnBack(a.Job)
			return
		}
		f.tries--
	}
	t.until = d.now + p.patience(t.class, a.Left)
	if d.now+Time(l.wait(d, f, d.weigh(l, place), t.class, a.Client)) > t.until {
		d.turnBack(a.Job)
		return
	}
	if d.jobs >= d.bounds.Jobs || d.bytes+a.Bytes > d.bounds.Bytes {
		if !d.displace(l, place, t) {
			d.totals.Displaced++
			d.turnBack(a.Job)
			return
		}
	}
	d.totals.Queued++
	d.enqueue(a.Job, l, a.Client)
}

// patience is how long a job may wait at the door: well under half its time, and not past what it needs to be
// answered within its expected time where nothing is left of its credit after that. Whoever was told to come has
// mostly outlived that time, and is owed the place all the same.
func (p *profile) patience(c class, left Time) Time {
	most := left * backlog / 8
	if p.LateCredit == 0 && c != told {
		most = min(most, max(p.ExpectedTime-Time(2*p.work), p.ExpectedTime/4))
	}
	return most
}

func (d *Door) enqueue(job int32, l *lane, client uint64) {
	t := &d.tickets[job]
	f := &l.flows[t.flow]
	t.state = waiting
	t.key = f.seat(client, t.work/d.profiles[t.profile].rank)
	if f.jobs == 0 {
		l.enter(d, t.flow)
	}
	if t.older = f.newest; t.older >= 0 {
		d.tickets[t.older].newer = job
	}
	f.newest = job
	f.top = d.queue.put(f.top, job)
	d.lateTop = d.late.put(d.lateTop, job)
	f.jobs++
	f.work[t.class] += t.work
	l.waiting++
	l.work += t.work
	d.jobs++
	d.bytes += int(t.bytes)
}

// leave is the one place where a job's place in the queues is given back.
func (d *Door) leave(job int32) {
	t := &d.tickets[job]
	l := &d.lanes[t.lane]
	f := &l.flows[t.flow]
	f.top = d.queue.cut(f.top, job)
	d.lateTop = d.late.cut(d.lateTop, job)
	if t.newer >= 0 {
		d.tickets[t.newer].older = t.older
	} else {
		f.newest = t.older
	}
	if t.older >= 0 {
		d.tickets[t.older].newer = t.newer
	}
	t.older, t.newer = -1, -1
	f.jobs--
	f.work[t.class] -= t.work
	l.waiting--
	l.work -= t.work
	d.jobs--
	d.bytes -= int(t.bytes)
	if f.jobs == 0 {
		f.work = [3]float64{}
		l.exit(d, t.flow)
	}
	if l.waiting == 0 {
		l.work = 0
	}
}

// letIn hands a job that stands in no queue to the module.
func (d *Door) letIn(job int32) {
	t := &d.tickets[job]
	t.state, t.since = inside, d.now
	l := &d.lanes[t.lane]
	l.inside++
	d.gate.LetIn(job)
	if t.state != absent {
		l.heed(d, t.state == out)
	}
}

// turnBack refuses a job that stands in no queue.
func (d *Door) turnBack(job int32) {
	t := &d.tickets[job]
	pause := d.promise(t)
	*t = ticket{}
	d.totals.Back++
	d.gate.TurnBack(job, pause)
}

// promise books the job's work against its customer's future share and tells when to come back; 0: the settings
// allow no time, or none within the longest allowed could be kept.
func (d *Door) promise(t *ticket) Time {
	l := &d.lanes[t.lane]
	l.refused++
	if d.mostPause <= 0 || l.flows == nil || l.sure < d.quickest/4 {
		return 0
	}
	f := &l.flows[t.flow]
	f.calendar.advance(d.now / d.slot)
	weight := d.weigh(l, t.flow)
	share := l.pace * weight
	// First tries have the rest of the share, but must not take all of it from those who come back when told.
	room := max(share-float64(f.wants), share/4) * float64(d.slot)
	carried := max(f.start-l.v, 0)*weight + f.queued(further)
	place := d.promises.free(t.token, f.calendar.at)
	if place == nil || t.token == 0 {
		return 0
	}
	ahead := f.calendar.book(float32(t.work), float32(carried), float32(room))
	if ahead == 0 {
		return 0
	}
	d.totals.Promised++
	*place = promise{token: t.token, slot: f.calendar.at + int64(ahead), work: float32(t.work), lane: t.lane, place: t.flow}
	// Clients that are told alike come spread over the slot.
	at := (f.calendar.at + int64(ahead)) * d.slot
	return min(max(at+d.chance.Below(d.slot)-d.now, 1), d.mostPause)
}

// Promise tells when a job that the module has turned back had better come again; otherwise is the module's word,
// which holds where the door has none.
func (d *Door) Promise(now Time, job int32, otherwise Time) Time {
	d.now = now
	if int(job) >= len(d.tickets) || otherwise <= 0 || d.tickets[job].state == absent ||
		d.lanes[d.tickets[job].lane].waiting == 0 {
		return otherwise
	}
	if pause := d.promise(&d.tickets[job]); pause > 0 {
		return pause
	}
	return otherwise
}

// displace makes room for a job of the customer at place by turning back the newest job of the customer that has
// most work waiting for its weight; false: that customer is the job's own.
// Danger: dropping whatever comes last lets one customer hold all the room that there is.
func (d *Door) displace(own *lane, place int32, t *ticket) bool {
	longest := own
	for i := range d.lanes {
		if l := &d.lanes[i]; l.work > longest.work {
			longest = l
		}
	}
	at, most := int32(-1), 0.0
	for i := range longest.flows {
		f := &longest.flows[i]
		if f.jobs == 0 {
			continue
		}
		if v := f.queued(further) / d.weigh(longest, int32(i)); v > most {
			at, most = int32(i), v
		}
	}
	if at < 0 || longest == own && at == place {
		return false
	}
	for f := &longest.flows[at]; f.jobs > 0 && (d.jobs >= d.bounds.Jobs || d.bytes+int(t.bytes) > d.bounds.Bytes); {
		victim := f.newest
		d.leave(victim)
		d.totals.Displaced++
		d.turnBack(victim)
	}
	return d.jobs < d.bounds.Jobs && d.bytes+int(t.bytes) <= d.bounds.Bytes
}

// Sent takes in that an attempt of the request has started.
func (d *Door) Sent(now Time, job int32) {
	d.now = now
	if int(job) >= len(d.tickets) || d.tickets[job].state != inside {
		return
	}
	t := &d.tickets[job]
	t.state, t.since = out, now
	t.trips++
	d.lanes[t.lane].out++
}

// Back takes in that the request's attempt is over, and no other has started so far. The time of an attempt that was
// answered is averaged into the cost of its class.
func (d *Door) Back(now Time, job int32, delivered bool) {
	d.now = now
	if int(job) >= len(d.tickets) || d.tickets[job].state != out {
		return
	}
	t := &d.tickets[job]
	if p := &d.profiles[t.profile]; delivered {
		p.work = max(p.work+(float64(now-t.since)-p.work)/32, 1)
	}
	t.state, t.since = inside, now
	d.lanes[t.lane].out--
}

// Ended takes in that the request has had its final answer, or its client is gone. It may be in any state, or not be
// held any more.
func (d *Door) Ended(now Time, job int32) {
	d.now = now
	if int(job) >= len(d.tickets) {
		return
	}
	t := &d.tickets[job]
	l := &d.lanes[t.lane]
	switch t.state {
	case absent:
		return
	case waiting:
		d.leave(job)
	case out:
		l.out--
		fallthrough
	case inside:
		l.inside--
		if l.flows != nil {
			// It was charged one trip's work. Danger: who fails much must not pay less than what it cost.
			l.amend(d, t.flow, t.work*float64(t.trips-1))
		}
	}
	*t = ticket{}
}

// Beat is called once in a round or more often: it turns back what has waited for too long and learns from what has
// passed.
func (d *Door) Beat(now Time) {
	d.now = now
	for d.lateTop >= 0 && d.tickets[d.lateTop].until <= now {
		job := d.lateTop
		d.leave(job)
		d.turnBack(job)
	}
	for i := range d.lanes {
		d.lanes[i].learn(d)
	}
	if now >= d.epochEnds {
		d.epochEnds = now + d.epoch
		d.names.turn(func(place int32) bool {
			for i := range d.lanes {
				if l := &d.lanes[i]; l.flows != nil && l.flows[place].jobs > 0 {
					return false
				}
			}
			for i := range d.lanes {
				if l := &d.lanes[i]; l.flows != nil {
					l.flows[place] = d.newFlow()
				}
			}
			return true
		})
	}
	d.Turn(now)
}

// Turn lets in what there is room for. It is called when trips have come back.
func (d *Door) Turn(now Time) {
	d.now = now
	if d.jobs == 0 {
		return
	}
	for i := range d.lanes {
		for l := &d.lanes[i]; l.waiting > 0 && l.open(d); {
			place := l.top
			f := &l.flows[place]
			job := f.top
			d.leave(job)
			t := &d.tickets[job]
			f.serve(t.key)
			l.charge(f, d.weigh(l, place), t.work)
			l.again(d, place)
			d.letIn(job)
		}
	}
}

func (d *Door) grow(n int) {
	for len(d.tickets) < n {
		d.tickets = append(d.tickets, ticket{})
	}
	d.queue.grow(n)
	d.late.grow(n)
}
