package configuration

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"time"

	"micatrack/fleet/config"
	"micatrack/internal/peers"
)

// Time is a point in time or a duration, in tenths of a millisecond.
type Time = config.Time

const (
	controlPrefix       = "control/"        // prefix of a control machine's address in fleet/config
	controlName         = "c/"              // prefix of its name, which differs from that of the front on the same machine
	peerRefreshInterval = config.Second     // between two updates of the known machines
	provenWriteInterval = time.Minute       // after which the file is updated with the time of the last proof
	closeTimeout        = time.Second       // for which Close waits for the disk
	maxQueuedMessages   = 256               // messages of this machine's control part that wait for the event loop
	neverProven         = int64(-1)         // an age
	freshWithin         = 3 * config.Second // age of the last proof up to which a version is shown as the newest
)

// FrontOptions are the parameters of a new Front.
type FrontOptions struct {
	Fleet       string        // name of the fleet
	Name        string        // name of this front
	Zone        string        // zone of this front
	Addr        string        // address at which other machines reach this one
	Incarnation uint64        // see config.AgentOptions
	Seed        uint64        // seed of the agent's random source
	Path        string        // file of the version in force; empty: there is no disk
	Stored      StoredVersion // content of the file at the start; its texts are in force from the start
}

// FrontHost is the router process that a Front runs in.
type FrontHost interface {
	// PutInForce makes the front use the texts of a version, either all of them or, if it returns an error,
	// none. For a scope without a text the front uses its files. The texts are already validated.
	PutInForce(texts []config.ScopeText) error

	// Peers returns the known machines, with their addresses in the fleet.
	Peers() config.Peers

	// DeliverToControl passes a message to this machine's control part and reports whether there is one.
	DeliverToControl(body []byte) bool
}

// Front is the configuration part of a front. Only the event loop may use it, except for
// ReceiveFromControl.
type Front struct {
	agent       *config.Agent
	options     FrontOptions
	host        FrontHost
	now         func() Time
	peers       *peers.Transport
	log         *slog.Logger
	wake        func()            // wakes the event loop
	fromControl chan localMessage // messages from this machine's control part

	texts      []config.ScopeText // texts in force
	lastPeers  config.Peers       // known machines as last passed to the agent
	peersAt    Time               // when the known machines are updated next
	tickAt     Time               // when the agent's Tick is due
	writer     *writer            // nil: there is no disk
	agentState []byte             // state of the agent to be stored
	provenAt   int64              // Unix milliseconds of the last proof that the version is the newest; 0: never
	writtenAt  int64              // provenAt as written to disk
	inForceAt  int64              // Unix milliseconds at which the version was put in force
}

// localMessage is a message from this machine's control part.
type localMessage struct {
	from string
	body []byte
}

// NewFront starts the configuration part of a front.
func NewFront(o FrontOptions, now func() Time, p *peers.Transport, h FrontHost, wake func(), log *slog.Logger) *Front {
	f := &Front{
		options: o, host: h, now: now, peers: p, log: log, wake: wake,
		fromControl: make(chan localMessage, maxQueuedMessages),
	}
	f.texts, f.inForceAt = o.Stored.Texts, o.Stored.InForceAt
	f.provenAt, f.writtenAt = o.Stored.ProvenAt, o.Stored.ProvenAt
	if o.Path != "" {
		f.writer = newWriter(o.Path, func(err error) { log.Error("configuration not kept", "error", err.Error()) })
	}
	f.agent = config.NewAgent(now(), config.AgentOptions{
		Fleet: o.Fleet, Name: o.Name, Zone: o.Zone, Incarnation: o.Incarnation, Program: ProgramVersion,
		Seed: o.Seed, Persisted: o.Stored.AgentState,
	}, f)
	if version := f.agent.InForce(); version != 0 {
		log.Info("configuration from disk", "version", version, "age_ms", f.Status().AgeMS)
	}
	return f
}

// Send sends a message of the agent. It implements config.AgentHost, as do PutInForce, Persist and Log.
func (f *Front) Send(addr string, message []byte) {
	target, control := strings.CutPrefix(addr, controlPrefix)
	if control && target == f.options.Addr && f.host.DeliverToControl(bytes.Clone(message)) {
		return
	}
	f.peers.SendConfig(target, &peers.ConfigMessage{ToControl: control, Addr: f.options.Addr, Body: message})
}

// PutInForce validates all texts of a version and puts them in force.
func (f *Front) PutInForce(version config.Version, texts []config.ScopeText) error {
	for _, t := range texts {
		if err := Check(t.Scope, t.Text); err != nil {
			return &textError{t.Scope, err}
		}
	}
	if err := f.host.PutInForce(texts); err != nil {
		return err
	}
	f.texts = slices.Clone(texts)
	if f.agent != nil { // otherwise the version and its times were loaded from disk
		f.inForceAt, f.provenAt, f.writtenAt = time.Now().UnixMilli(), 0, 0
	}
	f.log.Info("configuration in force", "version", version)
	return nil
}

// textError is the error that makes a front refuse a version.
type textError struct {
	scope config.Scope
	err   error
}

func (r *textError) Error() string { return string(r.scope) + ": " + r.err.Error() }

// Persist has the version in force written to disk.
func (f *Front) Persist(kept []byte) {
	f.agentState = kept
	f.write()
}

