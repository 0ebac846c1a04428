// Package balance holds every decision of the router, for one front.
//
// New is handed the Charter once; List, Take, Returned, Probed, Left, Streams, Beat follow as things happen,
// one at a time, each with the present moment. The module acts through the Front that New was given.
// The mechanism is pgpilot's: a session has a fence, the log position of its last write; a read goes to the
// least busy replica known to have passed what it needs, else to the primary. See docs/design.md.
package balance

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"

	"micatrack/internal/mwc"
)

const (
	never     = Time(1) << 60
	second    = Time(10000)
	toldBy    = 6 * second // what discovery has counts as told by then, whether or not a call came through
	fenceBits = 14
	thrift    = 0.005 // part of the result that probes may cost on the ordinary path
	search    = 0.125 // part of the credit of what waits that a search for its primary may cost
)

type class struct {
	Class
	typical float64 // how long an attempt of it takes of late
	stills  float64 // how often a replica's position stood still while it held one; feared until seen
	tries   Tries
}

// Tries tells a client's further try by the time that it has left.
type Tries struct {
	usual Time // that most clients' tries have left
	votes int  // tries in a row, on balance, that had it
}

// Further takes one try with the time it had left when it came: with less than most have it is a further one.
// Danger: the longest time ever seen is no measure.
func (t *Tries) Further(left, slack Time) bool {
	if off := left - t.usual; max(off, -off) <= slack {
		t.votes = min(t.votes+1, 16)
	} else if t.votes--; t.votes < 0 {
		t.usual, t.votes = left, 1
	} else {
		return true
	}
	return false
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
type step func(b *Balancer, i int32, r Return)

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
	mwc                           mwc.Source
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

func New(now Time, c Charter, f Front) (*Balancer, error) {
	if len(c.Classes) == 0 {
		return nil, fmt.Errorf("charter: no profiles")
	}
	b := &Balancer{front: f, now: now, mwc: mwc.New(c.Seed), zone: c.Zone, overShare: c.OverShare,
		checks: c.Checks, carried: c.FencesCarried, askWithin: c.AskWithin, onlyDrains: c.OnlyDraining,
		startShare: c.StartShare, cold: c.Cold, coldPart: c.FallMultiple, span: c.FallSpan,
		mostAttempts: max(c.MostAttempts, 1), mayProbe: c.MayProbe, mayCancel: c.MayCancel,
		classOf: map[string]int32{}, tenants: map[string]*tenant{}, memberOf: map[uint32]int32{},
		groupOf: map[uint64]int32{}, requestOf: map[string]int32{},
		fences: make([]Time, 1<<fenceBits), writes: make([]int32, 1<<fenceBits),
		parts: map[string]float64{}, mostPause: c.MostPause, crowded: -never, scarce: -never, spill: 1,
		askPace: cmp.Or(c.AgentGrace/4, never), tightest: never, closing: never, quickest: never,
		least: 3 / float64(max(c.Fronts, 1)), priced: c.CrossPrice > 0}
	for i, p := range c.Classes {
		if p.Bound < 0 || p.ExpectedTime <= 0 || p.Deadline <= 0 || p.Window < 0 {
			return nil, fmt.Errorf("charter: profile %q: bound, window or times out of range", p.Name)
		}
		b.classOf[p.Name] = int32(i)
		b.classes = append(b.classes, class{Class: p, typical: float64(p.ExpectedTime) / 4, stills: 1})
		b.quickest = min(b.quickest, p.ExpectedTime)
		b.usual += p.Credit / float64(len(c.Classes))
		if p.Need == Bounded {
			b.tightest = min(b.tightest, p.Bound)
		}
	}
	for _, q := range c.Tenants {
		rate := q.Quota / float64(second) / float64(max(c.Fronts, 1))
		b.tenants[q.Name] = &tenant{perTime: rate, bucket: rate * float64(second), filled: now}
	}
	// Answers must come within the slack after the limit, so the module looks around twice in it.
	b.beat = max(c.Round, min(2*c.Round, c.AnswerSlack/2), 1)
	// Eight short attempts in a span, over all fronts, tip no store.
	b.trickle = 2 * float64(b.quickest) / float64(max(b.span, 1)) / float64(max(c.Fronts, 1))
	b.probeEvery = max(min(b.tightest, b.quickest)/3, b.beat)
	b.probeNow, b.probesPerRequest = b.probeEvery, thrift/max(c.ProbePrice, thrift/10)
	b.perCredit = search / max(c.ProbePrice, thrift/10)
	if b.watchAt = now + b.askPace; !c.ListPushed { // all may be starting together, so it is spread
		b.watchAt = now + b.chance(b.askWithin/8)
	}
	f.Wake(b.beat)
	return b, nil
}

// chance draws from 0 to n-1 with a multiply-with-carry generator.
func (b *Balancer) chance(n Time) Time { return b.mwc.Below(n) }

func (b *Balancer) odds(part float64) bool { return float64(b.chance(1<<20)) < part*(1<<20) }

func (b *Balancer) List(now Time, news ListNews, list []Member) {
	b.now = now
	if news == ListFailed {
		// Danger: a drain told meanwhile binds within its grace, so the first call follows almost at once. But
		// fronts that failed together must not call again together: far longer waits each time, and spread.
		// And what it has counts as told by then all the same, so half of that is the longest wait.
		wait := min(b.askWithin/256<<(2*b.watchMiss), toldBy/3, b.askPace) // an own agent is asked for nothing
		b.watchMiss, b.watchAt = min(b.watchMiss+1, 3), now+wait/2+b.chance(wait)
		return
	}
	if news != ListCached {
		b.watchMiss, b.watchAt = 0, never
	}
	for i := range list {
		// Danger: a list older than one before knows nothing of a drain told since, and would open the store again.
		e := &list[i]
		if k, ok := b.memberOf[e.Store]; ok && news == ListOlder && !b.members[k].open &&
			e.Started <= b.members[k].listed {
			e.Condition = Draining
		}
	}
	if news != ListChanges {
		for i := range b.members {
			b.members[i].open = b.members[i].open && b.onlyDrains
			b.members[i].gone = min(b.members[i].gone, b.now)
		}
	}
	for i := range list {
		b.entry(&list[i])
	}
}

// Zone takes the fleet's plan for a zone: the part of ordinary work that may go there, 1 for all. It is
// advice and only narrows: what a primary alone can do still goes there, and all of a group that has no
// replica elsewhere.
func (b *Balancer) Zone(now Time, zone string, part float64) {
	b.now = now
	if b.parts[zone] = part; part >= 1 {
		delete(b.parts, zone)
	}
	for i := range b.members {
		if m := &b.members[i]; m.zone == zone {
			m.part = part
		}
	}
}

// elsewhere gives the size of a group's replicas if one is in a zone that the plan leaves whole, else 0.
func (b *Balancer) elsewhere(g *group) (sizes float64) {
	if len(b.parts) == 0 {
		return 0
	}
	whole := false
	for _, i := range g.members {
		if m := &b.members[i]; m.open && (i != g.primary || !m.proven) {
			sizes, whole = sizes+m.size, whole || m.part == 1 && !m.suspect
		}
	}
	if !whole {
		return 0
	}
	return sizes
}

func (b *Balancer) groupAt(id uint64) int32 {
	g, ok := b.groupOf[id]
	if !ok {
		g = int32(len(b.groups))
		b.groupOf[id] = g
		b.groups = append(b.groups, group{primary: -1})
	}
	return g
}

// slot gives a new member its place: that of one gone and unheard for a cold time, nothing out, or another.
// Danger: where stores are replaced for good, tables would fill with them and each would thin out the probes.
func (b *Balancer) slot() int32 {
	for k := range b.members {
		m, i := &b.members[k], int32(k)
		if b.now-max(m.gone, m.heard, m.answered) < b.cold ||
			slices.ContainsFunc(b.requests, func(j request) bool { return j.out && j.member == i }) {
			continue
		}
		g := &b.groups[m.group]
		g.members = slices.DeleteFunc(g.members, func(k int32) bool { return k == i })
		if g.primary == i {
			g.primary = -1
		}
		delete(b.memberOf, m.store)
		b.front.Forget(m.store)
		return i
	}
	b.members = append(b.members, member{})
	return int32(len(b.members) - 1)
}

func (b *Balancer) entry(e *Member) {
	i, known := b.memberOf[e.Store]
	if !known {
		g := b.groupAt(e.Group)
		i = b.slot()
		b.memberOf[e.Store] = i
		b.members[i] = member{store: e.Store, group: g, limit: min(8, 8*b.least), reply: float64(b.beat),
			vary: float64(b.beat), probed: b.now - b.chance(b.cold), far: b.priced && e.Zone != b.zone,
			size: 1, proven: true, zone: e.Zone, part: 1}
		if part, ok := b.parts[e.Zone]; ok {
			b.members[i].part = part
		}
		b.groups[g].members = append(b.groups[g].members, i)
	}
	m := &b.members[i]
	if m.gone = never; e.Condition == Gone {
		m.gone = b.now
	}
	m.open = e.Condition == Ready || e.Condition == Gone && b.onlyDrains && (m.open || !known)
	m.size = cmp.Or(max(e.Size, 0), m.size)
	if m.listed = max(m.listed, e.Started); e.Started > m.started && b.now-e.Started < b.cold {
		m.started = e.Started
	}
	// The list is the weakest witness: it names a primary only where nothing better is known.
	if g := &b.groups[m.group]; e.Primary && m.open && g.primary < 0 && m.replicaAt == 0 {
		g.primary = i
	}
}

// learn takes what a member says of itself, and at is when it did so; 0 means some unknown time ago.
func (b *Balancer) learn(i int32, r Report, at Time) {
	m := &b.members[i]
	if r.Role == RoleUnknown || r.Position < m.position && at == 0 || r.Position > b.now+2*b.beat {
		return // older than what is known, or from a time to come: it says nothing
	}
	m.position, m.heard = max(m.position, r.Position), b.now
	if r.Role == Primary {
		b.claim(i, max(at, r.Position)) // a primary stands at the present of its report
	} else if at > 0 || r.Position > m.primaryAt {
		b.deny(i, max(at, r.Position))
	}
}

// claim: the member was surely the primary at that moment. Of two that claim, the newer claim holds.
func (b *Balancer) claim(i int32, at Time) {
	m := &b.members[i]
	g := &b.groups[m.group]
	if at <= max(m.replicaAt, m.doubted) {
		return
	}
	m.proven, m.primaryAt = m.proven || at > m.replicaAt+2*second, max(m.primaryAt, at)
	if g.primary != i && (g.primary < 0 || b.members[g.primary].primaryAt < at) {
		g.primary = i
		b.front.Log(fmt.Sprintf("primary of group %d is store %d", m.group, m.store))
	}
}

func (b *Balancer) deny(i int32, at Time) {
	m := &b.members[i]
	m.replicaAt = max(m.replicaAt, at)
	if g := &b.groups[m.group]; g.primary == i {
		g.primary = -1
		b.front.Log(fmt.Sprintf("primary of group %d lost: store %d is a replica", m.group, m.store))
	}
}

func (b *Balancer) primary(g *group) int32 {
	if g.primary < 0 || !b.usable(&b.members[g.primary]) {
		return -1
	}
	return g.primary
}

func (b *Balancer) usable(m *member) bool {
	return m.open && b.now >= m.shut && !m.suspect
}

// shun tells until when to stay away from a member that refuses or fails: longer each time.
// Danger: a store that fails at once, full, broken or draining, looks the least busy and draws every request.
func (b *Balancer) shun(m *member) Time {
	m.refusals = min(m.refusals+1, 8)
	return b.now + min(b.beat<<m.refusals, b.quickest)
}

// alive: the member has answered, on a connection that has stood since then.
func (b *Balancer) alive(i int32, since Time) {
	m := &b.members[i]
	if m.asked > 0 && !m.suspect {
		off := float64(b.now-m.asked) - m.reply
		m.reply += off / 16
		m.vary += (max(off, -off) - m.vary) / 16
	}
	switch lived := since > 0 && since < m.unreached; {
	case m.unreached == 0 || lived && m.refusals < 2: // Danger: one lost connection is no restart.
	case lived || m.position >= m.unreached:
		b.scarce = b.now // it, or its log, went on while it took no connection: it lived, and has none to spare
	default:
		m.started = b.now // it may have started anew unannounced, and is then cold
	}
	m.asked, m.unreached = 0, 0
	if m.suspect {
		m.suspect = false
		b.front.Log(fmt.Sprintf("store %d is back", m.store))
	}
}

// probe asks a member for its position when nothing has shown it of late, sooner while a primary is sought.
func (b *Balancer) probe(m *member, g *group) {
	every, fresh := b.probeNow, max(m.heard, m.probed)
	seeks := g.sought > 0 && len(g.held) > 0 && m.asked == 0 && g.purse >= 1
	if seeks { // Danger: hundreds of fronts seeking a primary that is out of reach for long
		every, fresh = max(b.probeEvery/2, (b.now-g.sought)/4), m.probed
	} else if m.asked > 0 { // Danger: hundreds of fronts asking a dead store at a steady pace
		every = min(max(b.probeEvery, m.probed-m.asked), b.probeNow, b.cold)
	}
	if !b.mayProbe || !m.open || b.now-fresh < every || m.part == 0 && !seeks && b.elsewhere(g) > 0 {
		return
	}
	need := b.now - every
	if seeks {
		need, g.purse = 0, g.purse-1
	}
	b.ask(m, need, false)
	m.probed += b.chance(every / 8)
}

func (b *Balancer) ask(m *member, need Time, any bool) {
	m.probed, m.asked = b.now, cmp.Or(m.asked, b.now)
	b.front.Probe(m.store, need, any)
}

func (b *Balancer) Probed(now Time, store uint32, r Return) {
	b.now = now
	i, ok := b.memberOf[store]
	if !ok {
		return
	}
	if m := &b.members[i]; r.Ending != Served && r.Ending != Crowded {
		if m.suspect = m.suspect || r.Ending != Unsent; r.Ending == Unreached {
			m.unreached = m.probed
		}
		return
	}
	b.learn(i, r.Load, 0)
	b.alive(i, r.Since)
	b.release(b.members[i].group)
}

// Heard takes in what another front says that a member has. The answer to a read sent for it has to prove it.
func (b *Balancer) Heard(now Time, store uint32, position Time) {
	b.now = now
	if i, ok := b.memberOf[store]; ok && position <= now {
		b.members[i].told = max(b.members[i].told, position)
		b.release(b.members[i].group)
	}
}

// warmth is the part of its capacity that a member surely has.
func (b *Balancer) warmth(m *member) float64 {
	if m.started == 0 || b.now-m.started >= b.cold {
		m.started = 0
		return 1
	}
	return b.startShare + (1-b.startShare)*float64(max(b.now-m.started, 0))/float64(b.cold)
}

// room tells whether the member takes one more attempt in good time.
func (b *Balancer) room(m *member, p *class) bool {
	if m.started == 0 {
		if m.limit >= 1 || m.inFlight == 0 && float64(b.now-m.backAt) >= p.typical*(1/m.limit-1) {
			return float64(m.inFlight) < m.limit
		}
		// Danger: hundreds of fronts with one each crowd a store. Under one attempt a front rests after each; what
		// only a primary takes has nowhere else to go meanwhile, and rests after every two.
		return p.Need >= Fresh && m.inFlight < 2 && float64(b.now-m.sentBefore) >= 2*p.typical/m.limit
	}
	if m.inFlight > 0 && float64(m.inFlight) >= m.limit*min(1, 2*b.warmth(m)) {
		return false
	}
	// Danger: one attempt from each of hundreds of fronts is too much. What is saved is a chance, won or lost.
	if m.budget < p.typical && !b.odds(m.budget/p.typical) {
		m.budget = min(m.budget, 0)
		return false
	}
	if m.budget < p.typical {
		m.budget, m.won = p.typical, b.now
	}
	return true
}

// need is the position that a read has to see.
func (b *Balancer) need(j *request) Time {
	if p := &b.classes[j.class]; p.Need == Bounded {
		return b.now - p.Bound
	} else if p.Need == Session && !b.carried && j.slot >= 0 {
		j.fence = max(j.fence, b.fences[j.slot]) // Danger: its session may have written while it was held.
		if b.writes[j.slot] > 0 {
			// Danger: the answer of a write that is out may be lost, and what it told counts as known soon after.
			return max(j.fence, b.now-second/10+b.beat)
		}
	}
	return j.fence
}

// choose gives the member for the request's next attempt, or -1 if it has to wait.
func (b *Balancer) choose(j *request) int32 {
	g, p := &b.groups[j.group], &b.classes[j.class]
	primary := b.primary(g)
	if p.Need >= Fresh {
		if primary < 0 || !b.members[primary].proven && (p.Need != Write || b.members[primary].scouted) {
			return -1 // a denied primary takes one write; the rest follow once it is taken
		} else if b.room(&b.members[primary], p) {
			return primary
		}
		b.overload()
		return -1
	}
	need, sizes := b.need(j), b.elsewhere(g)
	best, least, full := [2]int32{-1, -1}, [2]float64{}, false // known to be past the need; likely to be
	for _, i := range g.members {
		m := &b.members[i]
		if i == g.primary && m.proven || !b.usable(m) {
			continue
		}
		// Danger: one that comes back stands idle and would draw all. It gets its part of its fair share.
		if m.part < 1 && sizes > 0 && !b.odds(m.part*m.size/sizes) {
			continue
		}
		// What it lagged by when last heard it may lag by still. Where stores check reads that is enough.
		reach := m.position + b.now - m.heard
		past := m.position >= need || b.checks && m.heard > 0 && reach >= need ||
			m.told >= need && p.Repeat == Idempotent && b.now >= b.wary
		if !past && m.heard > 0 && reach+p.ExpectedTime/10 < need {
			continue
		}
		if !b.room(m, p) {
			full = full || past
			continue
		}
		// How busy, for what it can do. Danger: fronts with few attempts find all idle, and all choose alike.
		v := (float64(m.inFlight) - math.Log(float64(b.chance(1<<20)+1)/(1<<20))) / (m.size * b.warmth(m))
		if m.far {
			v *= 2 // a crossing is paid for, so the own place may be somewhat busier
		}
		if p.stills > 0.5 && p.ExpectedTime > 2*b.tightest {
			// Danger: long requests that stop the log, spread, keep all replicas behind. All fronts fill one first.
			v = float64(m.store)
		}
		k := 0
		if !past {
			k = 1
		}
		if best[k] < 0 || v < least[k] {
			best[k], least[k] = i, v
		}
	}
	if best[0] >= 0 {
		return best[0]
	}
	if best[1] >= 0 && b.mayProbe && b.now-j.came < p.ExpectedTime/10 {
		// Danger: each of many fronts has few answers, positions grow old, reads spill. So a likely one is asked.
		if m := &b.members[best[1]]; b.now-m.probed > b.probeEvery/2 && j.asks < 2 {
			j.asks++
			b.ask(m, need, true)
		}
		return -1
	}
	if !j.barred && primary >= 0 && b.members[primary].proven && b.room(&b.members[primary], p) {
		// Danger: where replicas lag, hundreds of fronts spill to the primary together, each too little to see
		// it fill, and the writes drown. So a read spills by the odds that spilled ones came back in good time.
		if j.spilled = b.odds(b.spill); j.spilled {
			return primary
		}
		j.barred = true
	}
	if full || primary >= 0 {
		b.overload()
	}
	return -1
}

// overload: a request found no room. It counts as seen for twice the shortest expected time.
func (b *Balancer) overload() {
	if b.now-b.crowded > 2*b.quickest {
		b.front.Log("overload seen")
	}
	b.crowded = b.now
}

func (b *Balancer) Take(now Time, in Request) error {
	b.now = now
	b.requestRate += float64(b.beat) / float64(second)
	p, ok := b.classOf[in.Class]
	if !ok {
		return fmt.Errorf("job %s: profile %q is not in the charter", in.ID, in.Class)
	}
	if len(b.free) == 0 {
		b.requests = append(b.requests, request{})
		b.free = append(b.free, int32(len(b.requests)-1))
	}
	i := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	b.requestOf[in.ID] = i
	j, pr := &b.requests[i], &b.classes[p]
	*j = request{id: in.ID, class: p, group: b.groupAt(in.Group), slot: -1, came: now,
		limit: min(now+in.Left, b.closing)}
	j.wanted = now - in.Waited + min(pr.ExpectedTime+Time(pr.Stretch*float64(in.Work)), pr.Deadline)
	if pr.tries.Further(in.Left+in.Waited, b.beat) {
		j.wanted -= max(pr.Deadline-in.Left-in.Waited, 0)
	}
	if in.Session != "" {
		h := fnv.New32a()
		h.Write([]byte(in.Session))
		j.slot = int32(h.Sum32() >> (32 - fenceBits))
	}
	if pr.Need == Session && (b.carried || j.slot < 0) && in.WriteAge >= 0 {
		j.fence = now - in.WriteAge
	}
	j.rank = pr.Credit / pr.typical
	b.usual += (pr.Credit - b.usual) / 64
	if q := b.tenants[in.Tenant]; q != nil {
		q.bucket = min(q.bucket+q.perTime*float64(now-q.filled), q.perTime*float64(second))
		q.filled = now
		if q.bucket--; q.bucket < 0 {
			q.bucket, j.rank = q.bucket+1, j.rank*b.overShare
		}
	}
	b.proceed(i, Return{})
	return nil
}

func (b *Balancer) place(i int32) {
	j := &b.requests[i]
	if m := b.choose(j); m >= 0 {
		b.send(i, m)
		return
	}
	j.held = true
	g := &b.groups[j.group]
	if !j.funds { // Danger: each of hundreds of fronts looks on for what little waits there, at a higher cost.
		j.funds = true
		g.purse += b.perCredit * b.classes[j.class].Credit / max(b.usual, 1e-6)
	}
	// Ranks go by powers of two, and within one the newest first: it has the most time left to be in time.
	at := sort.Search(len(g.held), func(k int) bool {
		return math.Ilogb(b.requests[g.held[k]].rank) <= math.Ilogb(j.rank)
	})
	g.held = slices.Insert(g.held, at, i)
}

func (b *Balancer) release(gi int32) {
	g := &b.groups[gi]
	keep := 0
	for _, i := range g.held {
		j := &b.requests[i]
		if !j.held || j.group != gi {
			continue // it went or ended meanwhile
		} else if !b.mayRepeat(j) { // Danger: what may have run must not wait here past the time of its repeats.
			b.giveUp(i)
		} else if m := b.choose(j); m >= 0 {
			j.held = false
			b.send(i, m)
		} else {
			g.held[keep] = i
			keep++
		}
	}
	g.held = g.held[:keep]
}

func (b *Balancer) send(i, mi int32) {
	j, m := &b.requests[i], &b.members[mi]
	p := &b.classes[j.class]
	j.member, j.sentAt, j.sent, j.out, j.lost = mi, b.now, j.sent+1, true, false
	j.next = (*Balancer).proceed
	m.inFlight, m.sentBefore, m.sentLast = m.inFlight+1, m.sentLast, b.now
	m.scouted = m.scouted || p.Need == Write && !m.proven
	if m.started > 0 {
		m.budget -= p.typical
	}
	if p.Need == Write && j.slot >= 0 {
		b.writes[j.slot]++
	}
	if j.least = b.need(j); m.position >= j.least || b.checks || mi == b.groups[j.group].primary && m.proven {
		j.least = 0 // it need not show what it has
	} else {
		j.least = m.told // and not only what it needs now: it may wait for a connection
	}
	b.front.Send(j.id, m.store, j.limit, j.least)
}

// Due tells whether an attempt that has had to wait may still set out; if not it comes back, placed anew.
// Danger: meanwhile its store may drain, what is known there be too old, or its window have passed.
func (b *Balancer) Due(now Time, id string) bool {
	b.now = now
	i, ok := b.requestOf[id]
	return ok && b.due(&b.requests[i])
}

func (b *Balancer) due(j *request) bool {
	m, p := &b.members[j.member], &b.classes[j.class]
	switch {
	case !m.open || p.Repeat == Keyed && j.ranAt > 0 && b.now >= b.edge(j):
		return false
	case p.Need != Bounded && p.Need != Session || b.checks || j.member == b.groups[j.group].primary && m.proven:
		return true
	}
	return max(m.position, j.least) >= b.need(j)
}

// mayGoAgain: no further attempts while overload is seen, else up to two. What cost no store time is free.
func (b *Balancer) mayGoAgain(j *request, further int) bool {
	return j.sent < b.mostAttempts && (further == 0 || further <= 2 && b.now-b.crowded > 2*b.quickest)
}

func (b *Balancer) Returned(now Time, id string, n int, store uint32, r Return) {
	b.now = now
	i, ok := b.requestOf[id]
	if !ok || !b.requests[i].out || n != b.requests[i].sent-1 || b.members[b.requests[i].member].store != store {
		return
	}
	j := &b.requests[i]
	gi := j.group
	j.out = false
	if b.classes[j.class].Need == Write && j.slot >= 0 {
		b.writes[j.slot]--
	}
	b.grade(j, r)
	if !r.Ending.NeverRan() {
		j.ranAt = cmp.Or(j.ranAt, j.sentAt)
		if r.Ending != Severed || float64(now-j.sentAt) > b.classes[j.class].typical/8 {
			j.further++ // it may have cost the store time; what breaks off far sooner has not
		}
	}
	if r.Done {
		j.held, j.ended = false, true
	} else if !j.ended {
		j.next(b, i, r)
	}
	b.recycle(i)
	b.release(gi)
}

func (b *Balancer) recycle(i int32) {
	if j := &b.requests[i]; j.ended && !j.out && j.id != "" {
		delete(b.requestOf, j.id)
		j.id = ""
		b.free = append(b.free, i)
	}
}

func (b *Balancer) grade(j *request, r Return) {
	m, p := &b.members[j.member], &b.classes[j.class]
	if !j.lost {
		m.inFlight--
	}
	m.backAt = b.now
	if r.Ending == Served || !r.Ending.NeverRan() {
		b.Written(b.now, j.id, r.Note.Position)
	}
	took := b.now - j.sentAt
	// Danger: lost answers look like load, and load like lost answers. A later attempt answered there tells.
	gone := r.Ending == Severed || r.Ending == Undone || r.Ending >= Expired && j.sentAt < m.answered
	if j.spilled && r.Ending == Served && took < p.ExpectedTime*3/4 {
		b.spill = min(b.spill+1.0/16, 1)
	} else if j.spilled && r.Ending != Behind && !gone {
		b.spill = max(b.spill*3/4, 1.0/16)
	}
	j.spilled, j.barred, m.scouted = false, false, m.scouted && p.Need != Write
	if r.Ending <= Crowded || r.Ending == Faulted { // the store itself has answered
		note := r.Note
		if p.Need == Write {
			note.Position -= second / 1000 // a commit is told rounded up, a position must not be
		}
		m.proven = m.proven && note.Role != Replica || p.Need == Write && r.Ending == Served
		b.learn(j.member, note, b.now)
		b.learn(j.member, r.Load, 0)
		b.alive(j.member, r.Since)
	}
	switch {
	case r.Ending == Served:
		m.refusals, m.shut = 0, 0
	case r.Ending == Behind && j.least > 0:
		b.wary = b.now + b.cold // Danger: a peer that says too much has reads go there in vain.
	case r.Ending == Behind && p.Need == Write:
		// Danger: a draining primary turns writes away as a replica while its other answers still claim the
		// role, so a claim must be newer each time; and until it takes a write, no read relies on it.
		m.doubted = b.shun(m)
	case r.Ending == Crowded, r.Ending == Unreached, r.Ending == Undone, r.Ending == Faulted,
		r.Ending == Severed:
		m.shut = b.shun(m)
		if r.Ending == Unreached { // a single lost connection is no restart
			m.suspect, m.unreached = b.mayProbe, j.sentAt // with no probes nothing would ever clear it
		}
	}
	if r.Ending == Served {
		if m.started == 0 {
			b.doneWarm += p.typical // Danger: what overloaded members are sent is no measure of what one can do.
		}
		if p.Need == Any && r.Note.Role == Replica && 2*took > b.tightest {
			p.stills -= p.stills / 8
			if r.Note.Position < j.sentAt+took/4 {
				p.stills += 1.0 / 8
			}
		}
		m.answered = max(m.answered, j.sentAt)
		p.typical += (float64(took) - p.typical) / 32
	}
	if m.inFlight == 0 && b.now-b.scarce < b.cold {
		// Danger: where stores take few connections, those that fronts keep for later shut the other fronts out.
		b.front.HangUp(m.store)
	}
	if gone || r.Ending == Behind || r.Ending == Unreached || r.Ending == Unsent {
		return
	}
	m.strain += (float64(took)/float64(p.ExpectedTime) - m.strain) / (1 + min(m.limit, 7)) // few tell more each
	// A mean past about a fifth has a tail that is late; a single answer may take half.
	most := max(0.22, 0.5/(1+m.limit))
	switch {
	case m.strain > most || r.Ending == Crowded:
		if b.now-m.eased > p.ExpectedTime/2 {
			m.limit = max(b.least, min(m.limit, float64(m.inFlight+1))*min(0.8, max(0.5, most/m.strain)))
			m.eased = b.now
		}
	case float64(m.inFlight+1) > m.limit/2:
		m.limit += min(1/m.limit, m.limit*min(1, most/m.strain-1))
	}
}

// Written: a write's answer has come, in part at least, or it may have run. Its session must see it.
// Danger: an answer may stop short, be lost or find its client gone, and the write is there all the same.
func (b *Balancer) Written(now Time, id string, position Time) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && b.requests[i].slot >= 0 && b.classes[b.requests[i].class].Need == Write {
		f := &b.fences[b.requests[i].slot]
		*f = max(*f, cmp.Or(position, now)) // untold: it lies before now
	}
}

