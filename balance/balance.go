// Package balance holds every decision of the router, for one front.
//
// New is handed the Settings once; List, Take, Returned, Probed, Left, Streams, Beat follow as things happen,
// one at a time, each with the present moment. The module acts through the Front that New was given.
// The mechanism is pgpilot's: a session has a fence, the log position of its last write; a read goes to the
// least busy replica known to have passed what it needs, else to the primary. See docs/design.md.
package balance

import (
	"cmp"
	"fmt"
	"slices"

	"micatrack/internal/random"
)

const (
	never        = Time(1) << 60
	second       = Time(10000)
	toldBy       = 6 * second // what discovery has counts as told by then, whether or not a call came through
	fenceBits    = 14
	probeBudget  = 0.005 // part of the result that probes may cost on the ordinary path
	searchBudget = 0.125 // part of the credit of what waits that a search for its primary may cost
)

// New starts the module with a front's settings. It returns an error if they are out of range.
func New(now Time, c Settings, f Front) (*Balancer, error) {
	b := &Balancer{front: f, now: now, mwc: random.New(c.Seed), classOf: map[string]int32{},
		tenants: map[string]*tenant{}, memberOf: map[uint32]int32{}, groupOf: map[uint64]int32{},
		requestOf: map[string]int32{}, fences: make([]Time, 1<<fenceBits), writes: make([]int32, 1<<fenceBits),
		parts: map[string]float64{}, crowded: -never, scarce: -never, spill: 1, closing: never}
	if err := b.Configure(now, c); err != nil {
		return nil, err
	}
	b.probeNow = b.probeEvery
	if b.watchAt = now + b.askPace; !c.ListPushed { // all may be starting together, so it is spread
		b.watchAt = now + b.chance(b.askWithin/8)
	}
	f.WakeAfter(b.beat)
	return b, nil
}

// Configure puts other settings in force, or none of them if it returns an error. Requests in hand keep their
// class as it was, all else counts for them too. What was learnt, fences and budgets among it, is kept.
func (b *Balancer) Configure(now Time, c Settings) error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("settings: no profiles")
	}
	for _, p := range c.Classes {
		if p.Bound < 0 || p.ExpectedTime <= 0 || p.Deadline <= 0 || p.Window < 0 {
			return fmt.Errorf("settings: profile %q: bound, window or times out of range", p.Name)
		}
	}
	b.now, b.zone, b.overShare, b.checks, b.carried = now, c.Zone, c.OverQuotaCredit, c.StoresCheckReads, c.FencesCarried
	b.askWithin, b.onlyDrains, b.priced = c.ListInterval, c.OnlyDrainingBinds, c.CrossZonePrice > 0
	b.startShare, b.cold, b.coldPart, b.span = c.StartCapacity, c.WarmupTime, c.ColdOverloadFactor, c.ColdOverloadSpan
	b.mostAttempts, b.mayProbe, b.mayCancel = max(c.MaxAttempts, 1), c.MayProbe, c.MayCancel
	b.mostPause, b.askPace = c.MaxRetryAfter, cmp.Or(c.AgentGrace/4, never)
	b.least = 3 / float64(max(c.Fronts, 1))
	b.setClasses(c.Classes)
	b.setTenants(c)
	for i := range b.members {
		b.members[i].far = b.priced && b.members[i].zone != b.zone
	}
	// Answers must come within the slack after the limit, so the module looks around twice in it.
	b.beat = max(c.EventInterval, min(2*c.EventInterval, c.AnswerSlack/2), 1)
	// Eight short attempts in a span, over all fronts, tip no store.
	b.trickle = 2 * float64(b.quickest) / float64(max(b.span, 1)) / float64(max(c.Fronts, 1))
	b.probeEvery = max(min(b.tightest, b.quickest)/3, b.beat)
	b.probesPerRequest = probeBudget / max(c.ProbePrice, probeBudget/10)
	b.perCredit = searchBudget / max(c.ProbePrice, probeBudget/10)
	return nil
}

// setClasses gives a class that has changed a place of its own. The one that it had stays for as long as a
// request in hand has it. Danger: a write that may have run might be sent again by rules that came later.
func (b *Balancer) setClasses(classes []Class) {
	taken, before, places := make([]bool, len(b.classes)), b.classOf, slices.Clone(b.classes)
	for i := range b.requests {
		if b.requests[i].id != "" {
			taken[b.requests[i].class] = true
		}
	}
	for _, p := range classes {
		if i, known := before[p.Name]; known && places[i].Class == p {
			taken[i] = true
		}
	}
	b.classOf, b.tightest, b.quickest, b.usual = make(map[string]int32, len(classes)), never, never, 0
	for _, p := range classes {
		i, known := before[p.Name]
		if !known || places[i].Class != p {
			next := class{typical: float64(p.ExpectedTime) / 4, stills: 1}
			if known {
				next = places[i]
			}
			next.Class = p
			if i = int32(slices.Index(taken, false)); i < 0 {
				i = int32(len(b.classes))
				b.classes, taken = append(b.classes, class{}), append(taken, true)
			}
			b.classes[i], taken[i] = next, true
		}
		b.classOf[p.Name] = i
		b.quickest, b.usual = min(b.quickest, p.ExpectedTime), b.usual+p.Credit/float64(len(classes))
		if p.Need == Bounded {
			b.tightest = min(b.tightest, p.Bound)
		}
	}
}

// setTenants keeps what the buckets of those hold who were there before.
func (b *Balancer) setTenants(c Settings) {
	before := b.tenants
	b.tenants = make(map[string]*tenant, len(c.Tenants))
	for _, q := range c.Tenants {
		rate := q.Quota / float64(second) / float64(max(c.Fronts, 1))
		next := &tenant{perTime: rate, bucket: rate * float64(second), filled: b.now}
		if t := before[q.Name]; t != nil {
			next.bucket, next.filled = min(t.bucket, next.bucket), t.filled
		}
		b.tenants[q.Name] = next
	}
}

// chance draws from 0 to n-1 with a multiply-with-carry generator.
func (b *Balancer) chance(n Time) Time { return b.mwc.Below(n) }

func (b *Balancer) odds(part float64) bool { return float64(b.chance(1<<20)) < part*(1<<20) }

func (b *Balancer) Tick(now Time) {
	b.now = now
	b.front.WakeAfter(b.beat)
	b.requestRate -= b.requestRate * float64(b.beat) / float64(second)
	every := float64(len(b.members)) * float64(b.beat) / max(b.requestRate*b.probesPerRequest, 1e-6)
	b.probeNow = max(Time(every), b.probeEvery)
	if now >= b.watchAt {
		b.watchAt = now + min(b.askWithin/2, b.askPace)
		b.front.WatchMembers()
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
