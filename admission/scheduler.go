package admission

import "micatrack/balance"

// maxLanes bounds the lanes; past that they are shared.
const maxSchedulers = 64

// clientPlaces is the number of places of one tenant's clients, by hash.
const clientBuckets = 16

// retryCreditTries is for how many first tries a tenant may save up credit for retries.
const retryCreditTries = 16

// hashFactor spreads group ids and tokens.
const hashFactor = 0x9fb21c651e98df25

// schedulerKey names what requests compete for: the same group, by the same need.
type schedulerKey struct {
	group uint64
	need  balance.Need
}

// scheduler is the requests that compete for the same stores of one group. A request that waits for a primary must
// not keep back a read that any replica serves, so each need has its own.
type scheduler struct {
	key   schedulerKey
	flows []flow // by the tenant's place; nil until requests have competed here

	// The order of service (order.go).
	order              pairingHeaps // tenants that have requests waiting, by their tags
	next               int32        // the tenant that is served next; none: nothing waits
	virtualTime        float64
	dedicatedWeight    float64 // of the tenants with own places that have requests waiting
	sharedFlowsWaiting int     // shared places that have requests waiting
	waiting            int
	work               float64 // that waits

	// The rate of service (wait.go).
	virtualRate        float64 // virtual time that passes in a Time while requests wait
	sampledSpan        Time    // for how long the pace has been learned in this contention
	sampledAt          Time
	sampledVirtualTime float64 // virtual time at learnedAt

	// Room in the module (room.go).
	admitted       int     // requests let in
	attempting     int     // of them, those with an attempt under way
	handoffLimit   float64 // requests without an attempt that the module may hold
	attemptsAtHold int     // attempts under way when the module last held a request that it was handed
	probeAt        Time    // when one more request is tried although the module holds some
	probeInterval  Time    // until the next time
	idleSince      Time    // when the last attempt was under way, or nothing was let in

	// Contention (contention.go).
	waitingSince Time // requests have waited since then without a break; 0: none waits
	emptySince   Time // nothing has waited since then; 0: something does, or nothing was logged
	contended    bool // contention was logged
	refused      int  // requests since then
}

// flow is one tenant's queue in one lane, or that of all tenants who share a place.
type flow struct {
	next             int32 // the request that is served next
	newest           int32 // the one that arrived last
	waiting          int32
	work             [priorities]float64 // that waits
	startTag         float64             // tag: virtual time at which its next request starts
	virtualTime      float64             // the flow's own, between its clients
	clientFinishTags [clientBuckets]float64
	reservations     reservationWheel
	retryCredit      float64 // retries that it may still have let in
	firstTryWork     float32 // of first tries since the last tick
	firstTryRate     float32 // the same for each Time, averaged
	admittedWork     float64 // let in since contention was logged
}

func (c *Controller) newFlow() flow {
	return flow{next: none, newest: none, retryCredit: c.maxRetryCredit()}
}

func (c *Controller) newFlows() []flow {
	flows := make([]flow, c.tenants.flowCount())
	for k := range flows {
		flows[k] = c.newFlow()
	}
	return flows
}

// maxRetryCredit is how many retries a tenant may save up.
func (c *Controller) maxRetryCredit() float64 { return retryCreditTries * c.bounds.RetriesPerRequest }

// schedulerIndex returns the index of the lane of a group and a need, and adds it if need be.
func (c *Controller) schedulerIndex(group uint64, need balance.Need) int32 {
	key := schedulerKey{group, need}
	if index, known := c.schedulerIndexes[key]; known {
		return index
	}
	if len(c.schedulers) == maxSchedulers {
		return int32((group*hashFactor>>32 + uint64(need)) % maxSchedulers)
	}
	index := int32(len(c.schedulers))
	c.schedulerIndexes[key] = index
	c.schedulers = append(c.schedulers, scheduler{key: key, next: none, handoffLimit: idleHandoffLimit, sampledAt: c.now, idleSince: c.now})
	return index
}

// weight returns the weight of the tenant at a place: its quota's, or 1. Tenants that share places have
// together a part of what the others weigh, however many they are.
//
// Danger: a client that comes under ever new names would have ever more.
func (c *Controller) weight(s *scheduler, flowIndex int32) float64 {
	if int(flowIndex) < len(c.quotaWeights) {
		return c.quotaWeights[flowIndex]
	}
	if c.tenants.isDedicated(flowIndex) {
		return 1
	}
	return min(1, max(s.dedicatedWeight*c.bounds.SharedWeight, 1)/float64(max(s.sharedFlowsWaiting, 1)))
}
