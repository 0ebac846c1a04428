package world

import (
	"fmt"
	"testing"

	"micatrack/balance"
	"micatrack/internal/front"
	"micatrack/internal/pgwire"
	"micatrack/internal/random"
)

// cause is something that leaves fronts without a store that they may send to, and its end.
type cause struct {
	begin, end func(w *World)
}

func stores(w *World, do func(s *Store)) {
	for _, s := range w.Stores {
		do(s)
	}
}

func lists(w *World, l front.StoreList) {
	for _, f := range w.Fronts {
		f.told(l)
		f.wake()
	}
}

// causes are those of which a front can find back by itself: what it then waited for stands behind each.
func causes() map[string]cause {
	var heal func()
	silent := func(w *World) { heal = w.Cut(func(from, to Node) bool { return !from.Front || !to.Front }) }
	down := func(w *World) { stores(w, (*Store).Down) }
	condition := func(to balance.Condition) func(w *World) {
		return func(w *World) { w.Change(func(l *front.StoreEntry) { l.Condition = to }) }
	}
	return map[string]cause{
		"silent":                {silent, func(w *World) { heal() }}, // for an answer to a probe
		"silent and all lost":   {silent, func(w *World) { w.held = nil; heal() }},
		"connections refused":   {down, func(w *World) { stores(w, func(s *Store) { s.down = false }) }},
		"started anew and cold": {down, func(w *World) { stores(w, (*Store).Up) }},
		// for that, and for its part of what they bear
		"an empty list": {func(w *World) { lists(w, front.StoreList{Kind: balance.ListFull}) }, // for a list
			func(w *World) { lists(w, w.whole(balance.ListFull)) }},
		"all drain": {condition(balance.Draining), condition(balance.Ready)},
		"no primary": {func(w *World) { // for one that says that it is the primary
			for _, g := range w.Groups {
				g.Promote("")
			}
		}, func(w *World) { stores(w, func(s *Store) { s.Group.Promote(s.Name) }) }},
		"all full": {func(w *World) { w.Cores, w.Queue = 0, 1 },
			// for the time to be over that a store's refusals bar it
			func(w *World) { w.Cores, w.Queue = 2, 64; stores(w, (*Store).work) }},
	}
}

// slowest gives how long after the cause's end the last of all fronts sends its first attempt.
func slowest(w *World, c cause, span Time) Time {
	const most = 30 * Second
	w.Load()
	w.Run(5 * Second)
	c.begin(w)
	w.Run(span)
	c.end(w)
	end, before, waits := w.Now, map[*Front]int{}, map[*Front]bool{}
	for _, f := range w.Fronts {
		before[f], waits[f] = f.Sent, true
	}
	for len(waits) > 0 && w.Now < end+most {
		w.Run(10 * Millisecond)
		for f := range waits {
			if f.Sent > before[f] {
				delete(waits, f)
			}
		}
	}
	return w.Now - end
}

// TestAttemptsBeginAgain forces that a front may send to no store for 2 or 6 s, alone or as one of 300, with
// probes that cost little and much, where stores check reads and where not, under all kinds of requests and
// under writes alone. It gets 5 requests a second. Within 4 s of the cause's end it sends attempts again, by
// itself.
func TestAttemptsBeginAgain(t *testing.T) {
	settings := map[string]func(p *Plan){
		"as it is": func(p *Plan) {},
		"dear":     func(p *Plan) { p.Settings.ProbePrice = 0.1 },
		"checks":   func(p *Plan) { p.Settings.StoresCheckReads = true },
	}
	spans, fleets := []Time{2 * Second, 6 * Second}, []int{1, 300}
	if raced {
		spans, fleets = spans[:1], fleets[:1]
	}
	for name := range causes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for setting, change := range settings {
				for _, fleet := range fleets {
					if fleet > 1 && name == "started anew and cold" {
						continue // its part of what a cold store bears is less than one attempt in 4 s
					}
					for _, span := range spans {
						for _, kinds := range [][]Kind{nil, {{Class: "save", Write: true}}} {
							p := plan(t, min(fleet, 4), 2, 1, 5)
							if change(&p); kinds != nil {
								p.Kinds = kinds
							}
							w := New(p)
							w.Plan.Fronts = fleet // each is one of so many, from its next start on
							for _, f := range w.Fronts {
								f.Kill()
								f.Start()
							}
							if took := slowest(w, causes()[name], span); took > 4*Second {
								t.Errorf("%s, one of %d, %d s, writes alone %v: the first attempt %d ms after", setting, fleet,
									span/Second,
									kinds != nil, took/Millisecond)
							}
						}
					}
				}
			}
		})
	}
}

