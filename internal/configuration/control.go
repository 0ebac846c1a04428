package configuration

import (
	"log/slog"
	"math"
	"strings"
	"time"

	"micatrack/fleet/config"
	"micatrack/fleet/lease"
	"micatrack/internal/peers"
)

const (
	confirmInterval = config.Second // between two reads by quorum of a leader
	never           = math.MaxInt64
)

// Voter is what a control machine's part needs of the voter; lease.Voter is one.
type Voter interface {
	Propose(now Time, entry []byte, done func(err error)) error
	Confirm(now Time, done func())
	Ready() bool
}

// ControlOptions is what a control machine's part is started with.
type ControlOptions struct {
	Fleet, Name   string
	Addr          string // where other machines reach this one
	Seed          uint64
	ServeVersions bool // versions are served; without it they are only kept, as the log tells them
}

// Control is the control machine's part: the second state machine in the voters' log, and what hands its
// versions out. It is the voter's goroutine's.
type Control struct {
	options        ControlOptions
	log            *slog.Logger
	peers          *peers.Transport
	state          *config.Log
	distributor    *config.Distributor // nil: versions are only kept
	voter          Voter
	now            Time
	deliverToFront func(body []byte) // hands a message to this machine's front
	confirmAt      Time
	tickAt         Time // when the distributor has something to do
}

// NewControl starts a control machine's part, empty: the voter fills it.
func NewControl(o ControlOptions, p *peers.Transport, log *slog.Logger) *Control {
	return &Control{options: o, log: log, peers: p, state: config.NewLog()}
}

// Owns tells whether an entry of the voters' log is a change of the configuration.
func (c *Control) Owns(entry []byte) bool { return config.IsEntry(entry) }

// MaxEntry gives the bound of an entry's bytes.
func (c *Control) MaxEntry() int { return config.MaxEntry }

// Apply takes a committed entry.
func (c *Control) Apply(entry []byte) error {
	r := c.state.Apply(entry)
	if c.options.ServeVersions && r.Err == nil {
		c.log.Info("configuration committed", "version", uint64(r.Version))
	}
	return r.Err
}

// Snapshot gives all versions that are known.
func (c *Control) Snapshot() []byte { return c.state.Snapshot() }

// Check tells whether Restore would take a snapshot.
func (c *Control) Check(snapshot []byte) error { return config.NewLog().Restore(snapshot) }

// Restore replaces all versions.
func (c *Control) Restore(snapshot []byte) error { return c.state.Restore(snapshot) }

// SetFrontDelivery has messages for this machine's front handed to it. To be called before the voter starts.
func (c *Control) SetFrontDelivery(deliver func(body []byte)) { c.deliverToFront = deliver }

// Started begins to hand versions out.
func (c *Control) Started(now Time, v *lease.Voter) {
	c.now, c.voter = now, v
	if c.options.ServeVersions {
		options := config.DistributorOptions{
			Fleet: c.options.Fleet, Name: controlName + c.options.Name, Seed: c.options.Seed,
		}
		c.distributor = config.NewDistributor(now, options, c.state, c)
	}
}

// Send sends a distributor's message.
func (c *Control) Send(addr string, message []byte) {
	target, control := strings.CutPrefix(addr, controlPrefix)
	if !control && target == c.options.Addr && c.deliverToFront != nil {
		c.deliverToFront(message)
		return
	}
	m := peers.ConfigMessage{ToControl: control, FromControl: true, Addr: c.options.Addr, Body: message}
	c.peers.SendConfig(target, &m)
}

// Propose proposes an entry of the distributor's own: the next step of a roll-out, or its end.
func (c *Control) Propose(entry []byte) error {
	return c.voter.Propose(c.now, entry, func(err error) {
		if err != nil {
			c.log.Warn("roll-out: the entry did not count", "error", err.Error())
		}
	})
}

// UnixMilliseconds gives the wall clock.
func (c *Control) UnixMilliseconds() int64 { return time.Now().UnixMilli() }

// Log tells what the distributor has to say.
func (c *Control) Log(text string) { c.log.Info(text) }

// Receive takes a message of another machine in.
func (c *Control) Receive(now Time, m peers.ConfigMessage) {
	from := m.Addr
	if m.FromControl {
		from = controlPrefix + m.Addr
	}
	c.receive(now, from, m.Body)
}

func (c *Control) receive(now Time, from string, body []byte) {
	if c.now = now; c.distributor != nil {
		c.distributor.Receive(now, from, body)
		c.tickAt = min(c.tickAt, c.distributor.Next())
	}
}

// ReceiveFromFront takes a message of this machine's front in.
func (c *Control) ReceiveFromFront(now Time, body []byte) { c.receive(now, c.options.Addr, body) }

// SetPeers tells who is there.
func (c *Control) SetPeers(now Time, members config.Peers) {
	if c.now = now; c.distributor != nil {
		c.distributor.SetPeers(now, withControlPrefix(members))
	}
}

