package world

import (
	"micatrack/fleet/membership"
	"micatrack/internal/front"
)

// Subject is what a control message of a front is about.
type Subject int

const (
	Probes    Subject = iota // pings, their answers, and pings in another's place
	Rumors                   // datagrams that carry facts and notes alone
	Exchanges                // whole exchanges, both ways
	Positions                // questions to watchers of positions, and their answers
	Leases                   // questions to voters, and their answers
	Lists                    // discovery's list of stores
	Subjects                 // how many there are
)

func (s Subject) String() string {
	return [...]string{"probes", "rumors", "exchanges", "positions", "leases", "lists"}[s]
}

// Flow counts messages and the bytes in them, without the headers of UDP, TCP and IP.
type Flow struct{ Messages, Bytes int }

func (f *Flow) count(bytes int) {
	f.Messages++
	f.Bytes += bytes
}

// Traffic is what a front's control has sent and received since the world began, over all of the front's
// lives.
type Traffic struct{ Sent, Received [Subjects]Flow }

// subjectOf tells what a message of membership is about.
func subjectOf(kind membership.Kind) Subject {
	switch kind {
	case membership.Gossip:
		return Rumors
	case membership.SyncRequest, membership.SyncResponse:
		return Exchanges
	default:
		return Probes
	}
}

// listHead is the length of discovery's object round its stores, and lineHead that of a store's fixed part.
const (
	listHead = len(`{"version":1000000,"full":false,"servers":[]}`)
	lineHead = len(`{"id":"","addr":"","zone":"","kind":"m2","cell":1000,"state":"active","weight":1,` +
		`"role":"primary","started_ms":1767225600000},`)
)

// listBytes is the length of a list as discovery tells it.
func listBytes(list front.StoreList) int {
	bytes := listHead
	for k := range list.Entries {
		line := &list.Entries[k]
		bytes += lineHead + len(line.ID) + len(line.Addr) + len(line.Zone)
	}
	return bytes
}
