// Package balance makes all decisions of the router, for one front: which store gets a request, whether an
// attempt is repeated, when a store is probed or avoided, and when a request is refused.
//
// New takes the first Settings and the Front through which the package acts. After that each event is
// reported by a call of a method (UpdateMembers, Submit, AttemptDone, ProbeDone, ClientGone,
// ResponseStarted, Tick and so on), one at a time, with the current time. A Balancer is not safe for
// concurrent use.
//
// The mechanism is that of pgpilot: a session has a fence, the log position of its last write. A read goes
// to the least busy replica that is known to have passed the position the read needs, or else to the
// primary. See docs/design.md.
package balance

import (
	"cmp"
	"fmt"
	"slices"

	"micatrack/internal/random"
)

const (
	never             = Time(1) << 60 // later than any real time
	second            = Time(10000)   // one second
	discoveryDeadline = 6 * second    // a front has to act on what discovery has by then
	fenceBits         = 14            // binary logarithm of the number of slots for fences
	probeBudget       = 0.005         // share of the total credit that routine probes may cost
	searchBudget      = 0.125         // share of waiting requests' credit that searching for a primary may cost
)

// New returns a Balancer with the given settings that acts through f. It returns an error if they are out
// of range.
func New(now Time, settings Settings, front Front) (*Balancer, error) {
	b := &Balancer{front: front, now: now, random: random.New(settings.Seed), classOf: map[string]int32{},
		tenants: map[string]*tenantState{}, memberOf: map[uint32]int32{}, groupOf: map[uint64]int32{},
		requestOf: map[string]int32{}, fences: make([]Time, 1<<fenceBits), openWrites: make([]int32, 1<<fenceBits),
		zoneShares: map[string]float64{}, overloadedAt: -never, connectionsScarceAt: -never, spillOdds: 1,
		shutdownAt: never}
	if err := b.Configure(now, settings); err != nil {
		return nil, err
	}
	b.currentProbeInterval = b.probeInterval
	if b.nextListAt = now + b.agentInterval; !settings.ListPushed {
		// All fronts may be starting together, so their first calls are spread out.
		b.nextListAt = now + b.randomBelow(b.listInterval/8)
	}
	front.WakeAfter(b.tickInterval)
	return b, nil
}

// Configure replaces the settings, or changes nothing if it returns an error. Requests at hand keep their
// class as it was; all other settings apply to them too. What was learned is kept, including fences and
// budgets.
func (b *Balancer) Configure(now Time, settings Settings) error {
	if len(settings.Classes) == 0 {
		return fmt.Errorf("settings: no profiles")
	}
	for _, class := range settings.Classes {
		if class.Bound < 0 || class.ExpectedTime <= 0 || class.Deadline <= 0 || class.Window < 0 {
			return fmt.Errorf("settings: profile %q: bound, window or times out of range", class.Name)
		}
	}
	b.now, b.zone, b.overQuotaCredit, b.storesCheckReads, b.fencesCarried =
		now, settings.Zone, settings.OverQuotaCredit, settings.StoresCheckReads, settings.FencesCarried
	b.listInterval, b.onlyDrainingBinds, b.crossZonePriced =
		settings.ListInterval, settings.OnlyDrainingBinds, settings.CrossZonePrice > 0
	b.answerSlack = settings.AnswerSlack
	b.startCapacity, b.warmupTime, b.coldOverloadFactor, b.coldOverloadSpan =
		settings.StartCapacity, settings.WarmupTime, settings.ColdOverloadFactor, settings.ColdOverloadSpan
	b.maxAttempts, b.mayProbe, b.mayCancel = max(settings.MaxAttempts, 1), settings.MayProbe, settings.MayCancel
	b.maxRetryAfter, b.agentInterval = settings.MaxRetryAfter, cmp.Or(settings.AgentGrace/4, never)
	b.minLimit = 3 / float64(max(settings.Fronts, 1))
	b.setClasses(settings.Classes)
	b.setTenants(settings)
	for i := range b.members {
		b.members[i].crossZone = b.crossZonePriced && b.members[i].zone != b.zone
	}
	// A final answer is due within AnswerSlack after the deadline, so requests are reviewed twice in that
	// time.
	b.tickInterval = max(settings.EventInterval, min(2*settings.EventInterval, settings.AnswerSlack/2), 1)
	// Eight short attempts in a ColdOverloadSpan, over all fronts, do not overload any store.
	b.minColdRate = 2 * float64(b.shortestExpected) / float64(max(b.coldOverloadSpan, 1)) /
		float64(max(settings.Fronts, 1))
	b.probeInterval = max(min(b.tightestBound, b.shortestExpected)/3, b.tickInterval)
	b.probesPerRequest = probeBudget / max(settings.ProbePrice, probeBudget/10)
	b.searchProbesPerCredit = searchBudget / max(settings.ProbePrice, probeBudget/10)
	return nil
}

