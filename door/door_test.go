package door

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// crowd is twenty steady customers of 10 jobs a second each.
func steadyOnes(n int, rate float64) []*party {
	var list []*party
	for i := range n {
		list = append(list, &party{name: fmt.Sprintf("steady %d", i), rate: steadily(rate), clients: 8, tries: 2, marked: true})
	}
	return list
}

// TestSurgeOfOneCustomer: one customer at ten times its share against twenty steady ones: without the door in the
// order of arrival and of credit, and with it. 10 places of 37.5 ms are 267 jobs a second.
func TestSurgeOfOneCustomer(t *testing.T) {
	type row struct {
		name       string
		fifo, door bool
		surge      bool
	}
	calm := 0.0
	for _, r := range []row{{"door, no surge", false, true, false}, {"arrival", true, false, true},
		{"credit, newest first", false, false, true}, {"door", false, true, true}} {
		parties := steadyOnes(20, 10)
		big := &party{name: "surge", rate: steadily(10), clients: 8, tries: 2, marked: true}
		if r.surge {
			big.rate = func(now Time) float64 {
				if now-17672256000000 >= 5*second {
					return 130
				}
				return 10
			}
		}
		w := newWorld(t, 10, r.door, append(parties, big)...)
		w.fifo = r.fifo
		w.play(30 * 1000 * ms)
		var shares []float64
		worst, sum := 1.0, 0.0
		for _, p := range parties {
			shares = append(shares, p.share())
			worst, sum = min(worst, p.share()), sum+p.share()/20
		}
		if r.surge == false {
			calm = sum
		}
		// Jain's index of what each got of what it would get if work could be cut as fine as one likes.
		ideal := fair(parties, big, 267*30)
		for i := range shares {
			shares[i] = float64(parties[i].inTime) / ideal[i]
		}
		shares = append(shares, float64(big.inTime)/ideal[20])
		t.Logf("%-22s Jain %.4f, worst %.3f, mean %.3f; %v", r.name, jain(shares), worst, sum, big)
		if r.door && (sum < calm-0.02 || worst < calm-0.05) {
			t.Errorf("%s: mean %.3f and worst %.3f of the steady ones, %.3f without the surge", r.name, sum, worst, calm)
		}
		if r.door && r.surge {
			if len(w.logs) == 0 || !strings.Contains(w.logs[len(w.logs)-1], `"surge"`) {
				t.Errorf("the log names no surge: %v", w.logs)
			}
		}
	}
}

// fair gives each customer's jobs at max-min fair sharing of that many.
func fair(parties []*party, more *party, jobs float64) []float64 {
	m := &ideal{}
	for _, p := range append(slices.Clone(parties), more) {
		m.weights, m.queued, m.served = append(m.weights, 1), append(m.queued, float64(p.asked)), append(m.served, 0)
	}
	m.pass(jobs)
	return m.served
}

