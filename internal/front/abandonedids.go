package front

import (
	"crypto/sha256"

	"micatrack/balance"
)

const (
	// maxAbandonedIDs bounds the ids that are remembered; the oldest give way.
	maxAbandonedIDs = 4096
	// abandonedIDSpan is the time for which an id is remembered, in which a client that has left may come again.
	abandonedIDSpan = 60 * 1000 * millisecond
)

// idHash stands for the id of a request, which may be long.
type idHash [16]byte

// hashID returns the hash of a request's id.
func hashID(id []byte) idHash {
	sum := sha256.Sum256(id)
	return idHash(sum[:len(idHash{})])
}

// abandonedIDs remembers requests that may have run and whose clients left before they were answered. If the id of such
// a request comes again, to run it could have its effect twice.
type abandonedIDs struct {
	arrivals map[idHash]Time // when each request arrived
	order    []abandonedID   // a ring of at most maxAbandonedIDs entries
	oldest   int             // index in order, once it is full
}

// abandonedID is one entry of abandonedIDs.
type abandonedID struct {
	hash      idHash
	arrivedAt Time
}

// add remembers a request that arrived at the given time.
func (a *abandonedIDs) add(id []byte, arrivedAt Time) {
	if a.arrivals == nil {
		a.arrivals = map[idHash]Time{}
	}
	entry := abandonedID{hashID(id), arrivedAt}
	if len(a.order) < maxAbandonedIDs {
		a.order = append(a.order, entry)
	} else {
		if old := a.order[a.oldest]; a.arrivals[old.hash] == old.arrivedAt {
			delete(a.arrivals, old.hash)
		}
		a.order[a.oldest] = entry
		a.oldest = (a.oldest + 1) % maxAbandonedIDs
	}
	a.arrivals[entry.hash] = arrivedAt
}

// mayRun reports whether a request of the class with this id may run now and for as long as its client waits. A keyed
// request may, while stores recognize its key.
func (a *abandonedIDs) mayRun(now Time, class *balance.Class, id []byte, timeLeft Time) bool {
	if len(a.arrivals) == 0 || class.Repeat == balance.Idempotent {
		return true
	}
	arrivedAt, known := a.arrivals[hashID(id)]
	switch {
	case !known || now-arrivedAt >= abandonedIDSpan:
		return true
	case class.Repeat == balance.Keyed:
		return now+timeLeft <= arrivedAt+class.Window
	}
	return false
}

// rememberAbandoned remembers a request whose client has left, if it may have run and must not do so twice.
func (c *Core) rememberAbandoned(req *request) {
	if !req.written || req.class().Repeat == balance.Idempotent {
		return
	}
	if carrier := req.attemptConn; carrier != nil && carrier.protocol.provenNoEffect(carrier) {
		return
	}
	c.abandonedIDs.add(req.metadata.ID, req.arrivedAt)
}
