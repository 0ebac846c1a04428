// Package fleetadapter passes what the core of a front knows to the packages of its fleet, and converts between their types.
// It makes no decisions.
package fleetadapter

import (
	"cmp"
	"slices"

	"micatrack/balance"
	"micatrack/fleet"
	"micatrack/fleet/membership"
	"micatrack/fleet/positions"
	"micatrack/fleet/zones"
	"micatrack/internal/front"
)

// Adapter is the adapter of one front. It is not safe for concurrent use.
type Adapter struct {
	Zones       *zones.Zones
	Positions   *positions.Service // nil: fronts do not query watchers
	zoneStores  []zones.Store      // scratch space
	knownStores []string           // stores that Positions has
	members     []positions.Peer   // scratch space
}

// UpdateStores passes on a list of stores, unless it could not be read.
func (a *Adapter) UpdateStores(now front.Time, l front.StoreList) {
	if l.Kind == balance.ListFailed {
		return
	}
	a.zoneStores = a.zoneStores[:0]
	for i := range l.Entries {
		e := &l.Entries[i]
		a.zoneStores = append(a.zoneStores, zones.Store{ID: e.ID, Zone: e.Zone, Size: cmp.Or(e.Size, 1), Open: e.Condition == balance.Ready})
	}
	a.Zones.UpdateStores(now, l.Kind != balance.ListChanges, a.zoneStores)
	if a.Positions != nil {
		a.updatePositions(l)
	}
}

// updatePositions passes the stores that speak the PostgreSQL protocol on to Positions. Unless the list only contains changes, it is
// complete, and stores that it lacks are removed.
func (a *Adapter) updatePositions(l front.StoreList) {
	listed := map[string]bool{}
	for i := range l.Entries {
		if e := &l.Entries[i]; e.Condition != balance.Gone && !e.Bolt {
			if listed[e.ID] = true; !slices.Contains(a.knownStores, e.ID) {
				a.knownStores = append(a.knownStores, e.ID)
			}
			a.Positions.UpdateStore(e.ID, e.Group, e.Primary, true)
		}
	}
	remaining := a.knownStores[:0]
	for _, name := range a.knownStores {
		if l.Kind == balance.ListChanges || listed[name] {
			remaining = append(remaining, name)
		} else {
			a.Positions.UpdateStore(name, 0, false, false)
		}
	}
	a.knownStores = remaining
}

// UpdateMembers passes the members that are alive or suspect on to Positions if the members have changed.
func (a *Adapter) UpdateMembers(f *fleet.Fleet) {
	if a.Positions == nil || !f.MembersChanged {
		return
	}
	f.MembersChanged = false
	a.members = a.members[:0]
	for _, e := range f.Members.List() {
		if e.State <= membership.Suspect {
			a.members = append(a.members, positions.Peer{Name: e.Name, Addr: e.Addr})
		}
	}
	a.Positions.UpdateMembers(a.members)
}

// RecordOutcome passes on the ending of an attempt or a probe. Its parameters are those of the callback in front.Limits.
func (a *Adapter) RecordOutcome(now front.Time, store string, ending balance.Ending, expected, elapsed front.Time) {
	outcome := zones.Answered
	switch ending {
	case balance.Served, balance.NotEligible, balance.Overloaded, balance.Failed:
		if ending != balance.Served {
			expected = 0
		}
	case balance.ConnectFailed:
		outcome = zones.Refused
	case balance.TimedOut:
		outcome = zones.TimedOut
	case balance.ConnectionLost, balance.Aborted:
		outcome = zones.ConnectionLost
	default: // never sent, or cancelled: says nothing about the path to the store
		return
	}
	a.Zones.RecordOutcome(now, store, outcome, elapsed, expected)
}
