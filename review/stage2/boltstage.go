package stage2

import (
	"sync"
	"time"

	"micatrack/internal/bolt"
	"micatrack/internal/standin"
)

// Arrival is a message that a store has received.
type Arrival struct {
	At   time.Time
	ID   string
	Kind bolt.MessageType
}

// BoltStore is one of the project's stand-ins for stores that speak Bolt, with a note of what it has received.
type BoltStore struct {
	*standin.Bolt
	// Behave, if set, decides what it does with a message. It is to be set before the front starts.
	Behave func(id string, kind bolt.MessageType) standin.Behavior

	mu       sync.Mutex
	arrivals []Arrival
}

// Arrivals returns the messages of requests that have arrived so far.
func (b *BoltStore) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// NewBoltGroup starts the stores of group 1, whose first one is the primary, and returns them with their entries in the list.
func (s *Stage) NewBoltGroup(g *standin.Group, kind string, work time.Duration, names ...string) (stores []*BoltStore, entries []Entry) {
	for i, name := range names {
		inner, err := standin.NewBolt(name, g)
		if err != nil {
			s.Fail(err.Error())
		}
		inner.SetDelay(work)
		role := "primary"
		if i > 0 {
			role = "replica"
			g.SetLag(name, 10*time.Millisecond)
		}
		store := &BoltStore{Bolt: inner}
		inner.SetBehavior(func(id string, kind bolt.MessageType) standin.Behavior {
			if kind == bolt.Hello || kind == bolt.Logon || len(id) > 3 && id[:3] == "x0=" { // not of a request
				return standin.Respond
			}
			store.mu.Lock()
			store.arrivals = append(store.arrivals, Arrival{time.Now(), id, kind})
			store.mu.Unlock()
			act := standin.Respond
			if store.Behave != nil {
				act = store.Behave(id, kind)
			}
			if act == standin.Respond {
				s.Note("store %s: has %v of %s", name, kind, id)
			} else {
				s.Note("store %s: has %v of %s and does not answer it", name, kind, id)
			}
			return act
		})
		stores = append(stores, store)
		entries = append(entries, Entry{ID: name, Addr: inner.Addr(), Zone: "a", Kind: kind, Cell: 1, State: "active", Weight: 1, Role: role,
			Protocol: "bolt"})
	}
	return stores, entries
}

// AskNoted sends a message, and notes it and its answer.
func (s *Stage) AskNoted(c *BoltClient, what string, message []byte) Answer {
	s.Note("client sends %s", what)
	a := c.Ask(message)
	s.Note("client is told of %s: %v", what, a)
	return a
}

// Transaction runs a transaction of one statement.
func (s *Stage) Transaction(c *BoltClient, id, class, query string, limitMS int) (a Answer) {
	for _, m := range []struct {
		what string
		text []byte
	}{{"BEGIN", Begin(id, class, limitMS)}, {"RUN", TxRun(query)}, {"PULL", PullAll()}, {"COMMIT", Message(bolt.Commit, 0, nil)}} {
		if a = s.AskNoted(c, m.what+" "+id, m.text); a.Code != "" || a.Err != nil {
			return a
		}
	}
	return a
}

// MustDialBolt is DialBolt, and ends the case on an error.
func (s *Stage) MustDialBolt(addr string) *BoltClient {
	c, err := DialBolt(addr)
	if err != nil {
		s.Fail(err.Error())
	}
	return c
}
