// Package tenantsim plays the tenants of one front on a virtual clock, with a stand-in of the decision module
// and of the stores behind package door, so that what admission control does to each tenant can be compared
// with what is fair. The same seed plays the same day.
package tenantsim

import (
	"container/heap"
	"fmt"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/random"
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

// Simulation plays tenants, a stand-in of the decision module, and stores with a number of places. The stand-in
// holds what has no place, the request with most credit first and the newest of these, as the module does,
// and refuses what cannot be in time any more.
type Simulation struct {
	Now        Time
	Admission  *admission.Controller // nil: requests go straight to the module
	Settings   balance.Settings
	FIFO       bool     // the module holds requests in order of arrival
	Speed      float64  // of the stores; 1 at first
	Violations []string // of what must not happen
	Logs       []string // lines of the door's log
	// Pause gives the pause of a request that the module refuses.
	Pause func(w *Simulation) Time
	// OverridePause, if it is set, gives what a client is told in place of the door's pause.
	OverridePause func(t *Tenant, client uint64, pause Time) Time
	// OnEnd, if it is set, is told how each try ended.
	OnEnd func(w *Simulation, try *Try, how string)

	random  random.Source
	events  events
	slots   int // of the stores
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
	return balance.Settings{Seed: settingsSeed, Fronts: 1, EventInterval: tickSpan, MaxRetryAfter: 1000 * millisecond,
		Classes: []balance.Class{read, save}}
}

// Bounds returns what the operators' file gives by default.
func Bounds() admission.Bounds {
	return admission.Bounds{MaxRequests: 4096, MaxBytes: 16 << 20, DedicatedTenants: 128, SharedQueues: 64, SharedWeight: 0.25, RetriesPerRequest: 0.5}
}

// New returns a world whose stores have so many places, with a door in front of them, or without one if
// bounds is nil. It returns an error for bounds out of range.
func New(slots int, bounds *admission.Bounds, tenants ...*Tenant) (*Simulation, error) {
	s := &Simulation{
		Now:      Start,
		Settings: Settings(),
		Speed:    1,
		random:   random.New(seed),
		slots:    slots,
		tenants:  tenants,
	}
	s.Pause = func(s *Simulation) Time {
		half := s.Settings.MaxRetryAfter / 2
		return half + s.random.Below(half)
	}
	if bounds == nil {
		return s, nil
	}
	var err error
	s.Admission, err = admission.New(s.Now, s.Settings, *bounds, s)
	return s, err
}

// Run lets a span pass, with arrivals drawn as a Poisson process.
func (s *Simulation) Run(span Time) {
	end := s.Now + span
	if s.events.last == 0 {
		for _, t := range s.tenants {
			s.startArrivals(t)
		}
		s.tick()
	}
	for len(s.events.list) > 0 && s.events.list[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		next.do()
	}
	s.Now = end
}

// tick has the module and the door do what is due.
func (s *Simulation) tick() {
	s.refuseLate()
	if s.Admission != nil {
		s.Admission.Tick(s.Now)
	}
	s.sendHeld()
	s.schedule(tickSpan, s.tick)
}

func (s *Simulation) reportViolation(format string, values ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, values...))
}

// Log keeps a line of the door's log.
func (s *Simulation) Log(text string) { s.Logs = append(s.Logs, text) }
