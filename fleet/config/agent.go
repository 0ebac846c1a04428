package config

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// AgentHost is the front that an Agent runs on.
type AgentHost interface {
	// Send sends one datagram to addr; the datagram may be lost. The message is valid only during the call.
	Send(addr string, message []byte)

	// PutInForce checks the texts of all scopes of one version and makes the front use them from its return
	// on. It takes either all of the texts or, if it returns an error, none. The error is shown in the
	// fleet's status, so its text is one line and names the offending key.
	PutInForce(version Version, texts []ScopeText) error

	// Persist writes to disk what AgentOptions.Persisted returns after a restart. It does nothing on a
	// front without a disk.
	Persist(persisted []byte)

	// Log logs one line of text.
	Log(text string)
}

// AgentOptions are the parameters of a new Agent.
type AgentOptions struct {
	Fleet       string // name of the fleet; messages of other fleets are dropped
	Name        string // name of this front
	Zone        string // zone of this front
	Incarnation uint64 // larger after each restart of this front, for example its start in Unix milliseconds
	Program     uint32 // program number of this front, compared with ScopeText.Program
	Seed        uint64 // seed of the agent's random source
	Persisted   []byte // last bytes passed to AgentHost.Persist; empty or corrupt: start without a version
}

// Agent holds the configuration of one front. It is not safe for concurrent use.
type Agent struct {
	node
	host         AgentHost
	options      AgentOptions
	versions     chain      // newest version received and the deltas that lead to it
	inForce      Version    // version that the front uses; 0 if none
	state        FrontState // state as last reported
	reason       string     // why a newer version is held or refused
	inForceProof proof      // when the version in force was last known to be the fleet's newest
	reportSeq    uint64     // sequence number of this front's last report
	reportAt     Time       // when this front reports again
}

// NewAgent starts an agent. If AgentOptions.Persisted holds a valid version, that version is put in force
// before NewAgent returns.
func NewAgent(now Time, options AgentOptions, host AgentHost) *Agent {
	a := &Agent{host: host, options: options, state: StateEmpty}
	a.node = newNode(now, options.Fleet, options.Name, options.Seed, host.Send)
	a.budget = newBudget(now, frontRate, frontBurst)
	a.chain = &a.versions
	a.children.limit = maxFrontChildren
	a.upstreams = []*upstream{{reportsTo: true}, {}}
	a.node.onVersion, a.node.onConfirmed = a.activate, a.confirmNewest
	a.restore(options.Persisted)
	a.updateReport()
	return a
}

// Layout of the persisted state: a magic byte, a checksum over the fleet's name and the document, and the
// encoded document.
const (
	persistedMagic      = 0xC6
	persistedHeaderSize = 1 + checksumSize // bytes before the document
)

// encodePersisted returns the state to persist for an encoded document.
func encodePersisted(fleet string, document []byte) []byte {
	persisted := binary.LittleEndian.AppendUint32([]byte{persistedMagic}, checksum(fleet, document))
	return append(persisted, document...)
}

// decodePersisted returns the encoded document in a persisted state, or nil if the state is corrupt or
// belongs to another fleet.
func decodePersisted(fleet string, persisted []byte) []byte {
	if len(persisted) <= persistedHeaderSize || persisted[0] != persistedMagic {
		return nil
	}
	if binary.LittleEndian.Uint32(persisted[1:]) != checksum(fleet, persisted[persistedHeaderSize:]) {
		return nil
	}
	return bytes.Clone(persisted[persistedHeaderSize:])
}

// restore puts the persisted version in force. If the state on disk is corrupt, the agent starts without a
// version, because that is safer than starting with part of one.
func (a *Agent) restore(persisted []byte) {
	if len(persisted) == 0 {
		return
	}
	encoded := decodePersisted(a.options.Fleet, persisted)
	if encoded == nil {
		a.host.Log("configuration on disk is corrupt or belongs to another fleet; starting without a version")
		return
	}
	document, err := ReadDocument(encoded)
	if err != nil {
		a.host.Log(fmt.Sprintf("configuration on disk: %v", err))
		return
	}
	a.versions.add(0, document.Version, encoded, nil)
	a.activate(document)
}

