package balance

import "micatrack/internal/random"

// The state that the package keeps. These types make no decisions; the files that deploy/balancer.toml names under
// policy do.

// interval is the time in which something happened: not before from, and not after to.
type interval struct {
	from, to Time
}

// classState is a class with what has been learned about it.
type classState struct {
	Class
	typicalTime  float64       // average time of its recent attempts
	replayStalls float64       // how often a replica's position stood still during an attempt; 1 until seen
	retries      RetryDetector // tells its clients' retries from first tries
}

// tenantState is a token bucket of requests within a tenant's quota. It holds at most what one second refills.
type tenantState struct {
	rate       float64 // tokens added per unit of Time
	tokens     float64 // tokens left
	refilledAt Time    // when tokens were last added
}

// memberState is a member of a group: one store, and what is known of it.
type memberState struct {
	store             uint32  // number of the store
	group             int32   // index of its group
	crossZone         bool    // reaching it crosses zones, which has a price
	accepting         bool    // the list lets new work go to it
	suspect           bool    // silent for unusually long, or a connection to it failed
	roleConfirmed     bool    // if it is known as the primary, that may be relied on
	confirming        bool    // a write is in flight to confirm its role as the primary
	inFlight          int     // attempts in flight, without overdue ones
	failures          int     // refusals and failures since it last served an attempt
	backoffUntil      Time    // no new work goes to it until then
	startedAt         Time    // its last start, 0 when it is warm
	restartSeenAt     Time    // when startedAt was last set
	listedStart       Time    // its latest start according to the list
	limit             float64 // attempts in flight that it handles in good time
	latencyRatio      float64 // average answer time as a multiple of the expected time
	size              float64 // its relative size according to the list
	coldBudget        float64 // typical time of the attempts that may still be sent while it is cold
	zoneShare         float64 // share of its fair part of the work that the plan for its zone allows
	zone              string  // the zone that it is in
	budgetWonAt       Time    // when a random draw for an attempt was last won while it was cold
	peerPosition      Time    // the largest position that peers report for it
	connectFailedAt   Time    // when the last attempt to connect was made, if it failed; else 0
	lastSentAt        Time    // when the last attempt was sent
	previousSentAt    Time    // when the last attempt but one was sent
	returnedAt        Time    // when an attempt last returned
	servedSentAt      Time    // when the newest of the attempts that it served was sent
	position          Time    // the largest position that it has shown
	positionSeenAt    Time    // when its position was last reported
	primaryAt         Time    // the latest time at which it was certainly the primary
	replicaAt         Time    // the latest time at which it was certainly not the primary
	ignoreClaimsUntil Time    // claims of the primary role from up to then do not count
	limitCutAt        Time    // when limit was last reduced
	probedAt          Time    // when it was last probed, moved by a random part
	unansweredSince   Time    // when the oldest probe without an answer since was sent, 0 if there is none
	goneAt            Time    // when the list dropped it; never if it is listed
	replyMean         float64 // mean gap between a probe and the next answer of any kind
	replyDeviation    float64 // mean deviation of these gaps
}

// groupState is a primary with its replicas, and the requests that wait for them.
type groupState struct {
	members            []int32 // indices of its members
	primary            int32   // index of the primary; -1 if it is not known
	primarySoughtSince Time    // since when requests have waited for a primary; 0 if none is sought
	searchProbes       float64 // probes that the search for the primary may still cost
	waiting            []int32 // indices of the requests that wait, the highest priority first
}

// resultHandler decides what a request does next, given the result of its last attempt.
type resultHandler func(b *Balancer, i int32, r Result)

// request is a request at hand. It has at most one attempt in flight.
type request struct {
	id           string  // "" if the slot is free
	class        int32   // index of its class
	group        int32   // index of its group
	fenceSlot    int32   // slot of its session's fence; -1 if it has no session
	priority     float64 // credit for the work it takes, as estimated on arrival
	fence        Time    // the log position that it has to see
	arrivedAt    Time    // when it was submitted
	expectedBy   Time    // when its expected time is over
	deadline     Time    // when the client gives up, or the front is shut down
	minPosition  Time    // the position that its answer has to prove; 0 for none
	member       int32   // index of the member that its last attempt went to
	sentAt       Time    // when its last attempt was sent
	mayHaveRunAt Time    // when the first attempt that may have run was sent; 0 for none
	attempts     int     // attempts sent
	probes       int     // probes sent for it
	ranAttempts  int     // attempts that returned and may have cost the store time
	ended        bool    // it has had its final answer, or needs none
	waiting      bool    // it is in its group's queue
	inFlight     bool    // an attempt is in flight
	// responseStarted is set if the client has been sent part of the answer.
	responseStarted bool
	overdue         bool          // that attempt has taken so long that its member's inFlight no longer counts it
	spilled         bool          // it is a read whose attempt went to the primary
	primaryBarred   bool          // it is a read that must not spill to the primary
	fundedSearch    bool          // its credit has been added to its group's searchProbes
	confirmingSince Time          // since when a statement of its transaction waits for its store's position; 0: none does
	onResult        resultHandler // called with the result of its last attempt
}

