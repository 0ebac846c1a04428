package zones

// Time is a point in time or a duration in whole tenths of a millisecond.
type Time = int64

// timePerMillisecond is the number of Time units in a millisecond.
const timePerMillisecond Time = 10

// State is the state of a row: how fronts of this front's zone treat another zone. The values are part of the
// wire format.
type State uint8

// The states of a row. Suspected is shown to operators and never published.
const (
	InService  State = iota
	Suspected        // failures are seen there, but not enough to drain the zone
	Draining         // being drained; a share remains because the other zones cannot take all of the traffic
	Drained          // gets no ordinary traffic, only trials
	Recovering       // its share grows step by step
)

// String returns the state as shown in logs, by commands and by the HTTP interface. These strings are older
// than the names of the constants and must not change, since users rely on them.
func (s State) String() string {
	if s > Recovering {
		return "unknown"
	}
	return [...]string{"steady", "doubted", "leaving", "away", "returning"}[s]
}

// Outcome is the outcome of a request, a probe or a connection attempt to a store, as far as it shows whether
// the store can be reached.
type Outcome uint8

// The outcomes. Any answer counts as Answered.
const (
	Answered       Outcome = iota // the store answered, possibly with an error
	Refused                       // the connection was refused
	TimedOut                      // there was no answer in time
	ConnectionLost                // the connection ended before the answer
	numOutcomes
)
