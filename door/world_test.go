package door

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"testing"

	"micatrack/balance"
	"micatrack/internal/mwc"
)

// world plays customers, a stand-in of the decision module and stores with so many places on a virtual clock. The
// stand-in holds what has no place, the worthiest first and the newest of these, as the module does, and turns back
// what cannot be in time any more.
type world struct {
	t        testing.TB
	now      Time
	chance   mwc.Source
	events   events
	door     *Door // nil: jobs go straight to the module
	unbooked bool  // times are told by what waits alone
	fifo     bool  // the module holds in order of arrival
	places   int   // of the stores
	busy     int
	speed    float64
	held     []int32
	jobs     []errand
	free     []int32
	ids      uint64
	parties  []*party
	charter  balance.Charter
	pause    func(w *world) Time // that the module names
	logs     []string
	hook     func(w *world, e *errand, what string)
}

// errand is one try of a job, as the world sees it.
type errand struct {
	of      *party
	profile int
	client  uint64
	born    Time // of the job's first try
	came    Time
	left    Time
	try     int
	told    Time // that it had been told to come after; 0: nothing
	toldAt  Time
	state   string
	id      uint64 // the same for all tries
}

// party is one customer, or a crowd under ever new names.
type party struct {
	name          string
	crowd         bool // each job comes under a name of its own
	rate          func(now Time) float64
	profile       int
	clients       int
	client        uint64 // 0: drawn among clients
	tries         int    // further ones of a job
	hasty         bool   // it comes again at once, whatever it was told
	marked        bool
	asked, inTime int
	turned, late  int
	work          float64
	firsts, given int // first tries, and those of them delivered in time
	promised      int
	kept, missed  int
	offs          []float64 // how far the moment of being let in was from what was told, as a part of it
	serial        int
}