// TestRetriesAreTheirOwn (hard case 2): a customer whose further tries come to ten times its first ones.
func TestRetriesAreTheirOwn(t *testing.T) {
	parties := steadyOnes(20, 10)
	hasty := &party{name: "hasty", rate: steadily(100), clients: 8, tries: 40, hasty: true, marked: true}
	w := newWorld(t, 10, true, append(parties, hasty)...)
	w.play(30 * 1000 * ms)
	t.Log(hasty, w.door.Totals(), hasty.given, hasty.firsts)
	for _, p := range parties {
		if p.share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if hasty.turned < 10*hasty.firsts/2 {
		t.Errorf("only %d turned back of %d", hasty.turned, hasty.firsts)
	}
	if float64(hasty.given) < 0.5*float64(hasty.firsts) {
		t.Errorf("of %d first tries %d were in time", hasty.firsts, hasty.given)
	}
}

// TestPromisesAreKept (hard case 4): over a surge, its end, and a drain rate that halves meanwhile.
func TestPromisesAreKept(t *testing.T) {
	for _, r := range []struct {
		name string
		door bool
		set  func(w *world)
	}{
		{"a constant time", false, func(w *world) { w.pause = func(w *world) Time { return w.charter.MostPause / 2 } }},
		{"drawn, as the module does", false, func(w *world) {}},
		{"by what waits, not booked", true, func(w *world) { w.unbooked = true }},
		{"booked", true, func(w *world) {}},
	} {
		parties := steadyOnes(20, 8)
		for i := range 4 {
			parties = append(parties, &party{name: fmt.Sprintf("surge %d", i), clients: 50, tries: 3, marked: true, rate: func(now Time) float64 {
				if s := (now - 17672256000000) / 10000; s >= 5 && s < 25 {
					return 60
				}
				return 8
			}})
		}
		w := newWorld(t, 10, r.door, parties...)
		r.set(w)
		w.play(15 * 1000 * ms)
		w.speed = 0.5
		w.play(10 * 1000 * ms)
		w.speed = 1
		w.play(10 * 1000 * ms)
		told, kept, missed, offs := 0, 0, 0, []float64{}
		for _, p := range parties {
			told, kept, missed, offs = told+p.promised, kept+p.kept, missed+p.missed, append(offs, p.offs...)
		}
		slices.Sort(offs)
		part, median := float64(kept)/float64(kept+missed), 0.0
		if len(offs) > 0 {
			median = offs[len(offs)/2]
		}
		t.Logf("%-26s told %d, let in %.3f, median error %.3f", r.name, told, part, median)
		if r.name == "booked" {
			t.Log(w.door.Totals())
			if part < 0.9 || median > 0.2 || told < 300 {
				t.Errorf("told %d: %.3f let in, median error %.3f", told, part, median)
			}
		}
	}
}

func heapNow() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestBurstOfStrangers (hard case 1): 200,000 customers that come once, in one second, and then ever new ones for a
// minute, beside twenty steady customers.
func TestBurstOfStrangers(t *testing.T) {
	parties := steadyOnes(20, 8)
	crowd := &party{name: "crowd", crowd: true, rate: func(now Time) float64 {
		switch s := (now - 17672256000000) / 10000; {
		case s >= 10 && s < 11:
			return 210_000
		case s >= 20:
			return 2000
		}
		return 0
	}}
	w := newWorld(t, 10, true, append(parties, crowd)...)
	w.play(9 * 1000 * ms)
	before := heapNow()
	w.play(3 * 1000 * ms)
	burst := crowd.asked
	w.jobs, w.free = append([]errand(nil), w.jobs...), append([]int32(nil), w.free...)
	grown := int64(heapNow()) - int64(before)
	w.play(68 * 1000 * ms)
	more := int64(heapNow()) - int64(before)
	t.Logf("%d strangers in the burst, %d in all, %d served; heap grown by %d KiB after the burst, %d at the end", burst, crowd.asked,
		crowd.inTime, grown>>10, more>>10)
	if burst < 200_000 || grown > 8<<20 || more > 8<<20 {
		t.Errorf("%d in the burst, heap grown by %d and %d", burst, grown, more)
	}
	for _, p := range parties {
		if p.share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if crowd.inTime < 60*20 {
		t.Errorf("of the strangers only %d were served", crowd.inTime)
	}
}

// TestSharedPlace (hard case 5): two customers without places of their own, the small one hashed to the heavy one's
// place. The small one is served again after one change of the seed at the latest.
func TestSharedPlace(t *testing.T) {
	small := &party{name: "small", rate: steadily(4), clients: 2}
	heavy := &party{name: "heavy", rate: steadily(900), clients: 64}
	w := newWorld(t, 4, true, small, heavy)
	n := w.door.names
	n.idle = nil // all places of their own are taken
	for n.salt = 1; n.at([]byte("small")) != n.at([]byte("heavy")); n.salt++ {
	}
	first := n.salt
	last, worst := w.now, Time(0)
	w.hook = func(w *world, e *errand, how string) {
		if e.of == small && how == "delivered" {
			worst, last = max(worst, w.now-last), w.now
		}
	}
	for w.now-17672256000000 < 20*second {
		w.play(100 * ms)
	}
	t.Logf("%v; longest without: %d ms; an epoch is %d ms", small, worst/ms, w.door.epoch/ms)
	if n.salt == first || worst > w.door.epoch+600*ms || small.share() < 0.5 {
		t.Errorf("%v: longest without %d ms", small, worst/ms)
	}
}

const second = 1000 * ms

// TestClientsOfOneCustomer: one client of a customer that asks thirty times as much as each of its others does not keep
// them from their part.
func TestClientsOfOneCustomer(t *testing.T) {
	greedy := &party{name: "one", rate: steadily(300), client: 1000}
	modest := &party{name: "one", rate: steadily(100), clients: 10}
	w := newWorld(t, 6, true, greedy, modest)
	w.play(10 * second)
	t.Log(greedy, modest)
	if modest.share() < 2*greedy.share() {
		t.Errorf("%.3f of the modest clients' jobs are in time, %.3f of the greedy one's", modest.share(), greedy.share())
	}
}

// TestBounds: what waits is bounded in number and bytes; when it is full the customer with most waiting for its
// weight makes room.
func TestBounds(t *testing.T) {
	l := &refusals{line: line{now: 1e12, owner: map[int32]int{}, served: make([]float64, 3), work: 50 * ms}, back: map[int32]bool{}}
	l.t = t
	b := testBounds()
	b.Jobs, b.Bytes = 20, 10_000
	c := testCharter()
	d, err := New(l.now, c, b, l)
	if err != nil {
		t.Fatal(err)
	}
	l.door = d
	job := int32(0)
	come := func(customer string, n, bytes int) {
		for range n {
			d.Arrive(l.now, Arrival{Job: job, Profile: 1, Customer: []byte(customer), Client: uint64(job), Left: 3 * second, Bytes: bytes})
			job++
		}
	}
	come("a", begin, 10) // they fill the module
	come("a", 30, 10)
	if d.Waiting() != 20 || len(l.back) != 10 {
		t.Errorf("%d wait, %d are turned back", d.Waiting(), len(l.back))
	}
	come("b", 5, 10)
	if d.Waiting() != 20 || l.back[begin+30] || l.back[begin+34] || !l.back[begin+19] {
		t.Errorf("%d wait, of those turned back: %v", d.Waiting(), l.back)
	}
	come("b", 1, 9_900)
	if d.Waiting() > 20 || d.bytes > b.Bytes || l.back[begin+35] {
		t.Errorf("%d wait with %d bytes", d.Waiting(), d.bytes)
	}
	l.now += 2 * second
	d.Beat(l.now)
	if d.Waiting() != 0 || d.bytes != 0 || d.lateTop != -1 {
		t.Errorf("%d wait with %d bytes after all their time", d.Waiting(), d.bytes)
	}
	for _, bad := range []Bounds{{}, {Jobs: 1, Bytes: 1, Customers: 1, Places: 1}, {Jobs: 1, Bytes: 1, Customers: 1, Places: 1, Strangers: 1, Further: -1}} {
		if _, err := New(0, c, bad, l); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// refusals is a line whose module never sends, and that notes who is turned back.
type refusals struct {
	line
	back map[int32]bool
}

func (r *refusals) LetIn(int32) {}
func (r *refusals) TurnBack(job int32, _ Time) {
	if r.back[job] {
		r.t.Fatalf("job %d is turned back twice", job)
	}
	r.back[job] = true
}

// TestAnyOrder: calls in any order that a front could make leave nothing behind and answer no job twice.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &refusals{line: line{now: 1e12}, back: map[int32]bool{}}
		l.t = t
		b := testBounds()
		b.Jobs = 8
		d, err := New(l.now, testCharter(), b, l)
		if err != nil {
			t.Fatal(err)
		}
		here := map[int32]bool{}
		job := int32(0)
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 300).Draw(t, "ops") {
			some := int32(op/8) % max(job, 1)
			switch op % 8 {
			case 0, 1, 2:
				here[job] = true
				d.Arrive(l.now, Arrival{Job: job, Profile: op / 8 % 2, Customer: []byte{byte(op / 16 % 4)}, Client: uint64(op), Group: uint64(op / 64 % 3),
					Left: Time(1+op%4) * second, Repeated: op&512 != 0, Mark: []byte{byte(op / 32)}, Bytes: 10})
				job++
			case 3:
				if !l.back[some] {
					d.Sent(l.now, some)
				}
			case 4:
				d.Back(l.now, some, op&512 != 0)
			case 5:
				d.Ended(l.now, some)
				delete(here, some)
			case 6:
				l.now += Time(op)
				d.Beat(l.now)
			case 7:
				d.Turn(l.now)
				d.Promise(l.now, some, Time(op))
			}
		}
		for i := range here {
			d.Ended(l.now, i)
		}
		if d.jobs != 0 || d.bytes != 0 || d.lateTop != -1 {
			t.Fatalf("%d wait, %d bytes", d.jobs, d.bytes)
		}
		for i := range d.lanes {
			if l := &d.lanes[i]; l.inside != 0 || l.out != 0 || l.waiting != 0 || l.top != -1 || l.own != 0 || l.shared != 0 {
				t.Fatalf("lane %d: %+v", i, *l)
			}
		}
	})
}
