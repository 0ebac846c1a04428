package world

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"testing"

	"micatrack/fleet/positions"
	"micatrack/internal/settings"
)

const (
	cold     = 8 * Second
	fallSpan = 1500 * Millisecond
	inTime   = 300 * Millisecond
)

// plan gives a fleet in three zones, whose figures are those of the example but for a few.
func plan(t testing.TB, fronts, groups, members int, rate float64) Plan {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Settings map[string]any }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	s := file.Settings
	s["Round"] = 10_000
	contract, extra := s["Contract"].(map[string]any), s["Extra"].(map[string]any)
	contract["Cold"], contract["TipAfter"] = cold*100, fallSpan*100
	extra["SessionMarks"], extra["Behind"] = "carried", "off"
	extra["Freshness"], extra["OldestData"] = []string{"session", "any", "write", "write", "bounded"}, []int{0, 0, 0, 0, 400_000}
	s["Profiles"] = append(s["Profiles"].([]any), map[string]any{"Name": "order", "Idempotency": "by_key", "Group": "cell", "Window": 3000000,
		"Aim": 750000, "HardLimit": 3000000, "Worth": 4},
		map[string]any{"Name": "near", "Idempotency": "repeatable", "Group": "all", "Aim": 300000, "HardLimit": 1000000, "Worth": 1})
	text, _ = json.Marshal(s)
	p := Plan{Fronts: fronts, Zones: []string{"a", "b", "c"}, Groups: groups, Members: members, Cores: 2, Takes: 10 * Millisecond, Queue: 64,
		Lag: 20 * Millisecond, Delay: Millisecond, Rate: rate, Patience: Second, Period: 500 * Millisecond, PeerDelay: 10 * Millisecond, Seed: 1,
		Kinds: []Kind{{Class: "any", Share: 8}, {Class: "near", Share: 4, Bound: 400 * Millisecond}, {Class: "mine", Fenced: true, Share: 4},
			{Class: "save", Write: true}, {Class: "order", Write: true, Keyed: true}}}
	if p.Settings, p.Host, err = settings.Read(text); err != nil {
		t.Fatal(err)
	}
	return p
}

func rules(t *testing.T, w *World) {
	t.Helper()
	broken := w.Check(550 * Millisecond)
	for k, b := range broken {
		if k < 5 {
			t.Errorf("%s (%d in all)", b, len(broken))
		}
	}
}

// digest stands for all that the stores did and the clients were told.
func digest(w *World) uint64 {
	h := fnv.New64a()
	for _, g := range w.Groups {
		for _, e := range g.Ledger() {
			fmt.Fprint(h, e.At.UnixNano(), e.Store, e.RequestID, e.Position)
		}
	}
	for _, d := range w.Done {
		fmt.Fprint(h, d.RequestID, d.At, d.Took, d.Lost, d.Delivered)
	}
	return h.Sum64()
}

// TestSamePlay: a plan leads to the same ledgers each time, through a lost zone, a frozen front and a restart.
func TestSamePlay(t *testing.T) {
	play := func(seed uint64) uint64 {
		p := plan(t, 12, 4, 1, 20)
		p.Fleet, p.Seed, p.PeerLoss = true, seed, 50
		w := New(p)
		w.Load()
		w.Run(3 * Second)
		heal := w.Cut(func(from, to Node) bool { return (from.Zone == "c") != (to.Zone == "c") })
		w.Fronts[0].Freeze()
		w.Run(2 * Second)
		w.Fronts[0].Thaw()
		w.Fronts[1].Kill()
		w.Run(Second)
		heal()
		w.Fronts[1].Start()
		w.Fronts[2].Stop()
		w.Run(6 * Second)
		w.Rest()
		rules(t, w)
		if w.Fronts[2].Alive() {
			t.Error("a front that was asked to end has not")
		}
		return digest(w)
	}
	if a, b, c := play(1), play(1), play(2); a != b || a == c {
		t.Errorf("digests %x and %x of one seed, %x of another", a, b, c)
	}
}