type event struct {
	at Time
	n  int
	do func()
}
type events struct {
	list []event
	n    int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, k int) bool {
	return e.list[i].at < e.list[k].at || e.list[i].at == e.list[k].at && e.list[i].n < e.list[k].n
}
func (e *events) Swap(i, k int) { e.list[i], e.list[k] = e.list[k], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

const ms = 10

func testCharter() balance.Charter {
	return balance.Charter{Seed: 7, Fronts: 1, Round: 5 * ms, MostPause: 1000 * ms, Profiles: []balance.Profile{
		{Name: "read", Need: balance.Any, ExpectedTime: 300 * ms, OuterLimit: 1200 * ms, Credit: 1},
		{Name: "save", Need: balance.Write, Repeat: balance.Numbered, Window: 3000 * ms, ExpectedTime: 600 * ms,
			OuterLimit: 3000 * ms, Credit: 4, LateCredit: 0.3},
	}}
}

func testBounds() Bounds {
	return Bounds{Jobs: 4096, Bytes: 16 << 20, Customers: 128, Places: 64, Strangers: 0.25, Further: 0.5}
}

func newWorld(t testing.TB, places int, door bool, parties ...*party) *world {
	w := &world{t: t, now: 17672256000000, chance: mwc.New(11), places: places, speed: 1, parties: parties,
		charter: testCharter()}
	w.pause = func(w *world) Time { return w.charter.MostPause/2 + w.chance.Below(w.charter.MostPause/2) }
	if door {
		var err error
		if w.door, err = New(w.now, w.charter, testBounds(), w); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *world) after(span Time, do func()) {
	w.events.n++
	heap.Push(&w.events, event{w.now + max(span, 0), w.events.n, do})
}

// play lets that much time pass, with arrivals drawn as a Poisson stream.
func (w *world) play(span Time) {
	end := w.now + span
	if w.events.n == 0 {
		for _, p := range w.parties {
			w.stream(p)
		}
		w.beat()
	}
	for len(w.events.list) > 0 && w.events.list[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) beat() {
	w.review()
	if w.door != nil {
		w.door.Beat(w.now)
	}
	w.fill()
	w.after(5*ms, w.beat)
}

func (w *world) stream(p *party) {
	at := float64(w.now) // gaps may be shorter than a Time
	var next func()
	next = func() {
		rate, gap := p.rate(w.now), 100.0*ms
		if rate > 0 {
			gap = min(gap, -math.Log((float64(w.chance.Next())+1)/(1<<32+1))*10000/rate)
		}
		if at += gap; gap < 100*ms {
			w.after(Time(at)-w.now, func() { w.ask(p, 0, 0, w.now, 0, 0); next() })
		} else {
			w.after(Time(at)-w.now, next)
		}
	}
	next()
}

// ask brings one try in.
func (w *world) ask(p *party, id uint64, try int, born, told, toldAt Time) {
	if len(w.free) == 0 {
		w.free = append(w.free, int32(len(w.jobs)))
		w.jobs = append(w.jobs, errand{})
	}
	i := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	if try == 0 {
		w.ids++
		id = w.ids
		p.asked++
		p.firsts++
	}
	left := w.charter.Profiles[p.profile].OuterLimit
	client := p.client
	if client == 0 {
		client = uint64(w.chance.Below(int64(max(p.clients, 1))))
	}
	w.jobs[i] = errand{of: p, profile: p.profile, client: client, born: born, came: w.now,
		left: left, try: try, told: told, toldAt: toldAt, state: "came", id: id}
	name := []byte(p.name)
	if p.crowd {
		p.serial++
		name = binary.BigEndian.AppendUint64(name, uint64(p.serial))
	}
	if w.door == nil {
		w.LetIn(i)
		return
	}
	w.door.Arrive(w.now, Arrival{Job: i, Profile: p.profile, Customer: name, Client: w.jobs[i].client, Mark: binary.BigEndian.AppendUint64(nil, id), Group: 1, Left: left,
		Repeated: try > 0 && p.marked, Bytes: 200})
}

func (w *world) LetIn(i int32) {
	e := &w.jobs[i]
	if e.state != "came" {
		w.t.Fatalf("job %d is let in when it is %s", i, e.state)
	}
	e.state = "held"
	w.held = append(w.held, i)
	w.fill()
}

func (w *world) rank(i int32) int {
	p := &w.charter.Profiles[w.jobs[i].profile]
	return math.Ilogb(p.Credit / float64(p.ExpectedTime))
}

// fill sends what is held while the stores have places.
func (w *world) fill() {
	for w.busy < w.places && len(w.held) > 0 {
		best := 0
		for k, i := range w.held {
			if !w.fifo && (w.rank(i) > w.rank(w.held[best]) ||
				w.rank(i) == w.rank(w.held[best]) && w.jobs[i].came >= w.jobs[w.held[best]].came) {
				best = k
			}
		}
		i := w.held[best]
		w.held = append(w.held[:best], w.held[best+1:]...)
		w.busy++
		e := &w.jobs[i]
		e.state = "out"
		if e.told > 0 {
			e.of.kept++
			e.of.offs = append(e.of.offs, math.Abs(float64(w.now-e.toldAt-e.told))/float64(e.told))
		}
		if w.door != nil {
			w.door.Sent(w.now, i)
		}
		work := Time(float64(w.charter.Profiles[e.profile].ExpectedTime) / 8 / w.speed * (0.75 + float64(w.chance.Below(1000))/2000))
		w.after(work, func() { w.done(i, work) })
	}
}

func (w *world) done(i int32, work Time) {
	e := &w.jobs[i]
	w.busy--
	if w.door != nil {
		w.door.Back(w.now, i, true)
	}
	e.of.work += float64(work)
	if w.now-e.born <= w.charter.Profiles[e.profile].ExpectedTime {
		e.of.inTime++
	} else {
		e.of.late++
	}
	if e.try == 0 && w.now-e.came <= w.charter.Profiles[e.profile].ExpectedTime {
		e.of.given++
	}
	w.end(i, "delivered")
	w.fill()
}

func (w *world) end(i int32, how string) {
	if w.hook != nil {
		w.hook(w, &w.jobs[i], how)
	}
	w.jobs[i].state = how
	w.free = append(w.free, i)
	if w.door != nil {
		w.door.Ended(w.now, i)
		w.fill() // the module's turn comes first
		w.door.Turn(w.now)
	}
}

// review turns back what the module holds in vain.
func (w *world) review() {
	keep := w.held[:0]
	var over []int32
	for _, i := range w.held {
		e := &w.jobs[i]
		p := &w.charter.Profiles[e.profile]
		late := p.LateCredit == 0 && w.now+p.ExpectedTime/8 > e.came+p.ExpectedTime
		if late || w.now+p.ExpectedTime/8 > e.came+e.left {
			over = append(over, i)
		} else {
			keep = append(keep, i)
		}
	}
	w.held = keep
	for _, i := range over {
		pause := w.pause(w)
		if w.door != nil {
			pause = w.door.Promise(w.now, i, pause)
		}
		w.refuse(i, pause)
	}
}

// TurnBack is the door's.
func (w *world) TurnBack(i int32, pause Time) {
	if s := w.jobs[i].state; s != "came" {
		w.t.Fatalf("job %d is turned back when it is %s", i, s)
	}
	if waited := w.now - w.jobs[i].came; 2*waited > w.jobs[i].left {
		w.t.Errorf("turned back after %d of %d", waited, w.jobs[i].left)
	}
	if w.unbooked {
		l := &w.door.lanes[0]
		place := w.door.names.at([]byte(w.jobs[i].of.name))
		if l.flows != nil {
			pause = min(Time(l.wait(w.door, &l.flows[place], w.door.weigh(l, place), further, w.jobs[i].client)), w.charter.MostPause)
		}
	}
	w.refuse(i, pause)
}

func (w *world) refuse(i int32, pause Time) {
	e := w.jobs[i]
	p := e.of
	p.turned++
	if pause > w.charter.MostPause {
		w.t.Errorf("pause %d", pause)
	}
	if e.told > 0 {
		p.missed++
	}
	w.end(i, "turned back")
	if e.try >= p.tries {
		return
	}
	switch {
	case p.hasty:
		w.after(10*ms, func() { w.ask(p, e.id, e.try+1, e.born, 0, 0) })
	case pause > 0:
		p.promised++
		at := w.now
		w.after(pause+w.chance.Below(5*ms), func() { w.ask(p, e.id, e.try+1, e.born, pause, at) })
	default:
		w.after(200*ms+w.chance.Below(800*ms), func() { w.ask(p, e.id, e.try+1, e.born, 0, 0) })
	}
}

func (w *world) Log(text string) { w.logs = append(w.logs, text) }

func steadily(rate float64) func(Time) float64 { return func(Time) float64 { return rate } }

// jain is Jain's index of fairness: 1 where all are equal, 1/n where one has all.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

func (p *party) share() float64 { return float64(p.inTime) / float64(max(p.asked, 1)) }

func (p *party) String() string {
	return fmt.Sprintf("%s: asked %d, in time %.3f, turned back %d, told %d kept %d missed %d", p.name, p.asked, p.share(), p.turned,
		p.promised, p.kept, p.missed)
}
