package admission

import "micatrack/balance"

// maxSchedulers is the maximum number of schedulers. Once it is reached, further groups and needs share
// existing ones.
const maxSchedulers = 64

// clientBuckets is the number of hash buckets for the clients of one tenant.
const clientBuckets = 16

// retryCreditTries is the number of first tries for which a tenant may accumulate retry credit.
const retryCreditTries = 16

// hashFactor is the multiplier that mixes group ids, hashes of tenant names and retry hashes.
const hashFactor = 0x9fb21c651e98df25

// schedulerKey identifies what requests compete for: the stores of one group that meet the same need.
type schedulerKey struct {
	group uint64
	need  balance.Need
}

// scheduler queues the requests that compete for the same stores of one group. There is one for each need,
// because a request that waits for the primary must not delay a read that any replica can serve.
type scheduler struct {
	key   schedulerKey
	flows []flow // indexed by flow index; nil until requests have competed here

	// Order of service (order.go).
	order              pairingHeaps // flows with waiting requests, by their start tags
	next               int32        // index of the flow that is served next, or none
	virtualTime        float64      // start tag of the request that was admitted last
	dedicatedWeight    float64      // total weight of the dedicated flows with waiting requests
	sharedFlowsWaiting int          // number of shared flows with waiting requests
	waiting            int          // number of waiting requests
	work               float64      // total work of the waiting requests

	// Rate of service (wait.go).
	virtualRate        float64 // average virtual time that passes per Time unit while requests wait
	sampledSpan        Time    // duration over which virtualRate has been averaged in this contention
	sampledAt          Time    // time of the last update
	sampledVirtualTime float64 // virtual time at sampledAt

	// Handing requests to the decision module (handoff.go).
	admitted       int     // number of requests admitted and not ended
	attempting     int     // number of admitted requests with an attempt under way
	handoffLimit   float64 // number of requests without an attempt that the module may hold
	attemptsAtHold int     // attempts under way when the module last held a request instead of sending it
	probeAt        Time    // when one more request is handed over although the module holds some
	probeInterval  Time    // time from one such probe to the next
	idleSince      Time    // when an attempt was last under way or no request was admitted

	// Contention (contention.go).
	waitingSince Time // since when requests have waited without a break; 0 if none waits
	emptySince   Time // since when no request has waited; 0 if one does, or before the first tick
	contended    bool // whether the beginning of contention was logged, but not its end
	refused      int  // requests refused since the beginning of contention was logged
}

// flow is the queue of one tenant in one scheduler, or that of all tenants that share a flow.
type flow struct {
	next             int32                  // the request that is served next, or none
	newest           int32                  // the waiting request that arrived last, or none
	waiting          int32                  // number of waiting requests
	work             [priorities]float64    // work of the waiting requests, by priority
	startTag         float64                // virtual time of the scheduler at which the next request starts
	virtualTime      float64                // virtual time within the flow, for sharing between its clients
	clientFinishTags [clientBuckets]float64 // virtual time in the flow when the last request of a client finishes
	reservations     reservationWheel       // work reserved for retries
	retryCredit      float64                // number of retries that may still be admitted
	firstTryWork     float32                // work of first tries since the last tick
	firstTryRate     float32                // average work of first tries per Time unit
	admittedWork     float64                // work admitted since the beginning of contention was logged
}

// newFlow returns an empty flow.
func (c *Controller) newFlow() flow {
	return flow{next: none, newest: none, retryCredit: c.maxRetryCredit()}
}

// newFlows returns an empty flow for each flow index.
func (c *Controller) newFlows() []flow {
	flows := make([]flow, c.tenants.flowCount())
	for k := range flows {
		flows[k] = c.newFlow()
	}
	return flows
}

// maxRetryCredit returns how much retry credit a tenant may accumulate.
func (c *Controller) maxRetryCredit() float64 { return retryCreditTries * c.bounds.RetriesPerRequest }

// schedulerIndex returns the index of the scheduler for a group and a need, and adds the scheduler if there
// is none.
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
	c.schedulers = append(c.schedulers, scheduler{key: key, next: none, handoffLimit: idleHandoffLimit, sampledAt: c.now,
		idleSince: c.now})
	return index
}

// weight returns the weight of a flow: that of its tenant's quota, or 1. All shared flows together have a
// weight that is limited to a fraction of that of the dedicated ones, however many tenants use them.
//
// Without this limit, a client could increase its share by using ever new tenant names.
func (c *Controller) weight(s *scheduler, flowIndex int32) float64 {
	if int(flowIndex) < len(c.quotaWeights) {
		return c.quotaWeights[flowIndex]
	}
	if c.tenants.isDedicated(flowIndex) {
		return 1
	}
	return min(1, max(s.dedicatedWeight*c.bounds.SharedWeight, 1)/float64(max(s.sharedFlowsWaiting, 1)))
}
