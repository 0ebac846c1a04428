// Package tenantsim simulates the tenants of one front in virtual time, with models of the decision module
// and of the stores behind package admission, so that the effect of admission control on each tenant can be
// compared with a fair distribution. Runs with the same seed are identical.
package tenantsim

import (
	"container/heap"
	"fmt"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/random"
)

// Time is a moment or a duration in tenths of a millisecond.
type Time = balance.Time

// Start is the time at which every simulation starts.
const Start Time = 17672256000000

const (
	millisecond  Time = 10
	tickSpan          = 5 * millisecond // between ticks of the decision module and of admission control
	seed              = 11              // seed of the random numbers of a simulation
	settingsSeed      = 7               // seed in the settings of admission control
)

// Simulation simulates tenants, the decision module, and stores with a number of slots. Like the real module,
// the simulated one holds requests for which there is no free slot, sends those with the most credit first
// and the newest of these, and refuses those that can no longer be answered in time.
type Simulation struct {
	Now        Time                  // the current virtual time
	Admission  *admission.Controller // nil if requests go to the decision module directly
	Settings   balance.Settings      // settings of the module and of admission control
	FIFO       bool                  // whether the module sends held requests in order of arrival
	Speed      float64               // relative speed of the stores, initially 1
	Violations []string              // violated invariants, which a test reports as errors
	Logs       []string              // log lines of admission control
	// Pause returns the pause for a request that the module refuses.
	Pause func(s *Simulation) Time
	// OverridePause, if set, returns the pause that a client is given instead of the one that admission control
	// has chosen.
	OverridePause func(t *Tenant, client uint64, pause Time) Time
	// OnEnd, if set, is called at the end of each try with its final state.
	OnEnd func(s *Simulation, try *Try, how string)

	random  random.Source
	events  events
	slots   int     // number of attempts that the stores serve at once
	busy    int     // number of attempts under way
	held    []int32 // indexes of the tries that the module holds
	tries   []Try
	free    []int32 // indexes of the tries that have ended
	lastID  uint64  // id of the last request
	tenants []*Tenant
}

// Settings returns the settings of a service with a class of reads of any data and a class of keyed writes.
func Settings() balance.Settings {
	read := balance.Class{Name: "read", Need: balance.Any, ExpectedTime: 300 * millisecond,
		Deadline: 1200 * millisecond, Credit: 1}
	save := balance.Class{Name: "save", Need: balance.Write, Repeat: balance.Keyed, Window: 3000 * millisecond,
		ExpectedTime: 600 * millisecond, Deadline: 3000 * millisecond, Credit: 4, LateCredit: 0.3}
	return balance.Settings{Seed: settingsSeed, Fronts: 1, EventInterval: tickSpan, MaxRetryAfter: 1000 * millisecond,
		Classes: []balance.Class{read, save}}
}

// Bounds returns the defaults of the operators' file.
func Bounds() admission.Bounds {
	return admission.Bounds{MaxRequests: 4096, MaxBytes: 16 << 20, DedicatedTenants: 128, SharedQueues: 64,
		SharedWeight: 0.25, RetriesPerRequest: 0.5}
}

// New returns a simulation whose stores have that many slots, with admission control in front of them, or
// without it if bounds is nil. It returns an error if bounds are out of range.
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

// Run simulates a span of time. Arrivals are drawn as a Poisson process.
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

// tick does the periodic work of the decision module and of admission control.
func (s *Simulation) tick() {
	s.refuseLate()
	if s.Admission != nil {
		s.Admission.Tick(s.Now)
	}
	s.sendHeld()
	s.schedule(tickSpan, s.tick)
}

// reportViolation records a violated invariant.
func (s *Simulation) reportViolation(format string, values ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, values...))
}

// Log records a log line of admission control.
func (s *Simulation) Log(text string) { s.Logs = append(s.Logs, text) }