// activate puts a version in force, or records why it cannot. The host is called once with all texts of the
// version, so that a front never acts on parts of two versions.
func (a *Agent) activate(document *Document) {
	texts := document.TextsFor(a.options.Name, a.options.Zone)
	if reason := a.programTooOld(texts); reason != "" {
		a.keepInForce(StateHeld, document.Version, reason)
		return
	}
	if err := a.host.PutInForce(document.Version, texts); err != nil {
		a.keepInForce(StateRefused, document.Version, oneLine(err.Error()))
		return
	}
	a.inForce, a.state, a.reason = document.Version, StateInForce, ""
	a.inForceProof = proof{} // the next acknowledgement proves it
	if a.proof.has {
		a.inForceProof = a.proof
	}
	a.host.Persist(encodePersisted(a.options.Fleet, a.versions.document))
	a.updateReport()
}

// programTooOld returns a description of the first text that needs a newer program than this one, or "" if
// there is none.
func (a *Agent) programTooOld(texts []ScopeText) string {
	for _, t := range texts {
		if t.Program > a.options.Program {
			own := a.options.Program
			return fmt.Sprintf("%s %v: program %d, this is %d", t.Scope, ErrProgramTooOld, t.Program, own)
		}
	}
	return ""
}

// keepInForce keeps the current version in force and records why a newer one is not.
func (a *Agent) keepInForce(state FrontState, version Version, reason string) {
	a.state, a.reason = state, reason[:min(len(reason), maxReportReason)]
	a.host.Log(fmt.Sprintf("configuration %d is not in force, %d stays: %s", version, a.inForce, a.reason))
	a.updateReport()
}

// confirmNewest records that the version in force was the fleet's newest at the given time, if newest is
// not later than it.
func (a *Agent) confirmNewest(at Time, newest Version) {
	if a.inForce != 0 && newest <= a.inForce {
		a.inForceProof.record(at)
	}
}

// updateReport replaces this front's own report and drops the reports of fronts that now report through
// another upstream.
func (a *Agent) updateReport() {
	a.reports.expire(a.now, reportTTL)
	a.reportSeq++
	a.reportAt = a.now + reportRefresh - reportRefresh/10 + a.source.Below(reportRefresh/5)
	a.reports.add(a.now, report{id: a.id(), incarnation: a.options.Incarnation, seq: a.reportSeq, inForce: a.inForce,
		received: a.chain.version, state: a.state, program: a.options.Program, reason: a.reason})
}

// SetPeers sets the known machines. Call it whenever they change.
func (a *Agent) SetPeers(now Time, peers Peers) {
	a.now = now
	a.setPeers(peers)
}

// Receive handles a message from another machine. Answers go to the address from. A malformed message is
// dropped and counted.
func (a *Agent) Receive(now Time, from string, message []byte) {
	a.now = now
	a.receive(from, message)
}

// Next returns when Tick must be called next.
func (a *Agent) Next() Time { return min(a.nextTick(), max(a.reportAt, a.now+1)) }

// Tick performs the work that is due: reports, heartbeats, retries and transfers.
func (a *Agent) Tick(now Time) {
	a.now = now
	if now >= a.reportAt {
		a.updateReport()
	}
	a.tick()
}

// InForce returns the version in force, or 0 if there is none.
func (a *Agent) InForce() Version { return a.inForce }

// ProofFresh reports whether this front may act on guarded settings, which must not be used once they are
// out of date: its version in force was proven, within ProofTTL by its own clock, to be the fleet's newest.
// Other settings may be used for as long as the front runs.
//
// The process can be suspended between this check and the action that follows, so the receiver of such an
// action must compare versions itself.
func (a *Agent) ProofFresh(now Time) bool {
	return a.inForce != 0 && a.inForceProof.has && now-a.inForceProof.at <= ProofTTL
}

// Status returns the agent's view of its configuration.
func (a *Agent) Status(now Time) AgentStatus {
	return AgentStatus{InForce: a.inForce, Received: a.chain.version, State: a.state, Reason: a.reason,
		Age: a.inForceProof.age(now), ProofFresh: a.ProofFresh(now), Upstream: a.upstreams[0].addr, Dropped: a.dropped}
}

// AgentStatus is one front's view of its own configuration.
type AgentStatus struct {
	InForce    Version    // version in force; 0 if none
	Received   Version    // newest version received; later than InForce if that version is held or refused
	State      FrontState // state of the front
	Reason     string     // why a newer version is held or refused
	Age        Time       // maximum time since InForce was proven to be the newest; -1: not since the start
	ProofFresh bool       // whether guarded settings may be used; see Agent.ProofFresh
	Upstream   string     // address of the upstream that receives reports
	Dropped    uint64     // malformed messages dropped
}
