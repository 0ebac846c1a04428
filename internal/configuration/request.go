package configuration

import (
	"encoding/json"
	"errors"
	"fmt"

	"micatrack/fleet/config"
)

// Op is what is asked of the control machines.
type Op string

// The operations.
const (
	OpGet      Op = "get"
	OpSet      Op = "set"
	OpHistory  Op = "history"
	OpRollback Op = "rollback"
	OpStatus   Op = "status"
)

// Request is a question or a change, from a front to a control machine.
type Request struct {
	Op      Op       `json:"op"`
	Version uint64   `json:"version,omitempty"` // of get; 0: the newest
	Base    uint64   `json:"base,omitempty"`    // that a change was made from
	To      uint64   `json:"to,omitempty"`      // of rollback
	Scope   string   `json:"scope,omitempty"`
	Text    string   `json:"text,omitempty"` // none: the scope is removed
	Author  string   `json:"author,omitempty"`
	Reason  string   `json:"reason,omitempty"`
	At      int64    `json:"at,omitempty"` // Unix milliseconds at which it was asked first
	Program uint32   `json:"program,omitempty"`
	Rollout *Rollout `json:"rollout,omitempty"` // of set; nil: all fronts at once
}

// Rollout is a step-wise roll-out, asked for or open.
type Rollout struct {
	Front   string `json:"front,omitempty"`
	Zone    string `json:"zone,omitempty"`
	SoakMS  int64  `json:"soak_ms,omitempty"`
	LimitMS int64  `json:"limit_ms,omitempty"`
	Scope   string `json:"scope,omitempty"` // of an open one, as all that follows
	Text    string `json:"text,omitempty"`
	Began   uint64 `json:"began,omitempty"` // the version with which it began
	Step    string `json:"step,omitempty"`
}

// Outcome tells how a request went.
type Outcome string

// The outcomes.
const (
	Done       Outcome = "done"
	Refused    Outcome = "refused"   // it is not in force anywhere, and never will be
	NotHandled Outcome = "elsewhere" // nothing was done: another leads, or this one is too busy
	Unknown    Outcome = "unknown"   // it may be committed, or come to be
)

// Answer is what a control machine says to a request.
type Answer struct {
	Outcome  Outcome         `json:"outcome"`
	Error    string          `json:"error,omitempty"`  // one line
	Leader   string          `json:"leader,omitempty"` // where the leader is reached, if that is known
	Version  uint64          `json:"version,omitempty"`
	Conflict bool            `json:"lost,omitempty"` // another change was first: earlier tries are refused too
	Texts    []ScopeText     `json:"texts,omitempty"`
	Stage    *Rollout        `json:"rollout,omitempty"`
	History  []config.Record `json:"history,omitempty"`
	Status   *config.Status  `json:"status,omitempty"`
}

// refusedAnswer gives the answer for an error of fleet/config.
func refusedAnswer(err error) Answer {
	return Answer{Outcome: Refused, Error: err.Error(), Conflict: errors.Is(err, config.ErrVersionConflict)}
}

// historyKind names what history calls the request's change.
func (r *Request) historyKind() string {
	if r.Op == OpRollback {
		return config.KindRollback.String()
	}
	return config.KindChange.String()
}

// change gives the change of a set.
func (r *Request) change() config.Change {
	c := config.Change{
		Base: config.Version(r.Base), Scope: config.Scope(r.Scope), Text: []byte(r.Text), Program: r.Program,
		Author: r.Author, Reason: r.Reason, At: r.At,
	}
	if o := r.Rollout; o != nil {
		c.Plan = &config.Plan{Front: o.Front, Zone: o.Zone}
		c.Plan.Soak, c.Plan.Limit = duration(o.SoakMS), duration(o.LimitMS)
	}
	return c
}

// duration gives milliseconds as a span. Danger: a number that overflows would come out as a sound one.
func duration(milliseconds int64) Time {
	return min(max(milliseconds, -1), maxDurationMS) * config.Millisecond
}

const maxDurationMS = 1 << 40

// rollback gives the change of a rollback.
func (r *Request) rollback() config.Rollback {
	return config.Rollback{
		Base: config.Version(r.Base), To: config.Version(r.To), Author: r.Author, Reason: r.Reason, At: r.At,
	}
}

// check tells at once what is wrong with a change, before any control machine is asked.
func (r *Request) check() error {
	if r.Op == OpSet && r.Text != "" {
		if err := Check(config.Scope(r.Scope), []byte(r.Text)); err != nil {
			return fmt.Errorf("%s: %w", r.Scope, err)
		}
	}
	return nil
}

// ReadRequest reads a request. Danger: what comes from the network is bounded before anything is done with
// it.
func ReadRequest(text []byte) (r Request, err error) {
	if err := json.Unmarshal(text, &r); err != nil {
		return r, err
	}
	switch {
	case len(r.Text) > config.MaxTextBytes:
		err = fmt.Errorf("%w: a text of %d bytes, at most %d", config.ErrTooLarge, len(r.Text), config.MaxTextBytes)
	case r.At < 0 || len(r.Scope) > config.MaxScopeName:
		err = fmt.Errorf("%w: a scope's name of over %d bytes, or no time", config.ErrTooLarge, config.MaxScopeName)
	case len(r.Author) > config.MaxAuthor || len(r.Reason) > config.MaxReason:
		err = fmt.Errorf("%w: who at most %d bytes, why %d", config.ErrTooLarge, config.MaxAuthor, config.MaxReason)
	}
	o := r.Rollout
	if err == nil && o != nil && (len(o.Front) > config.MaxName || len(o.Zone) > config.MaxName) {
		err = fmt.Errorf("%w: a name of a roll-out's front or zone", config.ErrTooLarge)
	}
	return r, err
}
