package admission

import (
	"errors"
	"fmt"

	"micatrack/balance"
	"micatrack/internal/random"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = balance.Time

// Handler carries out the actions of a door. Each request that arrives is let in or refused, once.
type Handler interface {
	// LetIn hands a request to the decision module. Door.Sent may be called before it returns.
	Admit(request int32)
	// TurnBack refuses a request, which was never sent, so trying again is harmless. Pause is when the client
	// should come back; 0 says nothing of that.
	Reject(request int32, pause Time)
	// Log writes one line of the front's log.
	Log(text string)
}

// Bounds is how much a door may hold.
type Bounds struct {
	MaxRequests       int     // requests that wait at once; at least 1
	MaxBytes          int     // of their statements; at least 1
	DedicatedTenants  int     // tenants with places of their own, besides those that the settings name; at least 1
	SharedQueues      int     // places shared by all other tenants; at least 1
	SharedWeight      float64 // weight of those together, as a part of that of the tenants with own places; more than 0
	RetriesPerRequest float64 // retries let in for each first try; not negative
}

// Figures of the estimates that a door begins with, and of a class's rank.
const (
	initialWorkDivisor = 4    // the work of an attempt is taken for this part of the expected time at first
	minRank            = 0.25 // credit counts within a tenant, but must not starve what earns little
	maxRank            = 4.0
	minQuotaWeight     = 1.0 / 64 // of a tenant without a quota
)

var errNoClasses = errors.New("door: no profiles")

// requestClass is what is kept of one class of requests.
type requestClass struct {
	balance.Class
	work  float64 // of an attempt, averaged; tenths of a millisecond
	rank  float64 // credit for the work, as a part of the mean over all classes
	tries balance.RetryDetector
}

// Controller is the admission control of one front. It is not safe for concurrent use.
type Controller struct {
	handler Handler
	now     Time // of the call in hand
	bounds  Bounds
	rng     random.Source
	classes []requestClass

	// Tenants (names.go).
	tenants      *tenantTable
	quotaWeights []float64 // weight of each tenant of the settings
	epoch        Time      // for which tenants keep their places
	epochEnds    Time

	// Queues (lane.go, waiting.go).
	schedulers       []scheduler // never moved: each refers to itself
	schedulerIndexes map[schedulerKey]int32
	requests         []requestRecord // by request
	queue            pairingHeaps    // requests in the queues of their tenants
	deadlines        pairingHeaps    // all that wait, by the moment at which they are refused
	nextToExpire     int32           // the request at the top of deadlines; none: nothing waits
	waiting          int
	bytes            int // of the requests that wait

	// Promises (calendar.go).
	reservations reservationTable
	slotSpan     Time // of the calendars
	maxPause     Time // longest time that may be promised; 0: none is

	tickInterval    Time // between two ticks
	minExpectedTime Time // the shortest expected time of the classes
	totals          Totals
}

// Totals counts what a door has done since its start.
type Totals struct {
	Passed    int64 // let in at once
	Queued    int64 // had to wait
	Back      int64 // refused at the door
	Displaced int64 // of them, for want of room here
	Promised  int64 // of them, told when to come back
	Kept      int64 // came back as told, and were let in as told
	Contended int64 // times that contention began
}

// New returns a door. The settings give the classes, the tenants and their quotas, the time between ticks and
// the longest pause. It returns an error for settings or bounds out of range.
func New(now Time, settings balance.Settings, bounds Bounds, gate Handler) (*Controller, error) {
	err := checkBounds(&settings, &bounds)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		handler:          gate,
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

func checkBounds(settings *balance.Settings, b *Bounds) error {
	if len(settings.Classes) == 0 {
		return errNoClasses
	}
	if b.MaxRequests < 1 || b.MaxBytes < 1 || b.DedicatedTenants < 1 || b.SharedQueues < 1 || b.SharedWeight <= 0 || b.RetriesPerRequest < 0 {
		return fmt.Errorf("door: bounds out of range: %+v", *b)
	}
	for k := range settings.Classes {
		class := &settings.Classes[k]
		if class.ExpectedTime <= 0 || class.Deadline <= 0 {
			return fmt.Errorf("door: profile %q: times out of range", class.Name)
		}
	}
	return nil
}

// setClasses takes the classes over, and ranks each by its credit for the work.
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

// setTenants gives each tenant of the settings a place and a weight, by its quota over the mean.
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

// Waiting returns how many requests wait.
func (c *Controller) Waiting() int { return c.waiting }

// Totals returns the counts so far.
func (c *Controller) Totals() Totals { return c.totals }
