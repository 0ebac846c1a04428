package world

import (
	"fmt"
	"slices"

	"micatrack/balance"
	"micatrack/internal/front"
)

// region gives the region that a zone is in.
func (p *Plan) region(zone string) string {
	if k := slices.Index(p.Zones, zone); k >= 0 && k < len(p.Regions) {
		return p.Regions[k]
	}
	return ""
}

// distance is the time that a message takes one way between two regions, beside that of every link.
func (w *World) distance(from, to Node) Time {
	if from.Region == "" || to.Region == "" || from.Region == to.Region {
		return 0
	}
	return w.Distance
}

// spread names a group's stores and gives the zone of each; the first is the primary.
func (p *Plan) spread(group int) (names, zones []string) {
	for k := range p.Replicas {
		zone := p.Zones[(group+k)%len(p.Zones)]
		names = append(names, fmt.Sprintf("g%d-%s-%d", group, zone, k))
		zones = append(zones, zone)
	}
	return names, zones
}

// news is what discovery tells of the list now.
func (w *World) news() front.StoreList {
	changed := w.changed
	w.changed = nil
	if !w.Changes {
		return w.whole(balance.ListFull)
	}
	list := front.StoreList{Kind: balance.ListChanges}
	for _, k := range changed {
		list.Entries = append(list.Entries, w.lists[k])
	}
	return list
}

// Held tells how many connections stand at a store.
func (s *Store) Held() int { return len(s.conns) }

// List gives what the front holds of its fleet's members; nil: it has no fleet or does not run.
func (f *Front) List() []Peer {
	if f.fleet == nil {
		return nil
	}
	var peers []Peer
	for _, entry := range f.fleet.Members.List() {
		peers = append(peers, Peer{Name: entry.Name, State: entry.State.String()})
	}
	return peers
}

// Peer is one front as another holds it.
type Peer struct{ Name, State string }

// Forget drops what is kept of requests that are over, so that a long play does not grow. Check then tells
// nothing of them.
func (w *World) Forget() {
	w.Done = nil
	w.sent = map[string]Time{}
}