// zoneLost plays 5 s without a zone's stores, which come back cold, and 20 s more.
func zoneLost(t *testing.T, p Plan) (paid, all Tally, peak float64, w *World) {
	w = New(p)
	w.Load()
	w.Run(15 * Second)
	at := w.Now
	heal := w.Cut(func(from, to Node) bool { return (from.Zone == "c" && !from.Front) != (to.Zone == "c" && !to.Front) })
	for _, s := range w.Stores {
		if name, _ := s.Group.Primary(); name == s.Name && s.Zone == "c" { // others take over
			for _, o := range w.Stores {
				if o.Group == s.Group && o.Zone != "c" {
					s.Group.Promote(o.Name)
					break
				}
			}
		}
	}
	w.Run(5 * Second)
	back := w.Now
	for _, s := range w.Stores {
		if s.Zone == "c" {
			s.Up()
		}
	}
	heal()
	w.Run(20 * Second)
	end := w.Now
	w.Rest()
	rules(t, w)
	for _, s := range w.Stores {
		peak = max(peak, s.Peak)
	}
	return w.Tally(at, back, inTime), w.Tally(at, end, inTime), peak, w
}

// TestManyCoresLeaveTogether: a zone's stores fall silent and come back cold, with the fleet and without. 300 fronts and 120
// stores with MICATRACK_LONG set.
func TestManyCoresLeaveTogether(t *testing.T) {
	fronts, groups := 60, 8
	switch {
	case raced:
		fronts, groups = 12, 2
	case os.Getenv("MICATRACK_LONG") != "":
		fronts, groups = 300, 40
	}
	play := func(on bool) (Tally, float64) {
		p := plan(t, fronts, groups, 1, 10)
		p.Fleet, p.PeerLoss, p.PeerDelay = on, 50, 30*Millisecond
		p.Takes, p.ListDelay = 30*Millisecond, Second // the stores do 2.7 times what is asked of them
		paid, all, peak, w := zoneLost(t, p)
		t.Logf("fleet %v: while it is lost %+v; until 20 s after %+v; peak %.2f; %d bytes a second for each front", on, paid, all, peak,
			w.Peers.Bytes/fronts/40)
		return paid, peak
	}
	off, _ := play(false)
	on, peak := play(true)
	if peak > 1 {
		t.Errorf("a store was sent %.2f of what it bears", peak)
	}
	if !raced && 3*(on.Late+on.Back) > 2*(off.Late+off.Back) { // at 300 fronts a quarter
		t.Errorf("%d jobs late or turned back, %d without the fleet", on.Late+on.Back, off.Late+off.Back)
	}
}

// TestSickFrontsAmongMany: one front is starved of processor, one has lost its own network, one is stopped for 3 s, over
// and over, and half of all have lost their way to every store but not to each other: nobody else leaves a zone for what
// they see, they are back in the fleet after, and no rule is broken.
func TestSickFrontsAmongMany(t *testing.T) {
	p := plan(t, 18, 4, 1, 20)
	p.Fleet, p.PeerLoss = true, 20
	w := New(p)
	w.Load()
	w.Run(8 * Second)
	starved, cut, stopped := w.Fronts[0], w.Fronts[1], w.Fronts[2]
	storeless := map[string]bool{}
	for _, f := range w.Fronts[3:12] {
		storeless[f.Name] = true
	}
	heal := w.Cut(func(from, to Node) bool {
		return from.Name == cut.Name || to.Name == cut.Name || storeless[from.Name] && !to.Front && to.Zone != "" || storeless[to.Name] && !from.Front && from.Zone != ""
	})
	left := map[string]int{}
	for k := range 120 {
		switch k % 40 {
		case 0:
			stopped.Freeze()
		case 30:
			stopped.Thaw()
		}
		starved.Freeze()
		w.Run(80 * Millisecond)
		starved.Thaw()
		w.Run(20 * Millisecond)
		for _, f := range w.Fronts[12:] {
			for _, z := range p.Zones {
				if f.Part(z) < 1 {
					left[f.Name+" "+z]++
				}
			}
		}
	}
	heal()
	if len(left) > 0 {
		t.Errorf("left for what sick fronts saw: %v", left)
	}
	w.Run(20 * Second)
	for _, f := range w.Fronts {
		for _, z := range p.Zones {
			if f.Part(z) < 1 {
				t.Errorf("%s has part %v of zone %s when all is well", f.Name, f.Part(z), z)
			}
		}
		for _, e := range f.fleet.Members.List() {
			if e.State.String() != "alive" {
				t.Errorf("%s holds %s for %v", f.Name, e.Name, e.State)
			}
		}
	}
	w.Rest()
	rules(t, w)
}