// bad is a client that reads its answers and, where it is refused, asks again at once, so many times.
type bad struct {
	again int
	ask   func() []byte
}

func (b *bad) ended(*link) {}

func (b *bad) took(l *link, text []byte) {
	l.buf = append(l.buf, text...)
	refused := false
	for {
		kind, _, n, err := pgwire.ParseMessage(l.buf, 1<<20)
		if err != nil || n == 0 {
			return
		}
		l.buf = l.buf[n:]
		if refused = refused || kind == 'E'; kind == 'Z' && refused && b.again > 0 {
			b.again, refused = b.again-1, false
			l.push(b.ask())
		}
	}
}

// harass has bad clients come to all fronts, at a fifth of the good ones' rate, and stores spoil one answer
// in twenty.
func harass(w *World, seed uint64) {
	draws, asked := random.New(seed*7+5), 0
	ask := func() []byte {
		asked++
		return pgwire.AppendSimpleQuery(nil,
			fmt.Sprintf("/* id=bad%d,c=any,t=t1,d=1000,cluster=1 */ SELECT payload FROM entries "+
				"WHERE ref = 's1'", asked))
	}
	hello := pgwire.AppendStartup(nil, "web", "orders")
	comes := func(f *Front) {
		text, stays := append([]byte(nil), hello...), w.Patience
		b := &bad{ask: ask}
		switch draws.Below(4) {
		case 0: // noise
			text = append(text, "\x00\xffnoise and more noise"...)
		case 1: // much at once, and it goes
			for range 20 {
				text = append(text, ask()...)
			}
			stays = 30 * Millisecond
		case 2: // it goes in the middle of its request
			text = append(text, ask()[:40]...)
			stays = 10 * Millisecond
		case 3: // it comes again at once, and too often
			text, b.again = append(text, ask()...), 5
		}
		l := &link{f: f, other: Node{Name: "bad clients of " + f.Name}, side: b, in: text}
		f.own(l)
		l.news(front.Accepted | front.Readable)
		w.At(stays, l.hang)
	}
	var arrive func(f *Front)
	arrive = func(f *Front) {
		if !w.load {
			return
		}
		if f.core != nil && !f.core.Stopping() {
			comes(f)
		}
		w.At(Time(5*(0.5+float64(draws.Below(1000))/1000)/w.Rate*float64(Second)), func() { arrive(f) })
	}
	for _, f := range w.Fronts {
		w.At(1+draws.Below(Second), func() { arrive(f) })
	}
	for _, s := range w.Stores {
		s.Spoils = func(answer []byte) ([]byte, bool) {
			switch draws.Below(60) {
			case 0: // it breaks off
				return answer[:len(answer)/2], true
			case 1: // it never ends
				return []byte("D\x7f\xff\xff\xff\x00\x01"), false
			case 2: // it is no answer
				return []byte("?\x00\x00\x00\x04noise"), false
			}
			return answer, false
		}
	}
}

// TestColdSumWithBadClients forces what TestColdSum does, while bad clients come (noise, twenty requests at
// once and gone, half a request, five further tries at once) and stores spoil one answer in twenty. What 20
// or 30 fronts send to a cold store stays within its budget all the same, and no rule is broken.
func TestColdSumWithBadClients(t *testing.T) {
	seeds := 100
	if raced {
		seeds = 2
	}
	for _, fronts := range []int{20, 30} {
		t.Run(fmt.Sprint(fronts), func(t *testing.T) {
			t.Parallel()
			most, over, used := 0.0, 0, 0
			for seed := range uint64(seeds) {
				told, w := coldSum(t, fronts, seed+1, func(w *World) { harass(w, seed) })
				rules(t, w)
				if most = max(most, told); told > 1 {
					over++
				}
				if told > 0 {
					used++
				}
			}
			t.Logf("%d seeds: greatest %.2f of the budget and chance, over it %d times", seeds, most, over)
			if over > 0 {
				t.Errorf("over its budget in %d of %d plays, %.2f of it at most", over, seeds, most)
			}
			if used < seeds/2 {
				t.Errorf("the cold store was used in %d of %d plays", used, seeds)
			}
		})
	}
}
