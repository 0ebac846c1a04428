// Package tenantsim plays the tenants of one front on a virtual clock, with a stand-in of the decision module
// and of the stores behind package door, so that what admission control does to each tenant can be compared
// with what is fair. The same seed plays the same day.
package tenantsim

import (
	"container/heap"
	"fmt"

	"micatrack/balance"
	"micatrack/door"
	"micatrack/internal/mwc"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = balance.Time

// Start is the moment at which every world begins.
const Start Time = 17672256000000

const (
	millisecond  Time = 10
	tickSpan          = 5 * millisecond // between ticks of the module and of the door
	seed              = 11              // of a world's random numbers
	settingsSeed      = 7
)

// World plays tenants, a stand-in of the decision module, and stores with a number of places. The stand-in
// holds what has no place, the request with most credit first and the newest of these, as the module does,
// and refuses what cannot be in time any more.
type World struct {
	Now        Time
	Door       *door.Door // nil: requests go straight to the module
	Settings   balance.Settings
	FIFO       bool     // the module holds requests in order of arrival
	Speed      float64  // of the stores; 1 at first
	Violations []string // of what must not happen
	Logs       []string // lines of the door's log
	// Pause gives the pause of a request that the module refuses.
	Pause func(w *World) Time
	// OverridePause, if it is set, gives what a client is told in place of the door's pause.
	OverridePause func(t *Tenant, client uint64, pause Time) Time
	// OnEnd, if it is set, is told how each try ended.
	OnEnd func(w *World, try *Try, how string)

	random  mwc.Source
	events  events
	places  int // of the stores
	busy    int // of them
	held    []int32
	tries   []Try
	free    []int32 // indices of tries that have ended
	lastID  uint64
	tenants []*Tenant
}

// Settings returns those of a service with a read of any data and a keyed write.
func Settings() balance.Settings {
	read := balance.Class{Name: "read", Need: balance.Any, ExpectedTime: 300 * millisecond,
		Deadline: 1200 * millisecond, Credit: 1}
	save := balance.Class{Name: "save", Need: balance.Write, Repeat: balance.Keyed, Window: 3000 * millisecond,
		ExpectedTime: 600 * millisecond, Deadline: 3000 * millisecond, Credit: 4, LateCredit: 0.3}
	return balance.Settings{Seed: settingsSeed, Fronts: 1, Round: tickSpan, MostPause: 1000 * millisecond,
		Classes: []balance.Class{read, save}}
}

// Bounds returns what the operators' file gives by default.
func Bounds() door.Bounds {
	return door.Bounds{Jobs: 4096, Bytes: 16 << 20, Customers: 128, Places: 64, Strangers: 0.25, Further: 0.5}
}

// New returns a world whose stores have so many places, with a door in front of them, or without one if
// bounds is nil. It returns an error for bounds out of range.
func New(places int, bounds *door.Bounds, tenants ...*Tenant) (*World, error) {
	w := &World{
		Now:      Start,
		Settings: Settings(),
		Speed:    1,
		random:   mwc.New(seed),
		places:   places,
		tenants:  tenants,
	}
	w.Pause = func(w *World) Time {
		half := w.Settings.MostPause / 2
		return half + w.random.Below(half)
	}
	if bounds == nil {
		return w, nil
	}
	var err error
	w.Door, err = door.New(w.Now, w.Settings, *bounds, w)
	return w, err
}

// Play lets a span pass, with arrivals drawn as a Poisson process.
func (w *World) Play(span Time) {
	end := w.Now + span
	if w.events.last == 0 {
		for _, t := range w.tenants {
			w.startArrivals(t)
		}
		w.tick()
	}
	for len(w.events.list) > 0 && w.events.list[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.Now = next.at
		next.do()
	}
	w.Now = end
}

// tick has the module and the door do what is due.
func (w *World) tick() {
	w.refuseLate()
	if w.Door != nil {
		w.Door.Beat(w.Now)
	}
	w.sendHeld()
	w.after(tickSpan, w.tick)
}

func (w *World) violated(format string, values ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, values...))
}

// Log keeps a line of the door's log.
func (w *World) Log(text string) { w.Logs = append(w.Logs, text) }