// Tick does what is due, after each step of the voter. leader is where the voter that leads is reached, if
// that is known.
func (c *Control) Tick(now Time, leader string) {
	if c.now = now; c.distributor == nil {
		return
	}
	if leader != "" {
		leader = controlPrefix + leader
	}
	c.distributor.SetLeader(now, c.voter.Ready(), leader)
	c.distributor.LogChanged(now)
	if c.voter.Ready() && now >= c.confirmAt {
		c.confirmAt = now + confirmInterval
		c.voter.Confirm(now, func() { c.distributor.LeadershipConfirmed(c.now, now) })
	}
	if now >= c.tickAt {
		c.distributor.Tick(now)
		c.tickAt = c.distributor.Next()
	}
	c.tickAt = min(c.tickAt, c.distributor.Next())
}

// Next is when Beat must be called again.
func (c *Control) Next() Time {
	if c.distributor == nil {
		return never
	}
	return c.tickAt
}

// alreadyCommitted tells whether the version that follows a base is this very request's.
// Danger: a request that is asked again, since its answer was lost, would be told that another's change was
// first.
func (c *Control) alreadyCommitted(r *Request) bool {
	for _, record := range c.state.History() {
		if record.Version != config.Version(r.Base)+1 {
			continue
		}
		sameOrigin := record.Author == r.Author && record.Reason == r.Reason && record.At == r.At && r.At > 0
		sameChange := record.Kind.String() == r.historyKind() && string(record.Scope) == r.Scope && uint64(record.To) == r.To
		return sameOrigin && sameChange && c.textMatches(record.Version, r)
	}
	return false
}

// textMatches tells whether a version holds what a request sets, as far as history tells.
func (c *Control) textMatches(version config.Version, r *Request) bool {
	if r.Op != OpSet || r.Rollout != nil {
		return true
	}
	d, err := c.state.DocumentAt(version)
	if err != nil {
		return true
	}
	text, _ := d.Text(config.Scope(r.Scope))
	return string(text) == r.Text
}

// Handle works on a request; tell is called once with the answer, by the voter's goroutine.
func (c *Control) Handle(now Time, r *Request, leader string, respond func(a Answer)) {
	c.now = now
	if c.distributor == nil {
		respond(Answer{Outcome: Refused, Error: "this control machine does not serve the configuration"})
		return
	}
	if !c.voter.Ready() {
		respond(Answer{Outcome: NotHandled, Leader: leader})
		return
	}
	switch r.Op {
	case OpGet, OpHistory, OpStatus:
		respond(c.query(now, r))
	case OpSet, OpRollback:
		c.change(now, r, respond)
	default:
		respond(Answer{Outcome: Refused, Error: "an unknown request"})
	}
}

// query answers from what this machine has applied, as the leader.
func (c *Control) query(now Time, r *Request) Answer {
	a := Answer{Outcome: Done, Version: uint64(c.state.Newest())}
	switch r.Op {
	case OpGet:
		d := c.state.Document()
		if r.Version != 0 && r.Version != a.Version {
			var err error
			if d, err = c.state.DocumentAt(config.Version(r.Version)); err != nil {
				return refusedAnswer(err)
			}
		}
		a.Version, a.Texts, a.Stage = uint64(d.Version), scopeTexts(d.Texts), rolloutOf(d.Stage)
	case OpHistory:
		a.History = c.state.History()
	case OpStatus:
		s := c.distributor.Status(now)
		a.Status, a.Stage = &s, rolloutOf(s.Stage)
	}
	return a
}

// change proposes a change, unless it is the version that follows its base already.
func (c *Control) change(now Time, r *Request, respond func(a Answer)) {
	base := config.Version(r.Base)
	switch {
	case c.alreadyCommitted(r):
		respond(Answer{Outcome: Done, Version: r.Base + 1})
		return
	case base > c.state.Newest():
		// Danger: a leader that was deposed and does not know it yet would refuse what others have accepted.
		respond(Answer{Outcome: NotHandled})
		return
	}
	entry, err := c.prepare(r)
	if err != nil {
		respond(refusedAnswer(err))
		return
	}
	version := c.state.Newest() + 1
	err = c.voter.Propose(now, entry, func(err error) {
		switch {
		case err == nil, c.alreadyCommitted(r): // an earlier try of it was before this one
			respond(Answer{Outcome: Done, Version: uint64(version)})
		case err == lease.ErrOutcomeUnknown:
			respond(Answer{Outcome: Unknown, Error: err.Error()})
		default:
			respond(refusedAnswer(err))
		}
	})
	if err != nil {
		respond(Answer{Outcome: NotHandled, Error: err.Error()})
	}
}

// prepare checks a request's change and gives its entry.
func (c *Control) prepare(r *Request) ([]byte, error) {
	if r.Op == OpRollback {
		return c.state.PrepareRollback(r.rollback(), Check)
	}
	return c.state.Prepare(r.change(), Check)
}

// rolloutOf gives an open roll-out, as it is shown.
func rolloutOf(s *config.Stage) *Rollout {
	if s == nil {
		return nil
	}
	step := "front " + s.Plan.Front
	if s.Step == config.StepZone {
		step = "zone " + s.Plan.Zone
	}
	return &Rollout{
		Scope: string(s.Change.Scope), Text: string(s.Change.Text), Began: uint64(s.Began), Step: step,
	}
}
