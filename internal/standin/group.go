// Package standin holds stand-ins of the servers that a front speaks to, for tests and for trying the program out:
// what they are asked runs against a group's ledger, from which rules are checked, and not from what a front believes.
package standin

import (
	"fmt"
	"sync"
	"time"
)

// Entry is one thing that a store did.
type Entry struct {
	At             time.Time
	Store          string
	RequestID      string // its id, or its mark where it has none
	IdempotencyKey string
	Write          bool
	Duplicate      bool  // a repeat that was told from its mark and not run again
	Position       int64 // Unix tenths of a millisecond: of the commit, or that a read has seen
}

// Group is a primary and its replicas: one log, and how far each has applied it.
type Group struct {
	ID uint64

	mu           sync.Mutex
	primary      string
	lags         map[string]time.Duration
	minPositions map[string]int64 // how far each had come when its lag or role last changed: a log is never undone
	ledger       []Entry
	writesByKey  map[string]Entry // writes by mark, for as long as repeats are dropped
	window       time.Duration
	last         int64
	drains       map[string]time.Time
	epoch        int
	now          func() time.Time
}

// NewGroup makes a group whose first store is the primary; window is for how long a repeat is dropped.
func NewGroup(id uint64, window time.Duration, stores ...string) *Group {
	g := &Group{ID: id, window: window, lags: map[string]time.Duration{}, minPositions: map[string]int64{}, writesByKey: map[string]Entry{}, drains: map[string]time.Time{}, now: time.Now}
	for i, s := range stores {
		if i == 0 {
			g.primary = s
		}
		g.lags[s] = 0
	}
	return g
}

// SetClock has the group go by another clock than the machine's, from before it is used.
func (g *Group) SetClock(now func() time.Time) { g.now = now }

func tenths(t time.Time) int64 { return t.UnixNano() / 100_000 }

// SetLag has a replica apply the log that much later.
func (g *Group) SetLag(store string, lag time.Duration) {
	g.mu.Lock()
	g.minPositions[store] = g.applied(store, g.now())
	g.lags[store] = lag
	g.mu.Unlock()
}

// Promote makes another store the primary. What ran on the old one before stands; what is asked of it from now on as
// a write is turned away.
func (g *Group) Promote(store string) {
	g.mu.Lock()
	g.minPositions[g.primary] = g.applied(g.primary, g.now())
	g.primary, g.epoch = store, g.epoch+1
	g.mu.Unlock()
}

// MarkDraining notes when a front was told that a store drains.
func (g *Group) MarkDraining(store string) {
	g.mu.Lock()
	g.drains[store] = g.now()
	g.mu.Unlock()
}

// Primary tells who it is, and how often that has changed.
func (g *Group) Primary() (store string, epoch int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary, g.epoch
}

// applied is how far a store has the log; the lock is held.
func (g *Group) applied(store string, now time.Time) int64 {
	if store == g.primary {
		return tenths(now)
	}
	return max(tenths(now.Add(-g.lags[store])), g.minPositions[store])
}

// Position is how far a store has the log now.
func (g *Group) Position(store string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied(store, g.now())
}

// Read notes a read and tells what it has seen; false: the store is behind what it has to see, and did nothing.
func (g *Group) Read(store, requestID string, after int64) (position int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if position = g.applied(store, now); position < after {
		return position, false
	}
	g.ledger = append(g.ledger, Entry{At: now, Store: store, RequestID: requestID, Position: position})
	return position, true
}

// Write commits a write and tells its position; false: this store is not the primary, and did nothing. A repeat of a
// mark inside the window is not run again, and has the first one's position.
func (g *Group) Write(store, requestID, idempotencyKey string) (position int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if store != g.primary {
		return 0, false
	}
	now := g.now()
	e := Entry{At: now, Store: store, RequestID: requestID, IdempotencyKey: idempotencyKey, Write: true}
	if first, seen := g.writesByKey[idempotencyKey]; seen && idempotencyKey != "" && now.Sub(first.At) < g.window {
		e.Duplicate, e.Position = true, first.Position
	} else {
		g.last = max(tenths(now), g.last+1)
		e.Position = g.last
		if idempotencyKey != "" {
			g.writesByKey[idempotencyKey] = e
		}
	}
	g.ledger = append(g.ledger, e)
	return e.Position, true
}

// WritePosition gives the position of a job's write; 0: it did none.
func (g *Group) WritePosition(requestID string) (position int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k := len(g.ledger) - 1; k >= 0; k-- {
		if e := &g.ledger[k]; e.RequestID == requestID && e.Write {
			return e.Position
		}
	}
	return 0
}

// Ledger gives all that the group's stores did, the oldest first.
func (g *Group) Ledger() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Entry(nil), g.ledger...)
}

// Outcome is what a client of the front was told in the end, for Check.
type Outcome struct {
	RequestID      string
	IdempotencyKey string // numbered
	Write          bool
	Retried        bool // a client tried it again after a turn-back: the tries are one job
	Delivered      bool
	Rejected       bool  // turned back: it must not have run
	After          int64 // a read had to see it
}

// Check holds the ledger against what clients were told and gives the broken rules: an effect twice, a turn-back of
// what ran, a delivery of what did not, a stale read, and work begun at a store after its drain's grace.
func (g *Group) Check(outcomes []Outcome, grace time.Duration) (violations []string) {
	ran, effects := map[string][]Entry{}, map[string]int{}
	for _, e := range g.Ledger() {
		ran[e.RequestID] = append(ran[e.RequestID], e)
		if e.Write && !e.Duplicate {
			if e.IdempotencyKey != "" {
				effects["mark "+e.IdempotencyKey]++
			} else {
				effects["job "+e.RequestID]++
			}
		}
		g.mu.Lock()
		drainedAt, draining := g.drains[e.Store]
		g.mu.Unlock()
		if draining && e.At.Sub(drainedAt) > grace {
			violations = append(violations, fmt.Sprintf("%s ran at %s %v after its drain was told", e.RequestID, e.Store, e.At.Sub(drainedAt)))
		}
	}
	for _, e := range g.Ledger() { // in the ledger's order
		key := "job " + e.RequestID
		if e.IdempotencyKey != "" {
			key = "mark " + e.IdempotencyKey
		}
		if n := effects[key]; n > 1 {
			violations = append(violations, fmt.Sprintf("%s had its effect %d times", key, n))
			delete(effects, key)
		}
	}
	seen := map[string]bool{}
	for _, a := range outcomes {
		if seen[a.RequestID] {
			violations = append(violations, a.RequestID+" was answered twice")
		}
		seen[a.RequestID] = true
		entries := ran[a.RequestID]
		switch {
		case a.Delivered && len(entries) == 0:
			violations = append(violations, a.RequestID+" was delivered and never ran")
		case a.Rejected && a.Write && a.IdempotencyKey == "" && len(entries) > 0:
			violations = append(violations, a.RequestID+" ran and was turned back")
		}
		if a.Delivered && !a.Write && len(entries) > 0 {
			if e := entries[len(entries)-1]; e.Position < a.After {
				violations = append(violations, fmt.Sprintf("%s was answered from %d and had to see %d", a.RequestID, e.Position, a.After))
			}
		}
	}
	return violations
}
