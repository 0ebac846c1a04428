// Package capacity plays whole fleets of hollow fronts on one virtual clock and tells what each part costs:
// bytes and messages of control, processor time, memory, and what stores are asked. A hollow front is the
// real control code (membership, zones, leases, watch, list, decision module, core) without sockets. Figures
// are held against limits, and slopes over sizes against the exponent that each mechanism promises.
package capacity

import (
	_ "embed"
	"fmt"

	"micatrack/fleet/lease"
	"micatrack/internal/settings"
	"micatrack/internal/world"
)

//go:embed settings.json
var settingsText []byte

const (
	replicas   = 3    // stores of a group
	lossRate   = 10   // datagrams lost of 1,000
	storeCores = 8    // of a stand-in store
	controls   = 5    // machines set aside for control
	leaseSpan  = 3    // seconds
	leaseDrift = 0.05 // part by which clocks may run apart
	links      = 8192 // connections of a front: 4,000 clients, and as many to stores
)

// Size is what is played.
type Size struct {
	Fronts     int     `json:"fronts"`
	Stores     int     `json:"stores"` // rounded down to whole groups of three
	Zones      int     `json:"zones"`
	Regions    int     `json:"regions"`
	Statements float64 `json:"statements"` // a second, of a front
	Watch      bool    `json:"watch"`
	Leases     bool    `json:"leases"`   // needs Watch
	Lossless   bool    `json:"lossless"` // no datagram is lost
	Seed       uint64  `json:"seed"`
}

// Check tells what cannot be played.
func (s Size) Check() error {
	switch {
	case s.Fronts < 1:
		return fmt.Errorf("fronts: %d is less than 1", s.Fronts)
	case s.Stores < replicas:
		return fmt.Errorf("stores: %d is less than one group of %d", s.Stores, replicas)
	case s.Zones < 1 || s.Zones > 26:
		return fmt.Errorf("zones: %d is not from 1 to 26", s.Zones)
	case s.Regions < 1 || s.Regions > s.Zones:
		return fmt.Errorf("regions: %d is not from 1 to the number of zones", s.Regions)
	case s.Statements < 0:
		return fmt.Errorf("statements: %v is less than 0", s.Statements)
	case s.Leases && !s.Watch:
		return fmt.Errorf("leases: they are wanted by the watch, which is off")
	}
	return nil
}

func (s Size) String() string {
	return fmt.Sprintf("%d fronts, %d stores, %d zones, %d regions, %v statements/s a front", s.Fronts,
		s.Stores/replicas*replicas, s.Zones, s.Regions, s.Statements)
}

// plan gives the world of that size.
func (s Size) plan() (world.Plan, error) {
	limits, host, err := settings.Read(settingsText)
	if err != nil {
		return world.Plan{}, fmt.Errorf("settings: %w", err)
	}
	plan := world.Plan{
		Settings: limits, Host: host, Seed: s.Seed,
		Fronts: s.Fronts, Groups: s.Stores / replicas, Replicas: replicas,
		Cores: storeCores, Takes: 2 * world.Millisecond, Queue: 256, Lag: 20 * world.Millisecond,
		Delay: world.Millisecond, Distance: 40 * world.Millisecond,
		ListDelay: 200 * world.Millisecond, Changes: true,
		Rate: s.Statements, Patience: world.Second, Links: links,
		Fleet: true, Period: 500 * world.Millisecond, PeerDelay: 2 * world.Millisecond, PeerLoss: lossRate,
		Watch: s.Watch, WatchWait: 15 * world.Millisecond,
	}
	for n := range s.Zones {
		plan.Zones = append(plan.Zones, string(rune('a'+n)))
		plan.Regions = append(plan.Regions, fmt.Sprint("r", n%s.Regions))
	}
	if s.Lossless {
		plan.PeerLoss = 0
	}
	if s.Leases {
		plan.Voters = controls
		plan.Terms = lease.Terms{Span: leaseSpan * world.Second, Drift: leaseDrift, Margin: 10 * world.Millisecond}
	}
	plan.Kinds = []world.Kind{
		{Class: "any", Share: 8},
		{Class: "near", Share: 4, Bound: 400 * world.Millisecond},
		{Class: "mine", Fenced: true, Share: 4},
		{Class: "save", Write: true},
		{Class: "order", Write: true, Keyed: true},
	}
	return plan, nil
}
