package config

// AgentHost is what an Agent does on one front.
type AgentHost interface {
	Send(addr string, message []byte) // one datagram; it may be lost. message is only valid during the call
	// PutInForce checks the texts, all scopes of one version, and has the front act on them from the return on, on all of
	// them or, with an error, on none. The error's text goes into the fleet's status, so it names the key in one line.
	PutInForce(version Version, texts []ScopeText) error
	Keep(kept []byte) // writes to disk what AgentOptions.Kept brings back; a front without a disk does nothing
	Log(text string)
}

// AgentOptions is what an Agent is started with.
type AgentOptions struct {
	Fleet   string // messages of another are dropped
	Name    string
	Zone    string
	Life    uint64 // grows with each start of a front of this name, for example Unix milliseconds at the start
	Program uint32 // this program's number, held against ScopeText.Program
	Seed    uint64
	Kept    []byte // what Keep wrote last; none, or a spoilt one: it starts with no version
}

// Agent holds one front's configuration. Not safe for use from several goroutines.
type Agent struct{}

// NewAgent starts an agent. A version in Kept is put in force before it returns.
func NewAgent(now Time, options AgentOptions, host AgentHost) *Agent { panic("to come") }

// SetPeers tells who is there, whenever that changes.
func (a *Agent) SetPeers(now Time, peers Peers) { panic("to come") }

// Take takes a message in. from is the address that answers go to. A malformed one is dropped and counted.
func (a *Agent) Take(now Time, from string, message []byte) { panic("to come") }

// Next is when Beat must be called again.
func (a *Agent) Next() Time { panic("to come") }

// Beat does what is due.
func (a *Agent) Beat(now Time) { panic("to come") }

// InForce gives the version in force, 0 if there is none.
func (a *Agent) InForce() Version { panic("to come") }

// Guarded tells whether this front may act on guarded settings: its version in force was proven, within GuardSpan by its
// own clock, to be the fleet's newest. Others may be acted on for as long as the front runs.
func (a *Agent) Guarded(now Time) bool { panic("to come") }

// Status tells what this front has.
func (a *Agent) Status(now Time) AgentStatus { panic("to come") }

// AgentStatus is one front's own view.
type AgentStatus struct {
	InForce  Version
	Received Version // newer than InForce where that one is held or refused
	State    FrontState
	Reason   string
	Age      Time // since InForce was proven to be the fleet's newest, at most; -1: not since the start
	Guarded  bool
	Upstream string // address of the one that reports go to
	Dropped  uint64 // malformed messages
}
