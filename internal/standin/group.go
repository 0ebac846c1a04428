// Package standin holds stand-ins for the servers that a front talks to, for tests and for trying the program out. They
// execute requests against a group's ledger, and the rules are checked on that ledger, not on what a front reports.
package standin

import (
	"fmt"
	"sync"
	"time"
)

// Entry is one operation that a store executed.
type Entry struct {
	At             time.Time
	Store          string
	RequestID      string // ID of the request, or its idempotency key if it has no ID.
	IdempotencyKey string
	Write          bool
	Duplicate      bool  // A repeat, recognized by its idempotency key and not run again.
	Position       int64 // Position of the commit, or that the read has seen, in Unix tenths of a millisecond.
}

// Group is a primary and its replicas: one log, and how far each store has applied it.
type Group struct {
	ID uint64

	mu           sync.Mutex
	primary      string
	lags         map[string]time.Duration
	minPositions map[string]int64 // Position of each store when its lag or role last changed: a store never goes back in its log.
	ledger       []Entry
	writesByKey  map[string]Entry // First write of each idempotency key, to recognize repeats within the window.
	window       time.Duration
	last         int64
	drains       map[string]time.Time
	epoch        int
	now          func() time.Time
}

// NewGroup returns a group whose first store is the primary. window is how long a repeated write is recognized by its
// idempotency key and not run again.
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

// SetClock replaces the clock of the group. It must be called before the group is used.
func (g *Group) SetClock(now func() time.Time) { g.now = now }

// tenths returns t in Unix tenths of a millisecond.
func tenths(t time.Time) int64 { return t.UnixNano() / 100_000 }

// SetLag sets how far a replica is behind the primary in applying the log.
func (g *Group) SetLag(store string, lag time.Duration) {
	g.mu.Lock()
	g.minPositions[store] = g.applied(store, g.now())
	g.lags[store] = lag
	g.mu.Unlock()
}

// Promote makes another store the primary. What the old primary has executed stays valid; it rejects writes from now
// on.
func (g *Group) Promote(store string) {
	g.mu.Lock()
	g.minPositions[g.primary] = g.applied(g.primary, g.now())
	g.primary, g.epoch = store, g.epoch+1
	g.mu.Unlock()
}

// MarkDraining records that a front was told now that a store drains.
func (g *Group) MarkDraining(store string) {
	g.mu.Lock()
	g.drains[store] = g.now()
	g.mu.Unlock()
}

// Primary returns the primary, and how often it has changed.
func (g *Group) Primary() (store string, epoch int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary, g.epoch
}

// applied returns how far a store has applied the log. The caller holds the lock.
func (g *Group) applied(store string, now time.Time) int64 {
	if store == g.primary {
		return tenths(now)
	}
	return max(tenths(now.Add(-g.lags[store])), g.minPositions[store])
}

// Position returns how far a store has applied the log by now.
func (g *Group) Position(store string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applied(store, g.now())
}

// Read records a read and returns the position that it has seen. ok is false if the store is behind the position after,
// which the read has to see; then the read is not executed.
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

// Write commits a write and returns its position. ok is false if this store is not the primary; then the write is not
// executed. A write that repeats an idempotency key within the window is not run again and returns the position of the
// first.
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

// WritePosition returns the position of a request's write, or 0 if it wrote nothing.
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

// Ledger returns all operations of the group's stores, the oldest first.
func (g *Group) Ledger() []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Entry(nil), g.ledger...)
}

// Outcome is the final outcome of a request as the client of a front saw it, for Check.
type Outcome struct {
	RequestID      string
	IdempotencyKey string // Idempotency key of a write; empty if it has none.
	Write          bool
	Retried        bool // The client retried it after a rejection; all tries count as one request.
	Delivered      bool
	Rejected       bool  // Reported as rejected: it must not have run.
	After          int64 // Position that a read had to see.
}

// Check compares the ledger with the outcomes that clients saw and returns the violations: a write that took effect
// twice, a request reported as rejected that ran, one delivered that did not run, one answered twice, a stale read, and
// an operation that began at a store more than grace after it was told to drain.
func (g *Group) Check(outcomes []Outcome, grace time.Duration) (violations []string) {
	ran, effects := map[string][]Entry{}, map[string]int{}
	for _, e := range g.Ledger() {
		ran[e.RequestID] = append(ran[e.RequestID], e)
		if e.Write && !e.Duplicate {
			if e.IdempotencyKey != "" {
				effects["key "+e.IdempotencyKey]++
			} else {
				effects["request "+e.RequestID]++
			}
		}
		g.mu.Lock()
		drainedAt, draining := g.drains[e.Store]
		g.mu.Unlock()
		if draining && e.At.Sub(drainedAt) > grace {
			violations = append(violations, fmt.Sprintf("%s ran at %s %v after the store was told to drain", e.RequestID, e.Store, e.At.Sub(drainedAt)))
		}
	}
	for _, e := range g.Ledger() { // In the order of the ledger.
		key := "request " + e.RequestID
		if e.IdempotencyKey != "" {
			key = "key " + e.IdempotencyKey
		}
		if n := effects[key]; n > 1 {
			violations = append(violations, fmt.Sprintf("%s took effect %d times", key, n))
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
			violations = append(violations, a.RequestID+" was delivered but never ran")
		case a.Rejected && a.Write && a.IdempotencyKey == "" && len(entries) > 0:
			violations = append(violations, a.RequestID+" ran and was reported as rejected")
		}
		if a.Delivered && !a.Write && len(entries) > 0 {
			if e := entries[len(entries)-1]; e.Position < a.After {
				violations = append(violations, fmt.Sprintf("%s was answered from %d and had to see %d", a.RequestID, e.Position, a.After))
			}
		}
	}
	return violations
}
