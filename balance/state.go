package balance

import "micatrack/internal/random"

// What the module keeps. These types hold no decision: the files that deploy/balancer.toml names under policy do.

type class struct {
	Class
	typical float64 // how long an attempt of it takes of late
	stills  float64 // how often a replica's position stood still while it held one; feared until seen
	tries   RetryDetector
}

// tenant has a bucket of requests within its share, a second's worth at most.
type tenant struct {
	perTime, bucket float64
	filled          Time
}

type member struct {
	store                uint32
	group                int32
	far, open, suspect   bool    // reaching it crosses places; the list lets new work go there; unusually silent
	proven, scouted      bool    // its role as primary may be relied on; a write is out to prove it
	inFlight, refusals   int     // attempts; refusals and failures since the last delivery
	shut, started        Time    // nothing new goes there until then; its last start, 0 when warm
	listed               Time    // the start that the list tells
	limit, strain        float64 // attempts in flight it takes in good time; answer times for the expected
	size, budget         float64 // listed; typical time that may still be sent while it is cold
	part                 float64 // of its fair share that the plan for its zone lets it have
	zone                 string
	won, told            Time    // when a chance at it while cold was won last; the largest position peers tell
	unreached            Time    // when the last try to connect set out, if it failed
	sentLast, sentBefore Time    // its last two attempts
	backAt, answered     Time    // when an attempt last came back; when the newest of those served was sent
	position, heard      Time    // the largest it has shown, and when it was heard of
	primaryAt, replicaAt Time    // newest moments at which it surely was, and surely was not, the primary
	doubted, eased       Time    // claims from before do not count; when the limit was last cut
	probed, asked, gone  Time    // last probe; oldest without a sign of life since, 0: none; the list dropped it
	reply, vary          float64 // mean and spread of the gaps between a probe and a sign of life
}

type group struct {
	members []int32
	primary int32   // -1: not known
	sought  Time    // since when work has waited for one
	purse   float64 // probes that the search for it may still cost
	held    []int32 // requests that wait, the worthiest first
}

// step is what a request does next; it is handed the result of the step before.
type step func(b *Balancer, i int32, r Result)

type request struct {
	id                     string
	class, group           int32
	slot                   int32   // of its session's fence; -1: none
	rank                   float64 // credit for the work, as it came in
	fence, came            Time
	wanted, limit, least   Time  // its expected time is up; the client's time; what its answer must have seen
	member                 int32 // where its last attempt went: a request has one out at a time
	sentAt, ranAt          Time  // when; when the first attempt was sent that may have run
	sent, asks, further    int   // attempts; probes sent for it; attempts that came back and may have run
	ended, held, out, lost bool  // out: an attempt is; lost: so long that it no longer counts as work in hand
	spilled, barred, funds bool  // a read's went to the primary; it may not go there; it paid for a search
	next                   step
}

type Balancer struct {
	front                         Front
	now, beat, cold               Time
	mostPause, askWithin, span    Time
	mwc                           random.Source
	zone                          string
	checks, carried               bool // stores check reads; reads carry the age of their fence
	onlyDrains, priced            bool // being gone does not bind; crossings cost
	mayProbe, mayCancel           bool
	mostAttempts, watchMiss       int     // attempts of a request; failed calls for the list in a row
	overShare, spill              float64 // credit past a tenant's share, as part of the usual; odds of a spill
	startShare, coldPart          float64 // capacity at a start; of what warm ones are sent, a cold one's part
	trickle, least                float64 // its rate with nothing to judge by; limit that a member keeps
	tightest, quickest            Time    // shortest bound on the age of data, and expected time
	probeEvery, probeNow          Time    // gap between probes of a member: as wished, and as the price allows
	probesPerRequest, requestRate float64 // probes that the price allows; requests taken in a beat, on average
	perCredit, usual              float64 // probes that the credit of a usual request pays for; that credit
	watchAt, crowded, scarce      Time    // when to ask for the list next; overload, few connections last seen
	closing, wary, askPace        Time    // by when all must be answered; no peer is believed; between calls
	classes                       []class
	tenants                       map[string]*tenant
	members                       []member
	groups                        []group
	classOf, requestOf            map[string]int32
	memberOf                      map[uint32]int32
	groupOf                       map[uint64]int32
	requests                      []request // the slab
	free                          []int32
	fences                        []Time             // newest write of each session, by hash; sharing tightens
	writes                        []int32            // that are out, of each session
	parts                         map[string]float64 // zones that the fleet's plan narrows, and to what part
	flow, doneWarm                float64            // typical time of what warm members serve, by size and time
}