// proceed places a request that is new or whose attempt came back, or gives it up.
func (b *Balancer) proceed(i int32, r Return) {
	j := &b.requests[i]
	if r.Ending == Unsent && b.due(j) || b.now >= j.limit-b.beat || !b.mayRepeat(j) {
		b.giveUp(i)
	} else {
		b.place(i)
	}
}

// mayRepeat tells whether the rules and the house's custom allow the request one more attempt.
func (b *Balancer) mayRepeat(j *request) bool {
	p := &b.classes[j.class]
	switch {
	case j.sent >= b.mostAttempts:
		return false
	case j.ranAt == 0:
		return true // proven never to have run
	case p.Repeat == AtMostOnce:
		return false // Danger: an effect twice.
	case p.Repeat == Keyed && b.now >= b.edge(j):
		return false // Attempts never leave the request's group.
	}
	return b.mayGoAgain(j, j.further)
}

// edge is when a repeat of what may have run has to be on its way.
// Danger: past its window a repeat is not dropped, and it counts from when the store begins it: the way there
// and what stands before it in the queue take no longer than such an attempt takes in all.
func (b *Balancer) edge(j *request) Time {
	p := &b.classes[j.class]
	return j.ranAt + p.Window - b.beat - Time(p.typical)
}

// giveUp gives the final answer of a request that will not be served, at once.
func (b *Balancer) giveUp(i int32) {
	j := &b.requests[i]
	p := &b.classes[j.class]
	if p.Repeat == Idempotent || j.ranAt == 0 && !j.out || p.Repeat == Keyed && p.Anywhere {
		b.front.Refuse(j.id, b.mostPause/2+b.chance(b.mostPause/2))
	} else {
		b.front.Fail(j.id)
	}
	b.end(i)
}