// setClasses gives each changed class a new slot. The old slot stays for as long as a request at hand uses
// it. Without this, a write that may have run could be sent again by rules that came into force later.
func (b *Balancer) setClasses(classes []Class) {
	inUse, before, previous := make([]bool, len(b.classes)), b.classOf, slices.Clone(b.classes)
	for i := range b.requests {
		if b.requests[i].id != "" {
			inUse[b.requests[i].class] = true
		}
	}
	for _, class := range classes {
		if i, known := before[class.Name]; known && previous[i].Class == class {
			inUse[i] = true
		}
	}
	b.classOf, b.tightestBound, b.shortestExpected, b.usualCredit =
		make(map[string]int32, len(classes)), never, never, 0
	for _, class := range classes {
		i, known := before[class.Name]
		if !known || previous[i].Class != class {
			next := classState{typicalTime: float64(class.ExpectedTime) / 4, replayStalls: 1}
			if known {
				next = previous[i]
			}
			next.Class = class
			if i = int32(slices.Index(inUse, false)); i < 0 {
				i = int32(len(b.classes))
				b.classes, inUse = append(b.classes, classState{}), append(inUse, true)
			}
			b.classes[i], inUse[i] = next, true
		}
		b.classOf[class.Name] = i
		b.shortestExpected, b.usualCredit =
			min(b.shortestExpected, class.ExpectedTime), b.usualCredit+class.Credit/float64(len(classes))
		if class.Need == Bounded {
			b.tightestBound = min(b.tightestBound, class.Bound)
		}
	}
}

// setTenants replaces the tenants. Those that were there before keep the tokens in their buckets.
func (b *Balancer) setTenants(settings Settings) {
	before := b.tenants
	b.tenants = make(map[string]*tenantState, len(settings.Tenants))
	for _, tenant := range settings.Tenants {
		rate := tenant.Quota / float64(second) / float64(max(settings.Fronts, 1))
		next := &tenantState{rate: rate, tokens: rate * float64(second), refilledAt: b.now}
		if current := before[tenant.Name]; current != nil {
			next.tokens, next.refilledAt = min(current.tokens, next.tokens), current.refilledAt
		}
		b.tenants[tenant.Name] = next
	}
}

// Tick does the periodic work: it asks for the member list when that is due, refills the budgets of cold
// members, suspects silent members, sends probes, and reviews all requests. It also asks the Front for the
// next tick.
func (b *Balancer) Tick(now Time) {
	b.now = now
	b.front.WakeAfter(b.tickInterval)
	b.requestRate -= b.requestRate * float64(b.tickInterval) / float64(second)
	interval := float64(len(b.members)) * float64(b.tickInterval) / max(b.requestRate*b.probesPerRequest, 1e-6)
	b.currentProbeInterval = max(Time(interval), b.probeInterval)
	if now >= b.nextListAt {
		b.nextListAt = now + min(b.listInterval/2, b.agentInterval)
		b.front.WatchMembers()
	}
	warm := 0.0
	for groupIndex := range b.groups {
		group := &b.groups[groupIndex]
		if b.primary(group) >= 0 {
			group.primarySoughtSince, group.searchProbes = 0, 0
		} else if group.primarySoughtSince == 0 && len(group.waiting) > 0 {
			group.primarySoughtSince = now
		}
		for _, i := range group.members {
			member := &b.members[i]
			if member.startedAt > 0 {
				// All fronts together can overload a cold store. So each sends it its part of what comparable warm
				// members are sent.
				rate := max(b.warmRate*member.size*b.capacityShare(member)*b.coldOverloadFactor, b.minColdRate)
				// A read that probes the store first would have to win the random draw for it twice. So a draw that
				// was won stays valid for as long as the read may be probing.
				if member.coldBudget += rate * float64(b.tickInterval); b.now-member.budgetWonAt > b.shortestExpected/10 {
					member.coldBudget = min(member.coldBudget, rate*float64(b.coldOverloadSpan)/2)
				}
			} else if member.accepting {
				warm += member.size
			}
			// Accrual failure detection: the silence is unusually long, compared with the gaps seen before.
			if member.unansweredSince > 0 && !member.suspect &&
				float64(now-member.unansweredSince) > member.replyMean+4*member.replyDeviation+float64(2*b.tickInterval) {
				member.suspect = true
				b.front.Log(fmt.Sprintf("store %d is suspected", member.store))
			}
			b.probeIfDue(member, group)
		}
	}
	if warm > 0 {
		b.warmRate += (b.servedWarm/(warm*float64(b.tickInterval)) - b.warmRate) * float64(b.tickInterval) /
			float64(max(b.coldOverloadSpan, b.tickInterval))
	}
	b.servedWarm = 0
	for i := range b.requests {
		if b.requests[i].id != "" && !b.requests[i].ended {
			b.reviewRequest(int32(i))
		}
	}
	for g := range b.groups {
		b.dispatchWaiting(int32(g))
	}
}