// reads plays steady load, and gives probes a second at all stores, the part of bounded and fenced reads that replicas served, and
// what came in time.
func reads(t *testing.T, p Plan, span Time, meanwhile func(w *World)) (probes float64, replicas float64, all Tally, w *World) {
	w = New(p)
	w.Load()
	w.Run(10 * Second)
	at, before := w.Now, 0
	for _, s := range w.Stores {
		before += s.Probes
	}
	if meanwhile != nil {
		meanwhile(w)
	}
	w.Run(max(span-(w.Now-at), 0))
	end := w.Now
	for _, s := range w.Stores {
		probes += float64(s.Probes)
	}
	probes = (probes - float64(before)) / (float64(end-at) / float64(Second))
	w.Rest()
	rules(t, w)
	served, primary := 0, 0
	for g, group := range w.Groups {
		where := map[string]string{}
		for _, e := range group.Ledger() {
			where[e.RequestID] = e.Store
		}
		lead, _ := group.Primary()
		for _, d := range w.Done {
			if k := &w.Kinds[d.Kind]; d.Group == g && d.Delivered && d.At >= at && (k.Bound > 0 || k.Fenced) {
				if served++; where[d.RequestID] == lead {
					primary++
				}
			}
		}
	}
	return probes, 1 - float64(primary)/float64(max(served, 1)), w.Tally(at, end, inTime), w
}

func watched(t testing.TB, fronts, groups int, on bool) Plan {
	p := plan(t, fronts, groups, 1, 10)
	p.Fleet, p.Watch, p.PeerDelay, p.WatchWait, p.Takes = true, on, 2*Millisecond, 15*Millisecond, 10*Millisecond
	p.Kinds = []Kind{{Class: "any", Share: 4}, {Class: "near", Share: 6, Bound: 400 * Millisecond}, {Class: "mine", Fenced: true, Share: 6},
		{Class: "save", Write: true}, {Class: "order", Write: true, Keyed: true}}
	return p
}

// TestWatchSparesStores: what stores are asked with watchers and without; 300 fronts and 120 stores with MICATRACK_LONG set.
func TestWatchSparesStores(t *testing.T) {
	fronts, groups := 60, 4
	switch {
	case raced:
		fronts, groups = 12, 2
	case os.Getenv("MICATRACK_LONG") != "":
		fronts, groups = 300, 40
	}
	var rate [2]float64
	for k, on := range []bool{false, true} {
		probes, replicas, all, w := reads(t, watched(t, fronts, groups, on), 10*Second, nil)
		asked, answered, surveys := uint64(0), uint64(0), uint64(0)
		for _, f := range w.Fronts {
			if f.watch != nil {
				asked, answered, surveys = asked+f.watch.QueriesSent, answered+f.watch.AnswersReceived, surveys+f.watch.StoreQueries
			}
		}
		t.Logf("watch %v: %.0f probes a second, replicas serve %.3f, %+v; %d asked of watchers, %d answered, %d surveys", on, probes, replicas, all,
			asked, answered, surveys)
		if rate[k] = probes; replicas < 0.99 || all.InTime < all.Requests*99/100 {
			t.Errorf("watch %v: replicas serve %.3f, %+v", on, replicas, all)
		}
	}
	if !raced && rate[1]*8 > rate[0] {
		t.Errorf("%.0f probes a second, %.0f without watchers", rate[1], rate[0])
	}
}

