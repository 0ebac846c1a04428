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
	Zones     *zones.Zones
	Positions *positions.Service // nil: off
	stores    []zones.Store      // scratch
	watched   []string
	peers     []positions.Peer
}

// UpdateStores hands a list of stores on.
func (b *Adapter) UpdateStores(now front.Time, l front.StoreList) {
	if l.Kind == balance.ListFailed {
		return
	}
	b.stores = b.stores[:0]
	for i := range l.Entries {
		e := &l.Entries[i]
		b.stores = append(b.stores, zones.Store{ID: e.ID, Zone: e.Zone, Size: cmp.Or(e.Size, 1), Open: e.Condition == balance.Ready})
	}
	b.Zones.UpdateStores(now, l.Kind != balance.ListChanges, b.stores)
	if b.Positions != nil {
		b.watch(l)
	}
}

// watch hands the stores on that speak PostgreSQL's protocol.
func (b *Adapter) watch(l front.StoreList) {
	named := map[string]bool{}
	for i := range l.Entries {
		if e := &l.Entries[i]; e.Condition != balance.Gone && !e.Bolt {
			if named[e.ID] = true; !slices.Contains(b.watched, e.ID) {
				b.watched = append(b.watched, e.ID)
			}
			b.Positions.UpdateStore(e.ID, e.Group, e.Primary, true)
		}
	}
	keep := b.watched[:0]
	for _, name := range b.watched {
		if l.Kind == balance.ListChanges || named[name] {
			keep = append(keep, name)
		} else {
			b.Positions.UpdateStore(name, 0, false, false)
		}
	}
	b.watched = keep
}

// UpdateMembers tells the watch who is there, where that has changed.
func (b *Adapter) UpdateMembers(f *fleet.Fleet) {
	if b.Positions == nil || !f.MembersChanged {
		return
	}
	f.MembersChanged = false
	b.peers = b.peers[:0]
	for _, e := range f.Members.List() {
		if e.State <= membership.Suspect {
			b.peers = append(b.peers, positions.Peer{Name: e.Name, Addr: e.Addr})
		}
	}
	b.Positions.UpdateMembers(b.peers)
}

// RecordOutcome hands on how an attempt or a probe came back, as front.Limits tells it.
func (b *Adapter) RecordOutcome(now front.Time, store string, how balance.Ending, expected, took front.Time) {
	end := zones.Answered
	switch how {
	case balance.Served, balance.NotEligible, balance.Overloaded, balance.Failed:
		if how != balance.Served {
			expected = 0
		}
	case balance.ConnectFailed:
		end = zones.Refused
	case balance.TimedOut:
		end = zones.TimedOut
	case balance.ConnectionLost, balance.Aborted:
		end = zones.ConnectionLost
	default: // never sent, or called back: that says nothing of the way there
		return
	}
	b.Zones.RecordOutcome(now, store, end, took, expected)
}
