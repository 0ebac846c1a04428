// Package summary lets one front send a periodic summary of the fleet on behalf of all fronts. It does no
// I/O, reads no clock and uses no randomness.
//
// The front that sends it holds a lease (package fleet/lease). A summary is begun only if the lease
// guarantees that it will be finished before the lease ends. It carries the lease's token, and the receiver
// refuses a token that is older than one that it has seen. Correctness rests on this second check, since a
// process can be stopped between checking the clock and acting. The first check keeps such refusals rare.
package summary

// Time is a point in time or a duration in whole tenths of a millisecond.
type Time = int64

// LeaseName is the name of the lease.
const LeaseName = "summary"

// Host performs the actions of this package.
type Host interface {
	// LeaseToken reports whether an action that takes at most maxDuration may begin now under the named lease,
	// and returns the lease's token.
	LeaseToken(name string, maxDuration Time) (token uint64, ok bool)
	// SendSummary sends a summary under the lease's token, within the timeout. Summary.SendFinished must be
	// called with the result.
	SendSummary(token uint64, sequence uint64, timeout Time)
	// Log writes one line to the front's log.
	Log(text string)
}

// Summary decides when this front sends summaries. It is not safe for concurrent use.
type Summary struct {
	host        Host
	interval    Time
	maxDuration Time // longest time that sending may take
	nextAt      Time
	sequence    uint64
	sending     bool // a summary is being sent
}

// New returns a Summary that has sent nothing. Sending takes at most maxDuration.
func New(now, interval, maxDuration Time, host Host) *Summary {
	return &Summary{host: host, interval: max(interval, 1), maxDuration: maxDuration, nextAt: now}
}

// LeaseAcquired must be called when this front has acquired the lease. It makes a summary due at once, since
// the previous holder may have sent its last one long ago.
func (s *Summary) LeaseAcquired(now Time) { s.nextAt = now }

// SendFinished records the result of sending: whether the receiver refused the summary, or why sending
// failed.
func (s *Summary) SendFinished(now Time, refused bool, failure string) {
	s.sending = false
	switch {
	case refused:
		s.host.Log("the summary was refused: another front has a newer lease")
	case failure != "":
		s.host.Log("sending the summary failed: " + failure)
	}
}

// Sending reports whether a summary is being sent.
func (s *Summary) Sending() bool { return s.sending }

// Next returns when Tick must be called again.
func (s *Summary) Next() Time { return s.nextAt }

// Tick sends a summary if one is due and the lease permits it.
func (s *Summary) Tick(now Time) {
	if now < s.nextAt {
		return
	}
	s.nextAt = now + s.interval
	if s.sending { // If two were in progress, the older one could arrive last.
		return
	}
	if token, ok := s.host.LeaseToken(LeaseName, s.maxDuration); ok {
		s.sending = true
		s.sequence++
		s.host.SendSummary(token, s.sequence, s.maxDuration)
	}
}
