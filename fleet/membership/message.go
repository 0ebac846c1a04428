package membership

// Time is a point in time or a duration in whole tenths of a millisecond.
type Time = int64

// timePerMillisecond is the number of Time units in a millisecond.
const timePerMillisecond Time = 10

// State is the state of a member. Within one incarnation a larger state overrides a smaller one, except that
// Left does not override Dead.
type State uint8

// The states of SWIM, and Left.
const (
	Alive   State = iota
	Suspect       // did not answer a probe, and may still refute the suspicion
	Dead          // its suspicion has timed out
	Left          // has announced that it is leaving
)

// String returns the state's name in lower case.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Fact is a statement about one member. The byte slices belong to the caller and are not kept.
type Fact struct {
	Name, Zone, Addr []byte
	By               []byte // in a fact with state Suspect: the member that suspects it
	Incarnation      uint64 // at least 1
	State            State
}

// Note is data of another package that is spread along with the facts. Of each key the newest version is
// kept.
type Note struct {
	Key     []byte // 1 to MaxKeyBytes bytes
	Version uint64
	Age     Time   // time since it was published; not negative
	Body    []byte // at most MaxBodyBytes bytes
}

// Kind is the purpose of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages. Ping, Ack, PingRequest and Nack are those of SWIM and Lifeguard.
const (
	Ping         Kind = iota + 1 // requests an Ack with the same Seq
	Ack                          // answers the Ping with that Seq
	PingRequest                  // asks the receiver to ping Target on the sender's behalf
	Nack                         // answers a PingRequest: the helper is healthy, but the target has not answered yet
	Gossip                       // carries only facts and notes
	SyncRequest                  // begins a full sync; a SyncResponse is expected
	SyncResponse                 // answers a SyncRequest with the facts and notes that differ
)

// Message is what one front sends to another. The byte slices belong to the caller and are not kept.
type Message struct {
	Kind       Kind
	Seq        uint64
	Sender     Fact
	To         []byte // name of the intended receiver; empty if any receiver is meant
	Target     []byte // in a PingRequest: name of the member to ping
	TargetAddr []byte // in a PingRequest: its address, which receivers only check for its length
	Facts      []Fact
	Notes      []Note
	Digest     []byte // in a SyncRequest: digest of what its sender holds; if it is empty, Facts holds everything
}

// Limits of what is accepted. Lengths are in bytes.
const (
	MaxNameBytes = 64
	MaxZoneBytes = 32
	MaxAddrBytes = 64
	MaxKeyBytes  = 1 + MaxNameBytes + MaxZoneBytes
	MaxBodyBytes = 320
	MaxFacts     = 4096         // facts in one message
	MaxNotes     = 2 * MaxFacts // notes in one message
)

// Sizes on the wire, in bytes.
const (
	datagramBytes     = 1000 // facts and notes in one datagram, without its header
	factOverheadBytes = 16   // a fact without its strings
	noteOverheadBytes = 20   // a note without its key and body
)

// size estimates a fact's length on the wire, in bytes.
func (f *Fact) size() int {
	return factOverheadBytes + len(f.Name) + len(f.Zone) + len(f.Addr) + len(f.By)
}

// size estimates a note's length on the wire, in bytes.
func (n *Note) size() int { return noteOverheadBytes + len(n.Key) + len(n.Body) }

// valid reports whether a fact is within the limits.
func (f *Fact) valid() bool {
	return len(f.Name) > 0 && len(f.Name) <= MaxNameBytes && len(f.Zone) <= MaxZoneBytes && len(f.Addr) <= MaxAddrBytes &&
		len(f.By) <= MaxNameBytes && f.State <= Left && f.Incarnation > 0
}

// valid reports whether a note is within the limits.
func (n *Note) valid() bool {
	return len(n.Key) > 0 && len(n.Key) <= MaxKeyBytes && len(n.Body) <= MaxBodyBytes && n.Age >= 0
}
