package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// Versions are sent down a tree, and reports are sent up it. All fronts are ordered by the hashes of their
// names. The first few fronts use control machines as their primary upstream; each later one uses an earlier
// front. So there are no loops, even if machines have different lists of peers, and a machine has few
// children. An upstream that does not answer is replaced by a randomly chosen earlier front. The secondary
// upstream is chosen at random among the fronts that are nobody's primary upstream, so a version reaches a
// front even while its primary upstream is down.

const (
	frontFanOut            = 3  // fronts that have one front as their first choice
	controlFanOut          = 8  // fronts that have one control machine as their first choice
	maxFrontChildren       = 12 // children that a front accepts
	maxControlChildren     = 48 // children that a control machine accepts
	controlAttemptInterval = 4  // one in this many attempts to find an upstream goes to a control machine
)

// topology holds the known machines in the order of the tree.
type topology struct {
	controls []Peer // control machines without this one, by hash
	fronts   []Peer // fronts without this one, by hash
	rank     int    // number of fronts before this one
}

// nameID returns the hash that represents a name in reports and in the order of the tree. It is never 0.
func nameID(name string) uint64 { return xxhash.Sum64String(name) | 1 }

// valid reports whether a peer has a name and an address within the limits.
func (p *Peer) valid() bool {
	named := p.Name != "" && len(p.Name) <= MaxName && len(p.Zone) <= MaxName
	return named && p.Addr != "" && len(p.Addr) <= MaxAddress
}

// sortedPeers returns the first limit valid peers of list, ordered by hash and without duplicate names.
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

// newTopology returns the topology that the machine named self sees.
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

// has reports whether the front with an ID is a known peer.
func (t *topology) has(id uint64) bool {
	compare := func(p Peer, id uint64) int { return cmp.Compare(nameID(p.Name), id) }
	_, found := slices.BinarySearchFunc(t.fronts, id, compare)
	return found
}

// primaryUpstream returns the address of the upstream that receives reports, for the given attempt,
// starting with 0; "" if there is none.
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

// secondaryUpstream returns the address of the second upstream for the given attempt, starting with 0; ""
// if there is none.
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

// relayCount returns the number of fronts that are the first choice of others. The remaining fronts have
// the capacity to be secondary upstreams.
func (t *topology) relayCount() int {
	return max(len(t.fronts)-len(t.controls)*controlFanOut, 0) / frontFanOut
}
