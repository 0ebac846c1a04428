package door

import (
	"fmt"
	"strings"

	"micatrack/balance"
)

const (
	clients = 16 // hashed places of a customer's clients
	saved   = 16 // first tries whose further tries a customer may save up
	begin   = 4  // jobs that may stand in the module without a trip where nothing waits
	most    = 1 << 20
)

// laneKey names what jobs compete for: the same group, by the same need.
type laneKey struct {
	group uint64
	need  balance.Need
}

// lane is the jobs that compete for the same members of one group. A job that waits for a primary must not keep
// back a read that any replica serves, so each need has its own.
type lane struct {
	key         laneKey
	flows       []flow // by the customer's place; nil until jobs have competed here
	order       piles  // flows that have jobs waiting, by their tags
	top         int32
	v           float64 // virtual time: the tag of the job that was let in last
	own         float64 // weight of the customers with own places that have jobs waiting
	shared      int     // shared places that have
	inside, out int     // jobs let in; of them, those whose trip is out
	room        float64 // jobs that may stand in the module without a trip; learned
	full        int     // trips that were out when the module last held a job that it was handed
	tryAt, gap  Time    // when one more is tried although it holds some; how long until the next time
	idle        Time    // since when no trip is out though jobs were let in
	waiting     int
	work        float64 // that waits
	pace        float64 // of virtual time while jobs wait: what a customer of weight 1 gets; learned
	sure        Time    // how long it has been learned in this contention
	beatAt      Time
	beatV       float64 // virtual time then
	since       Time    // jobs have waited here without a break, 0: none does
	quiet       Time    // since when none has, once contention was told
	said        bool    // contention was told
	refused     int     // turned back since then
}

// flow is one customer's queue in one lane, or that of all customers who share a place.
type flow struct {
	top      int32 // the job that is next
	newest   int32
	jobs     int32
	work     [3]float64 // that waits, by class
	start    float64    // virtual time at which its next job starts
	v        float64    // the flow's own virtual time, between its clients
	seats    [clients]float64
	calendar calendar
	tries    float64 // further tries that it may still have let in
	asked    float32 // work of first tries since the last beat
	wants    float32 // the same for each Time, smoothed
	done     float64 // work let in since contention was told
}

func (d *Door) newFlow() flow { return flow{top: -1, newest: -1, tries: d.mostTries()} }

func (d *Door) newFlows() []flow {
	flows := make([]flow, d.names.places())
	for i := range flows {
		flows[i] = d.newFlow()
	}
	return flows
}

// mostTries is how many further tries a customer may save up.
func (d *Door) mostTries() float64 { return saved * d.bounds.Further }

// laneAt gives the lane of a group and a need. Past the most lanes they are shared.
func (d *Door) laneAt(group uint64, need balance.Need) int32 {
	key := laneKey{group, need}
	if i, ok := d.laneOf[key]; ok {
		return i
	}
	if len(d.lanes) == mostLanes {
		return int32((group*0x9fb21c651e98df25>>32 + uint64(need)) % mostLanes)
	}
	i := int32(len(d.lanes))
	d.laneOf[key] = i
	d.lanes = append(d.lanes, lane{key: key, top: -1, room: begin, beatAt: d.now, idle: d.now})
	return i
}

// open tells whether the module is handed one more job. What it has no trip for would only wait there, where customers
// have no shares: the worthiest goes first and of these the newest, whoever sent it, and the oldest stands until it
// is too late. While jobs wait here one is enough: as it sets out the next follows in the same turn.
func (l *lane) open(d *Door) bool {
	return float64(l.inside-l.out) < l.room || l.waiting > 0 && (l.out < l.full || d.now >= l.tryAt)
}

// weigh gives the weight of the customer at a place: its quota's, or one; customers that share places have a part
// of what the others weigh, however many they are. Danger: who comes under ever new names would have ever more.
func (d *Door) weigh(l *lane, place int32) float64 {
	if int(place) < len(d.quotas) {
		return d.quotas[place]
	}
	if d.names.owned(place) {
		return 1
	}
	return min(1, max(l.own*d.bounds.Strangers, 1)/float64(max(l.shared, 1)))
}

// enter puts a customer whose first job has come into the order of service.
func (l *lane) enter(d *Door, place int32) {
	if l.order.before == nil {
		l.order.before = func(a, b int32) bool {
			x, y := l.flows[a].start, l.flows[b].start
			return x < y || x == y && a < b
		}
		l.order.grow(len(l.flows))
	}
	f := &l.flows[place]
	f.start = max(f.start, l.v)
	if d.names.owned(place) {
		l.own += d.weigh(l, place)
	} else {
		l.shared++
	}
	l.top = l.order.put(l.top, place)
}

func (l *lane) exit(d *Door, place int32) {
	l.top = l.order.cut(l.top, place)
	if d.names.owned(place) {
		l.own -= d.weigh(l, place)
	} else {
		l.shared--
	}
	if l.top < 0 {
		l.own = 0
	}
}

// charge moves the customer's tag on by a job that is let in.
func (l *lane) charge(f *flow, weight, work float64) {
	start := max(f.start, l.v)
	l.v = start
	f.start = start + work/weight
	f.done += work
}

// again gives a customer that is still in the order its new place there.
func (l *lane) again(d *Door, place int32) {
	if l.flows[place].jobs > 0 {
		l.top = l.order.cut(l.top, place)
		l.top = l.order.put(l.top, place)
	}
}

// amend charges work afterwards, or gives some back, but no more than what was not yet made use of.
func (l *lane) amend(d *Door, place int32, work float64) {
	f := &l.flows[place]
	if work == 0 || f.start <= l.v && work < 0 {
		return
	}
	if f.jobs > 0 {
		l.top = l.order.cut(l.top, place)
	}
	f.start = max(f.start+work/d.weigh(l, place), min(f.start, l.v))
	if f.jobs > 0 {
		l.top = l.order.put(l.top, place)
	}
}

