package world

import (
	"testing"

	"micatrack/balance"
	"micatrack/internal/front"
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

func lists(w *World, l front.List) {
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
		return func(w *World) { w.Change(func(l *front.Line) { l.Condition = to }) }
	}
	return map[string]cause{
		"silent":                {silent, func(w *World) { heal() }}, // for an answer to a probe
		"silent and all lost":   {silent, func(w *World) { w.held = nil; heal() }},
		"connections refused":   {down, func(w *World) { stores(w, func(s *Store) { s.down = false }) }},
		"started anew and cold": {down, func(w *World) { stores(w, (*Store).Up) }}, // for that, and for its part of what they bear
		"an empty list": {func(w *World) { lists(w, front.List{News: balance.ListWhole}) }, // for a list
			func(w *World) { lists(w, w.whole(balance.ListWhole)) }},
		"all drain": {condition(balance.Draining), condition(balance.Ready)},
		"no primary": {func(w *World) { // for one that says that it is the primary
			for _, g := range w.Groups {
				g.Promote("")
			}
		}, func(w *World) { stores(w, func(s *Store) { s.Group.Promote(s.Name) }) }},
		"all full": {func(w *World) { w.Cores, w.Queue = 0, 1 }, // for the time to be over that a store's refusals bar it
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

// TestAttemptsBeginAgain forces that a front may send to no store for 2 or 6 s, alone or as one of 300, with probes that cost
// little and much, where stores check reads and where not, under all kinds of requests and under writes alone. It gets 5
// requests a second. Within 4 s of the cause's end it sends attempts again, by itself.
func TestAttemptsBeginAgain(t *testing.T) {
	settings := map[string]func(p *Plan){
		"as it is": func(p *Plan) {},
		"dear":     func(p *Plan) { p.Charter.ProbePrice = 0.1 },
		"checks":   func(p *Plan) { p.Charter.Checks = true },
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
								t.Errorf("%s, one of %d, %d s, writes alone %v: the first attempt %d ms after", setting, fleet, span/Second,
									kinds != nil, took/Millisecond)
							}
						}
					}
				}
			}
		})
	}
}
