// Package config replicates a fleet's configuration as a log of versions and distributes it to every front.
// It performs no I/O and reads no clock: the caller passes in time, random seed and messages, and the same
// calls lead to the same actions.
//
// The package has three main types:
//
//   - Log is the state machine that the entries of a replicated log are applied to, on every control machine.
//     A change names the version that it was made from and applies to that version only (compare-and-set).
//   - Distributor serves versions on a control machine, collects the fronts' reports, and drives staged
//     roll-outs.
//   - Agent holds one front's configuration: it pulls newer versions from two upstreams, puts each in force
//     as a whole or not at all, serves other fronts as a relay, and forwards their reports.
//
// A version is sent as a delta against a version that the receiver holds. The whole document is sent only
// to a receiver whose versions are all no longer known. All texts of a version are in one Document, so a
// front never acts on parts of two versions.
//
// A front that is cut off continues with the version that it has. Settings that must not be used once they
// are out of date are called guarded; see Agent.ProofFresh.
package config

import (
	"errors"
	"fmt"
)

// Time is a point in time or a duration, in tenths of a millisecond of one machine's monotonic clock.
type Time = int64

// Common durations.
const (
	Millisecond Time = 10
	Second           = 1000 * Millisecond
)

// Version numbers the states of the configuration, starting with 1; 0 means no version. It only increases,
// also on a rollback.
type Version uint64

// Scope names one text of the configuration, for example "settings", "operators" or "plans".
type Scope string

// Limits of what is stored and sent, in bytes unless stated otherwise.
const (
	MaxTextBytes   = 64 << 10               // all texts of one version together, and therefore one change
	MaxScopes      = 8                      // number of scopes in a version
	MaxScopeName   = 32                     // name of a scope
	MaxAuthor      = 64                     // author of a version
	MaxReason      = 200                    // reason of a version
	MaxName        = 64                     // name of a front, a zone or a fleet
	MaxAddress     = 64                     // address of a machine
	MaxEntry       = MaxTextBytes + 4<<10   // one entry of the log
	MaxSnapshot    = 1 << 20                // complete state of a Log
	MaxDocument    = 2*MaxTextBytes + 4<<10 // one encoded version: its texts and a staged one
	MaxHistory     = 512                    // number of versions in the history, which can be rolled back to
	MaxMessage     = 1150                   // one message between machines, which must fit into one datagram
	MaxFronts      = 1024                   // number of fronts
	MaxControls    = 16                     // number of control machines
	MessageVersion = 1                      // version of the message format; messages of other versions are dropped
)

// FastChangeBytes is the largest encoded size of a change that is in force within six seconds in a fleet of
// any supported size. Larger changes, up to MaxTextBytes, take as long as the fronts' traffic budgets
// require.
const FastChangeBytes = 1000

// ProofTTL is how long a front may act on guarded settings after its version was proven to be the newest.
const ProofTTL = 15 * Second

// Errors that callers distinguish with errors.Is. Each error text is one line.
var (
	ErrVersionConflict = errors.New("the configuration has changed since")
	ErrTooLarge        = errors.New("too large")
	ErrInvalid         = errors.New("faulty") // wrapped with the check's error, which names the path of the key
	ErrRolloutOpen     = errors.New("a roll-out is open")
	ErrNoRollout       = errors.New("no roll-out is open")
	ErrUnknownVersion  = errors.New("no such version in the history")
	ErrMalformed       = errors.New("malformed")
	ErrProgramTooOld   = errors.New("needs a newer program")
)

// ConflictError is an ErrVersionConflict with the version that a change was made from and the newest
// version.
type ConflictError struct{ Base, Newest Version }

// Error returns a one-line description with both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: made from version %d, newest is %d", ErrVersionConflict, e.Base, e.Newest)
}

// Unwrap returns ErrVersionConflict.
func (e *ConflictError) Unwrap() error { return ErrVersionConflict }

// CheckFunc validates the text of a scope with the same code that validates a configuration file. The error
// names the path of the offending key. The result must depend only on the arguments. An unknown scope is an
// error.
type CheckFunc func(scope Scope, text []byte) error

// Plan describes a staged roll-out: first to one front, then to a zone, then to all fronts. The next step
// begins once every live front of the current step has reported that the version is in force and Soak has
// passed since then. If a front refuses the version, or a step is not complete within Limit, the roll-out
// ends and a new version without the change is committed automatically.
type Plan struct {
	Front string // front of the first step; empty: the step is omitted
	Zone  string // zone of the second step; empty: the step is omitted
	Soak  Time   // wait after a step is complete; at most an hour
	Limit Time   // time allowed for one step; at most a day; 0: one minute
}

// Change is a request to replace or remove the text of one scope.
type Change struct {
	Base    Version // version that the change was made from; the change is rejected if that is no longer the newest
	Scope   Scope   // scope to change
	Text    []byte  // complete new text of the scope; empty: the scope is removed
	Author  string  // who made the change
	Reason  string  // why it was made
	At      int64   // when it was made, in Unix milliseconds of the proposer's clock
	Program uint32  // minimum program number; an older front keeps the version it has and reports StateHeld
	Plan    *Plan   // roll-out plan; nil: all fronts at once
}

// Rollback is a request for a new version with the texts of an older one. It ends an open roll-out.
type Rollback struct {
	Base   Version // version that the rollback was made from, which must be the newest
	To     Version // version whose texts are restored
	Author string  // who made the rollback
	Reason string  // why it was made
	At     int64   // when it was made, in Unix milliseconds of the proposer's clock
}

// Kind is the kind of log entry that created a version.
type Kind uint8

// Kinds of log entries.
const (
	KindChange   Kind = 1 + iota // a Change
	KindRollback                 // a Rollback
	KindAdvance                  // next step of a roll-out
	KindAbort                    // end of a roll-out without its change
)

// String returns the name of the kind in one word.
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

// Record is the history entry of one version.
type Record struct {
	Version Version // version that the entry created
	Kind    Kind    // kind of the entry
	Scope   Scope   // changed scope; only of a change
	To      Version // restored version; only of a rollback
	Author  string  // who proposed it
	Reason  string  // why
	At      int64   // when, in Unix milliseconds of the proposer's clock
}

// Result is the result of applying one log entry.
type Result struct {
	Version Version // newest version after the entry
	Err     error   // why the entry was rejected; nil: the entry created Version
}

// Peer is another machine, as known from the membership or from the operators' file.
type Peer struct {
	Name string // name of the machine
	Zone string // zone of the machine
	Addr string // address, as passed to the host's Send
}

// Peers are the known machines. Both lists may be out of date and may differ between machines. Their order
// does not matter. Entries beyond MaxControls or MaxFronts are ignored.
type Peers struct {
	Controls []Peer // control machines
	Fronts   []Peer // fronts known to be live; this one may be included
}
