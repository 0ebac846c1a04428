package tenantsim

import (
	"encoding/binary"
	"fmt"
	"math"
)

// maxGap is the longest time until the rate of a tenant is evaluated again.
const maxGap = 100 * millisecond

// timesPerSecond is the number of Time units in a second.
const timesPerSecond = 10000

// Tenant is one tenant, or many tenants of which each sends one request. The fields in the first block are
// its configuration, the others are counts.
type Tenant struct {
	Name         string
	UniqueNames  bool                   // whether each request comes from a tenant with a name of its own
	Rate         func(now Time) float64 // requests per second
	Class        int                    // class of the requests, as an index in the settings
	Clients      int                    // number of clients, one of which is drawn for each request
	Client       uint64                 // client of all requests; 0 draws one for each request
	Retries      int                    // maximum number of retries of a request
	IgnoresPause bool                   // whether clients retry at once, whatever pause they are given
	Marked       bool                   // whether retries are marked as such

	Requests           int       // requests sent, not counting retries
	InTime             int       // requests answered within their expected time, counted from the first try
	FirstTries         int       // equal to Requests; FirstTriesInTime is a part of it
	FirstTriesInTime   int       // first tries answered within their expected time
	Refused            int       // tries refused
	Reserved           int       // refused tries whose clients were given a pause
	ReservationsKept   int       // retries after such a pause that were sent to a store
	ReservationsMissed int       // retries after such a pause that were refused again
	PauseErrors        []float64 // deviations of the time of sending from the given pause, relative to the pause
	lastNameNumber     int       // number in the last unique name
}

// ConstantRate returns a constant rate, in requests per second.
func ConstantRate(rate float64) func(Time) float64 { return func(Time) float64 { return rate } }

// Share returns the fraction of the requests that were answered within their expected time.
func (t *Tenant) Share() float64 { return float64(t.InTime) / float64(max(t.Requests, 1)) }

// String returns the counts for the log of a test.
func (t *Tenant) String() string {
	return fmt.Sprintf("%s: %d requests, in time %.3f, refused %d, reserved %d, kept %d, missed %d",
		t.Name, t.Requests, t.Share(), t.Refused, t.Reserved, t.ReservationsKept, t.ReservationsMissed)
}

// Jain returns Jain's index of fairness of n values: 1 if all are equal, 1/n if all but one are 0.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}

// nextName returns the tenant name for the next request.
func (t *Tenant) nextName() []byte {
	name := []byte(t.Name)
	if !t.UniqueNames {
		return name
	}
	t.lastNameNumber++
	return binary.BigEndian.AppendUint64(name, uint64(t.lastNameNumber))
}

// startArrivals schedules the requests of a tenant, one after the other.
func (s *Simulation) startArrivals(t *Tenant) {
	at := float64(s.Now) // a float, because gaps may be shorter than one Time unit
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

// drawGap draws the time until a tenant's next request from an exponential distribution, limited to maxGap.
func (s *Simulation) drawGap(t *Tenant) float64 {
	rate := t.Rate(s.Now)
	if rate <= 0 {
		return float64(maxGap)
	}
	uniform := (float64(s.random.Uint32()) + 1) / (1<<32 + 1)
	return min(float64(maxGap), -math.Log(uniform)*timesPerSecond/rate)
}
