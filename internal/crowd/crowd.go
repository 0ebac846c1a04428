// Package crowd plays customers of a front on a virtual clock, with a stand-in of the decision module and of stores
// behind the door, so that what the door does to each of them can be held against what is fair. The same seed plays
// the same day.
package crowd

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"

	"micatrack/balance"
	"micatrack/door"
	"micatrack/internal/mwc"
)

// World plays customers, a stand-in of the decision module and stores with so many places on a virtual clock. The
// stand-in holds what has no place, the worthiest first and the newest of these, as the module does, and turns back
// what cannot be in time any more.
type World struct {
	Now     Time
	chance  mwc.Source
	events  events
	Door    *door.Door // nil: jobs go straight to the module
	Broken  []string   // what must not happen, and did
	FIFO    bool       // the module holds in order of arrival
	places  int        // of the stores
	busy    int
	Speed   float64
	held    []int32
	jobs    []Try
	free    []int32
	ids     uint64
	parties []*Party
	Charter balance.Charter
	Pause   func(w *World) Time                            // that the module names
	Tell    func(p *Party, client uint64, pause Time) Time // what is told in place of the door's time; nil: that
	Logs    []string
	Hook    func(w *World, e *Try, what string)
}

// Try is one try of a job, as the World sees it.
type Try struct {
	Of      *Party
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

// Party is one customer, or a crowd under ever new names.
type Party struct {
	Name          string
	Crowd         bool // each job comes under a name of its own
	Rate          func(now Time) float64
	Profile       int
	Clients       int
	Client        uint64 // 0: drawn among clients
	Tries         int    // further ones of a job
	Hasty         bool   // it comes again at once, whatever it was told
	Marked        bool
	Asked, InTime int
	Turned, late  int
	work          float64
	Firsts, Given int // first tries, and those of them delivered in time
	Promised      int
	Kept, Missed  int
	Offs          []float64 // how far the moment of being let in was from what was told, as a part of it
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

const (
	ms = 10

	// Start is the moment at which every world begins.
	Start Time = 17672256000000
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = balance.Time

// Charter is a service with a read of any data and a numbered write.
func Charter() balance.Charter {
	return balance.Charter{Seed: 7, Fronts: 1, Round: 5 * ms, MostPause: 1000 * ms, Classes: []balance.Class{
		{Name: "read", Need: balance.Any, ExpectedTime: 300 * ms, Deadline: 1200 * ms, Credit: 1},
		{Name: "save", Need: balance.Write, Repeat: balance.Keyed, Window: 3000 * ms, ExpectedTime: 600 * ms,
			Deadline: 3000 * ms, Credit: 4, LateCredit: 0.3},
	}}
}

// Bounds is what the operators' file gives by default.
func Bounds() door.Bounds {
	return door.Bounds{Jobs: 4096, Bytes: 16 << 20, Customers: 128, Places: 64, Strangers: 0.25, Further: 0.5}
}

// New makes a world whose stores have so many places, with a door in front of them or without one.
func New(places int, bounds *door.Bounds, parties ...*Party) (*World, error) {
	w := &World{Now: Start, chance: mwc.New(11), places: places, Speed: 1, parties: parties, Charter: Charter()}
	w.Pause = func(w *World) Time { return w.Charter.MostPause/2 + w.chance.Below(w.Charter.MostPause/2) }
	if bounds == nil {
		return w, nil
	}
	var err error
	w.Door, err = door.New(w.Now, w.Charter, *bounds, w)
	return w, err
}

func (w *World) broken(text string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf(text, args...))
}

func (w *World) after(span Time, do func()) {
	w.events.n++
	heap.Push(&w.events, event{w.Now + max(span, 0), w.events.n, do})
}

// Play lets that much time pass, with arrivals drawn as a Poisson stream.
func (w *World) Play(span Time) {
	end := w.Now + span
	if w.events.n == 0 {
		for _, p := range w.parties {
			w.stream(p)
		}
		w.beat()
	}
	for len(w.events.list) > 0 && w.events.list[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = end
}

func (w *World) beat() {
	w.review()
	if w.Door != nil {
		w.Door.Beat(w.Now)
	}
	w.fill()
	w.after(5*ms, w.beat)
}

func (w *World) stream(p *Party) {
	at := float64(w.Now) // gaps may be shorter than a Time
	var next func()
	next = func() {
		rate, gap := p.Rate(w.Now), 100.0*ms
		if rate > 0 {
			gap = min(gap, -math.Log((float64(w.chance.Next())+1)/(1<<32+1))*10000/rate)
		}
		if at += gap; gap < 100*ms {
			w.after(Time(at)-w.Now, func() { w.ask(p, 0, 0, w.Now, 0, 0); next() })
		} else {
			w.after(Time(at)-w.Now, next)
		}
	}
	next()
}

// ask brings one try in.
func (w *World) ask(p *Party, id uint64, try int, born, told, toldAt Time) {
	if len(w.free) == 0 {
		w.free = append(w.free, int32(len(w.jobs)))
		w.jobs = append(w.jobs, Try{})
	}
	i := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	if try == 0 {
		w.ids++
		id = w.ids
		p.Asked++
		p.Firsts++
	}
	left := w.Charter.Classes[p.Profile].Deadline
	client := p.Client
	if client == 0 {
		client = uint64(w.chance.Below(int64(max(p.Clients, 1))))
	}
	w.jobs[i] = Try{Of: p, profile: p.Profile, client: client, born: born, came: w.Now,
		left: left, try: try, told: told, toldAt: toldAt, state: "came", id: id}
	name := []byte(p.Name)
	if p.Crowd {
		p.serial++
		name = binary.BigEndian.AppendUint64(name, uint64(p.serial))
	}
	if w.Door == nil {
		w.LetIn(i)
		return
	}
	w.Door.Arrive(w.Now, door.Arrival{Job: i, Profile: p.Profile, Customer: name, Client: w.jobs[i].client, Mark: binary.BigEndian.AppendUint64(nil, id), Group: 1, Left: left,
		Repeated: try > 0 && p.Marked, Bytes: 200})
}

// LetIn is the module's part of the gate.
func (w *World) LetIn(i int32) {
	e := &w.jobs[i]
	if e.state != "came" {
		w.broken("job %d is let in when it is %s", i, e.state)
	}
	e.state = "held"
	w.held = append(w.held, i)
	w.fill()
}

func (w *World) rank(i int32) int {
	p := &w.Charter.Classes[w.jobs[i].profile]
	return math.Ilogb(p.Credit / float64(p.ExpectedTime))
}

// fill sends what is held while the stores have places.
func (w *World) fill() {
	for w.busy < w.places && len(w.held) > 0 {
		best := 0
		for k, i := range w.held {
			if !w.FIFO && (w.rank(i) > w.rank(w.held[best]) ||
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
			e.Of.Kept++
			e.Of.Offs = append(e.Of.Offs, math.Abs(float64(w.Now-e.toldAt-e.told))/float64(e.told))
		}
		if w.Door != nil {
			w.Door.Sent(w.Now, i)
		}
		work := Time(float64(w.Charter.Classes[e.profile].ExpectedTime) / 8 / w.Speed * (0.75 + float64(w.chance.Below(1000))/2000))
		w.after(work, func() { w.done(i, work) })
	}
}

func (w *World) done(i int32, work Time) {
	e := &w.jobs[i]
	w.busy--
	if w.Door != nil {
		w.Door.Back(w.Now, i, true)
	}
	e.Of.work += float64(work)
	if w.Now-e.born <= w.Charter.Classes[e.profile].ExpectedTime {
		e.Of.InTime++
	} else {
		e.Of.late++
	}
	if e.try == 0 && w.Now-e.came <= w.Charter.Classes[e.profile].ExpectedTime {
		e.Of.Given++
	}
	w.end(i, "delivered")
	w.fill()
}

func (w *World) end(i int32, how string) {
	if w.Hook != nil {
		w.Hook(w, &w.jobs[i], how)
	}
	w.jobs[i].state = how
	w.free = append(w.free, i)
	if w.Door != nil {
		w.Door.Ended(w.Now, i)
		w.fill() // the module's turn comes first
		w.Door.Turn(w.Now)
	}
}

// review turns back what the module holds in vain.
func (w *World) review() {
	keep := w.held[:0]
	var over []int32
	for _, i := range w.held {
		e := &w.jobs[i]
		p := &w.Charter.Classes[e.profile]
		late := p.LateCredit == 0 && w.Now+p.ExpectedTime/8 > e.came+p.ExpectedTime
		if late || w.Now+p.ExpectedTime/8 > e.came+e.left {
			over = append(over, i)
		} else {
			keep = append(keep, i)
		}
	}
	w.held = keep
	for _, i := range over {
		pause := w.Pause(w)
		if w.Door != nil {
			pause = w.Door.Promise(w.Now, i, pause)
		}
		w.refuse(i, pause)
	}
}

// TurnBack is the door's.
func (w *World) TurnBack(i int32, pause Time) {
	if s := w.jobs[i].state; s != "came" {
		w.broken("job %d is turned back when it is %s", i, s)
	}
	if waited := w.Now - w.jobs[i].came; 2*waited > w.jobs[i].left {
		w.broken("turned back after %d of %d", waited, w.jobs[i].left)
	}
	if w.Tell != nil {
		pause = w.Tell(w.jobs[i].Of, w.jobs[i].client, pause)
	}
	w.refuse(i, pause)
}

func (w *World) refuse(i int32, pause Time) {
	e := w.jobs[i]
	p := e.Of
	p.Turned++
	if pause > w.Charter.MostPause {
		w.broken("pause %d", pause)
	}
	if e.told > 0 {
		p.Missed++
	}
	w.end(i, "turned back")
	if e.try >= p.Tries {
		return
	}
	switch {
	case p.Hasty:
		w.after(10*ms, func() { w.ask(p, e.id, e.try+1, e.born, 0, 0) })
	case pause > 0:
		p.Promised++
		at := w.Now
		w.after(pause+w.chance.Below(5*ms), func() { w.ask(p, e.id, e.try+1, e.born, pause, at) })
	default:
		w.after(200*ms+w.chance.Below(800*ms), func() { w.ask(p, e.id, e.try+1, e.born, 0, 0) })
	}
}

// Log keeps what the door says.
func (w *World) Log(text string) { w.Logs = append(w.Logs, text) }

// Steadily is a rate that does not change, in jobs a second.
func Steadily(rate float64) func(Time) float64 { return func(Time) float64 { return rate } }

// Jain is Jain's index of fairness: 1 where all are equal, 1/n where one has all.
func Jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// Share is the part of its jobs that were delivered in their expected time, counted from the first try.
func (p *Party) Share() float64 { return float64(p.InTime) / float64(max(p.Asked, 1)) }

func (p *Party) String() string {
	return fmt.Sprintf("%s: asked %d, in time %.3f, turned back %d, told %d kept %d missed %d", p.Name, p.Asked, p.Share(), p.Turned,
		p.Promised, p.Kept, p.Missed)
}
