package admission

import (
	"errors"
	"fmt"

	"micatrack/balance"
	"micatrack/internal/random"
)

// Time is a moment or a duration in tenths of a millisecond.
type Time = balance.Time

// Handler carries out the decisions of a Controller. Each request that arrives is either admitted or
// rejected, exactly once.
type Handler interface {
	// Admit hands a request to the decision module. Controller.AttemptStarted may be called before Admit
	// returns.
	Admit(request int32)
	// Reject refuses a request. The request was never sent to a store, so it is safe to retry. Pause is the
	// time after which the client should retry; 0 leaves that to the client.
	Reject(request int32, pause Time)
	// Log writes one line to the log of the front.
	Log(text string)
}

// Bounds limits what a Controller may hold, and sets the shares of tenants that the settings do not name.
type Bounds struct {
	// MaxRequests is the number of requests that may wait at once, at least 1.
	MaxRequests int
	// MaxBytes is the total size of the statements of waiting requests, at least 1.
	MaxBytes int
	// DedicatedTenants is the number of tenants that may have queues of their own in addition to those that the
	// settings name, at least 1.
	DedicatedTenants int
	// SharedQueues is the number of queues that all other tenants share, at least 1.
	SharedQueues int
	// SharedWeight is the total weight of the shared queues as a fraction of the weight of the tenants with
	// queues of their own, more than 0.
	SharedWeight float64
	// RetriesPerRequest is the number of retries that are admitted for each first try, not negative.
	RetriesPerRequest float64
}

// Initial estimates, and limits of ranks and weights.
const (
	// initialWorkDivisor gives the initial estimate of the work of an attempt, as a part of the expected time.
	initialWorkDivisor = 4
	// minRank and maxRank limit how far the credit of a class influences the order of service within a tenant.
	// Without them, classes with little credit would starve.
	minRank = 0.25
	maxRank = 4.0
	// minQuotaWeight is the smallest weight of a configured tenant, including one without a quota.
	minQuotaWeight = 1.0 / 64
)

var errNoClasses = errors.New("admission control: no request classes")

// requestClass holds the settings and estimates of one class of requests.
type requestClass struct {
	balance.Class
	work  float64 // average work of an attempt, in tenths of a millisecond
	rank  float64 // credit per work, relative to the mean over all classes
	tries balance.RetryDetector
}

// Controller is the admission control of one front. It is not safe for concurrent use.
type Controller struct {
	handler Handler
	now     Time // the time of the current call
	bounds  Bounds
	rng     random.Source
	classes []requestClass

	// Tenants (tenants.go).
	tenants      *tenantTable
	quotaWeights []float64 // weight of each tenant that the settings name
	epoch        Time      // duration for which the assignment of tenants to flows is fixed
	epochEnds    Time

	// Queues (scheduler.go, waiting.go).
	schedulers       []scheduler // never reallocated, because each scheduler holds a pointer to itself
	schedulerIndexes map[schedulerKey]int32
	requests         []requestRecord // indexed by request number
	queue            pairingHeaps    // waiting requests, one heap for each flow
	deadlines        pairingHeaps    // all waiting requests, by their wait deadlines
	nextToExpire     int32           // the request at the top of deadlines, or none
	waiting          int             // number of waiting requests
	bytes            int             // total size of the statements of waiting requests

	// Reservations (reservations.go).
	reservations reservationTable
	slotSpan     Time // duration of a slot of a reservation wheel
	maxPause     Time // longest pause that may be reserved; 0 disables reservations

	tickInterval    Time // time between two ticks
	minExpectedTime Time // the shortest expected time of the classes
	totals          Totals
}

// Totals counts what a Controller has done since its start.
type Totals struct {
	Passed    int64 // requests admitted at once
	Queued    int64 // requests that had to wait
	Back      int64 // requests refused by admission control
	Displaced int64 // refused requests for which Bounds left no room
	Promised  int64 // refused requests for which a time to retry was reserved
	Kept      int64 // retries that arrived at their reserved time
	Contended int64 // times that contention began
}

// New returns a Controller. The settings give the classes, the tenants and their quotas, the time between
// ticks and the longest pause. New returns an error if settings or bounds are out of range.
func New(now Time, settings balance.Settings, bounds Bounds, handler Handler) (*Controller, error) {
	err := checkBounds(&settings, &bounds)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		handler:          handler,
		now:              now,
		bounds:           bounds,
		rng:              random.New(settings.Seed + 1),
		schedulerIndexes: make(map[schedulerKey]int32, maxSchedulers),
		schedulers:       make([]scheduler, 0, maxSchedulers),
		nextToExpire:     none,
		slotSpan:         max(settings.MaxRetryAfter/wheelSlots, 1),
		maxPause:         settings.MaxRetryAfter,
		reservations:     newReservationTable(bounds.MaxRequests),
		tickInterval:     max(settings.EventInterval, 1),
	}
	c.setClasses(settings.Classes)
	c.setTenants(&settings)
	c.epochEnds = now + c.epoch
	c.queue.before = c.servedBefore
	c.deadlines.before = c.expiresBefore
	return c, nil
}

// checkBounds returns an error if settings or bounds are out of range.
func checkBounds(settings *balance.Settings, b *Bounds) error {
	if len(settings.Classes) == 0 {
		return errNoClasses
	}
	if b.MaxRequests < 1 || b.MaxBytes < 1 || b.DedicatedTenants < 1 || b.SharedQueues < 1 ||
		b.SharedWeight <= 0 || b.RetriesPerRequest < 0 {
		return fmt.Errorf("admission control: bounds out of range: %+v", *b)
	}
	for k := range settings.Classes {
		class := &settings.Classes[k]
		if class.ExpectedTime <= 0 || class.Deadline <= 0 {
			return fmt.Errorf("admission control: class %q: expected time or deadline out of range", class.Name)
		}
	}
	return nil
}

// setClasses sets the classes, and ranks each one by its credit per work.
func (c *Controller) setClasses(classes []balance.Class) {
	c.minExpectedTime = classes[0].ExpectedTime
	c.epoch = classes[0].Deadline
	sum := 0.0
	for _, class := range classes {
		work := float64(class.ExpectedTime) / initialWorkDivisor
		c.classes = append(c.classes, requestClass{Class: class, work: work})
		sum += class.Credit / work
		c.minExpectedTime = min(c.minExpectedTime, class.ExpectedTime)
		c.epoch = min(c.epoch, class.Deadline)
	}
	for k := range c.classes {
		class := &c.classes[k]
		relative := class.Credit / class.work * float64(len(classes)) / max(sum, 1e-9)
		class.rank = min(max(relative, minRank), maxRank)
	}
}

// setTenants gives each tenant that the settings name a flow of its own, and a weight: its quota relative to
// the mean quota.
func (c *Controller) setTenants(settings *balance.Settings) {
	mean := 0.0
	configured := []string{}
	for _, tenant := range settings.Tenants {
		mean += tenant.Quota / float64(len(settings.Tenants))
		configured = append(configured, tenant.Name)
	}
	for _, tenant := range settings.Tenants {
		weight := 1.0
		if mean > 0 {
			weight = max(tenant.Quota/mean, minQuotaWeight)
		}
		c.quotaWeights = append(c.quotaWeights, weight)
	}
	c.tenants = newTenantTable(settings.Seed, configured, c.bounds.DedicatedTenants, c.bounds.SharedQueues)
}

// Waiting returns the number of requests that wait.
func (c *Controller) Waiting() int { return c.waiting }

// Totals returns the counts so far.
func (c *Controller) Totals() Totals { return c.totals }