// Balancer makes the decisions for one front. Its methods must not be called concurrently.
type Balancer struct {
	front                 Front                   // carries out the decisions
	now                   Time                    // time of the last event
	tickInterval          Time                    // time between ticks
	answerSlack           Time                    // see Settings.AnswerSlack
	delays                delayReserve            // time kept back for delays of the front
	warmupTime            Time                    // see Settings.WarmupTime
	maxRetryAfter         Time                    // see Settings.MaxRetryAfter
	listInterval          Time                    // see Settings.ListInterval
	coldOverloadSpan      Time                    // see Settings.ColdOverloadSpan
	random                random.Source           // seeded by Settings.Seed
	zone                  string                  // the front's own zone
	storesCheckReads      bool                    // stores reject reads for which they are too far behind
	fencesCarried         bool                    // reads carry the age of their session's last write
	onlyDrainingBinds     bool                    // a store missing from the list may still be used
	crossZonePriced       bool                    // traffic between zones has a price
	mayProbe              bool                    // probes are allowed
	mayCancel             bool                    // attempts may be cancelled
	maxAttempts           int                     // most attempts of a request
	listFailures          int                     // calls for the list that failed in a row, up to 3
	overQuotaCredit       float64                 // credit of a request beyond its tenant's quota, as a part of the usual
	spillOdds             float64                 // probability that a read may spill to the primary
	startCapacity         float64                 // share of its capacity that a store has when it starts
	coldOverloadFactor    float64                 // part of what warm members are sent that all fronts may send a cold one
	minColdRate           float64                 // rate of a cold budget where nothing is known of warm members
	minLimit              float64                 // least concurrency limit of a member
	tightestBound         Time                    // shortest bound on the age of data among the classes
	shortestExpected      Time                    // shortest expected time among the classes
	probeInterval         Time                    // wanted time between probes of a member
	currentProbeInterval  Time                    // time between probes of a member that their price allows
	probesPerRequest      float64                 // routine probes that a request pays for
	requestRate           float64                 // average number of requests submitted in a tick interval
	searchProbesPerCredit float64                 // search probes that the credit of a usual request pays for
	usualCredit           float64                 // average credit of recent requests
	nextListAt            Time                    // when to ask for the list next
	overloadedAt          Time                    // when overload was last seen
	connectionsScarceAt   Time                    // when a store was last seen short of connections
	shutdownAt            Time                    // when the front will be terminated; never if that is not planned
	distrustPeersUntil    Time                    // positions that peers report are not used until then
	agentInterval         Time                    // longest time between calls of the front's own agent; never without one
	classes               []classState            // classes in force, and those that requests at hand still use
	tenants               map[string]*tenantState // by name
	members               []memberState           // slots, reused by memberSlot
	groups                []groupState            // never removed
	classOf               map[string]int32        // index of each class in force, by name
	requestOf             map[string]int32        // index of each request, by ID
	memberOf              map[uint32]int32        // index of each member, by store number
	groupOf               map[uint64]int32        // index of each group, by ID
	requests              []request               // slots, reused through freeRequests
	freeRequests          []int32                 // indices of the free slots in requests
	fences                []Time                  // newest write of each session, by hash; a collision only makes it stricter
	openWrites            []int32                 // writes in flight of each session, by the same hash
	zoneShares            map[string]float64      // share of the work allowed in each zone that the plan narrows
	warmRate              float64                 // average of the typical time that warm members serve, per size and time
	servedWarm            float64                 // typical time that warm members served since the last tick
}

// randomBelow returns a pseudorandom number from 0 to n-1, from a multiply-with-carry generator.
func (b *Balancer) randomBelow(n Time) Time { return b.random.Below(n) }

// randomHit returns true with the given probability.
func (b *Balancer) randomHit(probability float64) bool {
	return float64(b.randomBelow(1<<20)) < probability*(1<<20)
}

// recycle frees the slot of a request that has ended and has no attempt in flight.
func (b *Balancer) recycle(i int32) {
	if req := &b.requests[i]; req.ended && !req.inFlight && req.id != "" {
		delete(b.requestOf, req.id)
		req.id = ""
		b.freeRequests = append(b.freeRequests, i)
	}
}
