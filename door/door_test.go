package door

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
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
				if s := (now - 17672256000000) / 10000; s >= 10 && s < 20 {
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
		t.Logf("%-22s Jain %.4f, worst %.3f, mean %.3f; %v", r.name, jain(append(shares, big.share())), worst, sum, big)
		if r.door && (sum < calm-0.02 || worst < calm-0.05) {
			t.Errorf("%s: mean %.3f and worst %.3f of the steady ones, %.3f without the surge", r.name, sum, worst, calm)
		}
		if r.door {
			t.Log(w.logs, w.door.Totals())
		}
	}
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
		if r.door {
			t.Log(w.door.Totals())
			if part < 0.9 || median > 0.2 || told < 500 {
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
