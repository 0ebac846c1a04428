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

// Time is a moment or a span in whole tenths of a millisecond.
type Time = config.Time

const (
	controlPrefix       = "control/"        // before the address of a control machine's part, as fleet/config knows it
	controlName         = "c/"              // before its name, which the front on that machine has too
	peerRefreshInterval = config.Second     // between two looks at who is there
	provenWriteInterval = time.Minute       // after which the file says again that its version is the newest
	closeTimeout        = time.Second       // that an end waits for the disk
	maxQueuedMessages   = 256               // messages of this machine's control part that wait for the loop
	neverProven         = int64(-1)         // an age
	freshWithin         = 3 * config.Second // a version proven within it counts as the newest at the moment
)

// FrontOptions is what a front's part is started with.
type FrontOptions struct {
	Fleet, Name, Zone string
	Addr              string // where other machines reach this one
	Incarnation, Seed uint64
	Path              string        // of the file of the version in force; none: there is no disk
	Stored            StoredVersion // what it held at the start; its texts are in force from the start on
}

// FrontHost is what the front does for its configuration.
type FrontHost interface {
	// PutInForce has the front go by a version's texts, all of them or, if it returns an error, none. What a scope
	// without a text would say comes from the front's files. Texts were checked.
	PutInForce(texts []config.ScopeText) error
	Peers() config.Peers               // who is there; addresses as the fleet has them
	DeliverToControl(body []byte) bool // hands a message to the control part of this machine, if there is one
}

// Front is one front's part, the loop's but for Hand.
type Front struct {
	agent       *config.Agent
	options     FrontOptions
	host        FrontHost
	now         func() Time
	peers       *peers.Transport
	log         *slog.Logger
	wake        func()
	fromControl chan localMessage

	texts      []config.ScopeText // in force
	lastPeers  config.Peers
	peersAt    Time
	tickAt     Time    // when the agent has something to do
	writer     *writer // nil: no disk
	agentState []byte
	provenAt   int64 // Unix milliseconds; 0: never
	writtenAt  int64 // provenAt, as the disk has it
	inForceAt  int64 // Unix milliseconds
}

// localMessage is a message of this machine's control part.
type localMessage struct {
	from string
	body []byte
}

// NewFront starts a front's part.
func NewFront(o FrontOptions, now func() Time, p *peers.Transport, h FrontHost, wake func(), log *slog.Logger) *Front {
	f := &Front{
		options: o, host: h, now: now, peers: p, log: log, wake: wake, fromControl: make(chan localMessage, maxQueuedMessages),
	}
	f.texts, f.inForceAt = o.Stored.Texts, o.Stored.InForceAt
	f.provenAt, f.writtenAt = o.Stored.ProvenAt, o.Stored.ProvenAt
	if o.Path != "" {
		f.writer = newWriter(o.Path, func(err error) { log.Error("configuration not kept", "error", err.Error()) })
	}
	f.agent = config.NewAgent(now(), config.AgentOptions{
		Fleet: o.Fleet, Name: o.Name, Zone: o.Zone, Incarnation: o.Incarnation, Program: ProgramVersion, Seed: o.Seed, Persisted: o.Stored.AgentState,
	}, f)
	if version := f.agent.InForce(); version != 0 {
		log.Info("configuration from disk", "version", version, "age_ms", f.Status().AgeMS)
	}
	return f
}

// Send sends an agent's message.
func (f *Front) Send(addr string, message []byte) {
	target, control := strings.CutPrefix(addr, controlPrefix)
	if control && target == f.options.Addr && f.host.DeliverToControl(bytes.Clone(message)) {
		return
	}
	f.peers.SendConfig(target, &peers.ConfigMessage{ToControl: control, Addr: f.options.Addr, Body: message})
}

// PutInForce checks all texts of a version and has the front act on them.
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
	if f.agent != nil { // else it is that of the start before
		f.inForceAt, f.provenAt, f.writtenAt = time.Now().UnixMilli(), 0, 0
	}
	f.log.Info("configuration in force", "version", version)
	return nil
}

// textError is why a front does not take a version.
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

func (f *Front) write() {
	if f.writer == nil || f.agent == nil { // at the start it is what the disk has
		return
	}
	f.writtenAt = f.provenAt
	f.writer.enqueue(&StoredVersion{
		ProvenAt: f.provenAt, InForceAt: f.inForceAt, Version: f.agent.InForce(), Texts: f.texts, AgentState: f.agentState,
	})
}

// Log tells what the agent has to say.
func (f *Front) Log(text string) { f.log.Warn(text) }

// Receive takes a message of another machine in.
func (f *Front) Receive(m peers.ConfigMessage) {
	from := m.Addr
	if m.FromControl {
		from = controlPrefix + m.Addr
	}
	f.receive(f.now(), from, bytes.Clone(m.Body))
}

// receive hands a message to the agent. Danger: what an agent has to do next is told from the moment at
// which it was called last, so where messages come all the while its own matters would never be due.
func (f *Front) receive(now Time, from string, body []byte) {
	f.agent.Receive(now, from, body)
	f.tickAt = min(f.tickAt, f.agent.Next())
}

// ReceiveFromControl takes a message of this machine's control part; any goroutine may call it.
func (f *Front) ReceiveFromControl(body []byte) {
	select {
	case f.fromControl <- localMessage{controlPrefix + f.options.Addr, bytes.Clone(body)}:
		f.wake()
	default: // lost, as on any link
	}
}

// Poll is the configuration's part of a turn of the loop.
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

// refreshPeers tells the agent who is there, where that has changed, and notes on disk how fresh the version is.
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

// withControlPrefix marks the addresses of control machines.
func withControlPrefix(members config.Peers) config.Peers {
	marked := config.Peers{Fronts: members.Fronts}
	for _, c := range members.Controls {
		c.Name, c.Addr = controlName+c.Name, controlPrefix+c.Addr
		marked.Controls = append(marked.Controls, c)
	}
	return marked
}

// Next is when Turn must be called again.
func (f *Front) Next() Time { return min(f.tickAt, f.peersAt) }

// Close waits for the disk, for a while.
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

// FrontStatus is what one front has in force, as it is shown.
type FrontStatus struct {
	Front    string      `json:"front"`
	Version  uint64      `json:"version"`  // in force; 0: none, the front goes by its files
	Received uint64      `json:"received"` // newer where that one is held or refused
	State    string      `json:"state"`
	Reason   string      `json:"reason,omitempty"`
	AgeMS    int64       `json:"age_ms"` // since it was known to be the fleet's newest; -1: never
	ForMS    int64       `json:"for_ms"` // since it was put in force here, also by the start before
	Fresh    bool        `json:"fresh"`  // that is so at the moment
	Texts    []ScopeText `json:"texts"`
}

// ScopeText is one scope's text, as it is shown.
type ScopeText struct {
	Scope string `json:"scope"`
	Text  string `json:"text"`
}

func scopeTexts(texts []config.ScopeText) []ScopeText {
	list := []ScopeText{}
	for _, t := range texts {
		list = append(list, ScopeText{string(t.Scope), string(t.Text)})
	}
	return list
}

// InForce gives the texts in force.
func (f *Front) InForce() []config.ScopeText { return f.texts }

// Status tells what is in force here.
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