// write has the version in force written to disk with the current time of its last proof.
func (f *Front) write() {
	if f.writer == nil || f.agent == nil { // during NewFront the disk already has this version
		return
	}
	f.writtenAt = f.provenAt
	f.writer.enqueue(&StoredVersion{
		ProvenAt: f.provenAt, InForceAt: f.inForceAt, Version: f.agent.InForce(), Texts: f.texts, AgentState: f.agentState,
	})
}

// Log logs a message of the agent.
func (f *Front) Log(text string) { f.log.Warn(text) }

// Receive handles a message from another machine.
func (f *Front) Receive(m peers.ConfigMessage) {
	from := m.Addr
	if m.FromControl {
		from = controlPrefix + m.Addr
	}
	f.receive(f.now(), from, bytes.Clone(m.Body))
}

// receive passes a message to the agent. It only ever moves the next tick to an earlier time: the agent
// computes that time from its last call, so under a steady stream of messages its own work would otherwise
// never be due.
func (f *Front) receive(now Time, from string, body []byte) {
	f.agent.Receive(now, from, body)
	f.tickAt = min(f.tickAt, f.agent.Next())
}

// ReceiveFromControl handles a message from this machine's control part. Any goroutine may call it.
func (f *Front) ReceiveFromControl(body []byte) {
	select {
	case f.fromControl <- localMessage{controlPrefix + f.options.Addr, bytes.Clone(body)}:
		f.wake()
	default: // dropped, as a datagram can be on any link
	}
}

// Poll performs the configuration's part of one iteration of the event loop.
func (f *Front) Poll(now Time) {
	for range maxQueuedMessages {
		select {
		case m := <-f.fromControl:
			f.receive(now, m.from, m.body)
			continue
		default:
		}
		break
	}
	if now >= f.peersAt {
		f.peersAt = now + peerRefreshInterval
		f.refreshPeers(now)
	}
	if now >= f.tickAt {
		f.agent.Tick(now)
		f.tickAt = f.agent.Next()
	}
}

// refreshPeers passes the known machines to the agent if they have changed, and updates the time of the
// last proof on disk.
func (f *Front) refreshPeers(now Time) {
	members := f.host.Peers()
	if !slices.Equal(members.Controls, f.lastPeers.Controls) || !slices.Equal(members.Fronts, f.lastPeers.Fronts) {
		f.lastPeers = members
		f.agent.SetPeers(now, withControlPrefix(members))
		f.tickAt = now
	}
	s := f.agent.Status(now)
	if s.Age < 0 {
		return
	}
	f.provenAt = time.Now().UnixMilli() - s.Age/config.Millisecond
	if f.provenAt-f.writtenAt >= provenWriteInterval.Milliseconds() {
		f.write()
	}
}

// withControlPrefix adds the prefixes to the names and addresses of control machines.
func withControlPrefix(members config.Peers) config.Peers {
	marked := config.Peers{Fronts: members.Fronts}
	for _, c := range members.Controls {
		c.Name, c.Addr = controlName+c.Name, controlPrefix+c.Addr
		marked.Controls = append(marked.Controls, c)
	}
	return marked
}

// Next returns when Poll must be called next.
func (f *Front) Next() Time { return min(f.tickAt, f.peersAt) }

// Close stops writing and waits for the disk, for closeTimeout at most.
func (f *Front) Close() {
	if f.writer == nil {
		return
	}
	close(f.writer.next)
	select {
	case <-f.writer.done:
	case <-time.After(closeTimeout):
	}
}

// FrontStatus is the configuration in force on one front, as shown to operators.
type FrontStatus struct {
	Front    string      `json:"front"`            // name of the front
	Version  uint64      `json:"version"`          // version in force; 0: none, the front uses its files
	Received uint64      `json:"received"`         // newest version received, which may be held or refused
	State    string      `json:"state"`            // see config.FrontState
	Reason   string      `json:"reason,omitempty"` // why a newer version is held or refused
	AgeMS    int64       `json:"age_ms"`           // time since Version was known to be the fleet's newest; -1: never
	ForMS    int64       `json:"for_ms"`           // time since Version was put in force here, including before a restart
	Fresh    bool        `json:"fresh"`            // whether Version counts as the newest now
	Texts    []ScopeText `json:"texts"`            // texts in force
}

// ScopeText is the text of one scope, as shown to operators.
type ScopeText struct {
	Scope string `json:"scope"`
	Text  string `json:"text"`
}

// scopeTexts converts texts to the form shown to operators.
func scopeTexts(texts []config.ScopeText) []ScopeText {
	list := []ScopeText{}
	for _, t := range texts {
		list = append(list, ScopeText{string(t.Scope), string(t.Text)})
	}
	return list
}

// InForce returns the texts in force.
func (f *Front) InForce() []config.ScopeText { return f.texts }

// Status returns the configuration in force on this front.
func (f *Front) Status() FrontStatus {
	s := f.agent.Status(f.now())
	v := FrontStatus{
		Front: f.options.Name, Version: uint64(s.InForce), Received: uint64(s.Received), State: s.State.String(),
		Reason: s.Reason, AgeMS: neverProven, Texts: scopeTexts(f.texts),
	}
	if s.InForce != 0 {
		v.ForMS = max(time.Now().UnixMilli()-f.inForceAt, 0)
	}
	switch {
	case s.InForce == 0:
	case s.Age >= 0:
		v.AgeMS, v.Fresh = s.Age/config.Millisecond, s.Age <= freshWithin
	case f.provenAt > 0:
		v.AgeMS = max(time.Now().UnixMilli()-f.provenAt, 0)
	}
	return v
}
