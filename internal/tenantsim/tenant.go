package tenantsim

import (
	"encoding/binary"
	"fmt"
	"math"
)

// maxGap is the longest time until a tenant's rate is looked at again.
const maxGap = 100 * millisecond

// timesPerSecond is the number of Times in a second.
const timesPerSecond = 10000

// Tenant is one tenant, or many that come under ever new names. The first fields configure it, the others are
// counted.
type Tenant struct {
	Name         string
	UniqueNames  bool                   // each request comes under a name of its own
	Rate         func(now Time) float64 // requests a second
	Class        int                    // of its requests, as the settings number them
	Clients      int                    // among which each request's is drawn
	Client       uint64                 // of all requests; 0: it is drawn
	Retries      int                    // of a request, at most
	IgnoresPause bool                   // it retries at once, whatever it was told
	Marked       bool                   // retries are marked as such

	Requests                             int
	InTime                               int       // requests delivered in their expected time, counted from the first try
	FirstTries                           int       // the same as Requests, for FirstsInTime
	FirstTriesInTime                     int       // first tries delivered in their expected time
	Refused                              int       // tries
	Reserved                             int       // refused tries that were told when to come back
	ReservationsKept, ReservationsMissed int       // of these, tries that were sent, and that were refused again
	PauseErrors                          []float64 // how far the moment of being sent was from what was told, as a part of it
	lastNameNumber                       int
}

// ConstantRate returns a rate that does not change, in requests a second.
func ConstantRate(rate float64) func(Time) float64 { return func(Time) float64 { return rate } }

// Share returns the part of the requests that were delivered in their expected time.
func (t *Tenant) Share() float64 { return float64(t.InTime) / float64(max(t.Requests, 1)) }

// String returns the counts for a test's log.
func (t *Tenant) String() string {
	return fmt.Sprintf("%s: asked %d, in time %.3f, turned back %d, told %d kept %d missed %d",
		t.Name, t.Requests, t.Share(), t.Refused, t.Reserved, t.ReservationsKept, t.ReservationsMissed)
}

// Jain returns Jain's index of fairness: 1 where all values are equal, 1/n where one has all.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}

// nextName returns the name of the tenant's next request.
func (t *Tenant) nextName() []byte {
	name := []byte(t.Name)
	if !t.UniqueNames {
		return name
	}
	t.lastNameNumber++
	return binary.BigEndian.AppendUint64(name, uint64(t.lastNameNumber))
}

// startArrivals plans a tenant's requests, one after the other.
func (s *Simulation) startArrivals(t *Tenant) {
	at := float64(s.Now) // gaps may be shorter than a Time
	var plan func()
	plan = func() {
		gap := s.drawGap(t)
		at += gap
		wait := Time(at) - s.Now
		if gap >= float64(maxGap) {
			s.schedule(wait, plan)
			return
		}
		s.schedule(wait, func() {
			s.arrive(t, retryHistory{firstArrivedAt: s.Now})
			plan()
		})
	}
	plan()
}

// drawGap draws the time until a tenant's next request from an exponential distribution, maxGap at most.
func (s *Simulation) drawGap(t *Tenant) float64 {
	rate := t.Rate(s.Now)
	if rate <= 0 {
		return float64(maxGap)
	}
	uniform := (float64(s.random.Uint32()) + 1) / (1<<32 + 1)
	return min(float64(maxGap), -math.Log(uniform)*timesPerSecond/rate)
}
