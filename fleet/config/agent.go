package config

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// AgentHost is what an Agent does on one front.
type AgentHost interface {
	Send(addr string, message []byte) // one datagram; it may be lost. message is only valid during the call
	// PutInForce checks the texts, all scopes of one version, and has the front act on them from the return
	// on, on all of them or, with an error, on none. The error's text goes into the fleet's status, so it
	// names the key in one line.
	PutInForce(version Version, texts []ScopeText) error
	Persist(kept []byte) // writes to disk what AgentOptions.Kept brings back; nothing where there is no disk
	Log(text string)
}

// AgentOptions is what an Agent is started with.
type AgentOptions struct {
	Fleet       string // messages of another are dropped
	Name        string
	Zone        string
	Incarnation uint64 // grows with each start of a front of this name, for example its Unix milliseconds
	Program     uint32 // this program's number, held against ScopeText.Program
	Seed        uint64
	Persisted   []byte // what Keep wrote last; none, or a spoilt one: it starts with no version
}

// Agent holds one front's configuration. Not safe for use from several goroutines.
type Agent struct {
	node
	host         AgentHost
	options      AgentOptions
	versions     chain
	inForce      Version
	state        FrontState
	reason       string
	inForceProof proof // that the version in force was the fleet's newest
	reportSeq    uint64
	reportAt     Time
}

// NewAgent starts an agent. A version in Kept is put in force before it returns.
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

// What an agent keeps: a mark, a checksum over the fleet's name and the document, and the document.
const (
	persistedMagic      = 0xC6
	persistedHeaderSize = 1 + checksumSize // bytes before the document
)

func encodePersisted(fleet string, document []byte) []byte {
	persisted := binary.LittleEndian.AppendUint32([]byte{persistedMagic}, checksum(fleet, document))
	return append(persisted, document...)
}

// decodePersisted gives the document in what was kept, nil if it is spoilt or another fleet's.
func decodePersisted(fleet string, persisted []byte) []byte {
	if len(persisted) <= persistedHeaderSize || persisted[0] != persistedMagic {
		return nil
	}
	if binary.LittleEndian.Uint32(persisted[1:]) != checksum(fleet, persisted[persistedHeaderSize:]) {
		return nil
	}
	return bytes.Clone(persisted[persistedHeaderSize:])
}

// restore puts what was kept in force. Danger: a spoilt disk; a start without a version is better than with
// half of one.
func (a *Agent) restore(persisted []byte) {
	if len(persisted) == 0 {
		return
	}
	encoded := decodePersisted(a.options.Fleet, persisted)
	if encoded == nil {
		a.host.Log("configuration on disk is spoilt or another fleet's: starts without one")
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

// activate puts a version in force, or says why not. Danger: a front that acts on parts of two versions; the
// host is asked once, with all texts of the one.
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
	a.inForceProof = proof{} // it is proven by the next answer
	if a.proof.has {
		a.inForceProof = a.proof
	}
	a.host.Persist(encodePersisted(a.options.Fleet, a.versions.document))
	a.updateReport()
}

// programTooOld tells which text needs a newer program than this one.
func (a *Agent) programTooOld(texts []ScopeText) string {
	for _, t := range texts {
		if t.Program > a.options.Program {
			own := a.options.Program
			return fmt.Sprintf("%s %v: program %d, this is %d", t.Scope, ErrProgramTooOld, t.Program, own)
		}
	}
	return ""
}

// keepInForce goes on with the version in force, and says why.
func (a *Agent) keepInForce(state FrontState, version Version, reason string) {
	a.state, a.reason = state, reason[:min(len(reason), maxReportReason)]
	a.host.Log(fmt.Sprintf("configuration %d is not in force, %d stays: %s", version, a.inForce, a.reason))
	a.updateReport()
}

// confirmNewest takes in that a version was the newest at a moment.
func (a *Agent) confirmNewest(at Time, newest Version) {
	if a.inForce != 0 && newest <= a.inForce {
		a.inForceProof.record(at)
	}
}

// updateReport makes this front's report anew, and forgets others that have gone elsewhere.
func (a *Agent) updateReport() {
	a.reports.expire(a.now, reportTTL)
	a.reportSeq++
	a.reportAt = a.now + reportRefresh - reportRefresh/10 + a.source.Below(reportRefresh/5)
	a.reports.add(a.now, report{id: a.id(), incarnation: a.options.Incarnation, seq: a.reportSeq, inForce: a.inForce,
		received: a.chain.version, state: a.state, program: a.options.Program, reason: a.reason})
}

// SetPeers tells who is there, whenever that changes.
func (a *Agent) SetPeers(now Time, peers Peers) {
	a.now = now
	a.setPeers(peers)
}

// Receive takes a message in. from is the address that answers go to. A malformed one is dropped and counted.
func (a *Agent) Receive(now Time, from string, message []byte) {
	a.now = now
	a.receive(from, message)
}

// Next is when Beat must be called again.
func (a *Agent) Next() Time { return min(a.nextTick(), max(a.reportAt, a.now+1)) }

// Tick does what is due.
func (a *Agent) Tick(now Time) {
	a.now = now
	if now >= a.reportAt {
		a.updateReport()
	}
	a.tick()
}

// InForce gives the version in force, 0 if there is none.
func (a *Agent) InForce() Version { return a.inForce }

// ProofFresh tells whether this front may act on guarded settings: its version in force was proven, within
// GuardSpan by its own clock, to be the fleet's newest. Others may be acted on for as long as the front runs.
// Danger: a process can be stopped between this look at the clock and its act; what is acted on has to
// compare versions.
func (a *Agent) ProofFresh(now Time) bool {
	return a.inForce != 0 && a.inForceProof.has && now-a.inForceProof.at <= ProofTTL
}

// Status tells what this front has.
func (a *Agent) Status(now Time) AgentStatus {
	return AgentStatus{InForce: a.inForce, Received: a.chain.version, State: a.state, Reason: a.reason,
		Age: a.inForceProof.age(now), ProofFresh: a.ProofFresh(now), Upstream: a.upstreams[0].addr, Dropped: a.dropped}
}

// AgentStatus is one front's own view.
type AgentStatus struct {
	InForce    Version
	Received   Version // newer than InForce where that one is held or refused
	State      FrontState
	Reason     string
	Age        Time // since InForce was proven to be the fleet's newest, at most; -1: not since the start
	ProofFresh bool
	Upstream   string // address of the one that reports go to
	Dropped    uint64 // malformed messages
}