// seat gives a job its turn among those of the customer's other clients, by when its work would be done if each
// client had an equal part. It starts no sooner than what is served now.
func (f *flow) seat(client uint64, work float64) float64 {
	s := &f.seats[client%clients]
	*s = max(*s, f.v) + work
	return *s
}

// serve moves the customer's own virtual time on. Danger: a number that only grows loses its low digits.
func (f *flow) serve(key float64) {
	if f.v = max(f.v, key); f.jobs == 0 {
		f.v, f.seats = 0, [clients]float64{}
	}
}

// queued is the work that waits and goes before a job of that class.
func (f *flow) queued(c class) (work float64) {
	for _, v := range f.work[:c+1] {
		work += v
	}
	return work
}

// before is the work that is served before a client's next job if each of those that wait has an equal part.
// Danger: by the whole queue, one client that keeps it full would have the others turned away.
func (f *flow) before(client uint64) float64 {
	n := 0.0
	for _, s := range f.seats {
		if s > f.v {
			n++
		}
	}
	return max(f.seats[client%clients]-f.v, 0) * n
}

// wait is how long a job of the customer would wait, by what is ahead of it at its customer's share. Until that
// has been learned nothing is known, and the job is let wait.
func (l *lane) wait(d *Door, f *flow, weight float64, c class, client uint64) float64 {
	if l.sure < d.quickest/4 || l.pace <= 0 {
		return 0
	}
	ahead := min(f.queued(c), f.before(client))
	if c != told { // what was booked is ahead of all that was not
		ahead += float64(f.calendar.due())
	}
	return (max(f.start-l.v, 0) + ahead/weight) / l.pace
}

// learn is called at each beat.
func (l *lane) learn(d *Door) {
	span := float64(max(d.now-l.beatAt, 1))
	over := float64(d.quickest) * 2
	if l.waiting > 0 {
		// Virtual time passes as fast as a customer of weight 1 is served that always has more to ask for: those that
		// ask for less than their share leave it to the others, and that is in it. The first figures count for more.
		l.sure = min(l.sure+Time(span), 2*d.quickest)
		l.pace += ((l.v-l.beatV)/span - l.pace) * span / float64(l.sure)
	}
	l.beatAt, l.beatV = d.now, l.v
	for i := range l.flows {
		f := &l.flows[i]
		f.wants += (f.asked/float32(span) - f.wants) * float32(min(span/over, 1))
		f.asked = 0
	}
	l.makeRoom(d)
	l.tell(d)
}

// makeRoom is called at each beat. Where no trip is out at all, what the module holds waits for no store of ours,
// and its wait is none of the door's: it is handed ever more, and says what is in vain.
func (l *lane) makeRoom(d *Door) {
	if l.out > 0 || l.inside == 0 {
		l.idle = d.now
	}
	switch {
	case l.waiting == 0:
		l.room = begin
	case d.now-l.idle > d.quickest/8:
		l.room = min(l.room*2, most)
	default:
		l.room = 1
	}
}

// heed learns from a job that was just let in. One that sets out at once shows that the stores have places; one that is
// held, that as many trips as are out now is all that the module allows, or that this very job waits for something
// else. So another one is tried as soon as fewer are out, and from time to time, ever more seldom while that is in
// vain, and time after time while it is not.
func (l *lane) heed(d *Door, sent bool) {
	if sent {
		l.gap = max(l.gap/2, d.beat)
		return
	}
	l.full = l.out
	l.gap = min(max(2*l.gap, d.beat), d.quickest)
	l.tryAt = d.now + l.gap
}

// tell logs when contention begins and ends.
func (l *lane) tell(d *Door) {
	if l.waiting > 0 {
		if l.quiet = 0; l.since == 0 {
			l.since = d.now
		}
		if !l.said && d.now-l.since > d.quickest/4 {
			l.said, l.refused = true, 0
			d.totals.Contended++
			d.gate.Log(fmt.Sprintf("door: jobs wait at group %d (%s): %d; of the work: %s", l.key.group, needs[l.key.need],
				l.waiting, l.heaviest(d, func(f *flow) float64 { return f.queued(further) })))
			for i := range l.flows {
				l.flows[i].done = 0
			}
		}
		return
	}
	l.since = 0
	if l.quiet == 0 {
		l.quiet = d.now
	}
	if d.now-l.quiet > 2*d.quickest {
		l.sure = 0
	}
	if l.said && l.sure == 0 {
		l.said = false
		d.gate.Log(fmt.Sprintf("door: no job waits at group %d (%s) any more; turned back meanwhile: %d; of the work let in: %s",
			l.key.group, needs[l.key.need], l.refused, l.heaviest(d, func(f *flow) float64 { return f.done })))
	}
}

var needs = [...]string{"any data", "bounded age", "session", "fresh", "writes"}

// heaviest names the three customers with the largest parts.
func (l *lane) heaviest(d *Door, of func(f *flow) float64) string {
	var top [3]int32
	var parts [3]float64
	sum := 0.0
	for i := range l.flows {
		v := of(&l.flows[i])
		sum += v
		for k, at := 0, int32(i); k < len(top); k++ {
			if v > parts[k] {
				parts[k], v = v, parts[k]
				top[k], at = at, top[k]
			}
		}
	}
	var said []string
	for k, v := range parts {
		if v > 0 {
			said = append(said, fmt.Sprintf("%s %.0f%%", d.names.call(top[k]), 100*v/sum))
		}
	}
	return strings.Join(said, ", ")
}
