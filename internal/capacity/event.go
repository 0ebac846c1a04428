package capacity

import (
	"fmt"
	"slices"
	"strings"

	"micatrack/internal/front"
	"micatrack/internal/world"
)

const (
	rackMachines = 20  // fronts, and as many stores
	dayRestarts  = 640 // fronts restarted or replaced in a day
	dayFailures  = 2   // machines that fail in a day
	dayPrimaries = 2   // changes of primary in a day
	restartTakes = 2   // seconds from the end of one life of a front to the next
)

// Event is a trouble that is played behind a calm time.
type Event struct {
	Name  string
	Short string
	Begin func(w *world.World) (end func()) // end: the trouble is over; nil: it ends by itself
}

// Events gives all that can be played.
func Events() []Event {
	return []Event{
		{"none", "nothing happens", nil},
		{"zone-stores", "the stores of one zone fall silent and come back cold", zoneStores},
		{"zone", "one zone, fronts and stores, is cut off from all others", zoneCut},
		{"rack", "20 fronts and 20 stores lose their power at once", rack},
		{"region", "regions lose each other", regionCut},
		{"controls", "all control machines end, and come back with their disks", controlsLost},
		{"controls-one", "control machines end one by one, each for a fifth of the event's time", nil},
		{"controls-two", "control machines end two at a time, each pair for a fifth of the event's time", nil},
		{"start", "all fronts are started again at once", startAll},
		{"day", "a day's restarts, failures and changes of primary, pressed into the event's time", nil},
	}
}

// EventByName finds one.
func EventByName(name string) (Event, error) {
	var names []string
	for _, event := range Events() {
		if event.Name == name {
			return event, nil
		}
		names = append(names, event.Name)
	}
	return Event{}, fmt.Errorf("event: %q is none of %s", name, strings.Join(names, ", "))
}

// lastZone is the zone that is lost.
func lastZone(w *world.World) string { return w.Zones[len(w.Zones)-1] }

func zoneStores(w *world.World) func() {
	lost := lastZone(w)
	inside := func(n world.Node) bool { return n.Zone == lost && !n.Front && strings.HasPrefix(n.Name, "g") }
	heal := w.Cut(func(from, to world.Node) bool { return inside(from) != inside(to) })
	promote(w, func(s *world.Store) bool { return s.Zone == lost })
	return func() {
		for _, store := range w.Stores {
			if store.Zone == lost {
				store.Up()
			}
		}
		heal()
	}
}

func zoneCut(w *world.World) func() {
	lost := lastZone(w)
	heal := w.Cut(func(from, to world.Node) bool {
		return from.Zone != "" && to.Zone != "" && (from.Zone == lost) != (to.Zone == lost)
	})
	promote(w, func(s *world.Store) bool { return s.Zone == lost })
	return heal
}

func regionCut(w *world.World) func() {
	return w.Cut(func(from, to world.Node) bool {
		return from.Region != "" && to.Region != "" && from.Region != to.Region
	})
}

func rack(w *world.World) func() {
	zone := lastZone(w)
	var fronts []*world.Front
	for _, front := range w.Fronts {
		if front.Zone == zone && len(fronts) < rackMachines {
			fronts = append(fronts, front)
		}
	}
	var stores []*world.Store
	for _, store := range w.Stores {
		if store.Zone == zone && len(stores) < rackMachines {
			stores = append(stores, store)
		}
	}
	for _, front := range fronts {
		front.Kill()
	}
	for _, store := range stores {
		store.Down()
	}
	promote(w, func(s *world.Store) bool { return slices.Contains(stores, s) })
	return func() {
		for _, front := range fronts {
			front.Start()
		}
		for _, store := range stores {
			store.Up()
		}
	}
}

func startAll(w *world.World) func() {
	for _, front := range w.Fronts {
		front.Kill()
	}
	for _, front := range w.Fronts {
		front.Start()
	}
	return nil
}

func controlsLost(w *world.World) func() {
	for _, control := range w.Voters {
		control.Kill()
	}
	return func() {
		for _, control := range w.Voters {
			control.Start()
		}
	}
}

// controlsInTurn ends so many control machines at once, the next ones when those are back.
func controlsInTurn(w *world.World, span world.Time, at int) {
	turns := len(w.Voters)
	for turn := range turns {
		w.At(span*world.Time(turn)/world.Time(turns), func() {
			for k := range at {
				control := w.Voters[(turn+k)%len(w.Voters)]
				control.Kill()
				w.At(span*4/world.Time(5*turns), control.Start) // a fifth of its turn it is back before the next one goes
			}
		})
	}
}

// overTime plays the events that need the event's time; the others begin and end with it.
func overTime(name string, w *world.World, span world.Time) {
	switch name {
	case "day":
		day(w, span)
	case "controls-one":
		controlsInTurn(w, span, 1)
	case "controls-two":
		controlsInTurn(w, span, 2)
	}
}

// promote has another store take over each primary that is lost, and the list tell it.
func promote(w *world.World, lost func(s *world.Store) bool) {
	became := map[string]bool{}
	for _, store := range w.Stores {
		name, _ := store.Group.Primary()
		if name != store.Name || !lost(store) {
			continue
		}
		for _, other := range w.Stores {
			if other.Group == store.Group && !lost(other) {
				store.Group.Promote(other.Name)
				became[store.Name], became[other.Name] = false, true
				break
			}
		}
	}
	relist(w, became)
}

// relist tells all fronts which stores are primaries from now on, and which are not.
func relist(w *world.World, primary map[string]bool) {
	w.Change(func(line *front.StoreEntry) {
		if is, changed := primary[line.ID]; changed {
			line.Primary = is
		}
	})
}

// day plays a day's restarts, failures and changes of primary, spread evenly over a span.
func day(w *world.World, span world.Time) {
	for k := range dayRestarts {
		front := w.Fronts[k%len(w.Fronts)]
		w.At(span*world.Time(k)/dayRestarts, func() {
			front.Kill()
			w.At(restartTakes*world.Second, front.Start)
		})
	}
	for k := range dayFailures {
		store := w.Stores[(k*len(w.Stores)/dayFailures+1)%len(w.Stores)]
		w.At(span*world.Time(2*k+1)/(2*dayFailures), func() {
			store.Down()
			promote(w, func(s *world.Store) bool { return s == store })
			w.At(span/10, store.Up)
		})
	}
	for k := range dayPrimaries {
		group := w.Groups[(k*len(w.Groups)/dayPrimaries)%len(w.Groups)]
		w.At(span*world.Time(4*k+1)/(4*dayPrimaries), func() {
			name, _ := group.Primary()
			promote(w, func(s *world.Store) bool { return s.Name == name })
		})
	}
}
