// Package bridge carries what a front's core knows to its fleet, in the words of each. It decides nothing.
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

// Adapter is that of one front.
type Adapter struct {
	Zones       *zones.Zones
	Positions   *positions.Service // nil: off
	zoneStores  []zones.Store      // scratch
	knownStores []string
	members     []positions.Peer
}

// UpdateStores hands a list of stores on.
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

// updatePositions hands the stores on that speak PostgreSQL's protocol.
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

// UpdateMembers tells the watch who is there, where that has changed.
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

// RecordOutcome hands on how an attempt or a probe came back, as front.Limits tells it.
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
	default: // never sent, or called back: that says nothing of the way there
		return
	}
	a.Zones.RecordOutcome(now, store, outcome, elapsed, expected)
}
