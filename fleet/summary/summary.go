// Package summary has one front tell a summary of the fleet, once a span, for all of them. It does no I/O, reads no clock
// and draws nothing by chance.
//
// Who tells it holds a lease (fleet/lease). A summary is begun only where the lease says that it will be over in time; it
// goes with the lease's token, and whoever takes summaries refuses a token that is older than one that it has seen. That
// second guard carries the proof, for a process can be stopped between its look at the clock and its act; the first one
// keeps such refusals rare.
package summary

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// Name of the lease.
const LeaseName = "summary"

// Host is what a front does for this package.
type Host interface {
	LeaseToken(name string, longest Time) (token uint64, ok bool) // whether an act of at most so long may begin now
	SendSummary(token uint64, number uint64, within Time)         // the summary; Told follows
	Log(text string)
}

// Summary is one front's part.
type Summary struct {
	host        Host
	interval    Time
	maxDuration Time // that telling may take
	nextAt      Time
	sequence    uint64
	sending     bool // one is being told
}

// New starts with nothing told. Telling takes longest at most.
func New(now, interval, maxDuration Time, host Host) *Summary {
	return &Summary{host: host, interval: max(interval, 1), maxDuration: maxDuration, nextAt: now}
}

// LeaseAcquired is told when the lease is this front's: the one before may have told its last one long ago.
func (s *Summary) LeaseAcquired(now Time) { s.nextAt = now }

// SendFinished takes in how it went.
func (s *Summary) SendFinished(now Time, refused bool, failure string) {
	s.sending = false
	switch {
	case refused:
		s.host.Log("the summary was refused: another front has a newer lease")
	case failure != "":
		s.host.Log("the summary was not told: " + failure)
	}
}

// Sending tells whether one is being told.
func (s *Summary) Sending() bool { return s.sending }

// Next is when Beat must be called again.
func (s *Summary) Next() Time { return s.nextAt }

// Tick tells a summary if one is due and this front may.
func (s *Summary) Tick(now Time) {
	if now < s.nextAt {
		return
	}
	s.nextAt = now + s.interval
	if s.sending { // Danger: of two that are under way the older may arrive last.
		return
	}
	if token, ok := s.host.LeaseToken(LeaseName, s.maxDuration); ok {
		s.sending = true
		s.sequence++
		s.host.SendSummary(token, s.sequence, s.maxDuration)
	}
}