// TestWatchersFail: watchers that lie while replicas lag by seconds, that say nothing, that are cut off from all, that are
// stopped and killed: no read is staler than allowed, and about as many come in time as without watchers.
func TestWatchersFail(t *testing.T) {
	for name, c := range map[string]struct {
		lag Time
		do  func(w *World)
	}{
		"lie": {2 * Second, func(w *World) {
			for _, f := range w.Fronts {
				f.Lies = func(a *positions.Answer) {
					for k := range a.Positions {
						a.Positions[k].Position = w.Now
					}
				}
			}
		}},
		"mute": {20 * Millisecond, func(w *World) {
			for _, f := range w.Fronts {
				f.Mute = true
			}
		}},
		"cut off": {20 * Millisecond, func(w *World) { w.Cut(func(from, to Node) bool { return from.Front && to.Front }) }},
		"stopped and killed": {20 * Millisecond, func(w *World) {
			for k, f := range w.Fronts {
				switch k % 6 {
				case 0:
					f.Freeze()
					w.At(4*Second, f.Thaw)
				case 1:
					f.Kill()
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := watched(t, 24, 3, true)
			p.Lag = c.lag
			_, _, with, w := reads(t, p, 10*Second, c.do)
			p.Watch = false
			_, _, without, _ := reads(t, p, 10*Second, func(w *World) {
				if name == "stopped and killed" {
					c.do(w)
				}
			})
			t.Logf("with %+v, without %+v", with, without)
			if float64(with.InTime)/float64(with.Requests) < 0.98*float64(without.InTime)/float64(without.Requests) {
				t.Error("too few come in time")
			}
			asked := uint64(0)
			for _, f := range w.Fronts {
				if f.watch != nil {
					asked += f.watch.QueriesSent
				}
			}
			if asked == 0 {
				t.Error("no watcher was asked")
			}
		})
	}
}

// coldSum plays a store that starts anew under fronts of which each is told of it at another moment, some of which start
// anew meanwhile, and a reset of all its connections. It gives the largest part of its budget that those sent who knew.
func coldSum(t testing.TB, fronts int, seed uint64, with func(w *World)) (told float64, w *World) {
	p := plan(t, fronts, 1, 1, 0)
	p.Takes = []Time{10, 40, 100}[seed%3] * Millisecond // the longer, the fewer bring a cold store down
	p.Rate = 1.8 * float64(p.Cores) / float64(p.Takes) * float64(Second) / float64(fronts)
	p.Seed, p.Spread, p.ListDelay = seed, Second, 100*Millisecond
	w = New(p)
	with(w)
	w.Load()
	w.Run(2 * Second)
	s, also := w.Stores[1+int(seed%2)], w.Stores[2-int(seed%2)]
	s.Down()
	if seed%4 < 2 {
		also.Down()
	}
	w.Run(Second)
	if s.Up(); also.down {
		also.Up()
	}
	for k := range 4 {
		w.Run(Second)
		if f := w.Fronts[int(seed+uint64(k))%fronts]; k < 2 && fronts > 1 {
			f.Kill()
			f.Start()
		}
		if k == 2 { // all have to connect anew
			for _, f := range w.Fronts {
				for _, l := range f.open() {
					if l.side == side(s) {
						l.hang()
						delete(s.conns, l)
					}
				}
			}
		}
	}
	w.Rest()
	return max(s.Told, also.Told), w
}

// TestColdSum: what all fronts together send to a cold store, each acting alone and told at another moment, stays within
// its budget and what is put down to chance.
func TestColdSum(t *testing.T) {
	seeds := 200
	if raced {
		seeds = 4
	}
	for _, fronts := range []int{1, 5, 20, 30} {
		t.Run(fmt.Sprint(fronts), func(t *testing.T) {
			t.Parallel()
			most, over, sum, used := 0.0, 0, 0.0, 0
			for seed := range uint64(seeds) {
				told, w := coldSum(t, fronts, seed+1, func(*World) {})
				rules(t, w)
				if most, sum = max(most, told), sum+told; told > 1 {
					over++
				}
				if told > 0 {
					used++
				}
			}
			t.Logf("%d seeds: greatest %.2f, mean %.2f of the budget and chance, over it %d times", seeds, most, sum/float64(seeds), over)
			if over > 0 {
				t.Errorf("over its budget in %d of %d plays, %.2f of it at most", over, seeds, most)
			}
			if used < seeds/2 {
				t.Errorf("the cold store was used in %d of %d plays", used, seeds)
			}
		})
	}
}
