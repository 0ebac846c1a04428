package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// The tree that versions go down and reports go up. All fronts stand in the order of their names' hashes. The
// first few ask control machines; each later one asks an earlier one, so there are no loops, whatever lists
// machines go by, and a machine has few children. Who does not answer is passed over for an earlier one that
// is drawn. The second upstream is drawn among those that are nobody's first, so a version reaches a front
// also while its first upstream is gone.

const (
	frontFanOut            = 3  // fronts that have one front as their first choice
	controlFanOut          = 8  // fronts that have one control machine as their first choice
	maxFrontChildren       = 12 // of a front, at most
	maxControlChildren     = 48 // children of a control machine, at most
	controlAttemptInterval = 4  // one attempt in so many goes to a control machine
)

// topology is who is there, in the tree's order.
type topology struct {
	controls []Peer
	fronts   []Peer // in the order of hashes, without this machine
	rank     int    // how many of them are before this machine
}

// nameID is what stands for a name in reports and in the tree's order; never 0.
func nameID(name string) uint64 { return xxhash.Sum64String(name) | 1 }

func (p *Peer) valid() bool {
	named := p.Name != "" && len(p.Name) <= MaxName && len(p.Zone) <= MaxName
	return named && p.Addr != "" && len(p.Addr) <= MaxAddress
}

// sortedPeers gives a list's sound peers in the order of their hashes, each name once.
func sortedPeers(list []Peer, limit int) []Peer {
	kept := make([]Peer, 0, min(len(list), limit))
	for _, p := range list {
		if p.valid() && len(kept) < limit {
			kept = append(kept, p)
		}
	}
	slices.SortStableFunc(kept, func(x, y Peer) int {
		return cmp.Or(cmp.Compare(nameID(x.Name), nameID(y.Name)), cmp.Compare(x.Name, y.Name))
	})
	return slices.CompactFunc(kept, func(x, y Peer) bool { return x.Name == y.Name })
}

func newTopology(peers Peers, self string) topology {
	notSelf := func(p Peer) bool { return p.Name == self }
	t := topology{
		controls: slices.DeleteFunc(sortedPeers(peers.Controls, MaxControls), notSelf),
		fronts:   slices.DeleteFunc(sortedPeers(peers.Fronts, MaxFronts), notSelf),
	}
	for _, p := range t.fronts {
		if nameID(p.Name) < nameID(self) {
			t.rank++
		}
	}
	return t
}

// has tells whether a front is among the peers, by its id.
func (t *topology) has(id uint64) bool {
	compare := func(p Peer, id uint64) int { return cmp.Compare(nameID(p.Name), id) }
	_, found := slices.BinarySearchFunc(t.fronts, id, compare)
	return found
}

// primaryUpstream gives the address of the upstream that reports go to, on an attempt from 0.
func (t *topology) primaryUpstream(attempt int, source *random.Source) string {
	direct := len(t.controls) * controlFanOut
	switch {
	case len(t.controls) > 0 && (t.rank < direct || t.rank == 0):
		if attempt > len(t.controls) && t.rank > 0 && attempt%controlAttemptInterval != 0 {
			return t.fronts[source.Below(int64(t.rank))].Addr
		}
		return t.controls[(t.rank+attempt)%len(t.controls)].Addr
	case attempt == 0 && t.rank > 0:
		return t.fronts[(t.rank-direct)/frontFanOut].Addr
	case len(t.controls) > 0 && attempt%controlAttemptInterval == controlAttemptInterval-1:
		return t.controls[source.Below(int64(len(t.controls)))].Addr
	case t.rank > 0:
		return t.fronts[source.Below(int64(t.rank))].Addr
	}
	return ""
}

// secondaryUpstream gives the address of the upstream beside the first, on an attempt from 0.
func (t *topology) secondaryUpstream(attempt int, source *random.Source) string {
	toControl := attempt%controlAttemptInterval == controlAttemptInterval-1 || len(t.fronts) == 0
	if toControl && len(t.controls) > 0 {
		return t.controls[source.Below(int64(len(t.controls)))].Addr
	}
	if len(t.fronts) == 0 {
		return ""
	}
	relays := t.relayCount()
	return t.fronts[relays+int(source.Below(int64(len(t.fronts)-relays)))].Addr
}

// relayCount gives how many fronts are somebody's first choice. The others have time for second upstreams.
func (t *topology) relayCount() int {
	return max(len(t.fronts)-len(t.controls)*controlFanOut, 0) / frontFanOut
}
