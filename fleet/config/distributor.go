package config

// DistributorHost is what a Distributor does.
type DistributorHost interface {
	Send(addr string, message []byte) // one datagram; it may be lost. message is only valid during the call
	Propose(entry []byte) error       // to the replicated log; only asked where Lead said so
	UnixMilliseconds() int64          // the wall clock, for what history says of entries made here
	Log(text string)
}

// DistributorOptions is what a Distributor is started with.
type DistributorOptions struct {
	Fleet string // messages of another are dropped
	Name  string // of this control machine
	Seed  uint64
}

// Distributor serves the versions of a Log on one control machine. Not safe for use from several goroutines; the Log must
// be changed by the same one.
type Distributor struct{}

// NewDistributor starts a distributor. log is the state that entries are applied to beside it.
func NewDistributor(now Time, options DistributorOptions, log *Log, host DistributorHost) *Distributor {
	panic("to come")
}

// SetPeers tells who is there. Controls names all control machines, this one too.
func (d *Distributor) SetPeers(now Time, peers Peers) { panic("to come") }

// Lead tells who leads the replicated log as far as known: whether this machine does, or at which address who does is
// reached (none: not known).
func (d *Distributor) Lead(now Time, leads bool, leader string) { panic("to come") }

// Confirmed tells that a read by quorum, asked at the moment asked, has found this machine to lead, and that all entries
// up to then are applied. Without it, this machine does not say that its newest version is the fleet's. Ask about once a
// second while this machine leads.
func (d *Distributor) Confirmed(now, asked Time) { panic("to come") }

// Applied tells that entries were applied to the log, or a snapshot was restored.
func (d *Distributor) Applied(now Time) { panic("to come") }

// Take takes a message in. from is the address that answers go to. A malformed one is dropped and counted.
func (d *Distributor) Take(now Time, from string, message []byte) { panic("to come") }

// Next is when Beat must be called again.
func (d *Distributor) Next() Time { panic("to come") }

// Beat does what is due.
func (d *Distributor) Beat(now Time) { panic("to come") }

// Status tells how far the newest version has come. Complete where this machine leads, and once reports have come in.
func (d *Distributor) Status(now Time) Status { panic("to come") }

// FrontState is what a front last said of itself.
type FrontState uint8

// The states of a front.
const (
	StateSilent  FrontState = iota // not heard for SilentAfter, or never
	StateInForce                   // the version that it holds is in force
	StateHeld                      // a newer one needs a newer program
	StateRefused                   // it refused a newer one
	StateEmpty                     // it has none in force
)

// FrontStatus is one front as a distributor knows it.
type FrontStatus struct {
	Name, Zone string
	State      FrontState
	InForce    Version // last told; it may have a newer one by now
	Received   Version
	Program    uint32
	Reason     string // of a refusal, or why it is held
	Silent     Time   // since when nothing came from it
}

// Status tells how far the configuration has come in the fleet.
type Status struct {
	Newest     Version
	Lowest     Version       // the lowest in force of all fronts that are not silent; 0: none, or one of them has none
	Everywhere bool          // every front that is not silent has Newest in force; silent ones act on no guarded setting of an older one
	InForce    int           // fronts with Newest in force
	Silent     int           // fronts not heard: cut off or gone; they may serve with an old version
	Stage      *Stage        // the open roll-out
	Fronts     []FrontStatus // by name
	Age        Time          // since Newest was proven to be the fleet's newest; -1: never
	Dropped    uint64        // malformed messages
}
