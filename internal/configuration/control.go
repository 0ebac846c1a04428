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
	confirmInterval = config.Second // between two quorum reads of a leader
	never           = math.MaxInt64 // no time
)

// Voter is the part of lease.Voter that Control uses.
type Voter interface {
	Propose(now Time, entry []byte, done func(err error)) error
	Confirm(now Time, done func())
	Ready() bool
}

// ControlOptions are the parameters of a new Control.
type ControlOptions struct {
	Fleet         string // name of the fleet
	Name          string // name of this machine
	Addr          string // address at which other machines reach this one
	Seed          uint64 // seed of the distributor's random source
	ServeVersions bool   // whether to serve versions; otherwise they are only stored as the log delivers them
}

// Control is the configuration part of a control machine: the second state machine on the voters' log, and
// the distributor of its versions. Only the voter's goroutine may use it.
type Control struct {
	options        ControlOptions
	log            *slog.Logger
	peers          *peers.Transport
	state          *config.Log
	distributor    *config.Distributor // nil: versions are only stored
	voter          Voter
	now            Time
	deliverToFront func(body []byte) // delivers a message to this machine's front
	confirmAt      Time              // when leadership is confirmed next
	tickAt         Time              // when the distributor's Tick is due
}

// NewControl returns a Control without any version; the voter restores or replays its state.
func NewControl(o ControlOptions, p *peers.Transport, log *slog.Logger) *Control {
	return &Control{options: o, log: log, peers: p, state: config.NewLog()}
}

// Owns reports whether an entry of the voters' log is a change of the configuration.
func (c *Control) Owns(entry []byte) bool { return config.IsEntry(entry) }

// MaxEntry returns the maximum size of an entry in bytes.
func (c *Control) MaxEntry() int { return config.MaxEntry }

// Apply applies a committed entry.
func (c *Control) Apply(entry []byte) error {
	r := c.state.Apply(entry)
	if c.options.ServeVersions && r.Err == nil {
		c.log.Info("configuration committed", "version", uint64(r.Version))
	}
	return r.Err
}

// Snapshot returns the encoded state with all known versions.
func (c *Control) Snapshot() []byte { return c.state.Snapshot() }

// Check returns the error that Restore would return for a snapshot, without changing the state.
func (c *Control) Check(snapshot []byte) error { return config.NewLog().Restore(snapshot) }

// Restore replaces the state with that of a snapshot.
func (c *Control) Restore(snapshot []byte) error { return c.state.Restore(snapshot) }

// SetFrontDelivery sets the function that delivers messages to this machine's front. Call it before the
// voter starts.
func (c *Control) SetFrontDelivery(deliver func(body []byte)) { c.deliverToFront = deliver }

// Started starts the distributor once the voter runs.
func (c *Control) Started(now Time, v *lease.Voter) {
	c.now, c.voter = now, v
	if c.options.ServeVersions {
		options := config.DistributorOptions{
			Fleet: c.options.Fleet, Name: controlName + c.options.Name, Seed: c.options.Seed,
		}
		c.distributor = config.NewDistributor(now, options, c.state, c)
	}
}

// Send sends a message of the distributor. It implements config.DistributorHost, as do Propose,
// UnixMilliseconds and Log.
func (c *Control) Send(addr string, message []byte) {
	target, control := strings.CutPrefix(addr, controlPrefix)
	if !control && target == c.options.Addr && c.deliverToFront != nil {
		c.deliverToFront(message)
		return
	}
	m := peers.ConfigMessage{ToControl: control, FromControl: true, Addr: c.options.Addr, Body: message}
	c.peers.SendConfig(target, &m)
}

// Propose proposes an entry of the distributor: the next step of a roll-out, or its end.
func (c *Control) Propose(entry []byte) error {
	return c.voter.Propose(c.now, entry, func(err error) {
		if err != nil {
			c.log.Warn("roll-out: entry was rejected", "error", err.Error())
		}
	})
}

// UnixMilliseconds returns the wall clock time.
func (c *Control) UnixMilliseconds() int64 { return time.Now().UnixMilli() }

// Log logs a message of the distributor.
func (c *Control) Log(text string) { c.log.Info(text) }

// Receive handles a message from another machine.
func (c *Control) Receive(now Time, m peers.ConfigMessage) {
	from := m.Addr
	if m.FromControl {
		from = controlPrefix + m.Addr
	}
	c.receive(now, from, m.Body)
}

// receive passes a message to the distributor and updates the time of the next tick.
func (c *Control) receive(now Time, from string, body []byte) {
	if c.now = now; c.distributor != nil {
		c.distributor.Receive(now, from, body)
		c.tickAt = min(c.tickAt, c.distributor.Next())
	}
}

// ReceiveFromFront handles a message from this machine's front.
func (c *Control) ReceiveFromFront(now Time, body []byte) { c.receive(now, c.options.Addr, body) }

// SetPeers sets the known machines.
func (c *Control) SetPeers(now Time, members config.Peers) {
	if c.now = now; c.distributor != nil {
		c.distributor.SetPeers(now, withControlPrefix(members))
	}
}

// Tick performs the work that is due. Call it after each step of the voter. leader is the address of the
// leading voter, if known.
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

// Next returns when Tick must be called next.
func (c *Control) Next() Time {
	if c.distributor == nil {
		return never
	}
	return c.tickAt
}

// alreadyCommitted reports whether the version after the request's base was created by this same request.
// Without this check, a request that is retried because its answer was lost would be refused with a
// conflict with itself.
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

// textMatches reports whether a version contains the text that the request sets, as far as the history can
// tell.
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

// Handle processes a request. It calls respond once with the answer, in the voter's goroutine.
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
		respond(Answer{Outcome: Refused, Error: "unknown operation"})
	}
}

// query answers a request that changes nothing from the entries applied here. This machine must be the
// leader.
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

// change proposes a change, unless this same request was already committed.
func (c *Control) change(now Time, r *Request, respond func(a Answer)) {
	base := config.Version(r.Base)
	switch {
	case c.alreadyCommitted(r):
		respond(Answer{Outcome: Done, Version: r.Base + 1})
		return
	case base > c.state.Newest():
		// A deposed leader that does not know it yet must not refuse a change that is based on a version
		// which a newer leader has committed.
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
		case err == nil, c.alreadyCommitted(r): // an earlier attempt of the same request was committed first
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

// prepare checks the change of a request and returns the entry to propose.
func (c *Control) prepare(r *Request) ([]byte, error) {
	if r.Op == OpRollback {
		return c.state.PrepareRollback(r.rollback(), Check)
	}
	return c.state.Prepare(r.change(), Check)
}

// rolloutOf returns an open roll-out in the form of an Answer, or nil if there is none.
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
