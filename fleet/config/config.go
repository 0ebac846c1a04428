// Package config keeps a fleet's configuration as a log of versions and carries it to every front. It does no
// I/O and reads no clock: the host hands in time, seed and messages, and the same calls lead to the same
// actions.
//
// Three parts, each a type:
//
//   - Log is the state machine that the entries of a replicated log are applied to, on every control machine.
//     A change names the version it was made from and is applied to that version alone (compare-and-set).
//   - Distributor serves versions on a control machine, collects the fronts' reports, and leads step-wise
//     roll-outs.
//   - Agent holds one front's configuration: it pulls newer versions from two upstreams, puts each in force
//     whole or not at all, serves other fronts as a relay, and passes their reports up.
//
// A version is carried as a delta against the version that the receiver holds, whole only to who holds none
// that is known any more. What a version says stands in one Document, so a front never acts on parts of two.
//
// A front that is cut off goes on with the version it has. What may not go on with an old one is guarded: see
// Agent.Guarded.
package config

import (
	"errors"
	"fmt"
)

// Time is a moment or a span in whole tenths of a millisecond of one machine's monotonic clock.
type Time = int64

// Millisecond and Second are spans of Time.
const (
	Millisecond Time = 10
	Second           = 1000 * Millisecond
)

// Version numbers the states of the configuration, from 1; 0 is none. It only grows, also on rollback.
type Version uint64

// Scope names one text of the configuration, for example "settings", "operators" or "plans".
type Scope string

// Bounds of what is kept and sent. Lengths are bytes unless they say otherwise.
const (
	MaxTextBytes   = 64 << 10 // all texts of one version together; so one change has at most this
	MaxScopes      = 8
	MaxScopeName   = 32
	MaxAuthor      = 64
	MaxReason      = 200
	MaxName        = 64 // of a front, a zone or a fleet
	MaxAddress     = 64
	MaxEntry       = MaxTextBytes + 4<<10   // one entry of the log
	MaxSnapshot    = 1 << 20                // the whole state of a Log
	MaxDocument    = 2*MaxTextBytes + 4<<10 // one version as it is carried whole: its texts and a staged one
	MaxHistory     = 512                    // versions that history tells of, and that can be rolled back to
	MaxMessage     = 1150                   // one message between machines, so that it goes as one datagram
	MaxFronts      = 1024
	MaxControls    = 16
	MessageVersion = 1 // of the messages; one of another is dropped
)

// SwiftChange is up to how many bytes, as carried, a change is in force within six seconds at any size of
// fleet that the package is for. Larger ones, up to MaxTexts, take as long as the fronts' budget of bytes
// says.
const FastChangeBytes = 1000

// GuardSpan is for how long after its version was proven to be the newest a front may act on guarded
// settings.
const ProofTTL = 15 * Second

// Errors that callers tell apart with errors.Is. Each is told in one line.
var (
	ErrVersionConflict = errors.New("the configuration has changed since")
	ErrTooLarge        = errors.New("too large")
	ErrInvalid         = errors.New("faulty") // the check's own words follow, with the path of the key
	ErrRolloutOpen     = errors.New("a roll-out is open")
	ErrNoRollout       = errors.New("no roll-out is open")
	ErrUnknownVersion  = errors.New("no such version in the history")
	ErrMalformed       = errors.New("malformed")
	ErrProgramTooOld   = errors.New("needs a newer program")
)

// ConflictError is an ErrVersionConflict with both versions.
type ConflictError struct{ Base, Newest Version }

// Error tells both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: made from version %d, newest is %d", ErrVersionConflict, e.Base, e.Newest)
}

// Unwrap gives ErrVersionConflict.
func (e *ConflictError) Unwrap() error { return ErrVersionConflict }

// CheckFunc tells what is wrong with a scope's text, by the same code as a file's check; the error names the
// key's path. It must depend on nothing but its arguments. An unknown scope is an error.
type CheckFunc func(scope Scope, text []byte) error

// Plan is a step-wise roll-out: one front, then a zone, then all. The next step follows once every live front
// of a step has said that the version is in force there, and Soak has passed since. A front that refuses it
// ends the roll-out, and so does a step that is not done within Limit; a new version without the change
// follows by itself.
type Plan struct {
	Front string // the first step; empty: none
	Zone  string // the second; empty: none
	Soak  Time   // at most an hour
	Limit Time   // of one step; at most a day; 0: a minute
}

// Change is what somebody asks for.
type Change struct {
	Base    Version // the version that it was made from; it counts only while that is the newest
	Scope   Scope
	Text    []byte // the scope's whole new text; none: the scope is removed
	Author  string // who
	Reason  string // why
	At      int64  // when, by the proposer's clock, in Unix milliseconds
	Program uint32 // the oldest program that can take it; an older one holds the version it has and says so
	Plan    *Plan  // nil: all fronts at once
}

// Rollback makes a new version with the texts of an older one. It ends an open roll-out.
type Rollback struct {
	Base, To       Version
	Author, Reason string
	At             int64
}

// Kind tells what led to a version.
type Kind uint8

// The kinds of entries.
const (
	KindChange   Kind = 1 + iota // a Change
	KindRollback                 // a Rollback
	KindAdvance                  // the next step of a roll-out
	KindAbort                    // a roll-out that was stopped
)

// String names a kind in one word.
func (k Kind) String() string {
	switch k {
	case KindChange:
		return "change"
	case KindRollback:
		return "rollback"
	case KindAdvance:
		return "advance"
	case KindAbort:
		return "abort"
	}
	return "unknown"
}

// Record is what history keeps of one version.
type Record struct {
	Version        Version
	Kind           Kind
	Scope          Scope   // of a change
	To             Version // of a rollback
	Author, Reason string
	At             int64 // Unix milliseconds of the proposer's clock
}

// Result is what applying one entry led to.
type Result struct {
	Version Version // the newest version afterwards
	Err     error   // why the entry did not count; nil: Version is its own
}

// Peer is another machine, as membership or the operators' file knows it.
type Peer struct {
	Name, Zone string
	Addr       string // as Host.Send takes it
}

// Peers is who is there. Both lists may lag behind the truth and differ between machines. Those over the
// bounds are left out from the end; the order says nothing.
type Peers struct {
	Controls []Peer // the control machines
	Fronts   []Peer // live fronts as far as known, this one too or not
}
