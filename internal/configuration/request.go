package configuration

import (
	"encoding/json"
	"errors"
	"fmt"

	"micatrack/fleet/config"
)

// Op is the operation of a Request.
type Op string

// Operations of a Request.
const (
	OpGet      Op = "get"
	OpSet      Op = "set"
	OpHistory  Op = "history"
	OpRollback Op = "rollback"
	OpStatus   Op = "status"
)

// Request is a query or a change, sent from a front to a control machine.
type Request struct {
	Op      Op       `json:"op"`
	Version uint64   `json:"version,omitempty"` // version to get; 0: the newest
	Base    uint64   `json:"base,omitempty"`    // version that a change was made from
	To      uint64   `json:"to,omitempty"`      // version to roll back to
	Scope   string   `json:"scope,omitempty"`   // scope to set
	Text    string   `json:"text,omitempty"`    // new text; empty: the scope is removed
	Author  string   `json:"author,omitempty"`  // who makes the change
	Reason  string   `json:"reason,omitempty"`  // why
	At      int64    `json:"at,omitempty"`      // Unix milliseconds of the first attempt
	Program uint32   `json:"program,omitempty"` // minimum program number of a front
	Rollout *Rollout `json:"rollout,omitempty"` // roll-out plan of a set; nil: all fronts at once
}

// Rollout is the plan of a staged roll-out in a Request, or an open roll-out in an Answer.
type Rollout struct {
	Front   string `json:"front,omitempty"`    // front of the first step
	Zone    string `json:"zone,omitempty"`     // zone of the second step
	SoakMS  int64  `json:"soak_ms,omitempty"`  // wait after each step, in milliseconds
	LimitMS int64  `json:"limit_ms,omitempty"` // time allowed for each step, in milliseconds
	Scope   string `json:"scope,omitempty"`    // changed scope; only of an open roll-out
	Text    string `json:"text,omitempty"`     // staged text; only of an open roll-out
	Began   uint64 `json:"began,omitempty"`    // version with which it began; only of an open roll-out
	Step    string `json:"step,omitempty"`     // current step; only of an open roll-out
}

// Outcome is the outcome of a Request.
type Outcome string

// Outcomes of a Request.
const (
	Done       Outcome = "done"
	Refused    Outcome = "refused"   // the change has no effect and never will
	NotHandled Outcome = "elsewhere" // nothing was done: another machine leads, or this one is too busy
	Unknown    Outcome = "unknown"   // the change may be committed, now or later
)

// Answer is a control machine's answer to a Request.
type Answer struct {
	Outcome  Outcome         `json:"outcome"`
	Error    string          `json:"error,omitempty"`   // one line
	Leader   string          `json:"leader,omitempty"`  // address of the leader, if known
	Version  uint64          `json:"version,omitempty"` // version that was read or created
	Conflict bool            `json:"lost,omitempty"`    // another change came first, so earlier attempts are refused too
	Texts    []ScopeText     `json:"texts,omitempty"`
	Stage    *Rollout        `json:"rollout,omitempty"` // open roll-out
	History  []config.Record `json:"history,omitempty"`
	Status   *config.Status  `json:"status,omitempty"`
}

// refusedAnswer returns the answer for an error of fleet/config.
func refusedAnswer(err error) Answer {
	return Answer{Outcome: Refused, Error: err.Error(), Conflict: errors.Is(err, config.ErrVersionConflict)}
}

// historyKind returns the kind that the history shows for the request's change.
func (r *Request) historyKind() string {
	if r.Op == OpRollback {
		return config.KindRollback.String()
	}
	return config.KindChange.String()
}

// change returns the change of a set request.
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

// duration converts milliseconds to Time, limited to the range from -1 to maxDurationMS, because an
// overflow could produce a value that seems valid.
func duration(milliseconds int64) Time {
	return min(max(milliseconds, -1), maxDurationMS) * config.Millisecond
}

const maxDurationMS = 1 << 40

// rollback returns the rollback of a rollback request.
func (r *Request) rollback() config.Rollback {
	return config.Rollback{
		Base: config.Version(r.Base), To: config.Version(r.To), Author: r.Author, Reason: r.Reason, At: r.At,
	}
}

// check validates the text of a change before any control machine is asked.
func (r *Request) check() error {
	if r.Op == OpSet && r.Text != "" {
		if err := Check(config.Scope(r.Scope), []byte(r.Text)); err != nil {
			return fmt.Errorf("%s: %w", r.Scope, err)
		}
	}
	return nil
}

// ReadRequest decodes a request from the network and checks its limits before anything else uses it.
func ReadRequest(text []byte) (r Request, err error) {
	if err := json.Unmarshal(text, &r); err != nil {
		return r, err
	}
	switch {
	case len(r.Text) > config.MaxTextBytes:
		err = fmt.Errorf("%w: text of %d bytes, at most %d", config.ErrTooLarge, len(r.Text), config.MaxTextBytes)
	case r.At < 0 || len(r.Scope) > config.MaxScopeName:
		err = fmt.Errorf("%w: scope name of more than %d bytes, or negative time", config.ErrTooLarge, config.MaxScopeName)
	case len(r.Author) > config.MaxAuthor || len(r.Reason) > config.MaxReason:
		err = fmt.Errorf("%w: author of at most %d bytes, reason of %d", config.ErrTooLarge, config.MaxAuthor, config.MaxReason)
	}
	o := r.Rollout
	if err == nil && o != nil && (len(o.Front) > config.MaxName || len(o.Zone) > config.MaxName) {
		err = fmt.Errorf("%w: name of the front or zone of a roll-out", config.ErrTooLarge)
	}
	return r, err
}
