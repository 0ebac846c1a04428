package zones

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// timePerMillisecond converts a Time to milliseconds.
const timePerMillisecond Time = 10

// State is the state of a row: how fronts of this front's zone treat another zone. The values are part of the
// wire format.
type State uint8

// The states of a row. Suspected is shown to people and never published.
const (
	InService  State = iota
	Suspected        // failures are seen there; nothing follows yet
	Draining         // decided; a share stays because the other zones could not take all
	Drained          // it gets no ordinary traffic, but for trials
	Recovering       // its share grows step by step
)

// String returns the state as logs, commands and the HTTP interface show it. These texts are older than the
// names of the constants and stay, as users rely on them.
func (s State) String() string {
	if s > Recovering {
		return "unknown"
	}
	return [...]string{"steady", "doubted", "leaving", "away", "returning"}[s]
}

// Outcome is the outcome of a request, a probe or a connect to a store, as far as it says anything of the way
// there.
type Outcome uint8

// The outcomes.
const (
	Answered       Outcome = iota // with any answer, an error included
	Refused                       // the connection was refused
	TimedOut                      // there was no answer in time
	ConnectionLost                // the connection ended before the answer
	numOutcomes
)
