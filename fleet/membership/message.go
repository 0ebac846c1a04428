package membership

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// timePerMillisecond converts a Time to milliseconds.
const timePerMillisecond Time = 10

// State is the state of a member. Within one incarnation a larger state overrides a smaller one, except that
// Left does not override Dead.
type State uint8

// The states of SWIM, and Left.
const (
	Alive   State = iota
	Suspect       // it did not answer a probe, and may still refute the suspicion
	Dead          // its suspicion timed out
	Left          // it announced its own end
)

// String returns the state's name in lower case.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s&3] }

// Fact is a statement about one member. Its bytes belong to the caller and are not kept.
type Fact struct {
	Name, Zone, Addr []byte
	By               []byte // of a Suspect: the member that suspects it
	Incarnation      uint64 // at least 1
	State            State
}

// Note is a piece of data of another package that spreads with the facts. The newest version of a key holds.
type Note struct {
	Key     []byte // 1 to MostKey bytes
	Version uint64
	Age     Time   // since it was made; not negative
	Body    []byte // at most MostBody bytes
}

// Kind is the purpose of a message. The values are part of the wire format.
type Kind uint8

// The kinds of messages. Ping, Ack, PingRequest and Nack are those of SWIM and Lifeguard.
const (
	Ping         Kind = iota + 1 // asks for an Ack with the same Seq
	Ack                          // answers the Ping of that Seq
	PingRequest                  // asks the receiver to ping Target on the sender's behalf
	Nack                         // answers a PingRequest: the helper is well, no answer of the target yet
	Gossip                       // carries facts and notes alone
	SyncRequest                  // a full exchange: all facts and notes; an Answer is expected
	SyncResponse                 // answers a Whole with all facts and notes
)

// Message is what one front sends another. Its bytes belong to the caller and are not kept.
type Message struct {
	Kind               Kind
	Seq                uint64
	Sender             Fact
	To                 []byte // name of the member that is meant; empty: whoever receives it
	Target, TargetAddr []byte // of a PingRequest
	Facts              []Fact
	Notes              []Note
	Digest             []byte // of a Whole: what its sender holds; empty: its Facts are all
}

// Bounds of what is accepted. Lengths are in bytes.
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
	datagramBytes     = 1000 // of facts and notes in one datagram, besides its head
	factOverheadBytes = 16   // of a fact, besides its strings
	noteOverheadBytes = 20   // of a note, besides its key and body
)

// size estimates a fact's length on the wire, in bytes.
func (f *Fact) size() int {
	return factOverheadBytes + len(f.Name) + len(f.Zone) + len(f.Addr) + len(f.By)
}

// size estimates a note's length on the wire, in bytes.
func (n *Note) size() int { return noteOverheadBytes + len(n.Key) + len(n.Body) }

// valid reports whether a fact keeps to the bounds.
func (f *Fact) valid() bool {
	return len(f.Name) > 0 && len(f.Name) <= MaxNameBytes && len(f.Zone) <= MaxZoneBytes && len(f.Addr) <= MaxAddrBytes &&
		len(f.By) <= MaxNameBytes && f.State <= Left && f.Incarnation > 0
}

// valid reports whether a note keeps to the bounds.
func (n *Note) valid() bool {
	return len(n.Key) > 0 && len(n.Key) <= MaxKeyBytes && len(n.Body) <= MaxBodyBytes && n.Age >= 0
}