// end closes a request and calls its attempt off, so that a store may stop working on them.
func (b *Balancer) end(i int32) {
	j := &b.requests[i]
	j.held, j.ended = false, true
	if j.out && b.mayCancel {
		b.front.Cancel(j.id, j.sent-1)
	}
	b.recycle(i)
}

func (b *Balancer) Left(now Time, id string) {
	b.now = now
	if i, ok := b.requestOf[id]; ok && !b.requests[i].ended {
		b.end(i)
	}
}

// Closing: the front is ended by force at that time, and what it finds unanswered then is lost.
func (b *Balancer) Closing(now, by Time) {
	b.now, b.closing = now, by
	for i := range b.requests {
		if j := &b.requests[i]; j.limit < never {
			j.limit = min(j.limit, by)
		}
	}
}

// Streams: the request's answer has begun, and its limits no longer run.
func (b *Balancer) Streams(now Time, id string) {
	b.now = now
	if i, ok := b.requestOf[id]; ok {
		b.requests[i].limit, b.requests[i].wanted = never, never
	}
}

func (b *Balancer) Beat(now Time) {
	b.now = now
	b.front.Wake(b.beat)
	b.requestRate -= b.requestRate * float64(b.beat) / float64(second)
	every := float64(len(b.members)) * float64(b.beat) / max(b.requestRate*b.probesPerRequest, 1e-6)
	b.probeNow = max(Time(every), b.probeEvery)
	if now >= b.watchAt {
		b.watchAt = now + min(b.askWithin/2, b.askPace)
		b.front.Watch()
	}
	warm := 0.0
	for gi := range b.groups {
		g := &b.groups[gi]
		if b.primary(g) >= 0 {
			g.sought, g.purse = 0, 0
		} else if g.sought == 0 && len(g.held) > 0 {
			g.sought = now
		}
		for _, i := range g.members {
			m := &b.members[i]
			if m.started > 0 {
				// Danger: all fronts push a cold store over. Each sends it its part of what like warm ones are sent.
				rate := max(b.flow*m.size*b.warmth(m)*b.coldPart, b.trickle)
				// Danger: a read that asks first has to win its chance twice. So one that is won stands while it may ask.
				if m.budget += rate * float64(b.beat); b.now-m.won > b.quickest/10 {
					m.budget = min(m.budget, rate*float64(b.span)/2)
				}
			} else if m.open {
				warm += m.size
			}
			// Accrual: its silence is unusual for the gaps seen before.
			if m.asked > 0 && !m.suspect && float64(now-m.asked) > m.reply+4*m.vary+float64(2*b.beat) {
				m.suspect = true
				b.front.Log(fmt.Sprintf("store %d is suspected", m.store))
			}
			b.probe(m, g)
		}
	}
	if warm > 0 {
		b.flow += (b.doneWarm/(warm*float64(b.beat)) - b.flow) * float64(b.beat) / float64(max(b.span, b.beat))
	}
	b.doneWarm = 0
	for i := range b.requests {
		if b.requests[i].id != "" && !b.requests[i].ended {
			b.review(int32(i))
		}
	}
	for g := range b.groups {
		b.release(int32(g))
	}
}

// review ends a request whose time is up or cannot be kept, and calls an attempt back from a silent store.
func (b *Balancer) review(i int32) {
	j := &b.requests[i]
	p := &b.classes[j.class]
	if j.out && !j.lost && float64(b.now-j.sentAt) > 6*p.typical {
		// Danger: attempts whose answers are lost fill a member's limit until their clients give up.
		j.lost = true
		b.members[j.member].inFlight--
	}
	stuck := j.out && (j.lost || b.members[j.member].suspect)
	late := p.LateCredit == 0 && b.now+Time(p.typical) > j.wanted
	switch {
	case b.now >= j.limit-b.beat, j.held && (late || b.now+Time(p.typical/2) > j.limit):
		b.giveUp(i)
	case stuck && j.limit < never && p.Repeat == Idempotent && b.mayCancel && b.mayGoAgain(j, j.further+1):
		b.front.Cancel(j.id, j.sent-1)
	}
}
